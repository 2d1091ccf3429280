"""Repeated starts: an order without an answer is sent to its worker again.

The worker runs a number once, whichever order comes first.
"""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.late_starts import may_start_late
from cicadatrail_core.jobs.log_fields import worker_fields
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_conditions import unusable_reason

logger = logging.getLogger("cicadatrail.scheduler")


def may_retry(scheduler: Scheduler, run: Run, sent_s: float) -> bool:
    """Return whether a run that its worker doesn't list is to be started there again.

    ``sent_s`` is when the list was asked for. A worker that has restarted since the
    order may have been crashed by it. Long-running subtasks have to run again soon, so
    that these are tried once more all the same.
    """
    if not run.is_start_unknown or (run.unanswered_s or 0.0) >= sent_s:
        return False
    if not may_start_late(scheduler, run, sent_s):
        return False
    return not _is_of_former_life(run) or _may_move_life(run)


def may_keep_lost(scheduler: Scheduler, run: Run, now_s: float) -> bool:
    """Return whether a run that a restarted worker has lost is to be started there."""
    return may_start_late(scheduler, run, now_s) and _may_move_life(run)


def _is_of_former_life(run: Run) -> bool:
    return run.start_expires_s == float("inf")


def _may_move_life(run: Run) -> bool:
    is_wanted = run.phase is not RunPhase.STOPPING and not run.has_moved_life
    return is_wanted and run.subtask.step.spec.lasting


def retry_start(scheduler: Scheduler, run: Run, now_s: float) -> None:
    """Send a start again, if its worker may take it now."""
    worker = run.worker
    if unusable_reason(scheduler, worker, now_s) or worker.is_over_capacity:
        return
    logger.info(
        "scheduler: start without an answer is sent again.",
        extra={
            **worker_fields(worker),
            "subtask": str(run.subtask.name),
            "run": run.number,
            "unanswered_count": run.unanswered_count,
        },
    )
    scheduler.counts["start-retried"] = scheduler.counts.get("start-retried", 0) + 1
    run.has_moved_life |= _is_of_former_life(run)
    run.unanswered_s = None
    run.is_start_pending = True
    scheduler.starts.append(run)
    scheduler.on_change()
