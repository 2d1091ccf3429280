"""One request of a caller, and the response that a handler sends to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import h11

from cicadatraild.network.http_transport import Headers, HttpTransport, lower_headers

NO_CONTENT_STATUS = 204
NOT_MODIFIED_STATUS = 304


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what one caller may cost."""

    header_limit_bytes: int = 16 * 1024
    body_limit_bytes: int = 16 * 1024 * 1024
    connection_limit_count: int = 1000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class BodyTooLargeError(Exception):
    """Report a request body over the limit."""


class BodyIncompleteError(Exception):
    """Report a request body that stopped early or came too slowly."""


class HttpExchange:
    """Give a handler one request and let it send the response.

    The handler must call ``start`` and ``end``; a handler that is cancelled
    or raises leaves a connection that is dropped, so that a cut response
    never looks whole. A caller that takes no byte for the idle timeout is
    dropped, too: sending raises TimeoutError.
    """

    __slots__ = (
        "_limits",
        "_received_bytes",
        "_transport",
        "headers",
        "request",
        "started",
    )

    def __init__(
        self, request: h11.Request, transport: HttpTransport, limits: HttpLimits
    ) -> None:
        self.request = request
        # h11's own sequence of headers is slow to go through.
        self.headers: Headers = lower_headers(request)
        self.started = False
        self._transport = transport
        self._limits = limits
        self._received_bytes = 0

    @property
    def method(self) -> str:
        """Return the request's method."""
        return self.request.method.decode("ascii")

    @property
    def target(self) -> str:
        """Return the request's target."""
        return self.request.target.decode("ascii", "replace")

    def header_values(self, name: bytes) -> tuple[str, ...]:
        """Return every value of a header, given in lower case."""
        return tuple(
            value.decode("latin-1") for key, value in self.headers if key == name
        )

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises BodyTooLargeError over the limit, and BodyIncompleteError when
        the caller stops sending or is silent for the idle timeout.
        """
        while True:
            event = await self._next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return
            self._received_bytes += len(event.data)
            if self._received_bytes > self._limits.body_limit_bytes:
                raise BodyTooLargeError
            yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Return the whole body; raises as ``body`` does."""
        return b"".join([chunk async for chunk in self.body()])

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response's head."""
        self.started = True
        await self._send(h11.Response(status_code=status, headers=list(headers)))

    async def send(self, chunk: bytes) -> None:
        """Send a part of the response's body; waits while the caller is slow."""
        await self._send(h11.Data(data=chunk))

    async def end(self, trailers: Headers = ()) -> None:
        """End the response."""
        await self._send(h11.EndOfMessage(headers=list(trailers)))

    async def respond(
        self, status: int, body: bytes = b"", headers: Headers = ()
    ) -> None:
        """Send a whole response in one write.

        A status or method that has no body gets no length either, unless
        ``headers`` give the one that a GET would have had.
        """
        self.started = True
        events: list[h11.Event] = []
        if self.has_body(status) or (body and self.method == "HEAD"):
            length = (b"Content-Length", str(len(body)).encode())
            headers = (length, *headers)
        events.append(h11.Response(status_code=status, headers=list(headers)))
        if body and self.has_body(status):
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    def has_body(self, status: int) -> bool:
        """Tell whether a response of this status has a body here."""
        if status in (NO_CONTENT_STATUS, NOT_MODIFIED_STATUS):
            return False
        return self.method != "HEAD"

    @property
    def takes_chunks(self) -> bool:
        """Tell whether the caller reads chunked bodies, that is HTTP/1.1."""
        return self.request.http_version >= b"1.1"

    def abort(self) -> None:
        """Drop the connection, so that a cut response never looks whole."""
        self._transport.abort()

    async def _send(self, *events: h11.Event) -> None:
        if self._transport.write(*events):
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await self._transport.drain()

    async def _next_body_event(self) -> h11.Data | h11.EndOfMessage:
        if self._transport.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._transport.send(go_on)
        try:
            event = self._transport.poll_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    event = await self._transport.next_event()
        except (TimeoutError, h11.RemoteProtocolError) as error:
            raise BodyIncompleteError(str(error)) from error
        if isinstance(event, h11.Data | h11.EndOfMessage):
            return event
        raise BodyIncompleteError("the caller closed the connection")
