"""Fold the records of waves, moves and the conditions of workers.

Each record is checked against the state at its offset, whoever wrote it: one
that is out of order or would exceed a budget changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cicadatrail_core.fold.availability import (
    ACTIVE_STEPS,
    active_move_of,
    active_wave_of,
    may_bring_in,
    may_maintain,
    may_take_out,
)
from cicadatrail_core.models.maintenance import (
    Condition,
    Move,
    MoveStatus,
    StepStatus,
    WaveAction,
    WaveProgress,
    WaveStatus,
)
from cicadatrail_core.models.records import (
    ConditionRecord,
    MoveDrainedRecord,
    PauseRecord,
    StepRecord,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.utils.mappings import with_entry, without_entry

REPORTED_CONDITIONS = frozenset(
    {Condition.SERVING, Condition.FAILED, Condition.EJECTED, Condition.LEAVING}
)
"""Conditions that owners report; the others follow from waves and moves."""

FINISHED_STEPS = frozenset({StepStatus.DONE, StepStatus.FAILED})
"""Steps after which a wave takes no further action on a worker."""


def apply_condition(state: State, record: ConditionRecord) -> State:
    """Apply a reported condition.

    Any instance may report that a worker is out of service, which errs on the
    safe side. Only the worker's owner, if it has one, may report that it is
    serving, so that a late report by an earlier owner can't hide a failure.
    """
    worker_id = record.worker_id
    if worker_id not in state.workers:
        return state
    if record.condition not in REPORTED_CONDITIONS:
        return state
    if record.condition is not Condition.SERVING:
        conditions = with_entry(state.conditions, worker_id, record.condition)
        return replace(state, conditions=conditions)
    if state.worker_holders.get(worker_id, record.reporter) != record.reporter:
        return state
    if worker_id not in state.conditions:
        return state
    return replace(state, conditions=without_entry(state.conditions, worker_id))


def apply_step(state: State, record: StepRecord) -> State:
    """Apply a step of a wave if it is in order and exceeds no budget."""
    progress = state.waves.get(record.wave_id)
    if progress is None:
        return state
    before = dict(progress.steps).get(record.worker_id)
    if before is None or not _in_order(progress, before, record.step):
        return state
    if record.step is StepStatus.DRAINING and not _may_drain(
        state, progress, record.worker_id
    ):
        return state
    if record.step is StepStatus.MAINTAINING and not may_maintain(state, progress):
        return state
    if record.step is StepStatus.FAILED and record.worker_id in state.workers:
        # The worker is out of service until its owner reports that it is serving.
        conditions = with_entry(state.conditions, record.worker_id, Condition.FAILED)
        state = replace(state, conditions=conditions)
    after = _after_step(progress, record.worker_id, record.step)
    return replace(state, waves=with_entry(state.waves, after.wave.wave_id, after))


def _in_order(progress: WaveProgress, before: StepStatus, after: StepStatus) -> bool:
    match before, after:
        case StepStatus.WAITING, StepStatus.DRAINING:
            return progress.status is WaveStatus.RUNNING
        case StepStatus.DRAINING, StepStatus.MAINTAINING | StepStatus.FAILED:
            return True
        case StepStatus.DRAINING, StepStatus.DONE:
            return progress.wave.action is WaveAction.DRAIN
        case StepStatus.DRAINING, StepStatus.WAITING:
            # A stopped wave returns workers to service that it has only drained.
            return progress.status in (WaveStatus.PAUSED, WaveStatus.ABORTED)
        case StepStatus.MAINTAINING, StepStatus.DONE | StepStatus.FAILED:
            return True
        case _:
            return False


def _may_drain(state: State, progress: WaveProgress, worker_id: str) -> bool:
    active_count = sum(step in ACTIVE_STEPS for _, step in progress.steps)
    if active_count >= progress.wave.concurrency_limit_count:
        return False
    if active_wave_of(state, worker_id) or active_move_of(state, worker_id):
        return False
    return may_take_out(state, worker_id)


def _after_step(
    progress: WaveProgress, worker_id: str, after: StepStatus
) -> WaveProgress:
    steps = tuple(
        (worker, after if worker == worker_id else step)
        for worker, step in progress.steps
    )
    progress = replace(progress, steps=steps)
    if progress.status is WaveStatus.ABORTED:
        return progress
    failed_count = sum(step is StepStatus.FAILED for _, step in steps)
    if after is StepStatus.FAILED and (
        failed_count >= progress.wave.failure_limit_count
    ):
        reason = f"{failed_count} workers failed, the limit of the wave"
        return replace(progress, status=WaveStatus.PAUSED, pause_reason=reason)
    if all(step in FINISHED_STEPS for _, step in steps):
        return replace(progress, status=WaveStatus.DONE)
    return progress


def apply_pause(state: State, record: PauseRecord) -> State:
    """Pause a running wave; workers already started are finished."""
    progress = state.waves.get(record.wave_id)
    if progress is None or progress.status is not WaveStatus.RUNNING:
        return state
    paused = replace(progress, status=WaveStatus.PAUSED, pause_reason=record.reason)
    return replace(state, waves=with_entry(state.waves, record.wave_id, paused))


def apply_move_drained(state: State, record: MoveDrainedRecord) -> State:
    """Change the pool of a drained worker unless a budget there forbids it."""
    move = state.moves.get(record.move_id)
    if move is None or move.status is not MoveStatus.DRAINING:
        return state
    if state.pool_of.get(move.worker_id) != move.from_pool_id:
        return state
    if move.to_pool_id not in state.pools:
        return state
    if not may_bring_in(state, move.worker_id, move.to_pool_id):
        return state
    return replace(
        state,
        pool_of=with_entry(state.pool_of, move.worker_id, move.to_pool_id),
        moves=with_move(state, replace(move, status=MoveStatus.DONE)),
    )


def with_move(state: State, move: Move) -> Mapping[str, Move]:
    """Return the moves with this one added or changed."""
    return with_entry(state.moves, move.move_id, move)
