"""Connections that stay open after their last response."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from cicadatraild.network.http_transport import HttpTransport

CLOSE_GRACE_S = 1.0
"""Time to send the last bytes before a connection is aborted."""


class LingeringConnections:
    """Connections whose callers may still send or have not read the last response.

    Iterating yields a future for each, which is done once the connection is lost.
    """

    __slots__ = ("_lost",)

    def __init__(self) -> None:
        self._lost: dict[HttpTransport, asyncio.Future[None]] = {}

    def __len__(self) -> int:
        return len(self._lost)

    def __iter__(self) -> Iterator[asyncio.Future[None]]:
        return iter(tuple(self._lost.values()))

    def close(self, transport: HttpTransport, limit_count: int) -> None:
        """Close a connection, and at once if ``limit_count`` linger already."""
        if transport.lost:
            return
        if len(self._lost) >= limit_count:
            transport.close_at_once()
            return
        self._lost[transport] = asyncio.get_running_loop().create_future()
        transport.on_lost = lambda: self._end(transport)
        transport.close_unread(CLOSE_GRACE_S)

    def _end(self, transport: HttpTransport) -> None:
        lost = self._lost.pop(transport)
        if not lost.done():
            lost.set_result(None)
