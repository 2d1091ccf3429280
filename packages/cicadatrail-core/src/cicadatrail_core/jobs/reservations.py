"""Reservations: a worker that is kept free for a step that doesn't fit anywhere."""

from __future__ import annotations

from cicadatrail_core.jobs.models import Step
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, WorkerState
from cicadatrail_core.jobs.worker_conditions import (
    advised_workers,
    lacks_only_capacity,
)

RESERVE_AFTER_S = 1.5
"""Time after which a worker is reserved for a step that doesn't fit anywhere."""


def may_reserve(step: StepState, now_s: float) -> bool:
    """Return whether a step that fits nowhere may have a worker reserved."""
    if step.spec.lasting:
        return True
    oldest_s = min(subtask.ready_s for subtask in step.ready.values())
    return now_s - oldest_s > RESERVE_AFTER_S


def worker_to_reserve(
    scheduler: Scheduler, step: StepState, workers: list[WorkerState], now_s: float
) -> str | None:
    """Return the worker to keep free until the step fits on it, or None.

    A worker that lacks more than capacity would be kept free for nothing.
    """
    advised = advised_workers(scheduler, step, now_s)
    eligible = [
        worker
        for worker in workers
        if (advised is None or worker.facts.worker_id in advised)
        and lacks_only_capacity(step, worker)
    ]
    if not eligible:
        return None
    best = max(eligible, key=lambda worker: worker.free_capacity.cpu_millicores)
    return best.facts.worker_id


def can_ever_run(spec: Step, worker: WorkerState) -> bool:
    """Return whether a worker that is empty can run a subtask of a step."""
    if spec.required_label and spec.required_label not in worker.facts.labels:
        return False
    return spec.reserved.fits_in(worker.facts.capacity)
