"""The stored record of the leader of an epoch.

Its key calls the leader "holder".
"""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import Any

import msgpack

from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.leadership")

HOLDER_KEY = "holder"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The stored record of the leader of an epoch.

    ``process_id`` identifies one incarnation of the leader's process.
    ``released`` is set once the leader has stepped down; ``successor`` is then
    the host that should claim first, or "" for any.
    """

    epoch: int
    node: str
    host: str
    process_id: str
    released: bool = False
    successor: str = ""


def encode_leader(leader: LeaderRecord) -> KeyedRecord:
    """Return the record of a leader as it is stored."""
    value: bytes = msgpack.packb(asdict(leader))
    return KeyedRecord(HOLDER_KEY, value)


def decode_leader(record: KeyedRecord) -> LeaderRecord | None:
    """Return a stored leader, or None for an invalid record, which is logged."""
    try:
        value: Any = msgpack.unpackb(record.value or b"")
        leader = LeaderRecord(**value)
        if type(leader.epoch) is not int:
            raise TypeError(f"the epoch can't be {leader.epoch!r}")
        return leader
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        logger.warning(
            "leadership: ignoring an invalid leader record.",
            extra={"reason": repr(error)},
        )
        return None
