"""Budget of the bytes of request bodies that a process holds at once.

Answers clients that together send more than the machine's memory. No I/O.
"""

from __future__ import annotations

import asyncio
from collections import deque

SMALL_BYTES = 8 * 1024
"""Size up to which a request may use the reserve."""


class BodyBudget:
    """Bytes that requests may hold, of which some are reserved for small ones.

    A request that is larger than the budget is admitted while no other holds any, so
    that a low budget refuses nothing for good.
    """

    def __init__(self, limit_bytes: int, reserve_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._reserve_bytes = reserve_bytes
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for bytes."""
        return len(self._waiting)

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes if they are free; return whether they were."""
        limit_bytes = self.limit_bytes
        if size_bytes > SMALL_BYTES:
            limit_bytes -= self._reserve_bytes
        if self.used_bytes and self.used_bytes + size_bytes > limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    async def take(self, size_bytes: int) -> None:
        """Take bytes, in the order of the calls; wait until they are free."""
        if not self._waiting and self.try_take(size_bytes):
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (size_bytes, future)
        self._waiting.append(entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.give_back(size_bytes)
            else:
                self._waiting.remove(entry)
                self._admit()
            raise

    def give_back(self, size_bytes: int) -> None:
        """Return bytes, and admit requests that wait for them."""
        self.used_bytes -= size_bytes
        self._admit()

    def _admit(self) -> None:
        while self._waiting:
            size_bytes, future = self._waiting[0]
            if future.cancelled():
                # Its task removes the entry when it runs.
                return
            if not self.try_take(size_bytes):
                return
            self._waiting.popleft()
            future.set_result(None)
