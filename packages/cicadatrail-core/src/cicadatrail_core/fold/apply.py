"""The fold: one pure, deterministic function from records to state."""

from __future__ import annotations

from dataclasses import replace

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.fold import maintenance, membership
from cicadatrail_core.fold.patches import apply_patch
from cicadatrail_core.models import records
from cicadatrail_core.models.records import RECORD_FORMAT, Record
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings


def encode_record(record: Record) -> bytes:
    """Return a record as the log keeps it, with the format that it needs."""
    body = codec.to_map(record, Record)
    packed: bytes = msgpack.packb([RECORD_FORMAT, body], use_bin_type=True)
    return packed


def decode_record(payload: bytes) -> Result[Record, Findings]:
    """Read a record; one of a newer format or unknown type is a finding."""
    if len(payload) > codec.MAX_MESSAGE_BYTES:
        return Failure((Finding("$", "is too long"),))
    try:
        frame = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return Failure((Finding("$", f"is not msgpack ({error})"),))
    match frame:
        case [int(record_format), body] if record_format == RECORD_FORMAT:
            return codec.from_map(body, Record)
        case [int(record_format), _]:
            return Failure((Finding("$[0]", f"format {record_format} is unknown"),))
    return Failure((Finding("$", "is no pair of format and record"),))


def fold_payload(state: State, offset: int, payload: bytes) -> State:
    """Fold one record of the log; an unreadable one is counted and skipped.

    Every instance skips the same ones, so that all reach the same state.
    """
    match decode_record(payload):
        case Success(record):
            return fold_record(state, offset, record)
    count = state.unreadable_count + 1
    return replace(state, next_offset=offset + 1, unreadable_count=count)


def fold_record(state: State, offset: int, record: Record) -> State:
    """Apply a record at its offset; a record that is not valid changes nothing.

    Raises ValueError when the offset is not the next one, since a gap or a
    repetition would make instances differ.
    """
    if offset != state.next_offset:
        raise ValueError(f"offset {offset} is not the next, {state.next_offset}")
    changed = _apply(state, offset, record)
    return replace(changed, next_offset=offset + 1)


def _apply(state: State, offset: int, record: Record) -> State:
    match record:
        case records.PatchRecord(patch):
            return apply_patch(state, offset, patch)
        case records.JoinRecord():
            return membership.apply_join(state, offset, record)
        case records.PulseRecord():
            return membership.apply_pulse(state, offset, record)
        case records.LeaveRecord():
            return membership.apply_leave(state, offset, record)
        case records.RetireRecord():
            return membership.apply_retire(state, offset, record)
        case records.RetireAckRecord():
            return membership.apply_retire_ack(state, offset, record)
        case records.FreeRecord():
            return membership.apply_free(state, offset, record)
        case records.ClaimRecord():
            return membership.apply_claim(state, offset, record)
        case records.TransferRecord():
            return membership.apply_transfer(state, offset, record)
        case records.ReleaseRecord():
            return membership.apply_release(state, offset, record)
        case records.ConditionRecord():
            return maintenance.apply_condition(state, record)
        case records.StepRecord():
            return maintenance.apply_step(state, record)
        case records.PauseRecord():
            return maintenance.apply_pause(state, record)
        case records.MoveDrainedRecord():
            return maintenance.apply_move_drained(state, record)
        case records.SnapshotRecord():
            return state
