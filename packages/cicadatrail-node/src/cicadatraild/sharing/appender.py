"""Appends this instance's records to the log, in order and in batches."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque

from returns.result import Success

from cicadatrail_core.fold.apply import Envelope, encode_record
from cicadatrail_core.models.platform import LogService
from cicadatrail_core.models.records import PulseRecord, Record
from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.sharing.backoff import Backoff

logger = logging.getLogger("cicadatrail.log")

BATCH_LIMIT_COUNT = 256
"""Largest number of records in one append."""

QUEUE_LIMIT_COUNT = 4096
"""Largest number of records that wait while the log is down."""

BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 2.0


class Appender:
    """Send records in order, one append at a time.

    An append without an answer is retried unchanged; the fold drops records
    that it has already seen. At most ``limit_per_s`` appends are sent per
    second.
    """

    __slots__ = (
        "_backoff",
        "_log",
        "_queue",
        "_sequence",
        "_spacing_s",
        "_wake",
        "_writer",
        "append_count",
        "failing_since_s",
    )

    def __init__(
        self,
        log: LogService,
        writer: IncarnationId,
        limit_per_s: float,
        random_source: random.Random,
    ) -> None:
        self._log = log
        self._writer = writer
        self._spacing_s = 1.0 / limit_per_s
        self._queue: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._sequence = 0
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_LIMIT_S, random_source)
        self.append_count = 0
        self.failing_since_s: float | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of records not yet confirmed by the log."""
        return len(self._queue)

    def add(self, record: Record) -> bool:
        """Queue a record and return whether the queue had space for it."""
        if len(self._queue) >= QUEUE_LIMIT_COUNT:
            return False
        self._sequence += 1
        envelope = Envelope(self._writer, self._sequence, record)
        self._queue.append(encode_record(envelope))
        self._wake.set()
        return True

    def add_heartbeat(self, pulse: PulseRecord) -> None:
        """Queue a heartbeat unless the log is failing.

        Outdated heartbeats have no value and would only delay later records.
        """
        if self.failing_since_s is None:
            self.add(pulse)

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wake.wait()
            batch = tuple(self._queue)[:BATCH_LIMIT_COUNT]
            await self._append(batch)
            for _ in batch:
                self._queue.popleft()
            if not self._queue:
                self._wake.clear()
            await asyncio.sleep(self._spacing_s)

    async def _append(self, batch: tuple[bytes, ...]) -> None:
        """Append a batch, retrying until the log accepts it."""
        while True:
            self.append_count += 1
            answer = await self._log.append(batch)
            if isinstance(answer, Success):
                self.failing_since_s = None
                self._backoff.reset()
                return
            if self.failing_since_s is None:
                self.failing_since_s = asyncio.get_running_loop().time()
                logger.warning(
                    "log: append failed, retrying: %s.", answer.failure().reason
                )
            await asyncio.sleep(self._backoff.next_delay_s())
