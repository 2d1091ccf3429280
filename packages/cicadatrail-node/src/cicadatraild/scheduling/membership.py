"""Registry of the instances that may claim leadership, in the leader's topic.

An instance registers before its first claim. As claims name the end of the topic, a
leader knows every instance that had registered when it was elected. It acknowledges
those that register later, so that an instance knows whether the leader, when it can't
reach the store, would ask it for a confirmation.
"""

from __future__ import annotations

import logging
from typing import Any

import msgpack

from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.leadership")

MEMBER_PREFIX = "i/"
KNOWN_KEY = "known"


class Membership:
    """The registered instances, by host, as read from the leader's topic."""

    def __init__(self, own_host: str) -> None:
        self._own_key = MEMBER_PREFIX + own_host
        self._members: set[str] = set()
        self._known: frozenset[str] = frozenset()
        self._dropped: set[str] = set()

    @property
    def hosts(self) -> set[str]:
        """Return the hosts of the registered instances, including this one."""
        return {key.removeprefix(MEMBER_PREFIX) for key in self._members}

    @property
    def is_registered(self) -> bool:
        """Return whether the topic has this instance's registration."""
        return self._own_key in self._members

    @property
    def is_known_to_leader(self) -> bool:
        """Return whether the leader has acknowledged this instance's registration."""
        return self._own_key in self._known

    @property
    def needs_acknowledgement(self) -> bool:
        """Return whether the leader has not acknowledged every instance."""
        return not self._members <= self._known

    def can_confirm_leader(self, host: str) -> bool:
        """Return whether the leader on ``host`` knows an instance to confirm it."""
        return not self._known <= {MEMBER_PREFIX + host}

    def registration(self) -> KeyedRecord:
        """Return the record that registers this instance."""
        return KeyedRecord(self._own_key, msgpack.packb(True))

    def acknowledgement(self) -> KeyedRecord:
        """Return the record with the instances that a leader knows."""
        known = sorted(self._members - self._dropped)
        return KeyedRecord(KNOWN_KEY, msgpack.packb(known))

    def drop(self, host: str) -> None:
        """Have an instance removed with the next renewal; it may register again."""
        self._dropped |= {MEMBER_PREFIX + host} & self._members

    def collect_changes(self) -> list[KeyedRecord]:
        """Return what the leader has to add to its next renewal.

        Repeated until the records have been read back.
        """
        records = [KeyedRecord(key, None) for key in sorted(self._dropped)]
        if records or self._members != self._known:
            records.append(self.acknowledgement())
        return records

    def reset(self) -> None:
        """Forget everything before the whole topic is read again."""
        self._members.clear()
        self._known = frozenset()

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; return whether it belongs to the registry."""
        if record.key.startswith(MEMBER_PREFIX):
            if record.value is None:
                self._members.discard(record.key)
                self._dropped.discard(record.key)
                self._known -= {record.key}
            else:
                self._members.add(record.key)
            return True
        if record.key == KNOWN_KEY:
            self._known = _decode_known(record.value)
            return True
        return False


def _decode_known(value: bytes | None) -> frozenset[str]:
    try:
        keys: Any = msgpack.unpackb(value or b"")
        return frozenset(key for key in keys if isinstance(key, str))
    except Exception as error:
        # Bytes of another writer may fail to decode in any way.
        logger.warning(
            "leadership: ignoring an invalid list of instances.",
            extra={"reason": repr(error)},
        )
        return frozenset()
