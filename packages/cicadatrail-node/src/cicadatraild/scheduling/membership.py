"""Registry of the instances that may claim leadership, in the leader's topic.

An instance registers before its first claim. The leader stores which instances it knows
(``known``). Without the store a majority of them has to confirm it, and a successor
asks the same instances to follow it. The leader also stores that no earlier leader can
act any more (``settled``), so that its own successor has to mind only this one.
Claims store their epoch (``claimed``) beside the leader's record, which a late renewal
of the former leader may replace.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Any

import msgpack

from cicadatrail_core.leadership.acting_right import is_majority
from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.leadership")

MEMBER_PREFIX = "i/"
KNOWN_KEY = "known"
SETTLED_KEY = "settled"
CLAIMED_KEY = "claimed"

CLAIM_SEQUENCE = -1
"""Stands for the sequence number of a claim, which has none."""


class Membership:
    """The registered instances, by host, as read from the leader's topic.

    ``known_hosts`` are those that the leader has acknowledged last. No leader before
    ``settled_epoch`` can act any more. ``claimed_epoch`` is the newest one claimed.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._members: set[str] = set()
        self._dropped: set[str] = set()
        # Acknowledgements that were sent and not read back, by the sequence number of
        # the append: any of them may be what a successor reads.
        self._unread: list[tuple[int, frozenset[str]]] = []
        self.known_hosts: frozenset[str] = frozenset()
        self.settled_epoch = 0
        self.claimed_epoch = 0

    @property
    def hosts(self) -> set[str]:
        """Return the hosts of the registered instances, including this one."""
        return set(self._members)

    @property
    def is_registered(self) -> bool:
        """Return whether the topic has this instance's registration."""
        return self._own_host in self._members

    @property
    def needs_acknowledgement(self) -> bool:
        """Return whether the leader has not acknowledged every instance."""
        return not self._members <= self.known_hosts

    def is_confirmed_by(self, hosts: Collection[str]) -> bool:
        """Return whether ``hosts`` are a majority of all that a successor may ask."""
        return all(
            is_majority(hosts, members)
            for members in (self.known_hosts, *(known for _, known in self._unread))
        )

    def registration(self) -> KeyedRecord:
        """Return the record that registers this instance."""
        return KeyedRecord(MEMBER_PREFIX + self._own_host, msgpack.packb(True))

    def begin_term(self, epoch: int) -> list[KeyedRecord]:
        """Return the records that are stored with a claim."""
        self._unread.clear()
        self._dropped.clear()
        claimed = KeyedRecord(CLAIMED_KEY, msgpack.packb(epoch))
        return [self._acknowledge(CLAIM_SEQUENCE), claimed]

    def _acknowledge(self, sequence: int) -> KeyedRecord:
        known = frozenset(self._members - self._dropped)
        self._unread.append((sequence, known))
        keys = [MEMBER_PREFIX + host for host in sorted(known)]
        return KeyedRecord(KNOWN_KEY, msgpack.packb(keys))

    def mark_read(self, sequence: int) -> None:
        """Record that an append was read back: no earlier one is stored any more."""
        self._unread = [entry for entry in self._unread if entry[0] > sequence]

    def settlement(self, epoch: int) -> list[KeyedRecord]:
        """Return the record that no leader before ``epoch`` can act, unless stored."""
        if self.settled_epoch >= epoch:
            return []
        return [KeyedRecord(SETTLED_KEY, msgpack.packb(epoch))]

    def drop(self, host: str) -> None:
        """Have an instance removed with the next renewal; it may register again."""
        self._dropped |= {host} & self._members

    def collect_changes(self, sequence: int) -> list[KeyedRecord]:
        """Return what the leader has to add to the append of a sequence number.

        Repeated until the records have been read back.
        """
        dropped = sorted(self._dropped)
        records = [KeyedRecord(MEMBER_PREFIX + host, None) for host in dropped]
        if records or self._members != self.known_hosts:
            records.append(self._acknowledge(sequence))
        return records

    def reset(self) -> None:
        """Forget everything before the whole topic is read again."""
        self._members.clear()
        self.known_hosts = frozenset()

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; return whether it belongs to the registry."""
        if record.key.startswith(MEMBER_PREFIX):
            self._apply_member(record)
            return True
        if record.key == KNOWN_KEY:
            self.known_hosts = _decode_known(record.value)
            return True
        if record.key == SETTLED_KEY:
            self.settled_epoch = max(self.settled_epoch, _decode_epoch(record.value))
            return True
        if record.key == CLAIMED_KEY:
            self.claimed_epoch = max(self.claimed_epoch, _decode_epoch(record.value))
            return True
        return False

    def _apply_member(self, record: KeyedRecord) -> None:
        host = record.key.removeprefix(MEMBER_PREFIX)
        if record.value is None:
            self._members.discard(host)
            self._dropped.discard(host)
        else:
            self._members.add(host)


def _decode_known(value: bytes | None) -> frozenset[str]:
    try:
        keys: Any = msgpack.unpackb(value or b"")
        return frozenset(
            key.removeprefix(MEMBER_PREFIX) for key in keys if isinstance(key, str)
        )
    except Exception as error:
        # Bytes of another writer may fail to decode in any way.
        logger.warning(
            "leadership: ignoring an invalid list of instances.",
            extra={"reason": repr(error)},
        )
        return frozenset()


def _decode_epoch(value: bytes | None) -> int:
    try:
        epoch: Any = msgpack.unpackb(value or b"")
    except Exception as error:
        # Bytes of another writer may fail to decode in any way.
        logger.warning(
            "leadership: ignoring an invalid epoch.", extra={"reason": repr(error)}
        )
        return 0
    return epoch if type(epoch) is int else 0
