"""The life of jobs on workers: acceptance, runs, ends, leases and takeover.

One holder at a time runs a scheduler. It keeps nothing that a successor can't
rebuild from the store's records and the workers' own lists. Times ending in
``_s`` are seconds of the loop's clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cicadatrail_core.jobs.durations import Durations
from cicadatrail_core.jobs.ejection import record_outcome
from cicadatrail_core.jobs.models import (
    EndKind,
    EndRow,
    FleetConfiguration,
    JobDefinition,
    JobPhase,
    Queue,
    RunningRow,
    SubtaskName,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.state import (
    JobState,
    Run,
    RunPhase,
    StepState,
    Subtask,
    SubtaskPhase,
    WorkerState,
)
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

logger = logging.getLogger("cicadatrail.scheduler")

RUNS_PER_EPOCH = 1000
"""Run numbers of a subtask within one epoch, so that they rise across epochs."""

CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may be slow; the platform states it."""

LEASE_MARGIN_S = 0.1
"""Time added to a lease before its runs count as over."""

EARLY_START_MS = 20
"""Time after an occurrence's due time before it starts; covers clock error."""

OCCURRENCES_OPEN_COUNT = 64
"""Occurrences of one job that are kept in memory at once."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Hold the epoch of the holder and the lease it gives to workers."""

    epoch: int
    lease_s: float
    status_kept_s: float


