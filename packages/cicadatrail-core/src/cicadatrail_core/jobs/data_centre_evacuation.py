"""Evacuation of whole data centres at the operators' request.

Load: all machines of a data centre stop taking work at once, while callers go on.
Nothing more starts there until the request is taken back; what runs there goes on.
Work that only those workers can run waits.
"""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.worker_state import WorkerState

logger = logging.getLogger("cicadatrail.scheduler")


def evacuate_data_centres(scheduler: Scheduler, names: frozenset[str]) -> None:
    """Let nothing more start in these data centres, and again in all others."""
    previous = scheduler.evacuated_data_centres
    scheduler.evacuated_data_centres = names
    for name in sorted(names ^ previous):
        logger.info(
            "scheduler: evacuation of a data centre changed.",
            extra={
                "data_centre": name,
                "evacuated": name in names,
                "worker_count": _worker_count(scheduler, name),
            },
        )
    if names != previous:
        scheduler.on_change()


def is_evacuated(scheduler: Scheduler, worker: WorkerState) -> bool:
    """Return whether nothing may start on a worker because of its data centre."""
    return worker.facts.zone in scheduler.evacuated_data_centres


def evacuated_worker_count(scheduler: Scheduler) -> int:
    """Return the number of listed workers in evacuated data centres."""
    names = scheduler.evacuated_data_centres
    return sum(_worker_count(scheduler, name) for name in names)


def _worker_count(scheduler: Scheduler, data_centre: str) -> int:
    return sum(
        worker.is_listed and worker.facts.zone == data_centre
        for worker in scheduler.workers.values()
    )
