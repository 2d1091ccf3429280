"""Counts work that is under way, so that its end can be awaited."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlightWork:
    """Count pieces of work between their begin and end."""

    __slots__ = ("_idle", "count")

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one piece of work while the context lasts."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing is under way."""
        await self._idle.wait()
