"""Evacuation of workers that are about to leave or be maintained.

A long-running subtask is stopped only while the leader has its lease, enough other
subtasks of its step are available, it may start again, and another worker can run it.
Other subtasks get some time to finish. All stop shortly before the worker leaves.
"""

from __future__ import annotations

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.ejection import EJECTION_S, eject
from cicadatrail_core.jobs.late_starts import has_late_start
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase, StepState
from cicadatrail_core.jobs.takeover import is_queue_reconciled
from cicadatrail_core.jobs.worker_conditions import can_run
from cicadatrail_core.jobs.worker_state import WorkerState

CHECKPOINTED_WAIT_S = 1.5
"""Time that a subtask with a checkpoint gets to finish before it is moved."""

UNCHECKPOINTED_WAIT_S = 6.0
"""Time that a subtask without a checkpoint gets; nearly all take less than this."""

STALL_S = 2.0
"""Time without progress after which a run is considered stuck."""

LEAVING_MARGIN_S = 1.0
"""Time before a worker leaves at which all of its runs are stopped."""


def may_stop(step: StepState, run: Run) -> bool:
    """Return whether stopping a run keeps enough subtasks of its step available.

    A step that states no limit may have one subtask unavailable at a time.
    """
    unavailable_count = sum(
        not any(other.is_available for other in subtask.live_runs)
        for subtask in step.subtasks
        if subtask is not run.subtask
    )
    return unavailable_count < max(1, step.spec.may_miss_count)


def _may_start_again(scheduler: Scheduler, step: StepState, now_s: float) -> bool:
    """Return whether a stopped subtask could start at once.

    After a takeover it can't before all workers that may run its queue are known.
    """
    if not step.job.inherited:
        return True
    queue = scheduler.queues.get(step.job.definition.queue)
    return queue is not None and is_queue_reconciled(scheduler, queue, now_s)


def _has_other_worker(scheduler: Scheduler, run: Run, now_s: float) -> bool:
    """Return whether another worker of the pool can take the run's subtask."""
    pool = run.worker.facts.pool
    return any(
        worker is not run.worker
        and worker.facts.pool == pool
        and worker.is_listed
        and worker.is_reconciled
        and not worker.unknown_run_count
        and not worker.is_suspect
        and not worker.is_cordoned
        and not worker.facts.draining
        and not is_evacuated(scheduler, worker)
        and worker.ejected_until_s <= now_s
        and can_run(run.subtask.step, worker)
        for worker in scheduler.workers.values()
    )


def _may_evict(scheduler: Scheduler, run: Run, now_s: float) -> bool:
    """Return whether a long-running subtask may be stopped to start elsewhere.

    Without the lease a newer leader may be stopping another subtask of the step.
    """
    step = run.subtask.step
    return (
        scheduler.is_lease_valid()
        and may_stop(step, run)
        and not has_late_start(scheduler, run.subtask, now_s)
        and _may_start_again(scheduler, step, now_s)
        and _has_other_worker(scheduler, run, now_s)
    )


def evacuate(
    scheduler: Scheduler, worker: WorkerState, since_s: float, now_s: float
) -> None:
    """Stop the runs that must leave a worker now.

    Call it repeatedly until the worker is empty. ``since_s`` is when the
    evacuation began.
    """
    leaves_s = worker.draining_until_s
    for run in list(worker.runs.values()):
        if run.phase is not RunPhase.RUNNING:
            continue
        step = run.subtask.step
        if leaves_s is not None and now_s > leaves_s - LEAVING_MARGIN_S:
            scheduler.stop(run)
        elif step.spec.lasting:
            # Checked again for each run, as each stop makes a subtask unavailable.
            if _may_evict(scheduler, run, now_s):
                scheduler.stop(run)
        elif now_s - since_s > _wait_limit_s(run):
            scheduler.stop(run)


def _wait_limit_s(run: Run) -> float:
    return CHECKPOINTED_WAIT_S if run.subtask.checkpoint else UNCHECKPOINTED_WAIT_S


def eject_stuck_workers(scheduler: Scheduler, now_s: float) -> None:
    """Stop runs that make no progress, and eject their workers."""
    for worker in stop_stuck_runs(scheduler, now_s):
        eject(worker, now_s, EJECTION_S, scheduler.workers, "no progress")


def stop_stuck_runs(scheduler: Scheduler, now_s: float) -> list[WorkerState]:
    """Stop runs that make no progress; return their workers, each once."""
    stuck: dict[str, WorkerState] = {}
    for worker in scheduler.workers.values():
        for run in list(worker.runs.values()):
            spec = run.subtask.step.spec
            if run.phase is not RunPhase.RUNNING or spec.lasting or spec.gang:
                continue
            if run.paced_percent < 100 or run.percent >= 100 or spec.filler:
                continue
            answered_s = worker.answered_s or 0.0
            if answered_s - run.progress_s > STALL_S:
                run.subtask.avoided_worker = worker.facts.worker_id
                scheduler.stop(run)
                stuck[worker.facts.worker_id] = worker
    return list(stuck.values())
