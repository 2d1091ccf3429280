"""Renewals and the release of a leader's term, which it appends to the store."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from cicadatraild.platform.store import (
    LEADER_TOPIC,
    FencedError,
    KeyedRecord,
    Producer,
    SequenceError,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader_record import LeaderRecord, encode_leader
from cicadatraild.scheduling.leader_right import LeaderRight
from cicadatraild.scheduling.membership import Membership

logger = logging.getLogger("cicadatrail.leadership")

RENEWAL_S = 0.3
"""Interval between renewals; four fit into the silence limit."""

RETRY_S = 0.1
"""Mean delay before another attempt after the store was unavailable."""

RELEASE_TRIES_COUNT = 3

PRODUCER = "holder"


class UnreadError(Exception):
    """Raised when a leader stores renewals and can't read them back."""

    def __init__(self) -> None:
        super().__init__("renewals can't be read back")


class Term(Protocol):
    """What renewals need to know of the leadership.

    ``held_epoch`` is the epoch that the instance leads, or 0.
    """

    held_epoch: int

    @property
    def read_offset(self) -> int:
        """Return up to where the leader's topic has been read."""

    def step_down(self, reason: str) -> None:
        """Stop leading at once."""


class Renewals:
    """Renew the leadership of one term at a time, until it is over.

    ``term`` is the instance's leadership; it steps down when its term can't be renewed
    any more.
    """

    def __init__(
        self,
        store: StoreClient,
        members: Membership,
        right: LeaderRight,
        term: Term,
    ) -> None:
        self._store = store
        self._members = members
        self._right = right
        self._term = term
        # The number of the next append, which the store expects in this order.
        self._sequence = 0
        self._renewing: asyncio.Task[None] | None = None
        self._needed = asyncio.Event()

    def begin(self, record: LeaderRecord) -> None:
        """Begin to renew a new term with ``record``."""
        self._sequence = 0
        self._renewing = asyncio.create_task(self._renew(record))

    def stop(self) -> None:
        """Stop renewing; others take over after the silence limit."""
        if self._renewing is not None:
            self._renewing.cancel()
            self._renewing = None

    def renew_soon(self) -> None:
        """Send the next renewal at once, as the leader has to store something."""
        self._needed.set()

    async def release(self, record: LeaderRecord) -> None:
        """Store that the term is over, unless the store is unavailable.

        ``record`` is marked as released.
        """
        # The store answers a repeat of a renewal's number, and does not store this.
        is_used = self._right.has_sent(self._sequence)
        for _ in range(RELEASE_TRIES_COUNT):
            try:
                await self.append(record, [self._right.handed_over(record.epoch)])
                if is_used:
                    is_used = False
                    continue
                return
            except (StoreUnavailableError, SequenceError) as error:
                logger.warning(
                    "leadership: failed to store the release.",
                    extra={"reason": str(error)},
                )
            except FencedError:
                return

    async def append(
        self, record: LeaderRecord, more: Iterable[KeyedRecord] = ()
    ) -> None:
        """Append a record of the leader, and what it has to add to the registry."""
        sequence = self._sequence
        sent_s = self._right.note_sending(sequence)
        changes = self._members.collect_changes(sequence)
        records = [encode_leader(record), *changes, *more]
        if self._right.is_settled:
            records += self._members.settlement(record.epoch)
        producer = Producer(PRODUCER, record.epoch, sequence)
        end = await self._store.append(LEADER_TOPIC, records, producer=producer)
        self._sequence = sequence + 1
        if self._term.held_epoch == record.epoch:
            self._right.note_stored(sequence, sent_s, end)
            self._right.note_offset(self._term.read_offset)

    async def _renew(self, record: LeaderRecord) -> None:
        while self._term.held_epoch == record.epoch:
            began_s = loop_now_s()
            try:
                await self.append(record)
                if self._right.has_lost_track():
                    # Its renewals keep others from claiming, but give it no right.
                    raise UnreadError
            except (FencedError, UnreadError) as error:
                self._renewing = None
                self._term.step_down(str(error))
                return
            except SequenceError as error:
                self._sequence = error.expected
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership: renewal failed; retrying.",
                    extra={"reason": str(error)},
                )
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
                continue
            pause_s = began_s + RENEWAL_S - loop_now_s()
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, pause_s)):
                    await self._needed.wait()
            self._needed.clear()
