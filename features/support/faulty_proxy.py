"""A loopback TCP proxy that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, suppress

HOST = "127.0.0.1"


class FaultyProxy:
    """Relay connections to a port with the faults that are set.

    ``delay_s`` delays each chunk; ``silent`` reads and discards the data.
    """

    def __init__(self, target_port: int) -> None:
        self.delay_s = 0.0
        self.silent = False
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, stack: AsyncExitStack) -> int:
        server = await asyncio.start_server(self._serve, HOST, 0)
        stack.callback(server.close)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.CancelledError):
            target = await asyncio.open_connection(HOST, self._target_port)
            self._writers |= {writer, target[1]}
            await asyncio.gather(
                self._relay(reader, target[1]), self._relay(target[0], writer)
            )
        self._writers.discard(writer)
        writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not self.silent:
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
