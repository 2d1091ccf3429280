"""Ejection of workers that fail most of what they run.

A worker is ejected for a time and tried again after it. A subtask that failed
before elsewhere says nothing about the worker, so it is not counted here.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

from cicadatrail_core.jobs.state import WorkerState

logger = logging.getLogger("cicadatrail.ejection")

WINDOW_COUNT = 5
"""Last ends of a worker that are looked at."""

FAILED_LIMIT_COUNT = 3
"""Failed ends within the window at which a worker is ejected."""

EJECTION_S = 3.0
"""Time without new runs; about half of the shortest fault seen on the bench."""

EJECTED_LIMIT_FRACTION = 0.34
"""Largest part of a pool that is ejected at once."""


def record_outcome(
    worker: WorkerState,
    succeeded: bool,
    now_s: float,
    workers: Mapping[str, WorkerState],
) -> None:
    """Note how a run ended, and eject the worker if too many failed."""
    outcomes = worker.end_outcomes
    outcomes.append(succeeded)
    del outcomes[:-WINDOW_COUNT]
    if outcomes.count(False) >= FAILED_LIMIT_COUNT:
        eject(worker, now_s, EJECTION_S, workers, "failed runs")


def eject(
    worker: WorkerState,
    now_s: float,
    duration_s: float,
    workers: Mapping[str, WorkerState],
    reason: str,
) -> None:
    """Give a worker no new runs for a time, unless too many are ejected."""
    pool = [w for w in workers.values() if w.facts.pool == worker.facts.pool]
    ejected = sum(1 for w in pool if w is not worker and w.ejected_until_s > now_s)
    if ejected + 1 > max(1, int(len(pool) * EJECTED_LIMIT_FRACTION)):
        return
    worker.ejected_until_s = max(worker.ejected_until_s, now_s + duration_s)
    worker.end_outcomes.clear()
    logger.warning(
        "ejection: worker ejected.",
        extra={
            "worker_id": worker.facts.worker_id,
            "duration_s": duration_s,
            "reason": reason,
        },
    )
