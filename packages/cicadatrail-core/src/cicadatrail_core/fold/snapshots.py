"""Snapshots of the state, cut into records of the log and put together."""

from __future__ import annotations

import zlib

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.models.records import SnapshotRecord
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

PART_BYTES = 256 * 1024
"""Largest payload of one part of a snapshot."""

SNAPSHOT_INTERVAL_RECORDS = 20_000
"""Records folded since the newest snapshot after which another is due."""

STATE_LIMIT_BYTES = 256 * 1024 * 1024
"""Largest snapshot that is unpacked."""

COMPRESSION_LEVEL = 1
"""Level of zlib: the fastest, since the loop waits for it."""


def dump_state(state: State) -> bytes:
    """Return the state as compressed msgpack."""
    packed: bytes = msgpack.packb(codec.to_map(state, State), use_bin_type=True)
    return zlib.compress(packed, COMPRESSION_LEVEL)


def load_state(payload: bytes) -> Result[State, Findings]:
    """Read a state that ``dump_state`` wrote; never raises on bad input."""
    try:
        unpacked = zlib.decompressobj().decompress(payload, STATE_LIMIT_BYTES)
        raw = msgpack.unpackb(unpacked, raw=False, strict_map_key=False)
    except (zlib.error, ValueError, msgpack.exceptions.UnpackException) as error:
        return Failure((Finding("$", f"is no snapshot ({error})"),))
    return codec.from_map(raw, State)


def snapshot_records(state: State) -> tuple[SnapshotRecord, ...]:
    """Cut the state into records, to be appended in order."""
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
    """Tell whether another snapshot should be written."""
    return state.next_offset - state.snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS


class SnapshotAssembler:
    """Put the parts of snapshots together while records are scanned.

    Parts of several writers may be mixed: a snapshot is a function of its
    offset, so parts of one offset are interchangeable.
    """

    __slots__ = ("_parts", "newest")

    def __init__(self) -> None:
        self._parts: dict[int, dict[int, SnapshotRecord]] = {}
        self.newest: State | None = None

    def take(self, record: SnapshotRecord) -> None:
        """Take in a part; an unreadable snapshot is passed over."""
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
