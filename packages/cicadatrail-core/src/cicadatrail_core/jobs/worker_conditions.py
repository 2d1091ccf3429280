"""Conditions under which a worker can run a subtask."""

from __future__ import annotations

from collections.abc import Container

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import RunPhase, StepState, WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources


def can_run(step: StepState, worker: WorkerState) -> bool:
    """Return whether capacity, label and spread limit let a worker run a subtask."""
    if not worker.has_room(step.spec.reserved):
        return False
    return _is_allowed(step, worker)


def lacks_only_capacity(step: StepState, worker: WorkerState) -> bool:
    """Return whether a worker can run a subtask once the runs that end have ended.

    Long-running subtasks don't end by themselves.
    """
    within = worker.facts.capacity - _used_for_long(worker)
    return step.spec.reserved.fits_in(within) and _is_allowed(step, worker)


def advised_workers(
    scheduler: Scheduler, step: StepState, now_s: float
) -> Container[str] | None:
    """Return the ids of the only workers that may run a step; None if all may."""
    if not scheduler.needs_advice(step):
        return None
    return step.tickets if now_s < step.tickets_expire_s else ()


def _is_allowed(step: StepState, worker: WorkerState) -> bool:
    """Return whether label and spread limit let a worker run a subtask."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.facts.labels:
        return False
    if not spec.spread_limit_count:
        return True
    on_worker_count = sum(1 for run in worker.runs.values() if run.subtask.step is step)
    return on_worker_count < spec.spread_limit_count


def _used_for_long(worker: WorkerState) -> Resources:
    """Return what long-running subtasks that are not being stopped take."""
    used = NO_RESOURCES
    for run in worker.runs.values():
        spec = run.subtask.step.spec
        if spec.lasting and run.phase is not RunPhase.STOPPING:
            used = used + spec.reserved
    return used
