"""The fold: one pure, deterministic function from records to state."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.fold import maintenance, membership
from cicadatrail_core.fold.patches import apply_patch
from cicadatrail_core.models import records
from cicadatrail_core.models.records import RECORD_FORMAT, Record
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings


@dataclass(frozen=True, slots=True)
class Envelope:
    """Hold a record with its writer and the writer's own sequence number.

    An append whose answer was lost is sent again; the sequence number lets
    the fold drop what it has applied already.
    """

    writer: IncarnationId
    sequence: int
    record: Record


def encode_record(envelope: Envelope) -> bytes:
    """Return a record as the log keeps it, with the format that it needs."""
    body = codec.to_map(envelope.record, Record)
    frame = [RECORD_FORMAT, envelope.writer, envelope.sequence, body]
    packed: bytes = msgpack.packb(frame, use_bin_type=True)
    return packed


def decode_record(payload: bytes) -> Result[Envelope, Findings]:
    """Read a record; one of a newer format or unknown type is a finding."""
    if len(payload) > codec.MAX_MESSAGE_BYTES:
        return Failure((Finding("$", "is too long"),))
    try:
        frame = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return Failure((Finding("$", f"is not msgpack ({error})"),))
    match frame:
        case [int(record_format), *_] if record_format != RECORD_FORMAT:
            return Failure((Finding("$[0]", f"format {record_format} is unknown"),))
        case [_, str(writer), int(sequence), body]:
            read: Result[Record, Findings] = codec.from_map(body, Record)
            return read.map(
                lambda record: Envelope(IncarnationId(writer), sequence, record)
            )
    return Failure((Finding("$", "is no record"),))


def fold_payload(state: State, offset: int, payload: bytes) -> State:
    """Fold one record of the log; an unreadable one is counted and skipped.

    Every instance skips the same ones, so that all reach the same state.
    """
    match decode_record(payload):
        case Success(envelope):
            return _fold_envelope(state, offset, envelope)
    count = state.unreadable_count + 1
    return replace(state, next_offset=offset + 1, unreadable_count=count)


def _fold_envelope(state: State, offset: int, envelope: Envelope) -> State:
    """Fold a record unless its writer's sequence shows that it was folded."""
    newest = state.writer_sequences.get(envelope.writer, 0)
    if envelope.sequence <= newest:
        return replace(state, next_offset=offset + 1)
    changed = fold_record(state, offset, envelope.record)
    sequences = {
        writer: sequence
        for writer, sequence in changed.writer_sequences.items()
        if writer in changed.roster
    }
    sequences[envelope.writer] = envelope.sequence
    return replace(changed, writer_sequences=sequences)


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
            return _note_snapshot(state, record)


def _note_snapshot(state: State, record: records.SnapshotRecord) -> State:
    """Note the newest snapshot whose last part is in the log."""
    if record.part != record.part_count - 1:
        return state
    if not state.snapshot_offset < record.offset <= state.next_offset:
        return state
    return replace(state, snapshot_offset=record.offset)
