"""Time limits of open requests, which a shutdown shortens."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class RequestLimits:
    """Limit the time that requests may take until they are answered."""

    def __init__(self) -> None:
        self._close_s: float | None = None
        self._open: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def until(self, deadline_s: float | None = None) -> AsyncIterator[None]:
        """Raise TimeoutError at a deadline, or when all requests must be answered."""
        limits = [
            time_s for time_s in (deadline_s, self._close_s) if time_s is not None
        ]
        async with asyncio.timeout_at(min(limits, default=None)) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)

    def close_at(self, time_s: float) -> None:
        """Have every request answered by a time, as the process ends soon after."""
        self._close_s = time_s
        for timeout in self._open:
            limit_s = timeout.when()
            if not timeout.expired() and (limit_s is None or limit_s > time_s):
                timeout.reschedule(time_s)
