"""A loopback TCP proxy that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

HOST = "127.0.0.1"


class FaultyProxy:
    """Relay connections to a port with the faults that are set.

    ``delay_s`` delays each chunk; ``silent`` reads and discards the data, and
    ``loses_requests`` and ``loses_answers`` only that of one direction. The target sees
    ``source_host`` as the caller.
    """

    def __init__(
        self, target_port: int, target_host: str = HOST, source_host: str = HOST
    ) -> None:
        self.delay_s = 0.0
        self.silent = False
        self.loses_requests = False
        self.loses_answers = False
        self._target = (target_host, target_port)
        self._source_host = source_host
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(
        self, stack: AsyncExitStack, host: str = HOST, port: int = 0
    ) -> int:
        server = await asyncio.start_server(self._serve, host, port)
        stack.callback(self.reset)
        stack.callback(server.close)
        bound_port: int = server.sockets[0].getsockname()[1]
        return bound_port

    def reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            target = await asyncio.open_connection(
                *self._target, local_addr=(self._source_host, 0)
            )
            self._writers.add(target[1])
            await asyncio.gather(
                self._relay(reader, target[1], lambda: self.loses_requests),
                self._relay(target[0], writer, lambda: self.loses_answers),
            )
        self._writers.discard(writer)
        writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_lost: Callable[[], bool],
    ) -> None:
        while data := await reader.read(65_536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not self.silent and not is_lost():
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
