"""A randomized soak test: daemon processes with faults injected from outside.

The stand-ins of the store, workers and machines run in this process; each daemon
is a process on its own loopback address. Faults follow each other and overlap:
processes are killed, paused and told to stop, a proxy delays, resets or silences
the connection to the store, and the store and workers lose or delay answers. With
--partitions the links between instances and to workers are cut as well, with
--refusals some of them refuse connections, instances start for the first time
during a cut, and leaders are frozen in it. With --recuts workers restart under their
ids unnoticed and are cut off soon after.
The checks are what callers and workers observe: no subtask runs twice or starts
after its end, no worker is over its capacity, and every accepted job is completed.

    python -m features.support.soak --seed 1 --seconds 20
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.daemon_process import Daemon
from features.support.faulty_network import STORE, FaultyNetwork
from features.support.faulty_proxy import FaultyProxy
from features.support.open_caller import open_caller
from features.support.partition_faults import PartitionFaults
from features.support.platform_cluster import PlatformCluster, configuration, job
from features.support.recut_faults import RecutFaults

INSTANCE_COUNT = 4
FIRST_START_COUNT = 2
WORKER_COUNT = 5
SUBMIT_PAUSE_S = 0.15
FAULT_PAUSE_S = 0.8
COMPLETION_LIMIT_S = 45.0
CONNECTION_COUNT = 3
UNDISTURBED_S = 4.0
SHORT_MS = (50, 900)
LONG_MS = (4000, 12_000)
LONG_FRACTION = 0.15
# Runs that may outlast the claim of an instance that starts during a cut.
LONGEST_MS = (8000, 24_000)
LONGEST_FRACTION = 0.06
FAILURES = Path("out/soak-failures")


@dataclass
class Soak:
    """A soak with one seed; ``accepted`` has the jobs that were answered with 200.

    ``faults`` lists the injected faults, ``findings`` the violations found. With
    ``has_series`` processes are stopped in overlapping series, with ``has_partitions``
    links of instances to each other and to workers are cut. The first ``first_count``
    instances run from the start, ``later_daemons`` not before ``start_later``. With
    ``has_refusals``, which needs ``has_partitions``, links are also cut by refusals,
    and instances start for the first time. With ``has_recuts`` workers restart
    unnoticed and are cut off.
    """

    seed: int
    seconds: float
    has_series: bool = False
    has_partitions: bool = False
    has_refusals: bool = False
    has_recuts: bool = False
    cluster: PlatformCluster = field(default_factory=PlatformCluster)
    daemons: list[Daemon] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    used_count: int = 0
    version: int = 1
    first_count: int = INSTANCE_COUNT
    later_daemons: list[Daemon] = field(default_factory=list)

    async def run(self, folder: Path) -> None:
        self.random = random.Random(self.seed)
        async with AsyncExitStack() as stack:
            stack.callback(self._end_all)
            stack.push_async_callback(self.cluster.close)
            await self.cluster.open(WORKER_COUNT)
            if self.has_recuts:
                # Sets the rates of clocks, which must not jump once they are read.
                self.recuts = RecutFaults(self.random, self.cluster.workers)
            later_count = FIRST_START_COUNT if self.has_refusals else 0
            count = INSTANCE_COUNT + later_count
            names = [f"edge-{number}" for number in range(1, count + 1)]
            self.network = FaultyNetwork(self.cluster, names)
            if self.has_partitions:
                await self.network.open(stack)
            for number, name in enumerate(names):
                daemon = await self._prepare_daemon(stack, folder, name, number // 2)
                self.later_daemons.append(daemon)
            for _ in range(self.first_count):
                self.start_later()
            supervisor = asyncio.create_task(self._restart_ended_daemons())
            stack.callback(supervisor.cancel)
            await self._wait_for_service()
            loop = asyncio.get_running_loop()
            until_s = loop.time() + self.seconds
            users = [
                asyncio.create_task(self._use_connection(stack, daemon, number == 0))
                for number in range(CONNECTION_COUNT)
                for daemon in self.daemons
                if self.has_series
            ]
            await asyncio.gather(self._submit(until_s), self._inject_faults(until_s))
            for user in users:
                user.cancel()
            await asyncio.gather(*users, return_exceptions=True)
            await self._clear_faults()
            await self._wait_for_completion()
            self.findings += self.cluster.fleet.violations

    async def _prepare_daemon(
        self, stack: AsyncExitStack, folder: Path, name: str, data_centre: int
    ) -> Daemon:
        settings = folder / f"{name}.toml"
        if self.has_partitions:
            proxy = self.network.links[name, STORE]
            settings.write_text(self.network.settings_text(name))
        else:
            proxy = FaultyProxy(self.cluster.store_port)
            port = await proxy.listen(stack)
            settings.write_text(self.cluster.settings_text(name, port))
        return Daemon(name, data_centre, proxy, settings)

    def start_later(self) -> None:
        """Start the next instance for the first time, if there is one."""
        if not self.later_daemons:
            return
        daemon = self.later_daemons.pop(0)
        daemon.start()
        self.daemons.append(daemon)

    async def _restart_ended_daemons(self) -> None:
        """Restart processes that have ended, as the platform does."""
        while True:
            for daemon in self.daemons:
                process = daemon.process
                if process is not None and process.poll() is not None:
                    await asyncio.sleep(0.3)
                    daemon.start()
            await asyncio.sleep(0.1)

    async def _call(self, method: str, path: str, body: object = None) -> int:
        name = self.random.choice(self.daemons).name
        status, answer = await self.cluster.call(
            name, method, path, body, timeout_s=3.0
        )
        if method == "GET" and status == 200 and isinstance(answer, dict):
            self.last_state = str(answer.get("state", ""))
        return status

    async def _wait_for_service(self) -> None:
        async with asyncio.timeout(15):
            while await self._call("GET", "/q/") != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def _submit(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while loop.time() < until_s:
            number += 1
            job_id = f"{number:016x}"
            tasks.add(asyncio.create_task(self._submit_one(job_id)))
            await asyncio.sleep(SUBMIT_PAUSE_S)
        await asyncio.gather(*tasks)

    async def _submit_one(self, job_id: str) -> None:
        if self.has_refusals and self.random.random() < LONGEST_FRACTION:
            body = job(ms=self.random.randint(*LONGEST_MS), count=2)
            await self._submit_until_accepted(job_id, body)
            return
        may_run_long = self.has_partitions and not self.has_refusals
        has_long_run = may_run_long and self.random.random() < LONG_FRACTION
        body = job(
            ms=self.random.randint(*(LONG_MS if has_long_run else SHORT_MS)),
            steps=self.random.randint(1, 2),
            count=self.random.randint(1, 4),
        )
        await self._submit_until_accepted(job_id, body)

    async def _submit_until_accepted(self, job_id: str, body: object) -> None:
        for _ in range(4):
            if await self._call("POST", f"/q/{job_id}", body) == 200:
                self.accepted.add(job_id)
                return
            await asyncio.sleep(0.3)

    async def _use_connection(
        self, stack: AsyncExitStack, daemon: Daemon, reconnects: bool
    ) -> None:
        """Record requests that a daemon has read and cut, though it was not killed."""
        loop = asyncio.get_running_loop()
        caller = open_caller(self.cluster, daemon.name)
        await caller.open(stack)
        while True:
            job_id = self.random.choice(sorted(self.accepted) or ["0" * 16])
            outcome = await caller.call("GET", f"/q/{job_id}")
            if outcome is None:
                await asyncio.sleep(0.1)
                continue
            self.used_count += 1
            is_planned = loop.time() - daemon.disturbed_s > UNDISTURBED_S
            if outcome.is_cut and is_planned:
                self.findings.append(f"{daemon.name} cut {outcome}")
            if reconnects:
                caller.disconnect()
            await asyncio.sleep(0.02)

    async def _inject_faults(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        actions: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._kill,
            self._pause,
            self._terminate,
            self._silence_store,
            self._delay_store,
            self._reset_store,
            self._store_down,
            self._lose_answers,
            self._make_worker_unresponsive,
            self._late_starts,
            self._restart_worker,
            self._kill_all,
        )
        if self.has_series:
            actions = (
                self._terminate_in_series,
                self._reload,
                self._replace_configuration,
                self._store_down,
                self._delay_store,
                self._make_worker_unresponsive,
                self._kill,
            )
        if self.has_recuts:
            recut = self.recuts.recut
            actions = (recut, recut, self._kill, self._late_starts)
        if self.has_partitions:
            faults = PartitionFaults(
                self.random,
                self.network,
                self.cluster,
                self.daemons,
                self.start_later if self.has_refusals else None,
            )
            actions = (
                *faults.actions(),
                self._store_down,
                self._kill,
                self._pause,
                self._terminate,
                self._restart_worker,
                self._late_starts,
            )
        pending: set[asyncio.Task[None]] = set()
        while loop.time() < until_s:
            action = self.random.choice(actions)
            self.faults.append(action.__name__.lstrip("_"))
            pending.add(asyncio.create_task(action()))
            await asyncio.sleep(self.random.uniform(0.2, 2 * FAULT_PAUSE_S))
        await asyncio.gather(*pending)

    def _daemon(self) -> Daemon:
        return self.random.choice(self.daemons)

    async def _kill(self) -> None:
        self._daemon().send(signal.SIGKILL)

    async def _kill_all(self) -> None:
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)

    async def _terminate(self) -> None:
        self._daemon().send(signal.SIGTERM)

    async def _terminate_in_series(self) -> None:
        """Stop all processes, some at once, the next before the last has ended."""
        gap_s = self.random.uniform(0.0, 1.5)
        for daemon in self.random.sample(self.daemons, len(self.daemons)):
            daemon.send(signal.SIGTERM)
            await asyncio.sleep(gap_s)

    async def _reload(self) -> None:
        for daemon in self.daemons:
            daemon.send(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def _replace_configuration(self) -> None:
        self.version += self.random.randint(1, 3)
        newer = configuration(self.version)
        self.cluster.store.put_json("keyed.op", "config", newer)

    async def _pause(self) -> None:
        daemon = self._daemon()
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        daemon.send(signal.SIGCONT)

    async def _silence_store(self) -> None:
        proxy = self._daemon().proxy
        proxy.silent = True
        await asyncio.sleep(self.random.uniform(0.5, 4))
        proxy.silent = False
        proxy.reset()

    async def _delay_store(self) -> None:
        proxy = self._daemon().proxy
        proxy.delay_s = self.random.uniform(0.02, 0.3)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        proxy.delay_s = 0.0

    async def _reset_store(self) -> None:
        self._daemon().proxy.reset()

    async def _store_down(self) -> None:
        self.cluster.store.faults.down = True
        await asyncio.sleep(self.random.uniform(0.3, 3))
        self.cluster.store.faults.down = False

    async def _lose_answers(self) -> None:
        self.cluster.store.faults.lost_answers = self.random.randint(1, 5)

    async def _make_worker_unresponsive(self) -> None:
        worker = self.random.choice(self.cluster.workers)
        worker.unresponsive = True
        await asyncio.sleep(self.random.uniform(0.5, 5))
        worker.unresponsive = False

    async def _late_starts(self) -> None:
        worker = self.random.choice(self.cluster.workers)
        worker.late_starts_s = self.random.uniform(0.6, 4)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        worker.late_starts_s = 0.0

    async def _restart_worker(self) -> None:
        self.random.choice(self.cluster.workers).restart()

    async def _clear_faults(self) -> None:
        await self.network.heal()
        self.cluster.store.faults.down = False
        self.cluster.store.faults.lost_answers = 0
        for worker in self.cluster.workers:
            worker.unresponsive = False
            worker.late_starts_s = 0.0

    async def _wait_for_completion(self) -> None:
        """Record accepted jobs that do not complete after the faults have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + COMPLETION_LIMIT_S
        waiting = sorted(self.accepted)
        while waiting and loop.time() < until_s:
            remaining = []
            for job_id in waiting:
                self.last_state = ""
                status = await self._call("GET", f"/q/{job_id}")
                if status == 410:
                    self.findings.append(f"{job_id} was accepted but is unknown")
                elif self.last_state != "completed":
                    remaining.append(job_id)
            waiting = remaining
            await asyncio.sleep(0.3)
        self.findings += [f"{job_id} is not completed" for job_id in waiting]

    def _end_all(self) -> None:
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()


