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

DEPARTED_WRITER_LIMIT = 1_000
"""Number of departed writers whose sequence numbers are kept."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A record with its writer and the writer's own sequence number.

    An append whose answer was lost is retried; the sequence number lets the
    fold skip a record that it has already applied.
    """

    writer: IncarnationId
    sequence: int
    record: Record


def encode_record(envelope: Envelope) -> bytes:
    """Return the log encoding of a record, tagged with the record format."""
    body = codec.to_map(envelope.record, Record)
    frame = [RECORD_FORMAT, envelope.writer, envelope.sequence, body]
    packed: bytes = msgpack.packb(frame, use_bin_type=True)
    return packed


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The reason why a record can't be decoded, and its format if known."""

    findings: Findings
    record_format: int | None = None


class ReleaseTooOldError(Exception):
    """Raised for a record in effect that this release can't fold.

    The instance must stop, since skipping the record would make its state differ
    from that of other instances.
    """


Decoded = Envelope | Unreadable


def decode_record(payload: bytes) -> Decoded:
    """Decode a record of the log; return ``Unreadable`` for malformed input."""
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
    """Decode one record of the log and fold it as ``fold_decoded`` does."""
    return fold_decoded(state, offset, decode_record(payload))


def fold_decoded(state: State, offset: int, decoded: Decoded) -> State:
    """Fold one decoded record; count and skip an unreadable one.

    Every instance skips the same records, so that all reach the same state: a
    record of a newer format takes effect only once every member can fold it.
    Raises ReleaseTooOldError for a record that is in effect but that this
    release can't fold.
    """
    match decoded:
        case Envelope():
            return _fold_envelope(state, offset, decoded)
        case Unreadable(record_format=int(found)) if (
            RECORD_FORMAT < found <= state.record_format
        ):
            raise ReleaseTooOldError(f"offset {offset} has newer record format {found}")
    count = state.unreadable_count + 1
    return replace(state, next_offset=offset + 1, unreadable_count=count)


def _fold_envelope(state: State, offset: int, envelope: Envelope) -> State:
    """Fold a record unless its sequence number shows that it is a duplicate."""
    writer = envelope.writer
    newest = state.writer_sequences.get(writer, 0)
    newest = max(newest, state.gone_sequences.get(writer, 0))
    if envelope.sequence <= newest:
        return replace(state, next_offset=offset + 1)
    changed = fold_record(state, offset, envelope.record)
    sequences = {**changed.writer_sequences, writer: envelope.sequence}
    return _archive_departed_writers(
        replace(changed, writer_sequences=sequences), writer
    )


def _archive_departed_writers(state: State, newest_writer: str) -> State:
    """Keep the sequences of departed writers separately, the newest ones only.

    A join record that is appended again late must not readmit a departed
    incarnation.
    """
    sequences = state.writer_sequences
    departed = [writer for writer in sequences if writer not in state.roster]
    if not departed or departed == [newest_writer]:
        return state
    kept = {
        **state.gone_sequences,
        **{writer: sequences[writer] for writer in departed},
    }
    while len(kept) > DEPARTED_WRITER_LIMIT:
        del kept[next(iter(kept))]
    members = {w: sequence for w, sequence in sequences.items() if w in state.roster}
    return replace(state, writer_sequences=members, gone_sequences=kept)


def fold_record(state: State, offset: int, record: Record) -> State:
    """Apply a record at its offset; an invalid record changes nothing.

    Raises ValueError if the offset is not the next one, since a gap or a
    repetition would make the states of instances diverge.
    """
    if offset != state.next_offset:
        raise ValueError(
            f"offset {offset} is out of order; expected {state.next_offset}"
        )
    changed = _raise_format(_apply(state, offset, record))
    return replace(changed, next_offset=offset + 1)


def _raise_format(state: State) -> State:
    """Put a newer record format into effect once every member can fold it."""
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
            return _record_snapshot(state, record)


def _record_snapshot(state: State, record: records.SnapshotRecord) -> State:
    """Record the newest snapshot whose last part is in the log."""
    if record.part != record.part_count - 1:
        return state
    if not state.snapshot_offset < record.offset <= state.next_offset:
        return state
    return replace(state, snapshot_offset=record.offset)
