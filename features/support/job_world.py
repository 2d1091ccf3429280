"""A scheduler with simulated workers and a clock that scenarios advance."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from math import inf

from cicadatrail_core.jobs.crash_suspicion import collect_unstored, mark_stored
from cicadatrail_core.jobs.dispatch import dispatch
from cicadatrail_core.jobs.models import (
    FINAL_PHASES,
    EndKind,
    EndRow,
    FleetConfiguration,
    JobDefinition,
    Pool,
    Queue,
    RunningRow,
    Step,
    SubtaskName,
    Team,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.records import (
    apply_progress,
    decode_definition,
    encode_definition,
    encode_progress,
)
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.jobs.state import JobState, Run, RunPhase
from cicadatrail_core.jobs.takeover import inherit
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

LEASE_S = 3.5
LEASE_LIMIT_S = 6.0
LATEST_START_S = 12.0
"""Longest time after which a worker carries out an unanswered start."""
START_MS = 1000


def configuration(team_limit: Resources = NO_RESOURCES) -> FleetConfiguration:
    queue = Queue("q", "", "/q/", "pool", attempt_limit_count=3, stretch=2.0)
    return FleetConfiguration(
        1,
        (queue,),
        {"pool": Pool("pool")},
        {"team": Team("team", ("key",), 1, team_limit)},
    )


def definition(count: int, cores: int = 3, **step: object) -> JobDefinition:
    need = Resources(cores * 1000, 10)
    return JobDefinition(
        "q",
        "team",
        "spec",
        (Step(count, need, 500, **step),),  # type: ignore[arg-type]
    )


@dataclass
class SimulatedWorker:
    """A worker's own state: its runs and the ends that it still lists."""

    worker_id: str
    cores: int
    running: dict[SubtaskName, int] = field(default_factory=dict)
    ended: dict[SubtaskName, int] = field(default_factory=dict)
    ends: list[EndRow] = field(default_factory=list)
    last_end_number: int = 0
    started_ms: int = START_MS
    deadline_s: float = 0.0
    token: int = 0
    percent: int = 50
    percents: dict[SubtaskName, int] = field(default_factory=dict)
    unacknowledged_done: set[SubtaskName] = field(default_factory=set)
    # Due time, subtask, run number, epoch and lease deadline of each delayed start.
    late_starts: list[tuple[float, SubtaskName, int, int, float]] = field(
        default_factory=list
    )

    def end(self, name: SubtaskName, kind: EndKind) -> None:
        run = self.running.pop(name)
        self.ended[name] = max(run, self.ended.get(name, 0))
        if kind is EndKind.DONE:
            self.unacknowledged_done.add(name)
        self.last_end_number += 1
        self.ends.append(EndRow(self.last_end_number, name, run, kind, ""))


