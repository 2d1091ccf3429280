"""Starts without an answer, which their workers may yet carry out.

Nothing bars such a start in a life of its worker that no leader has called. So its
subtask starts nowhere else until it can't be carried out any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail_core.jobs.models import EndRow
from cicadatrail_core.jobs.state import Run, Subtask
from cicadatrail_core.jobs.worker_state import WorkerState

if TYPE_CHECKING:
    from cicadatrail_core.jobs.scheduler import Scheduler


def may_start_late(scheduler: Scheduler, run: Run, now_s: float) -> bool:
    """Return whether an unanswered start of a run may yet be carried out."""
    worker_id = run.worker.facts.worker_id
    if worker_id not in run.subtask.late_starts:
        return False
    return not _is_over(scheduler, run.subtask, worker_id, now_s)


def has_late_start(scheduler: Scheduler, subtask: Subtask, now_s: float) -> bool:
    """Return whether a worker may yet carry out an unanswered start of a subtask."""
    return bool(subtask.late_starts and late_worker_ids(scheduler, subtask, now_s))


def late_worker_ids(scheduler: Scheduler, subtask: Subtask, now_s: float) -> list[str]:
    """Return the workers that may yet carry out an unanswered start of a subtask."""
    return [
        worker_id
        for worker_id in subtask.late_starts
        if not _is_over(scheduler, subtask, worker_id, now_s)
    ]


def defers_start(scheduler: Scheduler, subtask: Subtask, now_s: float) -> bool:
    """Return whether a ready subtask waits, so that each tick leads to another pass."""
    is_deferred = has_late_start(scheduler, subtask, now_s)
    scheduler.has_deferred_start |= is_deferred
    return is_deferred


def workers_beside(
    scheduler: Scheduler, subtask: Subtask, workers: list[WorkerState], now_s: float
) -> list[WorkerState]:
    """Return those of ``workers`` on which a ready subtask may start.

    A long-running one has to run again soon. The worker that may start it late refuses
    that start in its present life, in which an earlier run was stopped or has ended.
    """
    if not defers_start(scheduler, subtask, now_s):
        return workers
    late = late_worker_ids(scheduler, subtask, now_s)
    if not subtask.step.spec.lasting or len(late) > 1:
        return []
    return [worker for worker in workers if worker.facts.worker_id in late]


def hold_end(
    scheduler: Scheduler,
    worker: WorkerState,
    row: EndRow,
    subtask: Subtask,
    now_s: float,
) -> None:
    """Leave an end unacknowledged while its subtask may be started late.

    A worker's next life may carry out such a start, and an end that was lost with the
    life before doesn't count for the platform.
    """
    spec = subtask.step.spec
    if spec.lasting:
        return
    members = subtask.step.subtasks if spec.gang else [subtask]
    times_s = [
        member.late_starts[worker_id]
        for member in members
        for worker_id in late_worker_ids(scheduler, member, now_s)
    ]
    if times_s:
        worker.hold_end(row.number, max(times_s))


def _is_over(
    scheduler: Scheduler, subtask: Subtask, worker_id: str, now_s: float
) -> bool:
    """Return whether a worker can't carry out an unanswered start any more.

    One that isn't listed may come back under its id. Long-running subtasks have to run
    again before that is known.
    """
    until_s = subtask.late_starts[worker_id]
    worker = scheduler.workers.get(worker_id)
    if worker is None or not worker.is_listed:
        is_gone = worker is None and worker_id in scheduler.ended_lives
        return is_gone or subtask.step.spec.lasting or now_s > until_s
    if worker.answered_s is None:
        # Only an earlier leader has called it; its leases are waited for.
        return True
    if worker.answered_s > until_s:
        return True
    return now_s > until_s + scheduler.settings.longest_lease_s
