"""Holding back of a job that can't be placed, so that the others go on."""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.dispatch import dispatch
from cicadatrail_core.jobs.placement_error import PlacementError
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState

logger = logging.getLogger("cicadatrail.scheduler")

HOLD_S = 2.0
"""Time before a job that could not be placed is tried again."""


def dispatch_or_hold(scheduler: Scheduler, now_s: float) -> float | None:
    """Place ready subtasks; return when a job that failed may be tried again.

    A failure that concerns no job is raised. Each pass holds back one job; the next
    one places the others.
    """
    try:
        dispatch(scheduler, now_s)
    except PlacementError as error:
        logger.exception(
            "scheduler: job can't be placed; holding it back.",
            extra={
                "job_id": error.job.job_id,
                "reason": repr(error.__cause__),
                "hold_s": HOLD_S,
            },
        )
        error.job.held_until_s = now_s + HOLD_S
        _keep_unqueued_runs(scheduler, error.job, now_s)
        scheduler.on_change()
        return error.job.held_until_s
    return None


def _keep_unqueued_runs(scheduler: Scheduler, job: JobState, now_s: float) -> None:
    """Let runs whose order was not queued be stopped, as if it had got no answer."""
    queued = set(scheduler.starts)
    for steps in job.occurrences.values():
        for step in steps:
            for subtask in step.subtasks:
                for run in subtask.live_runs:
                    is_new = run.is_start_pending and run.sent_s == now_s
                    if is_new and run not in queued:
                        run.mark_unanswered(now_s)
