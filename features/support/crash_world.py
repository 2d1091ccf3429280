"""A fleet whose workers crash: when they start certain subtasks, and at random.

Built on ``JobWorld``: no processes, no network, and a clock that advances in steps.
What the leader stores passes through the records of ``LeaderRecords``.
"""

from __future__ import annotations

import random
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from cicadatrail_core.jobs.crash_suspicion import withdraw_all_start_notes
from cicadatrail_core.jobs.models import EndKind, JobDefinition, JobPhase, SubtaskName
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.jobs.state import JobState, Run
from cicadatrail_core.leadership.acting_right import CONFIRMATION_S
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.former_leases import FormerLeases
from cicadatraild.scheduling.last_answers import LastAnswers
from cicadatraild.scheduling.leader_records import LeaderRecords
from features.support.job_world import (
    LEASE_LIMIT_S,
    LEASE_S,
    JobWorld,
    SimulatedWorker,
    configuration,
    definition,
)

STEP_S = 0.05
STATUS_KEPT_S = 10_000.0
NEW_ID = "a new id"
SAME_ID = "its old id"


@dataclass(frozen=True, slots=True)
class Crash:
    """A worker that a subtask has crashed, and how many other runs it took along."""

    name: SubtaskName
    worker_id: str
    neighbour_count: int
    at_s: float