def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    has_series: bool = False,
    has_partitions: bool = False,
    has_refusals: bool = False,
    has_recuts: bool = False,
) -> Soak:
    soak = Soak(seed, seconds, has_series, has_partitions, has_refusals, has_recuts)
    asyncio.run(soak.run(folder))
    return soak


def keep_logs(logs: Path, kept: Path) -> None:
    """Copy the logs of a failed seed, as its next play may pass."""
    shutil.copytree(logs, kept, dirs_exist_ok=True)
    print(f"logs are in {kept}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, from --seed on"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--series", action="store_true", help="stop processes in overlapping series"
    )
    parser.add_argument(
        "--partitions",
        action="store_true",
        help="cut links between instances and to workers",
    )
    parser.add_argument(
        "--refusals",
        action="store_true",
        help="as --partitions, with refusals, first starts and frozen leaders",
    )
    parser.add_argument(
        "--recuts",
        action="store_true",
        help="restart workers unnoticed, and cut them off soon after",
    )
    parser.add_argument("--keep", type=Path, help="folder to keep the logs in")
    parser.add_argument(
        "--failures",
        type=Path,
        default=FAILURES,
        help="folder to keep the logs of failed seeds in",
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            log_folder = options.keep / str(seed) if options.keep else Path(folder)
            log_folder.mkdir(parents=True, exist_ok=True)
            soak = run_seed(
                seed,
                options.seconds,
                log_folder,
                options.series,
                options.partitions or options.refusals,
                options.refusals,
                options.recuts,
            )
            if soak.findings:
                failed += 1
                keep_logs(log_folder, options.failures / str(seed))
        summary = {
            "seed": seed,
            "accepted": len(soak.accepted),
            "used": soak.used_count,
            "faults": len(soak.faults),
            "findings": soak.findings[:5],
        }
        print(json.dumps(summary), flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
