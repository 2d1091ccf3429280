"""Conditions under which a worker can run a subtask."""

from __future__ import annotations

from cicadatrail_core.jobs.state import StepState, WorkerState


def can_run(step: StepState, worker: WorkerState) -> bool:
    """Return whether capacity, label and spread limit let a worker run a subtask."""
    spec = step.spec
    if not spec.reserved.fits_in(worker.free_capacity):
        return False
    if spec.required_label and spec.required_label not in worker.facts.labels:
        return False
    if not spec.spread_limit_count:
        return True
    on_worker_count = sum(1 for run in worker.runs.values() if run.subtask.step is step)
    return on_worker_count < spec.spread_limit_count
