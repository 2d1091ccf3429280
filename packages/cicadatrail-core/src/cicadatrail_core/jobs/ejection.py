"""Ejection of workers on which most runs fail.

An ejected worker gets no new runs for a time and is then tried again. Only the
first failure of a subtask counts, because a subtask that has failed before says
nothing about the worker.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

from cicadatrail_core.jobs.worker_state import WorkerState

logger = logging.getLogger("cicadatrail.ejection")

WINDOW_COUNT = 5
"""Number of a worker's latest ends that are considered."""

FAILED_LIMIT_COUNT = 3
"""Failed ends within the window at which a worker is ejected."""

EJECTION_S = 3.0
"""Duration of an ejection; about half of the shortest fault seen on the bench."""

EJECTED_LIMIT_FRACTION = 0.34
"""Largest fraction of a pool's workers that is ejected at once."""


def record_outcome(
    worker: WorkerState,
    succeeded: bool,
    now_s: float,
    workers: Mapping[str, WorkerState],
) -> None:
    """Record how a run ended and eject the worker if too many runs have failed."""
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
    """Eject a worker for a time, unless too many of its pool are ejected already."""
    pool = [w for w in workers.values() if w.facts.pool == worker.facts.pool]
    ejected = sum(1 for w in pool if w is not worker and w.ejected_until_s > now_s)
    if ejected + 1 > max(1, int(len(pool) * EJECTED_LIMIT_FRACTION)):
        return
    worker.ejected_until_s = max(worker.ejected_until_s, now_s + duration_s)
    worker.end_outcomes.clear()
    logger.warning(
        "ejection: worker ejected; it gets no new runs for a time.",
        extra={
            "worker_id": worker.facts.worker_id,
            "duration_s": duration_s,
            "reason": reason,
        },
    )
