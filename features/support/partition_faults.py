"""Random cuts of the links between daemons, to workers and to the store."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import wraps
from typing import Any

from cicadatraild.platform.store import LEADER_TOPIC, KeyedRecord
from cicadatraild.scheduling.leader_record import HOLDER_KEY, decode_leader
from features.support.daemon_process import Daemon
from features.support.faulty_network import STORE, Cut, FaultyNetwork, LinkFault
from features.support.platform_cluster import PlatformCluster

Action = Callable[[], Coroutine[Any, Any, None]]

# With more at once hardly any instance reaches another, or the store.
CUT_LIMIT_COUNT = 2


@dataclass
class PartitionFaults:
    """Cuts of links; each method makes one and ends it after a random time.

    With ``start_later``, which starts an instance for the first time, links may also
    refuse connections, instances start and leaders are frozen during a cut, and a cut
    is left out while ``CUT_LIMIT_COUNT`` others are in force.
    """

    random: random.Random
    network: FaultyNetwork
    cluster: PlatformCluster
    daemons: list[Daemon]
    start_later: Callable[[], None] | None = None
    cut_count: int = 0

    def actions(self) -> tuple[Action, ...]:
        actions: tuple[Action, ...] = (
            self.part_data_centres,
            self.part_data_centres,
            self.cut_one_way,
            self.cut_off_workers,
        )
        if self.start_later is not None:
            actions += (self.start_during_cut, self.freeze_leader_during_cut)
            actions = tuple(map(self._limited, actions))
        return actions

    def _limited(self, action: Action) -> Action:
        """Return an action that is left out while others are in force."""

        @wraps(action)
        async def act() -> None:
            if self.cut_count >= CUT_LIMIT_COUNT:
                return
            self.cut_count += 1
            await action()
            self.cut_count -= 1

        return act

    async def part_data_centres(self) -> None:
        """Cut one data centre off; some workers stay with it, the others don't.

        Its instances lose the store in most cases, and may lose it a moment later.
        """
        near, far = self._names(0), self._names(1)
        if self.random.random() < 0.5:
            near, far = far, near
        cut = self._part(near, far, self._sample_workers(0))
        if self.random.random() < 0.8:
            await asyncio.sleep(self.random.choice((0.0, 0.5)))
            cut += self.network.cut(near, [STORE])
        await asyncio.sleep(self.random.uniform(2, 12))
        await self._end(cut)

    async def cut_one_way(self) -> None:
        """Lose what is sent one way on some links of an instance, or refuse it."""
        name = self.random.choice(self.daemons).name
        links = [p for (source, _), p in self.network.links.items() if source == name]
        loses_requests = self.random.random() < 0.5
        fault = LinkFault.LOSES_REQUESTS if loses_requests else LinkFault.LOSES_ANSWERS
        if self._draws_refusal():
            fault = LinkFault.REFUSES
        sample = self.random.sample(links, self.random.randint(1, len(links)))
        cut = self.network.disturb(sample, fault)
        await asyncio.sleep(self.random.uniform(1, 6))
        await self._end(cut)

    async def cut_off_workers(self) -> None:
        """Cut some workers off from some instances."""
        names = [daemon.name for daemon in self.daemons]
        cut = self.network.cut(
            self.random.sample(names, self.random.randint(1, len(names))),
            self.random.sample(self._worker_ids(), self.random.randint(1, 2)),
            self._draws_refusal(),
        )
        await asyncio.sleep(self.random.uniform(1, 6))
        await self._end(cut)

    async def start_during_cut(self) -> None:
        """Cut off all instances that run, or the leader's data centre; then start one.

        The cut outlasts the time after which an unknown instance claims leadership.
        """
        assert self.start_later is not None
        present = [daemon.name for daemon in self.daemons]
        near = present if self.random.random() < 0.5 else self._leader_side()
        sources = {source for source, _ in self.network.links}
        cut = self._part(near, sorted(sources - set(near)), self._sample_workers(1))
        await asyncio.sleep(self.random.choice((0.0, 0.5)))
        cut += self.network.cut(near, [STORE])
        self.start_later()
        await asyncio.sleep(self.random.uniform(16, 22))
        await self._end(cut)

    async def freeze_leader_during_cut(self) -> None:
        """Cut the leader's data centre off, and freeze the leader meanwhile."""
        near = self._leader_side()
        far = [daemon.name for daemon in self.daemons if daemon.name not in near]
        leader = self._leader()
        cut = self._part(near, far, self._sample_workers(1))
        await asyncio.sleep(self.random.uniform(0, 1.5))
        cut += self.network.cut(near, [STORE])
        await asyncio.sleep(self.random.uniform(0, 3))
        leader.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 6))
        leader.send(signal.SIGCONT)
        await asyncio.sleep(self.random.uniform(0, 8))
        await self._end(cut)

    def _part(self, near: list[str], far: list[str], kept: list[str]) -> Cut:
        """Part two groups of instances; ``near`` keeps these workers only."""
        lost = [name for name in self._worker_ids() if name not in kept]
        return [
            *self.network.part(near, far, self._draws_refusal()),
            *self.network.cut(far, kept, self._draws_refusal()),
            *self.network.cut(near, lost, self._draws_refusal()),
        ]

    async def _end(self, cut: Cut) -> None:
        if self.start_later is None:
            # The seeds without first starts end all cuts at the end of each.
            await self.network.heal()
        else:
            await self.network.restore(cut)

    def _draws_refusal(self) -> bool:
        return self.start_later is not None and self.random.random() < 0.5

    def _sample_workers(self, least_count: int) -> list[str]:
        ids = self._worker_ids()
        return self.random.sample(ids, self.random.randint(least_count, len(ids)))

    def _worker_ids(self) -> list[str]:
        return [worker.worker_id for worker in self.cluster.workers]

    def _names(self, data_centre: int) -> list[str]:
        return [d.name for d in self.daemons if d.data_centre == data_centre]

    def _leader(self) -> Daemon:
        """Return the leader that the store has recorded last."""
        topic = self.cluster.store.topic(LEADER_TOPIC)
        _, value = topic.newest.get(HOLDER_KEY, (0, b""))
        record = decode_leader(KeyedRecord(HOLDER_KEY, value))
        for daemon in self.daemons:
            if record is not None and daemon.name == record.node:
                return daemon
        return self.daemons[0]

    def _leader_side(self) -> list[str]:
        return self._names(self._leader().data_centre)
