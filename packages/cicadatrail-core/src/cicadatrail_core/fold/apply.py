"""The fold: one pure, deterministic function from records to state."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgpack
from returns.result import Failure, Success

from cicadatrail_core.fold import maintenance, membership
from cicadatrail_core.fold.patches import apply_patch
from cicadatrail_core.models import records
from cicadatrail_core.models.records import RECORD_FORMAT, Record
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

GONE_WRITER_LIMIT = 1_000
"""Number of writers that left whose sequence numbers are kept."""


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


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Hold why a record can't be read, and its format where that is known."""

    findings: Findings
    record_format: int | None = None


class ReleaseTooOldError(Exception):
    """Report a record in force that this release can't fold: it must stop."""


Decoded = Envelope | Unreadable


def decode_record(payload: bytes) -> Decoded:
    """Read a record of the log; never raises on bad input."""
    if len(payload) > codec.MAX_MESSAGE_BYTES:
        return _unreadable("is too long")
    try:
        frame = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return _unreadable(f"is not msgpack ({error})")
    match frame:
        case [int(record_format), *_] if record_format != RECORD_FORMAT:
            return _unreadable(f"has format {record_format}", record_format)
        case [_, str(writer), int(sequence), body]:
            return _decode_body(IncarnationId(writer), sequence, body)
    return _unreadable("is no record")


def _decode_body(writer: IncarnationId, sequence: int, body: object) -> Decoded:
    match codec.from_map(body, Record):
        case Success(record):
            return Envelope(writer, sequence, record)
        case Failure(findings):
            return Unreadable(findings)
    raise AssertionError("a result is a success or a failure")


def _unreadable(fault: str, record_format: int | None = None) -> Unreadable:
    return Unreadable((Finding("$", fault),), record_format)


def fold_payload(state: State, offset: int, payload: bytes) -> State:
    """Fold one record of the log as ``fold_decoded`` does."""
    return fold_decoded(state, offset, decode_record(payload))


def fold_decoded(state: State, offset: int, decoded: Decoded) -> State:
    """Fold one decoded record; an unreadable one is counted and skipped.

    Every instance skips the same ones, so that all reach the same state: a
    record of a newer format counts only once every member can fold it. Raises
    ReleaseTooOldError for a record that counts, but not to this release.
    """
    match decoded:
        case Envelope():
            return _fold_envelope(state, offset, decoded)
        case Unreadable(record_format=int(found)) if (
            RECORD_FORMAT < found <= state.record_format
        ):
            raise ReleaseTooOldError(f"offset {offset} has format {found}")
    count = state.unreadable_count + 1
    return replace(state, next_offset=offset + 1, unreadable_count=count)


def _fold_envelope(state: State, offset: int, envelope: Envelope) -> State:
    """Fold a record unless its writer's sequence shows that it was folded."""
    writer = envelope.writer
    newest = state.writer_sequences.get(writer, 0)
    newest = max(newest, state.gone_sequences.get(writer, 0))
    if envelope.sequence <= newest:
        return replace(state, next_offset=offset + 1)
    changed = fold_record(state, offset, envelope.record)
    sequences = {**changed.writer_sequences, writer: envelope.sequence}
    return _forget_gone_writers(replace(changed, writer_sequences=sequences), writer)


def _forget_gone_writers(state: State, newest_writer: str) -> State:
    """Keep apart the sequences of writers that left, the newest ones only.

    A join that is appended again late must not bring back who left.
    """
    sequences = state.writer_sequences
    gone = [writer for writer in sequences if writer not in state.roster]
    if not gone or gone == [newest_writer]:
        return state
    kept = {**state.gone_sequences, **{writer: sequences[writer] for writer in gone}}
    while len(kept) > GONE_WRITER_LIMIT:
        del kept[next(iter(kept))]
    members = {w: sequence for w, sequence in sequences.items() if w in state.roster}
    return replace(state, writer_sequences=members, gone_sequences=kept)


def fold_record(state: State, offset: int, record: Record) -> State:
    """Apply a record at its offset; a record that is not valid changes nothing.

    Raises ValueError when the offset is not the next one, since a gap or a
    repetition would make instances differ.
    """
    if offset != state.next_offset:
        raise ValueError(f"offset {offset} is not the next, {state.next_offset}")
    changed = _raise_format(_apply(state, offset, record))
    return replace(changed, next_offset=offset + 1)


def _raise_format(state: State) -> State:
    """Put a newer format in force once the whole roster can fold it."""
    if not state.roster:
        return state
    lowest = min(member.record_format for member in state.roster.values())
    if lowest <= state.record_format:
        return state
    return replace(state, record_format=lowest)


def _apply(state: State, offset: int, record: Record) -> State:
    match record:
        case records.PatchRecord(patch):
            return apply_patch(state, offset, patch)
        case records.JoinRecord():
            return membership.apply_join(state, offset, record)
        case records.PulseRecord():
            return membership.apply_heartbeat(state, offset, record)
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