class JobWorld:
    """A scheduler, its simulated workers and their common clock."""

    def __init__(self, worker_count: int, cores: int = 8, epoch: int = 1) -> None:
        self.now_s = 100.0
        self.sims: dict[str, SimulatedWorker] = {}
        for number in range(worker_count):
            name = f"w{number}"
            self.sims[name] = SimulatedWorker(name, cores)
        self.scheduler = self.new_scheduler(epoch)

    def new_scheduler(self, epoch: int) -> Scheduler:
        scheduler = Scheduler(SchedulerSettings(epoch, LEASE_S, LEASE_LIMIT_S, 120.0))
        scheduler.configure(configuration())
        for sim in self.sims.values():
            scheduler.update_worker(self.facts(sim), self.now_s)
        return scheduler

    def facts(self, sim: SimulatedWorker, draining: bool = False) -> WorkerFacts:
        return WorkerFacts(
            sim.worker_id,
            "pool",
            "10.0.0.1",
            80,
            "z",
            Resources(sim.cores * 1000, 64_000),
            ("a", "r1"),
            draining,
            born_unix_ms=sim.started_ms,
            machine=f"m-{sim.worker_id}",
        )

    @property
    def now_ms(self) -> int:
        return int(self.now_s * 1000)

    def worker(self, name: str) -> WorkerState:
        return self.scheduler.workers[name]

    def submit(self, job_id: str, plan: JobDefinition) -> JobState:
        job = self.scheduler.accept(job_id, plan, self.now_s)
        self.scheduler.activate(job, self.now_s, self.now_ms)
        return job

    def report(self, name: str, forget: bool = True) -> None:
        """Apply a worker's report, as the answer to a poll sent just now.

        Unless ``forget`` is false, the worker first discards acknowledged ends.
        """
        sim = self.sims[name]
        worker = self.scheduler.workers.get(name)
        if worker is None:
            return
        sim.token = max(sim.token, self.scheduler.settings.epoch)
        if forget:
            sim.ends = [e for e in sim.ends if e.number > worker.acknowledged_end]
        report = WorkerReport(
            self.now_ms,
            sim.started_ms,
            tuple(
                RunningRow(n, r, "", sim.percents.get(n, sim.percent))
                for n, r in sim.running.items()
            ),
            tuple(sim.ends),
        )
        apply_report(self.scheduler, worker, report, self.now_s, self.now_s + 0.001)
        worker.stored_end = worker.processed_end
        deadline_ms = renew_lease(self.scheduler, worker, self.now_s)
        if deadline_ms is not None:
            sim.deadline_s = max(sim.deadline_s, deadline_ms / 1000)
        self.now_s += 0.002

    def report_all(self) -> None:
        for name in self.sims:
            self.report(name)

    def store_crashes(self) -> None:
        """Let the store answer at once."""
        crashes = collect_unstored(self.scheduler, self.scheduler.jobs)
        mark_stored(self.scheduler, crashes)

    def dispatch(self) -> list[Run]:
        """Run one dispatch cycle; return the runs whose start would be sent."""
        self.store_crashes()
        dispatch(self.scheduler, self.now_s)
        if any(
            subtask.unstored_crashes for subtask in self.scheduler.suspects.values()
        ):
            # The note of a suspect's start is stored, and the suspect starts then.
            self.store_crashes()
            dispatch(self.scheduler, self.now_s)
        starts, self.scheduler.starts = self.scheduler.starts, []
        return starts

    def carry_out(self, run: Run) -> None:
        """Let a worker carry out a start and answer it."""
        sim = self.sims[run.worker.facts.worker_id]
        sim.running[run.subtask.name] = run.number
        run.is_start_pending = False
        run.phase = RunPhase.RUNNING
        run.answered_s = self.now_s
        renew_lease(self.scheduler, run.worker, self.now_s)
        run.start_expires_s = run.worker.lease_expires_s
        sim.deadline_s = max(sim.deadline_s, self.now_s + LEASE_S)

    def run_all(self) -> list[Run]:
        runs = self.dispatch()
        for run in runs:
            self.carry_out(run)
        return runs

    def stops(self) -> list[Run]:
        stops, self.scheduler.stops = self.scheduler.stops, []
        return stops

    def fail_over(self, epoch: int) -> None:
        """Replace the scheduler by a successor restored from the stored records."""
        jobs = []
        for job in self.scheduler.jobs.values():
            plan = decode_definition(encode_definition(job.definition))
            restored = JobState(job.job_id, plan, self.now_s)
            apply_progress(restored, encode_progress(job))
            jobs.append(restored)
        self.scheduler = self.new_scheduler(epoch)
        for worker in self.scheduler.workers.values():
            worker.lease_expires_s = self.now_s + LEASE_S / 0.98 + 0.6
        inherit(self.scheduler, jobs)
        for job in jobs:
            self.scheduler.activate(job, self.now_s, self.now_ms)

    def tick(self, seconds: float) -> None:
        self.now_s += seconds
        for sim in self.sims.values():
            worker = self.scheduler.workers.get(sim.worker_id)
            if worker is not None and sim.started_ms > worker.facts.born_unix_ms:
                self.scheduler.update_worker(self.facts(sim), self.now_s)
            if self.now_s > sim.deadline_s:
                # An end before the lease expired counts only if it was acknowledged.
                sim.unacknowledged_done.clear()
                for name in list(sim.running):
                    sim.end(name, EndKind.LAPSED)
        self.scheduler.tick(self.now_s, self.now_ms)


