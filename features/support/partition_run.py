"""One partition of real processes: the leader's side stays together without the store.

The leader, its peers and one worker reach each other, but neither the store nor the
other instances. The rest reaches the store and the other workers.
"""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

import msgpack
from returns.result import Success

from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.platform.store import LEADER_TOPIC
from cicadatraild.scheduling.membership import KNOWN_KEY
from features.support.faulty_network import STORE, LinkFault
from features.support.platform_cluster import job
from features.support.soak import INSTANCE_COUNT, WORKER_COUNT, Soak

JOB = "00000000000000a1"
RUN_MS = 14_000
CUT_S = 10.0
FIRST_START_RUN_MS = 28_000
FIRST_START_CUT_S = 20.0


@dataclass
class PartitionRun(Soak):
    """A run in which ``store_cut_s`` passes between the cut and the loss of the store.

    ``is_one_way`` only loses what the others send, and the store's answers; with
    ``refuses`` the links between instances refuse connections.
    """

    store_cut_s: float = 0.0
    is_one_way: bool = False
    refuses: bool = False
    run_ms: int = RUN_MS

    async def _wait_for_service(self) -> None:
        """Wait until the leader also knows every instance that runs."""
        await super()._wait_for_service()
        await self.cluster.wait_until(
            lambda: self._known_count() == len(self.daemons), timeout_s=15
        )

    def _known_count(self) -> int:
        topic = self.cluster.store.topic(LEADER_TOPIC)
        _, known = topic.newest.get(KNOWN_KEY, (0, msgpack.packb([])))
        return len(msgpack.unpackb(known))

    async def _submit(self, until_s: float) -> None:
        body = job(ms=self.run_ms, count=WORKER_COUNT, **{"anti-affinity": 2})
        await self._submit_until_accepted(JOB, body)
        await self.cluster.wait_until(
            lambda: len(self.cluster.fleet.starts) == WORKER_COUNT
        )

    async def _inject_faults(self, until_s: float) -> None:
        await self.cluster.wait_until(
            lambda: len(self.cluster.fleet.starts) == WORKER_COUNT
        )
        leader = await self._leader()
        near = [d.name for d in self.daemons if self._is_near(d.name, leader)]
        far = [d.name for d in self.daemons if not self._is_near(d.name, leader)]
        kept = min(self.cluster.fleet.worker_starts)
        others = {worker.worker_id for worker in self.cluster.workers} - {kept}
        if self.is_one_way:
            self._lose_one_way(near, far, kept)
        else:
            self.network.part(near, far, self.refuses)
            self.network.cut(far, [kept])
            self.network.cut(near, others)
            await asyncio.sleep(self.store_cut_s)
            self.network.cut(near, [STORE])
        await asyncio.sleep(CUT_S)
        await self.network.heal()

    def _is_near(self, name: str, leader: str) -> bool:
        centres = {daemon.name: daemon.data_centre for daemon in self.daemons}
        return centres[name] == centres[leader]

    def _lose_one_way(self, near: list[str], far: list[str], worker_id: str) -> None:
        """Let the leader's side send, but hear nothing of the others."""
        for (source, target), link in self.network.links.items():
            if source in near and (target in far or target == STORE):
                self.network.disturb([link], LinkFault.LOSES_ANSWERS)
            elif source in far and target in (*near, worker_id):
                self.network.disturb([link], LinkFault.LOSES_REQUESTS)

    async def _leader(self) -> str:
        return await self._leader_among([daemon.name for daemon in self.daemons])

    async def _leader_among(self, names: list[str]) -> str:
        """Return the instance that answers operators for jobs."""
        async with asyncio.timeout(5):
            while True:
                for name in names:
                    if await self._leads(name):
                        return name
                await asyncio.sleep(0.05)

    async def _leads(self, name: str) -> bool:
        clients = ConnectionPool(0.5)
        address = Address(self.cluster.host(name), self.cluster.operator_port)
        result = await clients.fetch(address, "GET", f"/jobs/{JOB}", timeout_s=0.5)
        return isinstance(result, Success) and result.unwrap().status == 200


