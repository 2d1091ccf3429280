"""A loopback TCP proxy that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

HOST = "127.0.0.1"


class FaultyProxy:
    """Relay connections to a port with the faults that are set.

    ``delay_s`` delays each chunk; ``silent`` reads and discards the data, and
    ``loses_requests`` and ``loses_answers`` only that of one direction. From ``refuse``
    to ``accept`` connections are refused. The target sees ``source_host`` as the
    caller.
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
        self._address = (HOST, 0)
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None

    @property
    def refuses(self) -> bool:
        return self._server is None

    async def listen(
        self, stack: AsyncExitStack, host: str = HOST, port: int = 0
    ) -> int:
        self._address = (host, port)
        self._socket = self._bind()
        self._address = self._socket.getsockname()
        stack.callback(self.reset)
        stack.callback(self._close)
        await self.accept()
        return self._address[1]

    def refuse(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self.refuses:
            return
        self._close()
        # Without a listener the port is bound all the same, or others could take it.
        self._socket = self._bind()
        self.reset()

    async def accept(self) -> None:
        """Accept connections again, at the same address and port."""
        if not self.refuses or self._socket is None:
            return
        # Made first, without a pause, so that faults that overlap open one listener.
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket, start_serving=False
        )
        await self._server.start_serving()

    def _bind(self) -> socket.socket:
        bound = socket.socket()
        if not self._address[1]:
            # With the option the system could draw a port that another proxy has bound.
            bound.bind(self._address)
        # Also needed by the first socket, or a later one can't take its port.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._address[1]:
            bound.bind(self._address)
        return bound

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

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
