"""Feeds of keyed topics: the configuration, waves, and the list of workers."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cicadatraild.platform.store import (
    KeyedRecord,
    RecordsDroppedError,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.feed")

WAIT_MS = 1000
"""Time for which the store may delay a read until the next record (long poll)."""

RETRY_S = 0.1
"""Mean delay before another attempt after the store was unavailable."""


class TopicFeed:
    """Pass each change of a keyed topic to a handler.

    ``on_record`` gets each change in order. ``on_snapshot`` gets all existing keys
    after a full read: the first one, or one after the store dropped the history.
    ``pause_s`` is the delay between reads.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[set[str]], None] | None = None,
        pause_s: float = 0.0,
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._pause_s = pause_s
        self._offset: int | None = None
        self.failed_s: float | None = None
        self.answered_s: float | None = None
        # When the newest read with an answer was sent: earlier changes are known.
        self.read_s: float | None = None

    async def load(self) -> None:
        """Read the newest record of each key.

        Raises StoreUnavailableError.
        """
        sent_s = loop_now_s()
        records, end = await self._store.read_newest(self._topic)
        self.read_s = sent_s
        for record in records:
            self._handle(record)
        if self._on_snapshot is not None:
            self._on_snapshot({record.key for record in records})
        self._offset = end

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        is_unavailable = False
        while True:
            try:
                await self._advance()
                if is_unavailable:
                    logger.info(
                        "feed: topic is available again.", extra={"topic": self._topic}
                    )
                is_unavailable = False
                self.answered_s = loop_now_s()
            except RecordsDroppedError:
                logger.info(
                    "feed: history was truncated; reading the whole topic.",
                    extra={"topic": self._topic},
                )
                self._offset = None
            except StoreUnavailableError as error:
                if not is_unavailable:
                    logger.warning(
                        "feed: topic unavailable; retrying.",
                        extra={"topic": self._topic, "reason": str(error)},
                    )
                is_unavailable = True
                self.failed_s = loop_now_s()
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
            if self._pause_s:
                await asyncio.sleep(self._pause_s)

    async def _advance(self) -> None:
        if self._offset is None:
            await self.load()
            return
        sent_s = loop_now_s()
        records, self._offset = await self._store.read(
            self._topic, self._offset, WAIT_MS
        )
        self.read_s = sent_s
        for record in records:
            self._handle(record)

    def _handle(self, record: KeyedRecord) -> None:
        """Pass on one record; one that fails must not end the process."""
        try:
            self._on_record(record)
        except Exception:
            logger.exception(
                "feed: ignoring a record that can't be handled.",
                extra={"topic": self._topic, "key": record.key},
            )
