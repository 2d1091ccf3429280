"""Server side of an HTTP connection, which buffers little of what clients send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from cicadatraild.network.http_transport import HttpTransport

READ_BYTES = 8 * 1024
"""Largest read from a connection."""


class ServerTransport(HttpTransport, asyncio.BufferedProtocol):
    """Transport that reads into a buffer which the connections of a loop share."""

    __slots__ = ("_read_buffer",)

    read_ahead_bytes = READ_BYTES
    write_buffer_bytes = READ_BYTES

    def __init__(
        self,
        header_limit_bytes: int,
        on_made: Callable[[HttpTransport], None],
        read_buffer: bytearray,
    ) -> None:
        super().__init__(h11.SERVER, header_limit_bytes, on_made)
        self._read_buffer = read_buffer

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read; called by the event loop."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy what was read; called by the event loop."""
        self.data_received(bytes(memoryview(self._read_buffer)[:nbytes]))
