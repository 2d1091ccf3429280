"""Report on a job for operators: where it runs and why subtasks are waiting."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.jobs.kept_starts import describe_kept_start
from cicadatrail_core.jobs.late_starts import has_late_start
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, StepState, SubtaskPhase
from cicadatrail_core.jobs.takeover import is_queue_reconciled
from cicadatrail_core.jobs.worker_conditions import turned_down_counts
from cicadatrail_core.jobs.worker_leases import lease_end_s
from cicadatrail_core.models.resources import NO_RESOURCES


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run; ``lease_left_s`` is the time until its worker's lease expires."""

    subtask: str
    run: int
    worker_id: str
    phase: str
    percent: int
    age_s: float
    lease_left_s: float


@dataclass(frozen=True, slots=True)
class StepReport:
    """A step of one occurrence; ``reason`` is why its subtasks are waiting.

    ``crashed_run_count`` counts the runs that may have crashed their worker.
    """

    occurrence: int
    step: int
    count: int
    done_count: int
    ready_count: int
    failed_run_count: int
    reason: str
    runs: tuple[RunReport, ...]
    crashed_run_count: int = 0


@dataclass(frozen=True, slots=True)
class JobReport:
    """A job as known to the leader of ``epoch``."""

    job_id: str
    phase: str
    stored_phase: str
    queue: str
    team: str
    age_s: float
    epoch: int
    steps: tuple[StepReport, ...]


def report_job(scheduler: Scheduler, job_id: str, now_s: float) -> JobReport | None:
    """Return the report on a job, or None if there is no such job."""
    job = scheduler.jobs.get(job_id)
    if job is None:
        return None
    return JobReport(
        job_id=job_id,
        phase=job.phase.value,
        stored_phase=scheduler.shown_phase(job).value,
        queue=job.definition.queue,
        team=job.definition.team,
        age_s=round(now_s - job.accepted_s, 3),
        epoch=scheduler.settings.epoch,
        steps=tuple(
            _report_step(scheduler, step, now_s)
            for steps in job.occurrences.values()
            for step in steps
        ),
    )


def count_queued_jobs(scheduler: Scheduler, queue_name: str) -> int:
    """Return the number of stored jobs of a queue that have not started."""
    return sum(
        1
        for job in scheduler.jobs.values()
        if job.definition.queue == queue_name
        and job.is_stored
        and not job.started
        and not job.is_final
    )


def _report_step(scheduler: Scheduler, step: StepState, now_s: float) -> StepReport:
    return StepReport(
        occurrence=step.occurrence,
        step=step.position,
        count=step.spec.count,
        done_count=step.done_count,
        ready_count=len(step.ready),
        failed_run_count=sum(len(subtask.failed_runs) for subtask in step.subtasks),
        reason=waiting_reason(scheduler, step, now_s),
        runs=tuple(
            _report_run(run, now_s)
            for subtask in step.subtasks
            for run in subtask.live_runs
        ),
        crashed_run_count=sum(len(subtask.crashed_runs) for subtask in step.subtasks),
    )


def _report_run(run: Run, now_s: float) -> RunReport:
    return RunReport(
        subtask=str(run.subtask.name),
        run=run.number,
        worker_id=run.worker.facts.worker_id,
        phase=run.phase.value,
        percent=run.percent,
        age_s=round(now_s - run.sent_s, 3),
        lease_left_s=round(lease_end_s(run) - now_s, 3),
    )


def waiting_reason(scheduler: Scheduler, step: StepState, now_s: float) -> str:
    """Return why subtasks of a step are waiting, or "" if none is."""
    job = step.job
    if not job.is_stored:
        return "the job is not stored yet"
    if any(subtask.phase is SubtaskPhase.WAITING for subtask in step.subtasks):
        return "earlier steps are not done"
    if not step.ready:
        return ""
    queue = scheduler.queues.get(job.definition.queue)
    if queue is None:
        return "the queue is not in the configuration"
    if queue.name in scheduler.queue_pools.unstored:
        return "the new pool of the queue is not stored yet"
    if job.inherited and not is_queue_reconciled(scheduler, queue, now_s):
        return "a worker of the pool has not answered since the takeover"
    if all(has_late_start(scheduler, s, now_s) for s in step.ready.values()):
        return "a worker may yet carry out a start of it"
    if scheduler.needs_advice(step) and now_s >= step.tickets_expire_s:
        return "no advice yet on the workers that may run it"
    team = scheduler.configuration.teams.get(job.definition.team)
    if team is not None:
        used = scheduler.team_used.get(team.name, NO_RESOURCES) + step.spec.need
        limit = team.limit.cpu_millicores
        if limit and used.cpu_millicores > limit:
            return "the team is at its limit"
    workers = [w for w in scheduler.workers.values() if w.facts.pool == queue.pool]
    if not any(step.spec.reserved.fits_in(w.facts.capacity) for w in workers):
        return "no worker of the pool is large enough"
    kept = scheduler.kept_starts.get(step)
    if kept is not None:
        return describe_kept_start(kept, now_s)
    turned_down = turned_down_counts(scheduler, step, queue.pool, now_s)
    others = [
        f"{reason} ({count})"
        for reason, count in turned_down.most_common()
        if reason and not reason.startswith(("no room", "too small"))
    ]
    if not others:
        return "no worker has room"
    return f"no worker has room but those that are turned down: {', '.join(others)}"
