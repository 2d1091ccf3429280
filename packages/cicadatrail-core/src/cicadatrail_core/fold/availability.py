"""Workers out of service, and whether one more may be taken out of service."""

from __future__ import annotations

from collections.abc import Iterator

from cicadatrail_core.models.fleet import Service
from cicadatrail_core.models.maintenance import (
    Condition,
    Move,
    MoveStatus,
    StepStatus,
    WaveProgress,
    WaveStatus,
)
from cicadatrail_core.models.state import State

ACTIVE_STEPS = frozenset({StepStatus.DRAINING, StepStatus.MAINTAINING})
"""Steps during which a wave keeps a worker out of service."""

RAMP_UP_COUNT = 16
"""Workers by which each maintained one raises a wave's maintenance limit."""


def services_of(state: State, pool_id: str) -> Iterator[Service]:
    """Yield the services that run on the pool."""
    return (item for item in state.services.values() if item.pool_id == pool_id)


def workers_of(state: State, pool_id: str) -> tuple[str, ...]:
    """Return the ids of the pool's workers, sorted."""
    return tuple(sorted(w for w, pool in state.pool_of.items() if pool == pool_id))


def active_wave_of(state: State, worker_id: str) -> WaveProgress | None:
    """Return the wave that keeps the worker out of service, if any."""
    for progress in state.waves.values():
        if (worker_id, StepStatus.DRAINING) in progress.steps:
            return progress
        if (worker_id, StepStatus.MAINTAINING) in progress.steps:
            return progress
    return None


def active_move_of(state: State, worker_id: str) -> Move | None:
    """Return the move that is draining the worker, if any."""
    for move in state.moves.values():
        if move.worker_id == worker_id and move.status is MoveStatus.DRAINING:
            return move
    return None


def failed_in_wave(state: State, worker_id: str, step: StepStatus) -> bool:
    """Return whether a worker failed during or after its step in a wave."""
    if step is StepStatus.FAILED:
        return True
    if step is not StepStatus.DONE:
        return False
    return state.conditions.get(worker_id) in (Condition.FAILED, Condition.EJECTED)


def wave_failed(state: State, progress: WaveProgress) -> bool:
    """Return whether a worker failed since the wave was started or resumed."""
    return any(failed_in_wave(state, worker, step) for worker, step in progress.steps)


def may_maintain(state: State, progress: WaveProgress) -> bool:
    """Return whether one more worker of the wave may be maintained.

    The first worker of a wave is maintained alone, and each worker that returned
    to service raises the limit by ``RAMP_UP_COUNT``. A stopped wave in which
    workers failed starts no more maintenance.
    """
    steps = [step for _, step in progress.steps]
    limit_count = 1 + RAMP_UP_COUNT * steps.count(StepStatus.DONE)
    if steps.count(StepStatus.MAINTAINING) >= limit_count:
        return False
    is_running = progress.status is WaveStatus.RUNNING
    return is_running or not wave_failed(state, progress)


def disrupted_workers(state: State) -> frozenset[str]:
    """Return the workers that a wave drains or maintains or that are moving.

    Includes the started workers of paused and aborted waves.
    """
    draining, maintaining = StepStatus.DRAINING, StepStatus.MAINTAINING
    disrupted = {
        worker_id
        for progress in state.waves.values()
        if progress.status is not WaveStatus.DONE
        for worker_id, step in progress.steps
        if step is draining or step is maintaining
    }
    for move in state.moves.values():
        if move.status is MoveStatus.DRAINING:
            disrupted.add(move.worker_id)
    return frozenset(disrupted)


def all_unavailable(state: State) -> frozenset[str]:
    """Return every worker of the fleet that is out of service.

    These are the failed, ejected and leaving workers and the disrupted ones.
    """
    return disrupted_workers(state).union(state.conditions)


def unavailable_workers(state: State, pool_id: str) -> frozenset[str]:
    """Return the workers of the pool that are out of service for any reason."""
    pool_of = state.pool_of
    return frozenset(w for w in all_unavailable(state) if pool_of.get(w) == pool_id)


def unavailable_limit_count(state: State, pool_id: str) -> int | None:
    """Return the tightest budget of the pool's services, or None without one."""
    limits = (item.unavailable_limit_count for item in services_of(state, pool_id))
    return min(limits, default=None)


def may_take_out(state: State, worker_id: str) -> bool:
    """Return whether every service of the pool stays within its budget.

    A worker that is already out of service adds nothing to the count, but is
    refused too if failures alone exceed the budget. A pool without a service
    has no budget. An unknown worker may not be taken out.
    """
    pool_id = state.pool_of.get(worker_id)
    if pool_id is None:
        return False
    limit_count = unavailable_limit_count(state, pool_id)
    if limit_count is None:
        return True
    return len(unavailable_workers(state, pool_id) | {worker_id}) <= limit_count


def may_bring_in(state: State, worker_id: str, pool_id: str) -> bool:
    """Return whether the pool's budgets allow the worker in its condition."""
    limit_count = unavailable_limit_count(state, pool_id)
    if limit_count is None or worker_id not in state.conditions:
        return True
    return len(unavailable_workers(state, pool_id)) < limit_count


def may_give_away(state: State, pool_id: str) -> bool:
    """Return whether the pool keeps a serving worker with its budget used up.

    Without this rule, successive moves could empty a pool although none of them
    exceeds a budget. Workers that are moving out count as removed.
    """
    limits = [item.unavailable_limit_count for item in services_of(state, pool_id)]
    if not limits:
        return True
    leaving_count = sum(
        move.from_pool_id == pool_id
        for move in state.moves.values()
        if move.status is MoveStatus.DRAINING
    )
    return len(workers_of(state, pool_id)) - leaving_count - 1 > max(limits)