class FirstStartRun(PartitionRun):
    """A run in which all but one instance are cut off, and only then the last starts.

    No instance knows of the last one, as it has never run before.
    """

    async def _inject_faults(self, until_s: float) -> None:
        await self.cluster.wait_until(
            lambda: len(self.cluster.fleet.starts) == WORKER_COUNT
        )
        near = [daemon.name for daemon in self.daemons]
        far = [daemon.name for daemon in self.later_daemons]
        kept = min(self.cluster.fleet.worker_starts)
        others = {worker.worker_id for worker in self.cluster.workers} - {kept}
        self.network.part(near, far)
        self.network.cut(far, [kept])
        self.network.cut(near, others | {STORE})
        self.start_later()
        await asyncio.sleep(FIRST_START_CUT_S)
        await self.network.heal()


class IdleWorkerRun(PartitionRun):
    """A run in which the leader and two peers keep only a worker that runs nothing.

    The fourth instance refuses their connections and reaches the workers that run
    something, soon enough to renew their leases.
    """

    async def _inject_faults(self, until_s: float) -> None:
        await self.cluster.wait_until(
            lambda: len(self.cluster.fleet.starts) == WORKER_COUNT
        )
        leader = await self._leader()
        names = [daemon.name for daemon in self.daemons]
        far = [name for name in names if name != leader][-1:]
        near = [name for name in names if name not in far]
        ids = {worker.worker_id for worker in self.cluster.workers}
        kept = max(ids - set(self.cluster.fleet.worker_starts))
        self.network.part(near, far, refuses=True)
        self.network.cut(far, [kept])
        self.network.cut(near, (ids - {kept}) | {STORE})
        await asyncio.sleep(CUT_S)
        await self.network.heal()


class HandoverRun(PartitionRun):
    """A run in which the leader hands over to a peer that never reaches busy workers.

    That peer loses the store soon after its election, and goes on with two others.
    The fifth instance reaches the store and the busy workers, and is elected as well.
    """

    async def _inject_faults(self, until_s: float) -> None:
        await self.cluster.wait_until(
            lambda: len(self.cluster.fleet.starts) == WORKER_COUNT
        )
        leader = await self._leader()
        names = [daemon.name for daemon in self.daemons]
        peers = [name for name in names if name != leader]
        far = peers.pop()
        near = [leader, *peers]
        ids = {worker.worker_id for worker in self.cluster.workers}
        busy = set(self.cluster.fleet.worker_starts)
        # Not named as the successor, as the leader does not reach it.
        self.network.part(near, [far], refuses=True)
        self.network.cut([far], ids - busy)
        self.network.cut(peers, busy)
        for daemon in self.daemons:
            if daemon.name == leader:
                daemon.send(signal.SIGTERM)
        successor = await self._leader_among(peers)
        self.network.cut(near, busy | {STORE})
        await asyncio.sleep(CUT_S)
        assert await self._leads(far), f"{far} does not lead after {successor}"
        await self.network.heal()


def play_partition(
    folder: Path,
    store_cut_s: float = 0.0,
    is_one_way: bool = False,
    refuses: bool = False,
) -> PartitionRun:
    run = PartitionRun(
        1,
        0.0,
        has_partitions=True,
        store_cut_s=store_cut_s,
        is_one_way=is_one_way,
        refuses=refuses,
    )
    asyncio.run(run.run(folder))
    return run


def play_idle_worker(folder: Path) -> IdleWorkerRun:
    run = IdleWorkerRun(1, 0.0, has_partitions=True)
    asyncio.run(run.run(folder))
    return run


def play_handover(folder: Path) -> HandoverRun:
    run = HandoverRun(
        1,
        0.0,
        has_partitions=True,
        has_refusals=True,
        first_count=INSTANCE_COUNT + 1,
    )
    asyncio.run(run.run(folder))
    return run


def play_first_start(folder: Path) -> FirstStartRun:
    run = FirstStartRun(
        1,
        0.0,
        has_partitions=True,
        first_count=INSTANCE_COUNT - 1,
        run_ms=FIRST_START_RUN_MS,
    )
    asyncio.run(run.run(folder))
    return run
