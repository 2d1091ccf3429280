"""Conditions under which a worker can run a subtask."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Set

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import RunPhase, StepState
from cicadatrail_core.jobs.worker_leases import has_expired_lease
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources


def usable_workers(scheduler: Scheduler, pool: str, now_s: float) -> list[WorkerState]:
    """Return the workers of a pool on which something may start.

    Ejected ones are among them only if there are no others.
    """
    usable = [
        worker
        for worker in scheduler.workers.values()
        if worker.facts.pool == pool and not unusable_reason(scheduler, worker, now_s)
    ]
    healthy = [worker for worker in usable if worker.ejected_until_s <= now_s]
    return healthy or usable


def unusable_reason(scheduler: Scheduler, worker: WorkerState, now_s: float) -> str:
    """Return why nothing may start on a worker, or "" if something may."""
    if not worker.is_listed:
        return "no longer listed"
    if is_evacuated(scheduler, worker):
        return "data centre evacuated"
    if worker.facts.draining:
        return "draining"
    if worker.is_cordoned:
        return "cordoned"
    if worker.is_suspect:
        return "silent since a call"
    if not worker.is_known or worker.clock_at_s is None:
        return "not reported yet"
    if worker.unknown_run_count:
        return "runs a subtask of an unknown job"
    if has_expired_lease(worker, now_s):
        return "lease expired"
    return ""


def turned_down_reason(
    scheduler: Scheduler,
    step: StepState,
    worker: WorkerState,
    usable_ids: Set[str],
    now_s: float,
) -> str:
    """Return why a worker can't run a subtask now, or "" if it can.

    ``usable_ids`` has the usable workers of its pool.
    """
    worker_id, need = worker.facts.worker_id, step.spec.reserved
    reason = unusable_reason(scheduler, worker, now_s)
    if reason:
        return reason
    if worker_id not in usable_ids:
        return "ejected after failed runs"
    too_small = need.exceeding(worker.facts.capacity)
    if too_small:
        return f"too small: {', '.join(too_small)}"
    if not has_label(step, worker):
        return f"without the label {step.spec.required_label}"
    advised = advised_workers(scheduler, step, now_s)
    if advised is not None and worker_id not in advised:
        return "no ticket"
    if not is_within_spread(step, worker):
        return "spread limit"
    if not worker.has_room(need):
        return f"no room: {', '.join(need.exceeding(worker.free_capacity))}"
    return ""


def turned_down_counts(
    scheduler: Scheduler, step: StepState, pool: str, now_s: float
) -> Counter[str]:
    """Return the number of a pool's workers by the reason that they can't run a step.

    Those that can are counted under "".
    """
    usable = usable_workers(scheduler, pool, now_s)
    usable_ids = {worker.facts.worker_id for worker in usable}
    return Counter(
        turned_down_reason(scheduler, step, worker, usable_ids, now_s)
        for worker in scheduler.workers.values()
        if worker.facts.pool == pool
    )


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
    return has_label(step, worker) and is_within_spread(step, worker)


def has_label(step: StepState, worker: WorkerState) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    label = step.spec.required_label
    return not label or label in worker.facts.labels


def is_within_spread(step: StepState, worker: WorkerState) -> bool:
    """Return whether the spread limit lets a worker run one more subtask."""
    spec = step.spec
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
