"""Snapshots of the state, split into log records and reassembled."""

from __future__ import annotations

import zlib

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.models.records import SnapshotRecord
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

PART_BYTES = 256 * 1024
"""Maximum payload of one part of a snapshot."""

SNAPSHOT_INTERVAL_RECORDS = 20_000
"""Records folded since the newest snapshot after which another is due."""

STATE_LIMIT_BYTES = 256 * 1024 * 1024
"""Maximum size of a decompressed snapshot."""

COMPRESSION_LEVEL = 1
"""zlib level: the fastest, since compression blocks the event loop."""


def dump_state(state: State) -> bytes:
    """Return the state as zlib-compressed msgpack."""
    packed: bytes = msgpack.packb(codec.to_map(state, State), use_bin_type=True)
    return zlib.compress(packed, COMPRESSION_LEVEL)


def load_state(payload: bytes) -> Result[State, Findings]:
    """Load a state that ``dump_state`` wrote, or return why it is malformed."""
    try:
        unpacked = zlib.decompressobj().decompress(payload, STATE_LIMIT_BYTES)
        raw = msgpack.unpackb(unpacked, raw=False, strict_map_key=False)
    except (zlib.error, ValueError, msgpack.exceptions.UnpackException) as error:
        return Failure((Finding("$", f"is no snapshot ({error})"),))
    return codec.from_map(raw, State)


def snapshot_records(state: State) -> tuple[SnapshotRecord, ...]:
    """Return a snapshot of the state as records to append in order."""
    payload = dump_state(state)
    parts = [
        payload[start : start + PART_BYTES]
        for start in range(0, len(payload), PART_BYTES)
    ]
    return tuple(
        SnapshotRecord(state.next_offset, index, len(parts), part)
        for index, part in enumerate(parts)
    )


def is_due(state: State) -> bool:
    """Return whether another snapshot should be written."""
    return state.next_offset - state.snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS


class SnapshotAssembler:
    """Assemble snapshots from their parts while records are scanned.

    Parts by several writers may be interleaved: a snapshot is a function of its
    offset, so parts of the same offset are interchangeable.
    """

    __slots__ = ("_parts", "newest")

    def __init__(self) -> None:
        self._parts: dict[int, dict[int, SnapshotRecord]] = {}
        self.newest: State | None = None

    def take(self, record: SnapshotRecord) -> None:
        """Add a part; an unreadable snapshot is ignored."""
        if self.newest is not None and record.offset <= self.newest.next_offset:
            return
        parts = self._parts.setdefault(record.offset, {})
        parts[record.part] = record
        if set(parts) != set(range(record.part_count)):
            return
        del self._parts[record.offset]
        payload = b"".join(parts[index].payload for index in range(record.part_count))
        match load_state(payload):
            case Success(state) if state.next_offset == record.offset:
                self.newest = state
