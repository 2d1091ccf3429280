"""Reservations: a worker that is kept free for a step that doesn't fit anywhere."""

from __future__ import annotations

from cicadatrail_core.jobs.models import Step
from cicadatrail_core.jobs.state import StepState, WorkerState

RESERVE_AFTER_S = 1.5
"""Time after which a worker is reserved for a step that doesn't fit anywhere."""


def may_reserve(step: StepState, now_s: float) -> bool:
    """Return whether a step that fits nowhere may have a worker reserved."""
    if step.spec.lasting:
        return True
    oldest_s = min(subtask.ready_s for subtask in step.ready.values())
    return now_s - oldest_s > RESERVE_AFTER_S


def worker_to_reserve(spec: Step, workers: list[WorkerState]) -> str | None:
    """Return the worker to keep free until the step fits on it, or None."""
    eligible = [worker for worker in workers if can_ever_run(spec, worker)]
    if not eligible:
        return None
    best = max(eligible, key=lambda worker: worker.free_capacity.cpu_millicores)
    return best.facts.worker_id


def can_ever_run(spec: Step, worker: WorkerState) -> bool:
    """Return whether a worker that is empty can run a subtask of a step."""
    if spec.required_label and spec.required_label not in worker.facts.labels:
        return False
    return spec.reserved.fits_in(worker.facts.capacity)
