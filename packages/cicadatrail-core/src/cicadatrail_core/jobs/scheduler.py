"""Lifecycle of jobs: acceptance, occurrences, runs, ends and timers.

One leader at a time runs a scheduler. It keeps nothing that a successor can't
rebuild from the records in the store and the lists that workers report.
Names ending in ``_s`` hold seconds, and points in time are on the event loop's
clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from cicadatrail_core.jobs.crash_suspicion import (
    drop_ended_suspects,
    lose_runs,
    withdraw_start_notes,
)
from cicadatrail_core.jobs.durations import Durations
from cicadatrail_core.jobs.ended_lives import ORDER_REASONS, EndedLives
from cicadatrail_core.jobs.kept_starts import KeptStarts
from cicadatrail_core.jobs.log_fields import worker_fields
from cicadatrail_core.jobs.models import (
    FleetConfiguration,
    JobDefinition,
    JobPhase,
    Queue,
    SubtaskName,
    WorkerFacts,
)
from cicadatrail_core.jobs.queue_pools import QueuePools
from cicadatrail_core.jobs.scarcity import Standing
from cicadatrail_core.jobs.scheduler_settings import RUNS_PER_EPOCH, SchedulerSettings
from cicadatrail_core.jobs.shared_trouble import RecentLosses
from cicadatrail_core.jobs.state import (
    JobState,
    Run,
    RunPhase,
    StepState,
    Subtask,
    SubtaskPhase,
)
from cicadatrail_core.jobs.unproven_runs import UnprovenRuns
from cicadatrail_core.jobs.worker_leases import expire_leases
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

logger = logging.getLogger("cicadatrail.scheduler")

START_DELAY_MS = 20
"""Delay of an occurrence after its due time, to allow for clock error."""


class Scheduler:
    """Track the state of jobs and workers and decide when runs start and stop.

    The scheduler does no I/O. Callers send the orders queued in ``starts``, ``stops``
    and ``bars`` (runs to refuse) and store the jobs listed in ``changed_jobs``.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.configuration = FleetConfiguration(0)
        self.queues: dict[str, Queue] = {}
        self.queue_pools = QueuePools()
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, WorkerState] = {}
        self.ended_lives = EndedLives()
        self.team_used: dict[str, Resources] = {}
        # They count for their team until their end is certain.
        self.unproven_runs = UnprovenRuns()
        # Subtasks that may have crashed a worker.
        self.suspects: dict[SubtaskName, Subtask] = {}
        self.recent_losses = RecentLosses()
        self.is_handing_over = False
        self.has_deferred_start = False
        # Since when each pool has had a worker reserved.
        self.reserved_since_s: dict[str, float] = {}
        # How teams and queues were served lately, and when that was read.
        self.standing = Standing()
        self.standing_read_s = float("-inf")
        self.waits_logged_s = float("-inf")
        self.ticked_s = float("-inf")
        self.durations = Durations()
        self.changed_jobs: dict[str, None] = {}
        self.evicted_job_ids: list[str] = []
        self.starts: list[Run] = []
        self.stops: list[Run] = []
        self.bars: list[tuple[WorkerState, SubtaskName, int]] = []
        self.next_maintenance_machines: frozenset[str] = frozenset()
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = lambda: None
        # Whether no other leader can have been elected.
        self.is_lease_valid: Callable[[], bool] = lambda: True
        # Whether none had been elected a number of seconds ago.
        self.held_lease_ago: Callable[[float], bool] = lambda _age_s: True
        self.counts: dict[str, int] = {}
        self.kept_starts = KeptStarts(self.counts)

    # Configuration and workers

    def configure(self, configuration: FleetConfiguration) -> None:
        """Apply a configuration if it is newer than the current one.

        Queues that it no longer contains are kept for the jobs accepted earlier.
        """
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        for queue in configuration.queues:
            previous = self.queues.get(queue.name)
            if previous is not None:
                self.queue_pools.replace(previous, queue)
            self.queues[queue.name] = queue
        self.on_change()

    def update_worker(self, facts: WorkerFacts, now_s: float) -> WorkerState:
        """Update a worker from its entry in the platform's list; return its state."""
        worker = self.workers.get(facts.worker_id)
        if worker is None:
            worker = WorkerState(facts)
            self.workers[facts.worker_id] = worker
            self.ended_lives.discard(facts.worker_id)
            self.on_change()
        if facts.born_unix_ms > worker.born_unix_ms > 0:
            # The worker has restarted: its next report shows which runs belong
            # to the new incarnation.
            worker.is_suspect = True
        if facts.draining and not worker.facts.draining:
            worker.draining_until_s = now_s + facts.remaining_ms / 1000
            logger.info(
                "scheduler: worker is draining; it gets no new runs.",
                extra=worker_fields(worker),
            )
        worker.facts = facts
        worker.is_listed = True
        if not worker.born_unix_ms:
            worker.born_unix_ms = facts.born_unix_ms
        self.on_change()
        return worker

    def worker_on(self, machine: str) -> WorkerState | None:
        """Return the worker on a machine, or None; a listed one before a former one."""
        found = (w for w in self.workers.values() if w.facts.machine == machine)
        return max(found, key=lambda worker: worker.is_listed, default=None)

    def remove_worker(self, worker_id: str, now_s: float, reason: str) -> None:
        """Remove a worker that is known to run nothing more; release its runs."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        if reason in ORDER_REASONS:
            self.ended_lives.add(worker, now_s)
        worker.leave(reason)
        logger.info(
            "scheduler: worker removed; releasing its runs.",
            extra={**worker_fields(worker), "reason": reason},
        )
        lose_runs(self, worker, list(worker.runs.values()), reason, now_s)
        self.on_change()

    # Jobs

    def accept(self, job_id: str, definition: JobDefinition, now_s: float) -> JobState:
        """Add a new job, which must be stored before any of it runs."""
        job = self.jobs[job_id] = JobState(job_id, definition, now_s)
        return job

    def discard(self, job_id: str) -> None:
        """Drop a job that was never stored."""
        self.jobs.pop(job_id, None)

    def activate(self, job: JobState, now_s: float, now_unix_ms: int) -> None:
        """Make a stored job eligible to run."""
        job.is_stored = True
        if job.is_final:
            return
        self._open_occurrences(job, now_s, now_unix_ms)
        self.check_completed(job, now_s)
        self.on_change()

    def cancel(self, job: JobState, now_s: float) -> None:
        """Cancel a job; its runs are stopped once the cancellation is stored."""
        if job.is_final:
            return
        self.finish(job, JobPhase.CANCELLED, now_s)

    def stop_runs(self, job: JobState) -> None:
        """Order every run of a job to stop."""
        for steps in job.occurrences.values():
            for step in steps:
                for subtask in step.subtasks:
                    for run in subtask.live_runs:
                        self.stop(run)

    def shown_phase(self, job: JobState) -> JobPhase:
        """Return the phase shown to callers; a final phase only once it is stored."""
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
                if now_unix_ms < due + START_DELAY_MS:
                    break
            if number not in job.occurrences:
                if len(job.occurrences) >= definition.open_limit_count:
                    break
                job.occurrences[number] = [
                    StepState(job, number, position)
                    for position in range(len(definition.steps))
                ]
            self.make_steps_ready(job, number, now_s)

    def make_steps_ready(self, job: JobState, number: int, now_s: float) -> None:
        """Mark the waiting subtasks of an occurrence ready if their steps may start."""
        steps = job.occurrences[number]
        for step in steps:
            if step.is_done or not all(steps[k].is_done for k in step.spec.after):
                continue
            for subtask in step.subtasks:
                if subtask.phase is SubtaskPhase.WAITING:
                    self.make_ready(subtask, now_s)

    def make_ready(self, subtask: Subtask, now_s: float) -> None:
        """Queue a subtask to start as soon as a worker has free capacity."""
        subtask.phase = SubtaskPhase.READY
        subtask.ready_s = now_s
        subtask.step.ready[subtask.index] = subtask

    # Runs

    def place(self, subtask: Subtask, worker: WorkerState, now_s: float) -> Run:
        """Create a run of a subtask on a worker and queue the order to start it."""
        number = max(self.settings.epoch * RUNS_PER_EPOCH + 1, subtask.last_run + 1)
        run = Run(subtask, number, worker, now_s)
        run.is_start_pending = True
        self.attach(run)
        self.starts.append(run)
        return run

    def attach(self, run: Run) -> None:
        """Account for a run on its worker, subtask and team."""
        subtask = run.subtask
        subtask.last_run = max(subtask.last_run, run.number)
        subtask.live_runs.append(run)
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
        """Queue the order to stop a run; it is accounted for until its end is known."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.stops.append(run)
        self.on_change()

    def release_refused(self, run: Run, now_s: float, reason: str) -> None:
        """Release a run that the worker refused to start, and count the reason.

        A refused run has had no effect.
        """
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if run.subtask.name in {name for name, _ in run.worker.runs}:
            # The subtask has waited since then all the same.
            subtask = run.subtask
            ready_s, unproven_run = subtask.ready_s, subtask.unproven_run
            self.release(run, now_s, reason)
            subtask.ready_s, subtask.unproven_run = ready_s, unproven_run

    def detach(self, run: Run, reason: str) -> None:
        """Remove a run that is over from its worker, subtask and team."""
        subtask = run.subtask
        if run not in subtask.live_runs:
            return
        subtask.previous_end = f"{run.number} {reason}"
        subtask.live_runs.remove(run)
        run.worker.remove(run)
        withdraw_start_notes(self, subtask)
        team = subtask.step.job.definition.team
        if team:
            self.team_used[team] = self.team_used[team] - subtask.step.spec.need

    def release(self, run: Run, now_s: float, reason: str) -> None:
        """Remove a run that is over and make its subtask ready again if unfinished.

        No worker has listed its end, so that a newer leader may have read another one.
        """
        self.detach(run, reason)
        subtask = run.subtask
        if self.is_lease_valid():
            subtask.unproven_run = 0
        else:
            subtask.unproven_run = max(subtask.unproven_run, run.number)
        job = subtask.step.job
        if job.is_final and not job.has_runs:
            self.changed_jobs[job.job_id] = None
        if subtask.live_runs or subtask.phase is SubtaskPhase.DONE or job.is_final:
            return
        self.make_ready(subtask, now_s)
        self.on_change()

    # Ends

    def may_repeat(self, subtask: Subtask) -> bool:
        """Return whether an earlier run of a subtask is known to be over."""
        return not subtask.unproven_run or self.is_lease_valid()

    def confirm_unproven_runs(self, worker: WorkerState, age_s: float) -> None:
        """Count the unproven runs of a worker as over, unless it has listed them.

        ``age_s`` is for how long the worker has run at least. If another leader had
        been elected before that, it may have read ends from an earlier life.
        """
        if self.unproven_runs.confirm(worker, self.held_lease_ago(age_s)):
            self.on_change()

    def needs_advice(self, step: StepState) -> bool:
        """Return whether only workers with a ticket may run a step."""
        queue = self.queues.get(step.job.definition.queue)
        return queue is not None and queue.needs_advice

    def attempt_limit(self, job: JobState) -> int:
        """Return the number of failed runs of a subtask at which its job fails."""
        queue = self.queues.get(job.definition.queue)
        return queue.attempt_limit_count if queue is not None else 1

    def check_completed(self, job: JobState, now_s: float) -> None:
        """Complete occurrences whose steps are all done, and then the job."""
        for number, steps in list(job.occurrences.items()):
            if all(step.is_done for step in steps):
                job.done_occurrences.add(number)
                # Steps are kept while another run of a subtask is still stopping.
                if not any(s.live_runs for step in steps for s in step.subtasks):
                    del job.occurrences[number]
        if len(job.done_occurrences) >= job.definition.occurrence_count:
            self.finish(job, JobPhase.COMPLETED, now_s)

    def finish(self, job: JobState, phase: JobPhase, now_s: float) -> None:
        """Set the final phase of a job, which callers see once it is stored."""
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

    # Timers

    def tick(self, now_s: float, now_unix_ms: int) -> None:
        """Open due occurrences, evict old jobs and release runs of expired leases."""
        for job in list(self.jobs.values()):
            if job.is_final:
                self._evict_old_job(job, now_s)
            elif job.is_stored and job.definition.repeat_count:
                before = len(job.occurrences)
                self._open_occurrences(job, now_s, now_unix_ms)
                if len(job.occurrences) > before:
                    self.on_change()
        if self.unproven_runs and self.is_lease_valid():
            self.unproven_runs.confirm_all()
            self.on_change()
        expire_leases(self, now_s)
        self.queue_pools.drop_unused(self, now_s)
        drop_ended_suspects(self)
        timed = (self.suspects, self.reserved_since_s, self.kept_starts)
        if any(timed) or self.has_deferred_start:
            # Workers that were kept for a suspect or reserved become free with time.
            self.on_change()
        since_s, self.ticked_s = self.ticked_s, now_s
        if any(since_s < w.ejected_until_s <= now_s for w in self.workers.values()):
            self.on_change()

    def _evict_old_job(self, job: JobState, now_s: float) -> None:
        kept_s = self.settings.status_kept_s
        if job.stored_phase is job.phase and now_s - job.ended_s > kept_s:
            del self.jobs[job.job_id]
            self.evicted_job_ids.append(job.job_id)
