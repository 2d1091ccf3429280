"""Server side of one HTTP request and response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NoReturn

import h11

from cicadatraild.network.body_budget import SMALL_BYTES, BodyBudget
from cicadatraild.network.http_transport import Headers, HttpTransport, lower_headers

NO_CONTENT_STATUS = 204
NOT_MODIFIED_STATUS = 304


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the resources that callers may use.

    ``lingering_limit_count`` limits the connections that are kept open after their
    last response, for callers that still send.
    """

    header_limit_bytes: int = 16 * 1024
    body_limit_bytes: int = 16 * 1024 * 1024
    connection_limit_count: int = 1000
    lingering_limit_count: int = 100
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class BodyTooLargeError(Exception):
    """The request body exceeds the limit."""


class BodyIncompleteError(Exception):
    """The request body ended prematurely or stalled for the idle timeout."""


class HttpExchange:
    """One request, and the methods by which a handler responds to it.

    The handler must call ``start`` and ``end``, or ``respond``. If it is cancelled or
    raises, the connection is dropped, so that a truncated response never looks
    complete. The connection is also dropped if the caller reads nothing for the idle
    timeout: sending then raises TimeoutError. ``refusal`` names the limit that the
    body exceeded, or for which it waited in vain.
    """

    __slots__ = (
        "_budget",
        "_held_bytes",
        "_limits",
        "_packed_headers",
        "_received_bytes",
        "_transport",
        "method",
        "refusal",
        "started",
        "takes_chunks",
        "target",
    )

    def __init__(
        self,
        request: h11.Request,
        transport: HttpTransport,
        limits: HttpLimits,
        budget: BodyBudget | None = None,
    ) -> None:
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii", "replace")
        # Whether the caller supports chunked bodies, that is HTTP/1.1.
        self.takes_chunks: bool = request.http_version >= b"1.1"
        # As objects, thousands of short headers would take 40 times their length.
        self._packed_headers = b"\n".join(
            [name + b":" + value for name, value in lower_headers(request)]
        )
        self.started = False
        self.refusal = ""
        self._transport = transport
        self._limits = limits
        self._received_bytes = 0
        self._budget = budget
        self._held_bytes = 0

    @property
    def headers(self) -> Headers:
        """Return the headers of the request, with their names in lower case."""
        lines = self._packed_headers.split(b"\n")
        parts = [line.partition(b":") for line in lines if line]
        return tuple([(name, value) for name, _, value in parts])

    def header_values(self, name: bytes) -> tuple[str, ...]:
        """Return all values of a header; ``name`` must be in lower case."""
        return tuple(
            value.decode("latin-1") for key, value in self.headers if key == name
        )

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it is received.

        Raises BodyTooLargeError over the limit, before reading if the length is
        announced, and BodyIncompleteError when the caller closes the connection or
        sends nothing for the idle timeout.
        """
        limit_bytes = self._limits.body_limit_bytes
        if (self._announced_bytes or 0) > limit_bytes:
            self._raise_too_large()
        while True:
            event = await self._next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return
            self._received_bytes += len(event.data)
            if self._received_bytes > limit_bytes:
                self._raise_too_large()
            yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Return the complete body; raises the same errors as ``body``.

        Beyond its first bytes the body waits until the budget admits all of it, and
        holds its part of the budget until ``release_body``.
        """
        chunks: list[bytes] = []
        async for chunk in self.body():
            chunks.append(chunk)
            if self._received_bytes > SMALL_BYTES and not self._held_bytes:
                await self._hold_body()
        body = b"".join(chunks)
        self._release(self._held_bytes - len(body))
        return body

    def release_body(self) -> None:
        """Return the body's part of the budget."""
        self._release(self._held_bytes)

    async def _hold_body(self) -> None:
        if self._budget is None:
            return
        size_bytes = self._announced_bytes or self._limits.body_limit_bytes
        try:
            await self._budget.take(size_bytes)
        except asyncio.CancelledError:
            self.refusal = "body-budget"
            raise
        self._held_bytes = size_bytes

    def _raise_too_large(self) -> NoReturn:
        self.refusal = "body-too-large"
        raise BodyTooLargeError

    def _release(self, size_bytes: int) -> None:
        if self._budget is not None and size_bytes > 0:
            self._held_bytes -= size_bytes
            self._budget.give_back(size_bytes)

    @property
    def _announced_bytes(self) -> int | None:
        """Return the announced length of the body, or None for a body in chunks."""
        values = self.header_values(b"content-length")
        return int(values[0]) if values else None

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.started = True
        await self._send(h11.Response(status_code=status, headers=list(headers)))

    async def send(self, chunk: bytes) -> None:
        """Send a part of the response body, waiting while the caller is slow."""
        await self._send(h11.Data(data=chunk))

    async def end(self, trailers: Headers = ()) -> None:
        """Send the end of the response."""
        await self._send(h11.EndOfMessage(headers=list(trailers)))

    async def respond(
        self, status: int, body: bytes = b"", headers: Headers = ()
    ) -> None:
        """Send a complete response in one write.

        Content-Length is added to a response with a body, and to one to HEAD if
        ``body`` is what a GET would return, which is then not sent. Otherwise
        ``headers`` may give the length that a GET would have had.
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
        """Return whether a response with this status has a body for this method."""
        if status in (NO_CONTENT_STATUS, NOT_MODIFIED_STATUS):
            return False
        return self.method != "HEAD"

    def abort(self) -> None:
        """Drop the connection, so that a truncated response never looks complete."""
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
