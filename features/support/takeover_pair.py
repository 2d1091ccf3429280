"""A former leader and its successor that read the same simulated workers."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from cicadatrail_core.jobs.models import (
    EndKind,
    JobPhase,
    RunningRow,
    SubtaskName,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, Subtask
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.worker_links import WorkerLinks
from cicadatraild.scheduling.worker_orders import WorkerOrders
from features.support.job_world import JobWorld, SimulatedWorker, definition

# ruff: noqa: SLF001

CLOCKS = (
    "leader_right.boot_now_s",
    "leader_right.loop_now_s",
    "leadership.boot_now_s",
    "leadership.loop_now_s",
    "worker_lives.boot_now_s",
    "worker_orders.loop_now_s",
    "worker_links.loop_now_s",
)
JOB = "00000000000000c1"
HOSTS = ("a", "b", "c")
WORKER = "w0"


class _Client:
    """A client of the simulated workers."""

    def __init__(self, sims: dict[str, SimulatedWorker], world: TakeoverPair) -> None:
        self._sims = sims
        self._world = world

    async def read_lists(
        self, facts: WorkerFacts, acknowledged_end: int, _: int | None, wait_ms: int
    ) -> WorkerReport:
        self._world.calls.append((acknowledged_end, wait_ms))
        sim = self._sims[facts.worker_id]
        sim.ends = [end for end in sim.ends if end.number > acknowledged_end]
        running = (RunningRow(n, r, "", 0) for n, r in sim.running.items())
        clock_ms = int((self._world.now_s - self._world.born_s) * 1000)
        return WorkerReport(clock_ms, sim.started_ms, (*running,), (*sim.ends,))


class _Journal:
    """A journal whose store answers at once."""

    async def flush(self) -> None:
        return


class TakeoverPair:
    """Leader of epoch 1 on host a, which runs a subtask, and its successor on host b.

    Host c is the third instance. Both read worker w0, only the former leader has
    reached w1.
    """

    def __init__(self) -> None:
        self.jobs = JobWorld(2)
        # What each call acknowledged, and how long it waited at the worker.
        self.calls: list[tuple[int, int]] = []
        self.born_s = 0.0
        self.jobs.report_all()
        self.jobs.worker("w1").is_cordoned = True
        self.jobs.submit(JOB, definition(1))
        self.run: Run = self.jobs.run_all()[0]
        assert self.run.worker.facts.worker_id == WORKER
        self.jobs.worker("w1").is_cordoned = False
        self.sim = self.jobs.sims[WORKER]
        with self.patched():
            self.former = self._new_leadership("a", 1)
            self.former.right.acting = self.former.right.acting.renew(self.now_s)
        self.former_scheduler: Scheduler = self.jobs.scheduler
        self.former_links = self._new_links(self.former_scheduler, self.former)
        self.poll(self.former_links)

    @property
    def now_s(self) -> float:
        return self.jobs.now_s

    def patched(self) -> ExitStack:
        """Return a context in which both use this world's clock."""
        stack = ExitStack()
        for clock in CLOCKS:
            name = f"cicadatraild.scheduling.{clock}"
            stack.enter_context(patch(name, lambda: self.now_s))
        stack.enter_context(
            patch("cicadatraild.scheduling.worker_links.LIST_PAUSE_S", 0.0)
        )
        return stack

    def _new_leadership(self, host: str, epoch: int) -> Leadership:
        store: Any = None
        created = Leadership(store, host, host, lambda _: None, lambda _: None)
        created.members._members.update(HOSTS)
        created.members.known_hosts = frozenset(HOSTS)
        created.members.claimed_epoch = created.members.settled_epoch = 1
        created.held_epoch = epoch
        return created

    def _new_links(self, scheduler: Scheduler, leadership: Leadership) -> WorkerLinks:
        client: Any = _Client(self.jobs.sims, self)
        journal: Any = _Journal()
        scheduler.is_lease_valid = leadership.is_lease_valid
        scheduler.held_lease_ago = leadership.right.held_lease_ago
        orders = WorkerOrders(scheduler, client, leadership)
        return WorkerLinks(scheduler, client, journal, leadership, orders)

    def take_over(self, released: bool = False) -> None:
        """Elect the successor 1.5 s after it read the newest renewal."""
        with self.patched():
            self.successor = self._new_leadership("b", 2)
            self.successor.right.note_record()
            self.jobs.now_s += 1.5
            predecessor = LeaderRecord(1, "a", "a", "p", released)
            self.successor.right.begin(predecessor)
            self.successor.right.acting = self.successor.right.acting.renew(self.now_s)
        self.jobs.fail_over(2)
        self.successor_links = self._new_links(self.jobs.scheduler, self.successor)

    def poll(self, links: WorkerLinks) -> None:
        """Have one of the two poll the worker once."""

        async def scenario() -> None:
            await links._poll(links._scheduler.workers[WORKER])

        with self.patched():
            asyncio.run(scenario())
        self.jobs.now_s += 0.002

    def ask(self, leader: Leadership, confirming: Collection[str]) -> None:
        """Have others answer a round of questions of one of the two."""
        with self.patched():
            asked_s = self.now_s
            self.jobs.now_s += 0.001
            answers = dict.fromkeys(confirming, self.now_s)
            epoch = leader.held_epoch
            leader.apply_round(ConfirmationRound(epoch, asked_s, answers, False))

    def end_run(self) -> None:
        self.sim.end(self.run.subtask.name, EndKind.DONE)

    def restart_worker(self) -> None:
        self.sim.running.clear()
        self.sim.ends.clear()
        self.sim.last_end_number = 0
        self.sim.started_ms += 1000
        self.born_s = self.now_s
        self.jobs.now_s += 0.002

    def know_worker_again(self) -> None:
        """Restart the worker, which the former leader has removed and then reads."""
        with self.patched():
            self.former_scheduler.remove_worker(WORKER, self.now_s, "replaced")
            self.restart_worker()
            facts = self.jobs.facts(self.sim)
            self.former_scheduler.update_worker(facts, self.now_s)
        self.poll(self.former_links)

    def dispatch(self) -> list[Run]:
        """Return what the successor would start now."""
        with self.patched():
            return self.jobs.dispatch()

    def repeated(self) -> list[SubtaskName]:
        """Return what the former leader would start now."""
        with self.patched():
            if not self.former.may_start():
                return []
            previous, self.jobs.scheduler = self.jobs.scheduler, self.former_scheduler
            try:
                return [run.subtask.name for run in self.jobs.dispatch()]
            finally:
                self.jobs.scheduler = previous

    @property
    def inherited(self) -> Subtask:
        """Return the subtask as the successor knows it."""
        found = self.jobs.scheduler.jobs[JOB].subtask(self.run.subtask.name)
        assert found is not None
        return found

    @property
    def is_noted(self) -> bool:
        """Return whether the successor counts the subtask as done."""
        return self.jobs.scheduler.jobs[JOB].phase is JobPhase.COMPLETED
