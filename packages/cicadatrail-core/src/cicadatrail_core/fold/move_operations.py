"""Patch operations on moves.

Each function returns the changed state, or all findings with their places
below ``place``, such as ``operations[2]``.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace
from types import MappingProxyType

from returns.result import Failure, Result, Success

from cicadatrail_core.fold.availability import (
    active_move_of,
    active_wave_of,
    may_bring_in,
    may_give_away,
    may_take_out,
)
from cicadatrail_core.fold.maintenance_records import with_move
from cicadatrail_core.models.maintenance import (
    Move,
    MoveStatus,
)
from cicadatrail_core.models.patches import (
    AbortMove,
    StartMove,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.utils.findings import Finding, Findings

FINISHED_MOVES_KEPT_COUNT = 200
"""Number of finished moves that the state keeps."""


def start_move(
    state: State, operation: StartMove, place: str
) -> Result[State, Findings]:
    """Start draining a worker that changes pool once it runs no task."""
    findings = tuple(_move_findings(state, operation, place))
    findings = findings or tuple(_move_budget_findings(state, operation, place))
    if findings:
        return Failure(findings)
    move = Move(
        move_id=operation.move_id,
        worker_id=operation.worker_id,
        from_pool_id=operation.from_pool_id,
        to_pool_id=operation.to_pool_id,
    )
    kept = replace(state, moves=_without_oldest_finished_moves(state))
    return Success(replace(state, moves=with_move(kept, move)))


def _move_findings(state: State, operation: StartMove, place: str) -> Iterator[Finding]:
    worker_id = operation.worker_id
    if not operation.move_id:
        yield Finding(f"{place}.move_id", "must not be empty")
    if operation.move_id in state.moves:
        yield Finding(f"{place}.move_id", f"move {operation.move_id!r} exists already")
    for field, pool_id in (
        ("from_pool_id", operation.from_pool_id),
        ("to_pool_id", operation.to_pool_id),
    ):
        if pool_id not in state.pools:
            yield Finding(f"{place}.{field}", f"there is no pool {pool_id!r}")
    if operation.from_pool_id == operation.to_pool_id:
        yield Finding(f"{place}.to_pool_id", "must differ from from_pool_id")
    if worker_id not in state.workers:
        yield Finding(f"{place}.worker_id", f"there is no worker {worker_id!r}")
        return
    if state.pool_of.get(worker_id) != operation.from_pool_id:
        fault = f"worker {worker_id!r} is in pool {state.pool_of.get(worker_id)!r}"
        yield Finding(f"{place}.from_pool_id", fault)
    if moving := active_move_of(state, worker_id):
        fault = f"worker {worker_id!r} is in move {moving.move_id!r}"
        yield Finding(f"{place}.worker_id", fault)
    if progress := active_wave_of(state, worker_id):
        fault = f"worker {worker_id!r} is in wave {progress.wave.wave_id!r}"
        yield Finding(f"{place}.worker_id", fault)


def _move_budget_findings(
    state: State, operation: StartMove, place: str
) -> Iterator[Finding]:
    giving, receiving = operation.from_pool_id, operation.to_pool_id
    if not may_take_out(state, operation.worker_id):
        fault = f"a service of pool {giving!r} has no budget left"
        yield Finding(f"{place}.from_pool_id", fault)
    if not may_give_away(state, giving):
        fault = f"pool {giving!r} would be left with no more workers than its budget"
        yield Finding(f"{place}.from_pool_id", fault)
    if not may_bring_in(state, operation.worker_id, receiving):
        fault = f"a service of pool {receiving!r} has no budget for a worker that fails"
        yield Finding(f"{place}.to_pool_id", fault)


def _without_oldest_finished_moves(state: State) -> Mapping[str, Move]:
    """Return the newest moves and each worker's last, which shows its origin."""
    last = {
        move.worker_id: move_id
        for move_id, move in state.moves.items()
        if move.status is MoveStatus.DONE and move.worker_id in state.workers
    }
    droppable = [
        move_id
        for move_id, move in state.moves.items()
        if move.status is not MoveStatus.DRAINING
        and last.get(move.worker_id) != move_id
    ]
    dropped = set(droppable[: max(0, len(droppable) - FINISHED_MOVES_KEPT_COUNT)])
    kept = {key: value for key, value in state.moves.items() if key not in dropped}
    return MappingProxyType(kept)


def abort_move(
    state: State, operation: AbortMove, place: str
) -> Result[State, Findings]:
    """Abort a draining move; the worker stays in its pool."""
    move = state.moves.get(operation.move_id)
    if move is None:
        fault = f"there is no move {operation.move_id!r}"
        return Failure((Finding(f"{place}.move_id", fault),))
    if move.status is not MoveStatus.DRAINING:
        fault = f"move {operation.move_id!r} is {move.status.value}"
        return Failure((Finding(f"{place}.move_id", fault),))
    aborted = replace(move, status=MoveStatus.ABORTED)
    return Success(replace(state, moves=with_move(state, aborted)))