class Scheduler:
    """Keep jobs and workers, and apply what workers report."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.configuration = FleetConfiguration(0)
        self.queues: dict[str, Queue] = {}
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, WorkerState] = {}
        self.team_used: dict[str, Resources] = {}
        self.durations = Durations()
        self.changed_jobs: dict[str, None] = {}
        self.forgotten_jobs: list[str] = []
        self.starts: list[Run] = []
        self.stops: list[Run] = []
        self.maintained_next: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = lambda: None
        self.counts: dict[str, int] = {}

    # Configuration and workers

    def configure(self, configuration: FleetConfiguration) -> None:
        """Take a newer configuration; queues of accepted jobs stay known."""
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.queues.update({queue.name: queue for queue in configuration.queues})
        self.on_change()

    def update_worker(self, facts: WorkerFacts, now_s: float) -> WorkerState:
        """Take what a worker says of itself; return its state."""
        worker = self.workers.get(facts.worker_id)
        if worker is None:
            worker = WorkerState(facts)
            self.workers[facts.worker_id] = worker
            self.on_change()
        if facts.born_unix_ms > worker.born_unix_ms > 0:
            # Its own lists tell which runs are of the new life.
            worker.is_suspect = True
        if facts.draining and not worker.facts.draining:
            worker.draining_until_s = now_s + facts.remaining_ms / 1000
            logger.info("scheduler: worker draining.", extra=_worker_fields(worker))
        worker.facts = facts
        worker.is_listed = True
        if not worker.born_unix_ms:
            worker.born_unix_ms = facts.born_unix_ms
        self.on_change()
        return worker

    def remove_worker(self, worker_id: str, now_s: float, reason: str) -> None:
        """Release all runs of a worker that is proved to be gone."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        worker.settle_lapsed()
        fields = _worker_fields(worker)
        logger.info("scheduler: worker gone.", extra={**fields, "reason": reason})
        for run in list(worker.runs.values()):
            self._release(run, now_s)
        self.on_change()

    def _start_new_life(
        self, worker: WorkerState, report: WorkerReport, now_s: float
    ) -> None:
        """Release the runs of a worker's former life; keep what it lists."""
        born_unix_ms = report.born_unix_ms
        logger.info(
            "scheduler: worker restarted.",
            extra={**_worker_fields(worker), "born_unix_ms": born_unix_ms},
        )
        worker.settle_lapsed()
        worker.born_unix_ms = born_unix_ms
        worker.processed_end = 0
        worker.stored_end = 0
        worker.lease_expires_s = now_s
        worker.clock_at_s = None
        worker.end_outcomes.clear()
        worker.draining_until_s = None
        listed = {(row.name, row.run) for row in report.running}
        listed |= {(end.name, end.run) for end in report.ends}
        for key, run in list(worker.runs.items()):
            if key not in listed:
                self._release(run, now_s)

    # Jobs

    def accept(self, job_id: str, definition: JobDefinition, now_s: float) -> JobState:
        """Take a new job, to be stored before anything of it runs."""
        job = JobState(job_id, definition, now_s)
        self.jobs[job_id] = job
        return job

    def discard(self, job_id: str) -> None:
        """Forget a job that was never stored."""
        self.jobs.pop(job_id, None)

    def activate(self, job: JobState, now_s: float, now_unix_ms: int) -> None:
        """Let a stored job run."""
        job.is_stored = True
        if job.is_final:
            return
        self._open_occurrences(job, now_s, now_unix_ms)
        self._check_completed(job, now_s)
        self.on_change()

    def cancel(self, job: JobState, now_s: float) -> None:
        """Cancel a job; its runs are stopped once that is stored."""
        if job.is_final:
            return
        self._finish(job, JobPhase.CANCELLED, now_s)

    def stop_runs(self, job: JobState) -> None:
        """Ask for every run of a job to be stopped."""
        for steps in job.occurrences.values():
            for step in steps:
                for subtask in step.subtasks:
                    for run in subtask.copies:
                        self.stop(run)

    def queued_count(self, queue_name: str) -> int:
        """Return how many accepted jobs of a queue have started nothing."""
        return sum(
            1
            for job in self.jobs.values()
            if job.definition.queue == queue_name
            and job.is_stored
            and not job.started
            and not job.is_final
        )

    def shown_phase(self, job: JobState) -> JobPhase:
        """Return the phase that callers may see: a final one only once stored."""
        if job.stored_phase is not JobPhase.PENDING:
            return job.stored_phase
        return JobPhase.RUNNING if job.started else JobPhase.PENDING

    def _open_occurrences(self, job: JobState, now_s: float, now_unix_ms: int) -> None:
        definition = job.definition
        for number in range(definition.occurrence_count):
            if number in job.done_occurrences:
                continue
            if definition.repeat_count:
                due = definition.first_due_unix_ms + number * definition.interval_ms
                if now_unix_ms < due + EARLY_START_MS:
                    break
            if number not in job.occurrences:
                if len(job.occurrences) >= OCCURRENCES_OPEN_COUNT:
                    break
                job.occurrences[number] = [
                    StepState(job, number, position)
                    for position in range(len(definition.steps))
                ]
            self._ready_steps(job, number, now_s)

    def _ready_steps(self, job: JobState, number: int, now_s: float) -> None:
        """Make subtasks ready whose earlier steps are done."""
        steps = job.occurrences[number]
        for step in steps:
            if step.is_done or not all(steps[k].is_done for k in step.spec.after):
                continue
            for subtask in step.subtasks:
                if subtask.phase is SubtaskPhase.WAITING:
                    self._make_ready(subtask, now_s)

    def _make_ready(self, subtask: Subtask, now_s: float) -> None:
        subtask.phase = SubtaskPhase.READY
        subtask.ready_s = now_s
        subtask.step.ready[subtask.index] = subtask

    # Runs

    def place(self, subtask: Subtask, worker: WorkerState, now_s: float) -> Run:
        """Count a new run of a subtask on a worker; the order is sent next."""
        number = max(self.settings.epoch * RUNS_PER_EPOCH + 1, subtask.last_run + 1)
        run = Run(subtask, number, worker, now_s)
        self._attach(run)
        self.starts.append(run)
        return run

    def _attach(self, run: Run) -> None:
        subtask = run.subtask
        subtask.last_run = max(subtask.last_run, run.number)
        subtask.copies.append(run)
        if subtask.phase is not SubtaskPhase.DONE:
            subtask.phase = SubtaskPhase.ACTIVE
        subtask.step.ready.pop(subtask.index, None)
        subtask.step.job.started = True
        run.worker.add(run)
        team = subtask.step.job.definition.team
        if team:
            used = self.team_used.get(team, NO_RESOURCES)
            self.team_used[team] = used + subtask.step.spec.need

    def stop(self, run: Run) -> None:
        """Order a run to stop; it counts until its end is listed."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.stops.append(run)
        self.on_change()

    def release_refused(self, run: Run, now_s: float, reason: str) -> None:
        """Take back a run whose start the worker refused: it did nothing."""
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if run.subtask.name in {name for name, _ in run.worker.runs}:
            self._release(run, now_s)

    def _detach(self, run: Run) -> None:
        subtask = run.subtask
        if run not in subtask.copies:
            return
        subtask.copies.remove(run)
        run.worker.remove(run)
        team = subtask.step.job.definition.team
        if team:
            self.team_used[team] = self.team_used[team] - subtask.step.spec.need

    def _release(self, run: Run, now_s: float) -> None:
        """Free a run that is over and let its subtask start again if it must."""
        self._detach(run)
        subtask = run.subtask
        job = subtask.step.job
        if job.is_final and not job.has_runs:
            self.changed_jobs[job.job_id] = None
        if subtask.copies or subtask.phase is SubtaskPhase.DONE or job.is_final:
            return
        self._make_ready(subtask, now_s)
        self.on_change()

    # Reports

    def apply_report(
        self, worker: WorkerState, report: WorkerReport, sent_s: float, now_s: float
    ) -> bool:
        """Apply a worker's lists; tell whether something must be stored.

        ``sent_s`` is when the call was sent: only orders answered before then
        can be missing from the lists.
        """
        if report.born_unix_ms < worker.born_unix_ms:
            return False
        if report.born_unix_ms > worker.born_unix_ms:
            self._start_new_life(worker, report, now_s)
        worker.answered_s = now_s
        worker.is_suspect = False
        worker.clock_ms = report.clock_ms
        worker.clock_at_s = now_s
        has_ends = False
        for row in report.ends:
            if row.number > worker.processed_end:
                worker.processed_end = row.number
                self._apply_end(worker, row, now_s)
                has_ends = True
        listed = set()
        for running in report.running:
            listed.add((running.name, running.run))
            self._apply_running(worker, running, now_s)
        if report.is_whole:
            worker.settle_lapsed()
            self._drop_missing(worker, listed, sent_s, now_s)
            if not worker.is_resolved:
                worker.is_resolved = True
                self.on_change()
        return has_ends

    def _apply_running(
        self, worker: WorkerState, row: RunningRow, now_s: float
    ) -> None:
        run = worker.runs.get((row.name, row.run))
        if run is None:
            run = self._adopt(worker, row, now_s)
        if run is None:
            return
        if run.phase is RunPhase.SENT:
            run.phase = RunPhase.RUNNING
            run.answered_s = run.answered_s or now_s
        if row.percent != run.percent:
            run.percent = row.percent
            run.progress_s = now_s
        run.figure = row.figure
        if row.checkpoint and row.checkpoint != run.subtask.checkpoint:
            run.subtask.checkpoint = row.checkpoint

    def _adopt(self, worker: WorkerState, row: RunningRow, now_s: float) -> Run | None:
        """Count a run that an earlier holder started, or stop a stray one."""
        job = self.jobs.get(row.name.job_id)
        subtask = job.subtask(row.name) if job is not None else None
        if job is not None and subtask is None:
            self._open_inherited(job, row.name.occurrence, now_s)
            subtask = job.subtask(row.name)
        if job is None or subtask is None:
            self.counts["stray"] = self.counts.get("stray", 0) + 1
            logger.warning(
                "scheduler: run of an unknown job.",
                extra={
                    **_worker_fields(worker),
                    "subtask": str(row.name),
                    "run": row.run,
                },
            )
            return None
        run = Run(subtask, row.run, worker, now_s)
        run.phase = RunPhase.RUNNING
        run.answered_s = now_s
        run.start_expires_s = now_s
        has_other = bool(subtask.copies) and not subtask.step.spec.copies_allowed
        self._attach(run)
        if job.is_final or subtask.phase is SubtaskPhase.DONE or has_other:
            self.stop(run)
        return run

    def _open_inherited(self, job: JobState, occurrence: int, now_s: float) -> None:
        if occurrence in job.occurrences:
            return
        job.occurrences[occurrence] = [
            StepState(job, occurrence, position)
            for position in range(len(job.definition.steps))
        ]
        if job.is_final or occurrence in job.done_occurrences:
            for step in job.occurrences[occurrence]:
                step.mark_done()
            return
        self._ready_steps(job, occurrence, now_s)

    def _apply_end(self, worker: WorkerState, row: EndRow, now_s: float) -> None:
        run = worker.runs.get((row.name, row.run))
        job = self.jobs.get(row.name.job_id)
        subtask = job.subtask(row.name) if job is not None else None
        if run is not None:
            subtask = run.subtask
            self._detach(run)
        if job is None or subtask is None:
            return
        if row.checkpoint:
            subtask.checkpoint = row.checkpoint
        logger.info(
            "scheduler: run ended.",
            extra={
                **_worker_fields(worker),
                "subtask": str(row.name),
                "run": row.run,
                "outcome": row.kind.value,
                "age_s": round(now_s - run.sent_s, 3) if run else None,
            },
        )
        self._count_end(row.kind)
        self.changed_jobs[job.job_id] = None
        match row.kind:
            case EndKind.DONE:
                record_outcome(worker, True, now_s, self.workers)
                if run is not None and run.answered_s is not None:
                    self.durations.learn(
                        job.definition.queue,
                        subtask.step.spec.estimate_ms,
                        now_s - run.answered_s,
                    )
                self._apply_done(subtask, now_s)
            case EndKind.FAILED if row.run not in subtask.failed_runs:
                self._apply_failure(worker, subtask, row.run, now_s)
            case _:
                pass
        unfinished = subtask.phase is not SubtaskPhase.DONE and not job.is_final
        if unfinished and not subtask.copies and run is not None:
            self._make_ready(subtask, now_s)
        self.on_change()

    def _count_end(self, kind: EndKind) -> None:
        name = f"end-{kind.value}"
        self.counts[name] = self.counts.get(name, 0) + 1

    def _apply_done(self, subtask: Subtask, now_s: float) -> None:
        step = subtask.step
        job = step.job
        if step.spec.lasting or job.is_final:
            return
        members = step.subtasks if step.spec.gang else [subtask]
        for member in members:
            if member.phase is SubtaskPhase.DONE:
                continue
            member.phase = SubtaskPhase.DONE
            member.checkpoint = ""
            step.ready.pop(member.index, None)
            step.done_count += 1
        for run in list(subtask.copies):
            self.stop(run)
        if step.is_done:
            self._ready_steps(job, step.occurrence, now_s)
            self._check_completed(job, now_s)

    def _apply_failure(
        self, worker: WorkerState, subtask: Subtask, run: int, now_s: float
    ) -> None:
        step = subtask.step
        job = step.job
        if not subtask.failed_runs:
            record_outcome(worker, False, now_s, self.workers)
        subtask.failed_runs.add(run)
        subtask.avoided_worker = worker.facts.worker_id
        if step.spec.lasting or job.is_final:
            return
        failures = len(subtask.failed_runs)
        if step.spec.gang:
            step.gang_failures += 1
            failures = step.gang_failures
        if failures >= self.attempt_limit(job):
            self._finish(job, JobPhase.FAILED, now_s)
            self.stop_runs(job)

    def needs_advice(self, step: StepState) -> bool:
        """Tell whether only workers with a ticket may run a step."""
        queue = self.queues.get(step.job.definition.queue)
        return queue is not None and queue.needs_advice

    def attempt_limit(self, job: JobState) -> int:
        """Return how many runs of a subtask may fail."""
        queue = self.queues.get(job.definition.queue)
        return queue.attempt_limit_count if queue is not None else 1

    def _check_completed(self, job: JobState, now_s: float) -> None:
        for number, steps in list(job.occurrences.items()):
            if all(step.is_done for step in steps):
                job.done_occurrences.add(number)
                # The steps stay while a copy of a subtask is being stopped.
                if not any(s.copies for step in steps for s in step.subtasks):
                    del job.occurrences[number]
        if len(job.done_occurrences) >= job.definition.occurrence_count:
            self._finish(job, JobPhase.COMPLETED, now_s)

    def _finish(self, job: JobState, phase: JobPhase, now_s: float) -> None:
        job.phase = phase
        job.ended_s = now_s
        self.changed_jobs[job.job_id] = None
        for steps in job.occurrences.values():
            for step in steps:
                step.ready.clear()
        logger.info(
            "scheduler: job ended.",
            extra={
                "job_id": job.job_id,
                "outcome": phase.value,
                "age_s": round(now_s - job.accepted_s, 3),
            },
        )
        self.on_change()

    def _drop_missing(
        self,
        worker: WorkerState,
        listed: set[tuple[SubtaskName, int]],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Settle runs that the worker lists neither as running nor as ended."""
        for key, run in list(worker.runs.items()):
            if key in listed:
                continue
            if run.stop_acked_s is not None and run.stop_acked_s < sent_s:
                self._release(run, now_s)
            elif run.answered_s is not None and run.answered_s < sent_s:
                self.counts["vanished"] = self.counts.get("vanished", 0) + 1
                self.stop(run)
            elif run.start_expires_s < sent_s:
                # The worker refuses a start that comes after its deadline.
                self._release(run, now_s)
            elif run.doubted_s is not None and run.doubted_s < sent_s:
                self.stop(run)

    # Time

    def renew_lease(self, worker: WorkerState, now_s: float) -> int | None:
        """Return the deadline on the worker's clock for a lease from now on.

        None before the worker's clock is known, and while it does not answer:
        a call without an answer may renew the lease all the same, so that it
        could never be known to have lapsed.
        """
        if worker.clock_at_s is None or worker.is_suspect:
            return None
        elapsed_s = now_s - worker.clock_at_s
        deadline = worker.clock_ms + int((elapsed_s + self.settings.lease_s) * 1000)
        bound_s = (deadline - worker.clock_ms) / 1000 / (1 - CLOCK_DRIFT)
        expires_s = worker.clock_at_s + bound_s + LEASE_MARGIN_S
        worker.lease_expires_s = max(worker.lease_expires_s, expires_s)
        return deadline

    def tick(self, now_s: float, now_unix_ms: int) -> None:
        """Open due occurrences, and release what has lapsed."""
        for job in list(self.jobs.values()):
            if job.is_final:
                self._forget_old(job, now_s)
            elif job.is_stored and job.definition.repeat_count:
                before = len(job.occurrences)
                self._open_occurrences(job, now_s, now_unix_ms)
                if len(job.occurrences) > before:
                    self.on_change()
        for worker in list(self.workers.values()):
            self._expire(worker, now_s)

    def _forget_old(self, job: JobState, now_s: float) -> None:
        kept_s = self.settings.status_kept_s
        if job.stored_phase is job.phase and now_s - job.ended_s > kept_s:
            del self.jobs[job.job_id]
            self.forgotten_jobs.append(job.job_id)

    def _expire(self, worker: WorkerState, now_s: float) -> None:
        if now_s <= worker.lease_expires_s:
            return
        if not worker.is_resolved and not worker.is_listed:
            self.remove_worker(worker.facts.worker_id, now_s, "lease expired")
            return
        if worker.runs:
            logger.warning(
                "scheduler: lease expired.",
                extra={
                    **_worker_fields(worker),
                    "run_count": len(worker.runs),
                    "answer_age_s": round(now_s - (worker.answered_s or 0), 3),
                },
            )
        for run in list(worker.runs.values()):
            if run.phase is not RunPhase.SENT or run.doubted_s is not None:
                run.subtask.lapsed_runs.add(run.number)
                worker.lapsed.append(run)
            self._release(run, now_s)
        if not worker.is_listed:
            self.remove_worker(worker.facts.worker_id, now_s, "no longer listed")

    def lapsed(self, worker: WorkerState, now_s: float) -> bool:
        """Tell whether nothing given to the worker can still be in force."""
        return now_s > worker.lease_expires_s

    # Takeover

    def inherit(self, jobs: Iterable[JobState]) -> None:
        """Take jobs that an earlier holder stored.

        Their subtasks start nothing in a pool until each of its workers has
        answered, is gone, or can hold no lease any more.
        """
        for job in jobs:
            job.inherited = True
            job.is_stored = True
            self.jobs[job.job_id] = job

    def pool_is_settled(self, pool: str, now_s: float) -> bool:
        """Tell whether it is known what every worker of a pool runs."""
        return all(
            worker.is_resolved or self.lapsed(worker, now_s)
            for worker in self.workers.values()
            if worker.facts.pool == pool
        )

    def unsettled_room(self, now_s: float) -> Resources:
        """Return the capacity of workers of which it isn't known what they run."""
        total = NO_RESOURCES
        for worker in self.workers.values():
            if not worker.is_resolved and not self.lapsed(worker, now_s):
                total = total + worker.facts.capacity
        return total


def _worker_fields(worker: WorkerState) -> dict[str, object]:
    return {"worker_id": worker.facts.worker_id, "pool": worker.facts.pool}
