"""Batched, fenced appends of the holder's records, one at a time."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

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
"""Largest append; half of the platform's limit of a call."""

RECORD_LIMIT_BYTES = 262_000
"""Largest record; the platform's limit less the key."""

RETRY_S = 0.08
"""Mean pause before an append is repeated; ten answer times of the store."""

STALLED_S = 0.4
"""Time without an answer after which nothing new is taken; a sound store
answers in 8 ms."""

Batch = tuple[list[KeyedRecord], Callable[[], None]]


class Journal:
    """Append what has changed, and tell waiters once it is stored.

    ``collect`` returns the records of all changes so far, and what to do once
    they are stored.
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
        # The append that sets the epoch has number 0.
        self._sequence = 1
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._sent_s: float | None = None
        self.append_count = 0
        self.stored_bytes = 0

    @property
    def is_stalled(self) -> bool:
        """Tell whether the store leaves an append unanswered."""
        return self._sent_s is not None and loop_now_s() - self._sent_s > STALLED_S

    async def fence(self) -> None:
        """Let the store refuse every append of earlier epochs from now on.

        Raises FencedError and StoreUnavailableError.
        """
        await self._store.append(
            JOBS_TOPIC, (), producer=Producer(PRODUCER, self._epoch, 0)
        )

    async def flush(self) -> None:
        """Wait until every change so far is stored."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self._wake.set()
        await future

    def flush_soon(self) -> None:
        """Store changes soon, without waiting."""
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
            except FencedError as error:
                _fail(waiters)
                self._on_fenced(str(error))
                return
            except BaseException:
                _fail(waiters)
                raise
            on_stored()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def close(self) -> None:
        """Fail what waits."""
        _fail(self._waiters)

    async def _append(self, records: list[KeyedRecord]) -> None:
        """Append one batch, repeating it with its number until it is settled."""
        producer = Producer(PRODUCER, self._epoch, self._sequence)
        self._sent_s = loop_now_s()
        attempts = 0
        while True:
            try:
                await self._store.append(JOBS_TOPIC, records, producer=producer)
                break
            except SequenceError as error:
                if attempts and error.expected == self._sequence + 1:
                    break  # An earlier attempt was carried out.
                logger.warning(
                    "journal: sequence differs.",
                    extra={"sent": self._sequence, "expected": error.expected},
                )
                self._sequence = error.expected
                producer = Producer(PRODUCER, self._epoch, self._sequence)
            except StoreUnavailableError as error:
                attempts += 1
                logger.warning(
                    "journal: append not answered.",
                    extra={"attempt": attempts, "reason": str(error)},
                )
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        self._sent_s = None
        self._sequence += 1
        self.append_count += 1
        self.stored_bytes += sum(len(record.value or b"") for record in records)


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
            # Whoever waits may have given up; the error is then of no use.
            waiter.exception()
