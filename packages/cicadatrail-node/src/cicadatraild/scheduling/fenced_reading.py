"""Reading of a topic that only this leader can change, across failed calls.

Answers a takeover with many records over a slow link: a page may take longer than other
calls may, and to begin anew after each call that failed would never come to an end.
"""

from __future__ import annotations

from cicadatraild.platform.store import (
    KeyedRecord,
    StoreClient,
    StoreUnavailableError,
)

PAGE_TIMEOUT_S = 2.0
"""First time limit of a page; the largest one takes 1.1 s on a link of 10 Mbit/s."""

PAGE_TIMEOUT_LIMIT_S = 4.0
"""Largest time limit of a page, after calls that failed."""


class FencedReading:
    """The newest records of a topic, which no other process can change any more.

    So pages that have been read stay true, and are kept when a later one fails.
    """

    def __init__(self, store: StoreClient, topic: str) -> None:
        self._store = store
        self._topic = topic
        self._timeout_s = PAGE_TIMEOUT_S
        self._records: list[KeyedRecord] = []

    async def read(self) -> list[KeyedRecord]:
        """Return all records, going on where an earlier call failed.

        Raises StoreUnavailableError; the next call then allows twice the time.
        """
        while True:
            after = self._records[-1].key if self._records else ""
            try:
                page = await self._store.read_newest_page(
                    self._topic, after, self._timeout_s
                )
            except StoreUnavailableError:
                self._timeout_s = min(PAGE_TIMEOUT_LIMIT_S, 2 * self._timeout_s)
                raise
            self._records += page.records
            if not page.has_more:
                return self._records
