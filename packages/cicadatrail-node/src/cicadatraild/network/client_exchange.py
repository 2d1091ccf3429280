"""Client side of one HTTP request and response on a connection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import h11

from cicadatraild.network.http_transport import (
    ConnectionEndedError,
    Headers,
    HttpTransport,
    lower_headers,
)

_STATUSES_WITHOUT_BODY = (204, 304)


class ClientFault(Enum):
    """How far a request got before it failed."""

    NOT_SENT = "not-sent"
    """No byte of the request left this process."""

    NO_ANSWER = "no-answer"
    """The server may have received the request; whether it ran is unknown."""

    TRUNCATED = "truncated"
    """The response ended prematurely."""


class Pending(Enum):
    """Type of the PENDING marker: no data has been received yet."""

    PENDING = "pending"


PENDING = Pending.PENDING


class ClientError(Exception):
    """A request failed; ``fault`` states how far it got."""

    def __init__(self, fault: ClientFault, reason: str) -> None:
        super().__init__(f"{fault.value}: {reason}")
        self.fault = fault
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """Response that has been read completely."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class TransportPool(Protocol):
    """Pool to which a connection is returned after an exchange."""

    def release(self, address: Address, transport: HttpTransport) -> None:
        """Return a connection whose exchange has ended cleanly."""


class ClientExchange:
    """One request in flight, with exclusive use of a connection.

    The connection is returned to the pool only after the response was read
    completely, so that bytes of one response never reach another request.
    """

    __slots__ = (
        "_closed",
        "_is_head",
        "_pool",
        "_transport",
        "address",
        "headers",
        "response",
        "sent",
    )

    def __init__(
        self, pool: TransportPool, address: Address, transport: HttpTransport
    ) -> None:
        self.address = address
        self.response: h11.Response | None = None
        self.headers: Headers = ()
        self.sent = False
        self._is_head = False
        self._closed = False
        self._pool = pool
        self._transport = transport

    async def send_head(self, method: str, target: str, headers: Headers) -> None:
        """Send the head of the request, which may have run from now on.

        Raises ClientError.
        """
        await self._send(self._begin(method, target, headers))

    async def send_body(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the server is slow."""
        await self._send(h11.Data(data=chunk))

    async def end_body(self) -> None:
        """Send the end of the request."""
        await self._send(h11.EndOfMessage())

    async def send_whole(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request in one write."""
        events: list[h11.Event] = [self._begin(method, target, headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    async def read_head(self) -> h11.Response:
        """Return the head of the response. Raises ClientError."""
        while True:
            event = await self._next_event(ClientFault.NO_ANSWER)
            if isinstance(event, h11.Response):
                self.response = event
                self.headers = lower_headers(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ClientError(ClientFault.NO_ANSWER, "server closed the connection")

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body of the response. Raises ClientError when it is truncated."""
        while (chunk := await self.next_chunk()) is not None:
            yield chunk

    async def next_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises ClientError when it is truncated.
        """
        return self._read_chunk(await self._next_event(ClientFault.TRUNCATED))

    def poll_chunk(self) -> bytes | Pending | None:
        """Return the next part of the body without waiting, or PENDING.

        Returns None at the end. Raises ClientError when the body is truncated.
        """
        try:
            event = self._transport.poll_event()
        except h11.RemoteProtocolError as error:
            raise ClientError(ClientFault.TRUNCATED, str(error)) from error
        return PENDING if event is h11.NEED_DATA else self._read_chunk(event)

    def _read_chunk(self, event: object) -> bytes | None:
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        if not isinstance(event, h11.Data):
            raise ClientError(ClientFault.TRUNCATED, "server closed the connection")
        return bytes(event.data)

    def is_self_delimited(self) -> bool:
        """Return whether a truncated response can be told from a complete one.

        That is not possible when only the close of the connection ends the body.
        """
        if self.response is None:
            return False
        if self._transport.http.their_state is h11.DONE:
            return True
        names = {name for name, _ in self.headers}
        status = self.response.status_code
        empty = self._is_head or status in _STATUSES_WITHOUT_BODY
        return empty or b"content-length" in names or b"transfer-encoding" in names

    def server_will_close(self) -> bool:
        """Return whether the response announces that the server will close.

        A server that responds before it has read the whole request body closes the
        connection for that reason alone, so its announcement does not count.
        """
        if self._transport.http.our_state is h11.SEND_BODY:
            return False
        return any(
            name == b"connection" and b"close" in value.lower()
            for name, value in self.headers
        )

    def abort(self) -> None:
        """Drop the connection; does nothing after the end of the exchange."""
        if not self._closed:
            self._closed = True
            self._transport.abort()

    def give_back(self) -> None:
        """Release the connection, on which nothing has been sent."""
        self._closed = True
        self._pool.release(self.address, self._transport)

    def _finish(self) -> None:
        """Release the connection, which another exchange may use at once."""
        self._closed = True
        http = self._transport.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            self._transport.close()
            return
        http.start_next_cycle()
        self._pool.release(self.address, self._transport)

    def _begin(self, method: str, target: str, headers: Headers) -> h11.Request:
        self._is_head = method == "HEAD"
        request = h11.Request(method=method, target=target, headers=list(headers))
        self.sent = True
        return request

    async def _send(self, *events: h11.Event) -> None:
        try:
            await self._transport.send(*events)
        except (ConnectionEndedError, h11.LocalProtocolError) as error:
            raise ClientError(ClientFault.NO_ANSWER, repr(error)) from error

    async def _next_event(self, fault: ClientFault) -> object:
        try:
            return await self._transport.next_event()
        except h11.RemoteProtocolError as error:
            raise ClientError(fault, str(error)) from error
