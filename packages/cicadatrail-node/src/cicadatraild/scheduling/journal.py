"""Batched, fenced appends of the leader's records to the store, one at a time."""

from __future__ import annotations

import asyncio
import logging
import random
from asyncio import FIRST_COMPLETED
from collections.abc import Callable
from typing import Any

from cicadatrail_core.leadership.request_rules import RULES, RequestState
from cicadatraild.platform.store import (
    JOBS_TOPIC,
    FencedError,
    KeyedRecord,
    Producer,
    SequenceError,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.journal")

PRODUCER = "jobs"

BATCH_LIMIT_BYTES = 1_000_000
"""Largest append; half of the platform's limit per call."""

RECORD_LIMIT_BYTES = 262_000
"""Largest record; the platform's limit less the key."""

RETRY_S = 0.08
"""Mean delay before an append is retried; ten response times of the store."""

STALLED_S = RULES[RequestState.UNSENT].wait_s
"""Time of failed attempts after which no new jobs are accepted."""

Batch = tuple[list[KeyedRecord], Callable[[], None]]


class Journal:
    """Append changed records, and notify waiters once they are stored.

    ``collect`` returns the records of all changes so far, and a callback for once
    they are stored. ``on_fenced`` is called when a newer leader writes.
    """

    def __init__(
        self,
        store: StoreClient,
        epoch: int,
        collect: Callable[[], Batch],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._collect = collect
        self._on_fenced = on_fenced
        # The append of fence(), which sets the epoch, has number 0.
        self._sequence = 1
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._stalled = asyncio.Event()
        self._is_closed = False
        self.append_count = 0
        self.stored_bytes = 0

    @property
    def is_stalled(self) -> bool:
        """Return whether attempts of an append have failed for too long.

        A store that is only slow takes it within the time of one attempt.
        """
        return self._stalled.is_set()

    async def fence(self) -> None:
        """Make the store refuse all further appends of earlier epochs.

        Raises FencedError when a newer epoch has written, and
        StoreUnavailableError.
        """
        await self._store.append(
            JOBS_TOPIC, (), producer=Producer(PRODUCER, self._epoch, 0)
        )

    async def flush(self) -> None:
        """Wait until all changes so far are stored.

        Raises FencedError when the journal ends before.
        """
        await self.start_flush()

    def start_flush(self) -> asyncio.Future[None]:
        """Return a future that ends once all changes so far are stored.

        Raises FencedError, as the future does, when the journal ends before.
        """
        if self._is_closed:
            raise FencedError("the journal is closed")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self._wake.set()
        return future

    async def wait_unless_stalled(self, flush: asyncio.Future[None]) -> None:
        """Wait until a flush has ended, or an append is stalled."""
        stalling = asyncio.ensure_future(self._stalled.wait())
        waited: set[asyncio.Future[Any]] = {flush, stalling}
        try:
            await asyncio.wait(waited, return_when=FIRST_COMPLETED)
        finally:
            stalling.cancel()

    def flush_soon(self) -> None:
        """Schedule an append of all changes without waiting for it."""
        self._wake.set()

    async def run(self) -> None:
        """Append until cancelled or fenced."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            waiters, self._waiters = self._waiters, []
            try:
                records, on_stored = self._collect()
                for batch in _split(records):
                    await self._append(batch)
                on_stored()
            except FencedError as error:
                _fail(waiters)
                self._on_fenced(str(error))
                return
            except BaseException:
                _fail(waiters)
                raise
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def close(self) -> None:
        """Fail all waiters, and those to come."""
        self._is_closed = True
        _fail(self._waiters)

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append one batch, retrying with the same sequence number until it is stored.

        Raises FencedError.
        """
        producer = Producer(PRODUCER, self._epoch, self._sequence)
        try:
            await self._append_until_stored(records, producer)
        finally:
            self._stalled.clear()
        self._sequence += 1
        self.append_count += 1
        self.stored_bytes += sum(len(record.value or b"") for record in records)

    async def _append_until_stored(
        self, records: list[KeyedRecord], producer: Producer
    ) -> None:
        sent_s = loop_now_s()
        attempts = 0
        while True:
            try:
                await self._store.append(JOBS_TOPIC, records, producer=producer)
                break
            except SequenceError as error:
                if attempts and error.expected == self._sequence + 1:
                    break  # An earlier attempt was stored.
                logger.warning(
                    "journal: unexpected sequence number; retrying with the store's.",
                    extra={"sent": self._sequence, "expected": error.expected},
                )
                self._sequence = error.expected
                producer = Producer(PRODUCER, self._epoch, self._sequence)
            except StoreUnavailableError as error:
                attempts += 1
                if loop_now_s() - sent_s > STALLED_S:
                    self._stalled.set()
                logger.warning(
                    "journal: append failed; retrying.",
                    extra={"attempt": attempts, "reason": str(error)},
                )
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))


def _split(records: list[KeyedRecord]) -> list[list[KeyedRecord]]:
    batches: list[list[KeyedRecord]] = []
    size_bytes = BATCH_LIMIT_BYTES
    for record in records:
        length = len(record.value or b"") + len(record.key) + 8
        if size_bytes + length > BATCH_LIMIT_BYTES:
            batches.append([])
            size_bytes = 0
        batches[-1].append(record)
        size_bytes += length
    return batches


def _fail(waiters: list[asyncio.Future[None]]) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_exception(FencedError("the journal is closed"))
            # Mark the error as retrieved, as the waiter may have been cancelled.
            waiter.exception()


def refusal_to_store(journal: Journal, record_bytes: int) -> str:
    """Return why a new job can't be stored now, or ""."""
    if journal.is_stalled:
        return "the store does not answer"
    if record_bytes > RECORD_LIMIT_BYTES:
        return "the job is too large to store"
    return ""