class CrashWorld(JobWorld):
    """Subtasks in ``deadly`` crash each worker that starts them.

    A crashed worker is down for ``down_s``, and then returns as ``returns`` says.
    """

    def __init__(
        self,
        stack: ExitStack,
        worker_count: int,
        cores: int,
        returns: str = NEW_ID,
        down_s: float = 3.3,
    ) -> None:
        module = "cicadatraild.scheduling.leader_records"
        leases = "cicadatraild.scheduling.former_leases"
        stack.enter_context(patch(f"{module}.loop_now_s", lambda: self.now_s))
        stack.enter_context(patch(f"{leases}.loop_now_s", lambda: self.now_s))
        answers = "cicadatraild.scheduling.last_answers"
        stack.enter_context(patch(f"{answers}.loop_now_s", lambda: self.now_s))
        stack.enter_context(patch(f"{answers}.boot_now_s", lambda: self.now_s))
        stack.enter_context(patch(f"{module}.unix_now_ms", lambda: self.now_ms))
        super().__init__(worker_count, cores)
        self.returns = returns
        self.down_s = down_s
        self.epoch = 1
        self.next_worker = worker_count
        self.deadly: set[SubtaskName] = set()
        self.durations_s: dict[str, float] = {}
        self.due_s: dict[tuple[SubtaskName, int], float] = {}
        self.doomed: list[tuple[SubtaskName, SimulatedWorker]] = []
        self.down: list[tuple[float, SimulatedWorker]] = []
        self.silent: set[str] = set()
        self.starts: Counter[SubtaskName] = Counter()
        self.start_times_s: dict[SubtaskName, list[float]] = {}
        self.crashes: list[Crash] = []
        self.stored: dict[str, bytes] = {}
        self.is_store_away = False
        self.records = self.new_records()
        self.store()
        self.report_all()

    def new_scheduler(self, epoch: int) -> Scheduler:
        settings = SchedulerSettings(epoch, LEASE_S, LEASE_LIMIT_S, STATUS_KEPT_S)
        scheduler = Scheduler(settings)
        scheduler.configure(configuration())
        for sim in self.sims.values():
            scheduler.update_worker(self.facts(sim), self.now_s)
        return scheduler

    def new_records(self) -> LeaderRecords:
        right: Any = SimpleNamespace(
            former_until_loop_s=self.now_s + CONFIRMATION_S,
            former=SimpleNamespace(proof="promises"),
            last_answers=LastAnswers(),
        )
        self.former_leases = FormerLeases(self.scheduler, right)
        records = LeaderRecords(self.scheduler, self.former_leases)
        inventory: Any = SimpleNamespace(
            has_unstored_announcements=False,
            restore=lambda value, told_s: None,
            blocked_left=dict,
        )
        records.attach(inventory, SimpleNamespace(encode=list))  # type: ignore[arg-type]
        return records

    def store(self) -> None:
        if self.is_store_away:
            return
        records, on_stored = self.records.collect()
        for record in records:
            if record.value is None:
                self.stored.pop(record.key, None)
            else:
                self.stored[record.key] = record.value
        on_stored()

    def store_crashes(self) -> None:
        """Store crashes with everything else, in ``store``."""

    def submit(self, job_id: str, plan: JobDefinition) -> JobState:
        job = self.scheduler.accept(job_id, plan, self.now_s)
        self.scheduler.changed_jobs[job_id] = None
        self.store()
        return job

    def submit_deadly(self, job_id: str, plan: JobDefinition, index: int = 0) -> None:
        self.deadly.add(SubtaskName(job_id, 0, 0, index))
        self.submit(job_id, plan)

    def fail_over(self, epoch: int) -> None:
        """Replace the scheduler by a successor that reads what was stored."""
        self.epoch = epoch
        self.scheduler = self.new_scheduler(epoch)
        self.records = self.new_records()
        self.records.restore(
            [KeyedRecord(key, value) for key, value in self.stored.items()]
        )

    def withdraw_and_fail_over(self, epoch: int) -> None:
        """Let a successor follow a leader that stores what it won't do any more."""
        withdraw_all_start_notes(self.scheduler)
        self.store()
        self.fail_over(epoch)

    def phase(self, job_id: str) -> JobPhase:
        return self.scheduler.shown_phase(self.scheduler.jobs[job_id])

    def crash(self, sim: SimulatedWorker, is_silent: bool = False) -> None:
        """Crash a worker, which breaks its connections unless it just falls silent."""
        for name in [*sim.running]:
            if self.steps_of(name).spec.gang:
                self.break_gang(name, sim)
        sim.running.clear()
        del self.sims[sim.worker_id]
        self.down.append((self.now_s + self.down_s, sim))
        worker = self.scheduler.workers.get(sim.worker_id)
        if worker is not None:
            worker.mark_failed(self.now_s, is_broken=not is_silent)

    def steps_of(self, name: SubtaskName) -> Any:
        job = self.scheduler.jobs[name.job_id]
        return job.occurrences[name.occurrence][name.step]

    def break_gang(self, name: SubtaskName, lost: SimulatedWorker) -> None:
        for sim in self.sims.values():
            for other in [*sim.running]:
                is_member = (other.job_id, other.step) == (name.job_id, name.step)
                if is_member and sim is not lost:
                    sim.end(other, EndKind.BROKEN)

    def advance(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.advance_step()

    def advance_step(self) -> None:
        doomed, self.doomed = self.doomed, []
        for name, sim in doomed:
            if name in sim.running:
                count = len(sim.running) - 1
                self.crashes.append(Crash(name, sim.worker_id, count, self.now_s))
                self.crash(sim)
        self.restart_workers()
        self.end_due_runs()
        for worker_id in [*self.sims]:
            if worker_id not in self.silent:
                self.report(worker_id)
        self.store()
        self.former_leases.update()
        self.tick(STEP_S)
        for run in self.dispatch():
            self.start(run)
        self.carry_out_stops()

    def start(self, run: Run) -> None:
        sim = self.sims.get(run.worker.facts.worker_id)
        assert sim is not None, "a start for a worker that is down"
        name = run.subtask.name
        self.carry_out(run)
        self.starts[name] += 1
        self.start_times_s.setdefault(name, []).append(self.now_s)
        duration_s = self.durations_s.get(name.job_id, 0.5)
        self.due_s[name, run.number] = self.now_s + duration_s
        if name in self.deadly:
            self.doomed.append((name, sim))

    def end_due_runs(self) -> None:
        for sim in self.sims.values():
            for name, number in [*sim.running.items()]:
                if self.now_s >= self.due_s.get((name, number), 0.0):
                    sim.end(name, EndKind.DONE)

    def carry_out_stops(self) -> None:
        for run in self.stops():
            sim = self.sims.get(run.worker.facts.worker_id)
            if sim is None or sim.worker_id in self.silent:
                if run in run.subtask.live_runs:
                    self.scheduler.stops.append(run)
                continue
            if sim.running.get(run.subtask.name) == run.number:
                sim.end(run.subtask.name, EndKind.STOPPED)
            run.stop_acked_s = self.now_s

    def restart_workers(self) -> None:
        for entry in [*self.down]:
            back_s, sim = entry
            if self.now_s < back_s:
                continue
            self.down.remove(entry)
            worker_id = sim.worker_id
            if self.returns == NEW_ID:
                worker_id = f"w{self.next_worker}"
                self.next_worker += 1
                self.scheduler.remove_worker(
                    sim.worker_id, self.now_s, "its address belongs to another worker"
                )
            fresh = SimulatedWorker(
                worker_id, sim.cores, started_ms=sim.started_ms + self.now_ms
            )
            self.sims[worker_id] = fresh
            self.scheduler.update_worker(self.facts(fresh), self.now_s)


def play_random_crashes(stack: ExitStack, seed: int) -> CrashWorld:
    """Submit jobs while one subtask is deadly, workers crash and the leader may change.

    A third of the workers crash at once, and three more one at a time.
    """
    choice = random.Random(seed)
    world = CrashWorld(
        stack,
        choice.randint(4, 8),
        16,
        choice.choice((NEW_ID, SAME_ID)),
        choice.choice((1.0, 3.3, 4.5)),
    )
    world.submit_deadly(f"{0:016x}", definition(2, 2), choice.randint(0, 1))
    crashes = choice.sample(range(1, 41), 4)
    takeover = choice.randint(1, 80)
    for number in range(1, 41):
        job_id = f"{number:016x}"
        world.durations_s[job_id] = choice.uniform(0.1, 3.0)
        world.submit(job_id, definition(choice.randint(1, 4), choice.randint(1, 4)))
        world.advance(choice.uniform(0.05, 0.4))
        if number in crashes:
            count = len(world.sims) // 3 if number == crashes[0] else 1
            count = min(count, len(world.sims))
            for sim in choice.sample([*world.sims.values()], count):
                world.crash(sim)
        if number == takeover:
            world.fail_over(world.epoch + 1)
    world.advance(60.0)
    return world
