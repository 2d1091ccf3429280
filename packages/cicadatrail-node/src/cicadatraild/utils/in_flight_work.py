"""Counter of work in flight, used to wait for its completion."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlightWork:
    """Number of requests in flight, with a wait until there are none."""

    __slots__ = ("_idle", "count")

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request as in flight inside the context."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def ended(self) -> None:
        """Wait until nothing is in flight."""
        await self._idle.wait()
