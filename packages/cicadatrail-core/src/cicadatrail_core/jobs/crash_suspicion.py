"""Subtasks that are suspected of having crashed their worker."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from cicadatrail_core.jobs.state import Run, WorkerState

logger = logging.getLogger("cicadatrail.scheduler")

CRASH_WINDOW_S = 2.0
"""Time after its start within which a run may be the cause of its worker's crash."""

LOGGED_LIMIT_COUNT = 20
"""Maximum number of subtasks named in one log line."""


def is_recent(run: Run) -> bool:
    """Return whether a run is not known to have outlived the crash window.

    A run without an answer counts, because the crash may have prevented the answer.
    One whose start is still pending does not.
    """
    if run.answered_s is None:
        return run.unanswered_s is not None
    seen_s = max(run.worker.answered_s or 0.0, run.answered_s)
    return seen_s - run.answered_s <= CRASH_WINDOW_S


def is_loss_planned(worker: WorkerState) -> bool:
    """Return whether a worker is lost by a drain or by an order for its machine."""
    is_draining = worker.facts.draining or worker.draining_until_s is not None
    return is_draining or worker.is_cordoned


def log_loss(
    worker: WorkerState, runs: Iterable[Run], reason: str, now_s: float
) -> None:
    """Log the loss of a worker with the runs that may be its cause."""
    lost = list(runs)
    recent = [run for run in lost if is_recent(run)]
    if not recent:
        return
    answer_age_s = None if worker.answered_s is None else now_s - worker.answered_s
    logger.warning(
        "scheduler: worker lost with recently started runs.",
        extra={
            "worker_id": worker.facts.worker_id,
            "pool": worker.facts.pool,
            "reason": reason,
            "is_planned": is_loss_planned(worker),
            "answer_age_s": None if answer_age_s is None else round(answer_age_s, 3),
            "run_count": len(lost),
            "recent_count": len(recent),
            "subtasks": [str(run.subtask.name) for run in recent[:LOGGED_LIMIT_COUNT]],
        },
    )
