"""Mutants of the rules for waves and moves, each of which a test must detect."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from cicadatrail_core.fold import (
    availability,
    maintenance,
    maintenance_records,
    move_operations,
    wave_operations,
)
from cicadatrail_core.models.maintenance import (
    MoveStatus,
    StepStatus,
    WaveStatus,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.waves import budgets, view

NO_LIMIT = 1_000_000


def _always(*_: Any) -> bool:
    return True


def _never(*_: Any) -> None:
    return None


def _on_state(change: Callable[[State], State]) -> Callable[..., Any]:
    """Return ``disrupted_workers`` as a function of a changed state."""
    return lambda state: DISRUPTED_WORKERS(change(state))


def _without_moves(state: State) -> State:
    return replace(state, moves={})


def _without_maintained(state: State) -> State:
    waves = {}
    for wave_id, progress in state.waves.items():
        steps = tuple(s for s in progress.steps if s[1] is not StepStatus.MAINTAINING)
        waves[wave_id] = replace(progress, steps=steps)
    return replace(state, waves=waves)


def _highest_limit(state: Any, pool_id: str) -> int | None:
    services = availability.services_of(state, pool_id)
    return max((s.unavailable_limit_count for s in services), default=None)


def _without_limits(real: Callable[..., Any], position: int) -> Callable[..., Any]:
    def changed(*arguments: Any) -> Any:
        progress = arguments[position]
        wave = replace(
            progress.wave,
            concurrency_limit_count=NO_LIMIT,
            failure_limit_count=NO_LIMIT,
        )
        unlimited = replace(progress, wave=wave)
        after = real(*arguments[:position], unlimited, *arguments[position + 1 :])
        return (
            replace(after, wave=progress.wave) if after not in (True, False) else after
        )

    return changed


def _serving_from_anyone(state: Any, record: Any) -> Any:
    holder = state.worker_holders.get(record.worker_id, record.reporter)
    return APPLY_CONDITION(state, replace(record, reporter=holder))


def _pool_changes_at_once(state: Any, operation: Any, place: str) -> Any:
    def change(after: Any) -> Any:
        pool_of = {**after.pool_of, operation.worker_id: operation.to_pool_id}
        return replace(after, pool_of=pool_of)

    return START_MOVE(state, operation, place).map(change)


def _aborted_moves_end(state: Any, record: Any) -> Any:
    move = state.moves.get(record.move_id)
    if move is None:
        return state
    open_move = replace(move, status=MoveStatus.DRAINING)
    return APPLY_MOVE_DRAINED(
        replace(state, moves={**state.moves, record.move_id: open_move}), record
    )


def _drains_when_stopped(state: Any, record: Any) -> Any:
    progress = state.waves.get(record.wave_id)
    if progress is None:
        return state
    running = replace(progress, status=WaveStatus.RUNNING)
    return APPLY_STEP(
        replace(state, waves={**state.waves, record.wave_id: running}), record
    )


def _failed_stays_serving(state: Any, record: Any) -> Any:
    after = APPLY_STEP(state, record)
    return replace(after, conditions=state.conditions)


APPLY_CONDITION = maintenance.apply_condition
APPLY_MOVE_DRAINED = maintenance.apply_move_drained
APPLY_STEP = maintenance.apply_step
START_MOVE = maintenance.start_move
DISRUPTED_WORKERS = availability.disrupted_workers

MUTANTS: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "drains ignore budgets": ((maintenance_records, "may_take_out", _always),),
    "moves ignore the giver's budget": ((move_operations, "may_take_out", _always),),
    "moves ignore the taker's budget": (
        (maintenance_records, "may_bring_in", _always),
    ),
    "moves empty a pool": ((move_operations, "may_give_away", _always),),
    "failed workers are not counted": (
        (availability, "all_unavailable", availability.disrupted_workers),
    ),
    "moving workers are not counted": (
        (availability, "disrupted_workers", _on_state(_without_moves)),
    ),
    "maintained workers are not counted": (
        (availability, "disrupted_workers", _on_state(_without_maintained)),
    ),
    "the loosest budget counts": (
        (availability, "unavailable_limit_count", _highest_limit),
    ),
    "two waves hold a worker": ((maintenance_records, "active_wave_of", _never),),
    "a wave holds a moving worker": ((maintenance_records, "active_move_of", _never),),
    "a move takes a worker from a wave": ((move_operations, "active_wave_of", _never),),
    "the first worker is not maintained alone": (
        (maintenance_records, "may_maintain", _always),
    ),
    "a stopped wave goes on after failures": ((availability, "wave_failed", _never),),
    "concurrency is ignored": (
        (
            maintenance_records,
            "_may_drain",
            _without_limits(maintenance_records._may_drain, 1),
        ),
    ),
    "failures never pause": (
        (
            maintenance_records,
            "_after_step",
            _without_limits(maintenance_records._after_step, 0),
        ),
    ),
    "steps come in any order": ((maintenance_records, "_in_order", _always),),
    "failed workers are not tried again": (
        (wave_operations, "failed_in_wave", _never),
    ),
    "a failed step leaves the worker serving": (
        (maintenance, "apply_step", _failed_stays_serving),
    ),
    "anyone may report a worker as serving": (
        (maintenance, "apply_condition", _serving_from_anyone),
    ),
    "a stopped wave starts drains": (
        (maintenance, "apply_step", _drains_when_stopped),
    ),
    "the pool changes when the move starts": (
        (maintenance, "start_move", _pool_changes_at_once),
    ),
    "an aborted move still ends": (
        (maintenance, "apply_move_drained", _aborted_moves_end),
    ),
    "the plan ignores budgets": ((budgets.Budgets, "try_reserve", _always),),
    "the plan ignores workers under way": (
        (
            view.WaveView,
            "active_count",
            property(lambda self: 0, lambda self, value: None),
        ),
    ),
}


@contextmanager
def mutant(name: str) -> Iterator[None]:
    """Apply the named mutant for the duration of the context."""
    with ExitStack() as stack:
        for module, attribute, replacement in MUTANTS[name]:
            stack.enter_context(mock.patch.object(module, attribute, replacement))
        yield
