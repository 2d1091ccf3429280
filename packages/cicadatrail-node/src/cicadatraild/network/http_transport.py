"""Transport of one HTTP/1.1 connection, client or server, with back pressure."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import h11

READ_AHEAD_BYTES = 64 * 1024
"""Unparsed bytes after which reading from the socket pauses."""

WRITE_BUFFER_BYTES = 64 * 1024
"""Unsent bytes after which writers wait for the peer."""


Headers = tuple[tuple[bytes, bytes], ...]


def lower_headers(message: h11.Request | h11.Response) -> Headers:
    """Return a message's headers with their names in lower case."""
    pairs = message.headers.raw_items()
    return tuple([(name.lower(), value) for name, value in pairs])


class ConnectionEndedError(ConnectionError):
    """The connection is closed, so nothing can be sent."""


class HttpTransport(asyncio.Protocol):
    """asyncio protocol that sends and receives h11 events.

    ``on_end`` is called once, when the peer stops sending or the connection is
    lost, so that a server can cancel work whose caller no longer waits. ``on_lost`` is
    called once the connection is closed on both sides.
    """

    __slots__ = (
        "_chunks",
        "_chunks_bytes",
        "_discarding",
        "_ended",
        "_lost",
        "_lost_waiter",
        "_paused_reading",
        "_read_waiter",
        "_transport",
        "_write_paused",
        "_write_waiter",
        "http",
        "on_end",
        "on_lost",
        "on_made",
    )

    read_ahead_bytes = READ_AHEAD_BYTES
    write_buffer_bytes = WRITE_BUFFER_BYTES

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        header_limit_bytes: int,
        on_made: Callable[[HttpTransport], None] | None = None,
    ) -> None:
        self.http = h11.Connection(role, max_incomplete_event_size=header_limit_bytes)
        self.on_made = on_made
        self.on_end: Callable[[], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._chunks: deque[bytes] = deque()
        self._chunks_bytes = 0
        self._paused_reading = False
        self._discarding = False
        self._ended = False
        self._lost = False
        self._lost_waiter: asyncio.Future[None] | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_paused = False
        self._write_waiter: asyncio.Future[None] | None = None

    @property
    def ended(self) -> bool:
        """Return whether the peer has stopped sending or the connection is lost."""
        return self._ended

    @property
    def lost(self) -> bool:
        """Return whether the connection is lost, or was never made."""
        return self._lost or self._transport is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=self.write_buffer_bytes)
        if self.on_made is not None:
            self.on_made(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until they are parsed; called by the event loop."""
        if self._discarding:
            return
        self._chunks.append(data)
        self._chunks_bytes += len(data)
        if self._chunks_bytes > self.read_ahead_bytes and not self._paused_reading:
            self._paused_reading = True
            self._open_transport().pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the peer stopped sending; called by the event loop.

        Returns True to keep the connection open for writing.
        """
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is lost; called by the event loop."""
        self._lost = True
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        if self._lost_waiter is not None and not self._lost_waiter.done():
            self._lost_waiter.set_result(None)
        self._end()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Make writers wait; called by the event loop."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Wake up waiting writers; called by the event loop."""
        self._write_paused = False
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    async def next_event(self) -> Any:
        """Return the next h11 event, or ``h11.PAUSED``.

        Raises h11.RemoteProtocolError on malformed or truncated input.
        """
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._feed()

    def poll_event(self) -> Any:
        """Return the next h11 event, or ``h11.NEED_DATA`` if none was received.

        Raises h11.RemoteProtocolError on malformed or truncated input.
        """
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA or not self._chunks:
                return event
            self._feed_chunk()

    async def send(self, *events: h11.Event) -> None:
        """Send events, waiting while the peer is slow.

        Raises ConnectionEndedError when the connection is lost.
        """
        if self.write(*events):
            await self.drain()

    def write(self, *events: h11.Event) -> bool:
        """Send events; return whether the peer is slow, so that ``drain`` is needed.

        Raises ConnectionEndedError when the connection is lost.
        """
        if self._lost or self._transport is None:
            raise ConnectionEndedError
        data = b"".join([self.http.send(event) or b"" for event in events])
        self._transport.write(data)
        return self._write_paused

    async def drain(self) -> None:
        """Wait while the peer is slow.

        Raises ConnectionEndedError when the connection is lost.
        """
        while self._write_paused and not self._lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter
        if self._lost:
            raise ConnectionEndedError

    @property
    def has_unparsed(self) -> bool:
        """Return whether received bytes have not been parsed yet."""
        return bool(self._chunks or self.http.trailing_data[0])

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that wait to be sent."""
        if self._transport is None or self._lost:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_clean(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return not self._ended and not self.has_unparsed

    def write_raw(self, response: bytes) -> None:
        """Send an encoded response, without reading the request."""
        self._open_transport().write(response)

    def close_unread(self, grace_s: float) -> None:
        """Close the connection while the peer may still be sending.

        Closing at once would reset the connection, and the peer could lose the
        response. Received bytes are therefore discarded until the peer closes or
        ``grace_s`` seconds have passed.
        """
        if self._transport is None or self._lost:
            return
        self._discarding = True
        self._chunks.clear()
        self._resume_reading()
        if self._ended or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(grace_s, self._transport.abort)

    async def wait_lost(self, timeout_s: float) -> None:
        """Wait until the connection is closed on both sides, or for ``timeout_s``."""
        if self._lost or self._transport is None:
            return
        self._lost_waiter = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._lost_waiter}, timeout=timeout_s)

    def close_at_once(self) -> None:
        """Close without waiting for the peer, which may lose a response."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def close(self) -> None:
        """Close after all written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection at once, unsent bytes included."""
        if self._transport is not None:
            self._transport.abort()

    async def _feed(self) -> None:
        """Pass the next received bytes to h11, waiting for them if necessary."""
        while not self._chunks and not self._ended:
            self._resume_reading()
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        if not self._chunks:
            self.http.receive_data(b"")
            return
        self._feed_chunk()

    def _feed_chunk(self) -> None:
        chunk = self._chunks.popleft()
        self._chunks_bytes -= len(chunk)
        self.http.receive_data(chunk)

    def _resume_reading(self) -> None:
        if self._paused_reading and not self._lost:
            self._paused_reading = False
            self._open_transport().resume_reading()

    def _open_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise ConnectionEndedError
        return self._transport

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._wake_reader()
        if self._discarding and self._transport is not None:
            self._transport.close()
        if self.on_end is not None:
            self.on_end()