class RandomHistory:
    """Run random actions and check invariants during and after each.

    No worker is over its capacity, no subtask runs twice or starts after an
    acknowledged end, and no step starts before the steps it depends on.
    """

    passes_late_starts_on = True

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = JobWorld(4)
        self.silent: set[str] = set()
        self.acknowledged_done: set[SubtaskName] = set()
        self.jobs = 0
        self.epoch = 1

    def play(self, action_count: int) -> None:
        actions = (
            self.submit,
            self.start,
            self.start,
            self.finish,
            self.finish,
            self.poll,
            self.poll,
            self.poll,
            self.wait,
            self.toggle_silence,
            self.late_start,
            self.fail_over,
            self.cancel,
            self.restart,
        )
        for _ in range(action_count):
            self.random.choice(actions)()
            self.check()
        self.settle()

    def submit(self) -> None:
        self.jobs += 1
        need = Resources(self.random.randint(1, 4) * 1000, 10)
        steps = (
            Step(self.random.randint(1, 3), need, 300),
            Step(1, need, 300, after=(0,)),
        )
        plan = JobDefinition("q", "team", "s", steps)
        self.world.submit(f"{self.jobs:016x}", plan)

    def _send_start(self, run: Run, answered: bool) -> None:
        world = self.world
        sim = world.sims[run.worker.facts.worker_id]
        name = run.subtask.name
        deadline_ms = renew_lease(world.scheduler, run.worker, world.now_s)
        if run.unanswered_count and (
            deadline_ms is None or run.worker.is_over_capacity
        ):
            # A repeated start isn't sent then.
            run.mark_refused(world.now_s)
            return
        assert deadline_ms is not None
        run.start_expires_s = run.worker.lease_expires_s
        if answered and run.worker.facts.worker_id not in self.silent:
            self._start_run(sim, name, run.number, self.epoch, deadline_ms / 1000)
            run.is_start_pending = False
            run.answered_s = world.now_s
            run.phase = RunPhase.RUNNING
            return
        run.mark_unanswered(world.now_s)
        if self.random.random() < 0.6:
            due_s = world.now_s + self.random.uniform(0.1, LATEST_START_S)
            entry = (due_s, name, run.number, self.epoch, deadline_ms / 1000)
            sim.late_starts.append(entry)

    def _start_run(
        self,
        sim: SimulatedWorker,
        name: SubtaskName,
        run: int,
        epoch: int,
        until_s: float,
    ) -> None:
        world = self.world
        refused = epoch < sim.token or run <= sim.ended.get(name, 0)
        if refused or until_s < world.now_s or name in sim.running:
            return
        workers_running = [
            s.worker_id for s in world.sims.values() if name in s.running
        ]
        assert not workers_running, (
            f"{name} runs on {workers_running} and {sim.worker_id}"
        )
        assert name not in self.acknowledged_done, f"{name} starts after it was done"
        if name.step == 1:
            job = world.scheduler.jobs[name.job_id]
            steps = job.occurrences.get(0)
            assert steps is None or steps[0].is_done, (
                f"{name} starts before the step it depends on is done"
            )
        sim.token = epoch
        sim.running[name] = run
        sim.deadline_s = max(sim.deadline_s, min(until_s, world.now_s + LEASE_LIMIT_S))

    def start(self) -> None:
        for run in self.world.dispatch():
            self._send_start(run, self.random.random() < 0.85)
        self._send_stops()

    def late_start(self) -> None:
        world = self.world
        for sim in world.sims.values():
            due = [entry for entry in sim.late_starts if entry[0] <= world.now_s]
            sim.late_starts = [
                entry for entry in sim.late_starts if entry[0] > world.now_s
            ]
            for _, name, run, epoch, until_s in due:
                self._start_run(sim, name, run, epoch, until_s)

    def _send_stops(self) -> None:
        world = self.world
        for run in world.stops():
            sim = world.sims[run.worker.facts.worker_id]
            if sim.worker_id in self.silent or self.random.random() < 0.2:
                # A stop is repeated until it is answered.
                if run in run.subtask.live_runs:
                    world.scheduler.stops.append(run)
                continue
            name = run.subtask.name
            if sim.running.get(name) == run.number:
                sim.end(name, EndKind.STOPPED)
            sim.ended[name] = max(run.number, sim.ended.get(name, 0))
            run.stop_acked_s = world.now_s
            world.now_s += 0.001

    def finish(self) -> None:
        sims = [s for s in self.world.sims.values() if s.running]
        if sims:
            sim = self.random.choice(sims)
            name = self.random.choice(list(sim.running))
            kind = EndKind.FAILED if self.random.random() < 0.1 else EndKind.DONE
            sim.end(name, kind)

    def poll(self) -> None:
        names = [n for n in self.world.sims if n not in self.silent]
        if names:
            name = self.random.choice(names)
            sim = self.world.sims[name]
            if name in self.world.scheduler.workers:
                self.world.report(name)
                worker = self.world.scheduler.workers.get(name)
                end = 0 if worker is None else worker.acknowledged_end
                unread = {row.name for row in sim.ends if row.number > end}
                self.acknowledged_done |= sim.unacknowledged_done - unread
                sim.unacknowledged_done &= unread
        self._send_stops()

    def wait(self) -> None:
        self.world.tick(self.random.choice((0.05, 0.3, 1.0, 2.5)))
        self.late_start()

    def toggle_silence(self) -> None:
        name = self.random.choice(list(self.world.sims))
        if name in self.silent:
            self.silent.discard(name)
        elif len(self.silent) < 2:
            self.silent.add(name)

    def fail_over(self) -> None:
        if self.random.random() < 0.3:
            self.epoch += 1
            self.world.fail_over(self.epoch)
            # No successor knows of starts that a later life may yet carry out.
            for sim in self.world.sims.values():
                sim.late_starts = [row for row in sim.late_starts if row[-1] < inf]

    def cancel(self) -> None:
        jobs = [j for j in self.world.scheduler.jobs.values() if not j.is_final]
        if jobs and self.random.random() < 0.3:
            job = self.random.choice(jobs)
            self.world.scheduler.cancel(job, self.world.now_s)
            self.world.scheduler.stop_runs(job)

    def restart(self) -> None:
        if self.random.random() < 0.2:
            sim = self.random.choice(list(self.world.sims.values()))
            sim.running.clear()
            sim.ended.clear()
            sim.ends.clear()
            sim.unacknowledged_done.clear()
            # The next life takes the deadline of a late start for one far ahead.
            sim.late_starts = [
                (due_s, name, run, epoch, inf)
                for due_s, name, run, epoch, _ in sim.late_starts
                if epoch == self.epoch and self.passes_late_starts_on
            ]
            sim.last_end_number = sim.token = 0
            sim.started_ms += 1
            # The crash breaks the call in flight, or the next one.
            worker = self.world.scheduler.workers.get(sim.worker_id)
            if worker is not None:
                worker.is_suspect = True

    def check(self) -> None:
        for sim in self.world.sims.values():
            used = 0
            for name in sim.running:
                job = self.world.scheduler.jobs[name.job_id]
                used += job.definition.steps[name.step].need.cpu_millicores
            assert used <= sim.cores * 1000, f"{sim.worker_id} runs {used}"
        for worker in self.world.scheduler.workers.values():
            total = Resources()
            for run in worker.runs.values():
                total = total + run.subtask.step.spec.reserved
            assert total == worker.used

    def settle(self) -> None:
        """Let every worker answer, and check that every job reaches a final phase."""
        self.silent.clear()
        world = self.world
        for _ in range(400):
            self.late_start()
            for run in world.dispatch():
                self._send_start(run, True)
            self._send_stops()
            for sim in world.sims.values():
                for name in list(sim.running):
                    sim.end(name, EndKind.DONE)
            world.report_all()
            world.tick(0.1)
            self.check()
            if all(job.is_final for job in world.scheduler.jobs.values()):
                break
        phases = {job.phase for job in world.scheduler.jobs.values()}
        assert phases <= set(FINAL_PHASES), phases
