"""One request on a connection of its own, and how far it got."""

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
    """Say how far a request got before it failed."""

    NOT_SENT = "not-sent"
    """No byte of the request left this process."""

    NO_ANSWER = "no-answer"
    """Bytes may have reached the server; what it did is not known."""

    TRUNCATED = "truncated"
    """The response stopped before its end."""


class Pending(Enum):
    """State that nothing has come yet."""

    PENDING = "pending"


PENDING = Pending.PENDING


class ClientError(Exception):
    """Report a failed request and how far it got."""

    def __init__(self, fault: ClientFault, reason: str) -> None:
        super().__init__(f"{fault.value}: {reason}")
        self.fault = fault
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Address:
    """Name an IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """Hold a response that was read to its end."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class TransportPool(Protocol):
    """Keep connections between exchanges."""

    def release(self, address: Address, transport: HttpTransport) -> None:
        """Take a connection whose exchange has ended cleanly."""


class ClientExchange:
    """Hold one request under way on its own connection.

    A connection goes back to the pool only after the response was read to
    its end, so that bytes of one response never reach another request.
    """

    __slots__ = (
        "_is_head",
        "_closed",
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
        """Send the request's head; from here on the request may have run.

        Raises ClientError.
        """
        await self._send(self._begin(method, target, headers))

    async def send_body(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the server is slow."""
        await self._send(h11.Data(data=chunk))

    async def end_body(self) -> None:
        """End the request."""
        await self._send(h11.EndOfMessage())

    async def send_whole(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request in one write."""
        events: list[h11.Event] = [self._begin(method, target, headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    async def read_head(self) -> h11.Response:
        """Return the response's head. Raises ClientError."""
        while True:
            event = await self._next_event(ClientFault.NO_ANSWER)
            if isinstance(event, h11.Response):
                self.response = event
                self.headers = lower_headers(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ClientError(ClientFault.NO_ANSWER, "the server closed")

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the response's body. Raises ClientError when it is cut."""
        while (chunk := await self.next_chunk()) is not None:
            yield chunk

    async def next_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises ClientError when it is cut.
        """
        return self._read_chunk(await self._next_event(ClientFault.TRUNCATED))

    def poll_chunk(self) -> bytes | Pending | None:
        """Return what ``next_chunk`` would, or PENDING if it has not come."""
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
            raise ClientError(ClientFault.TRUNCATED, "the server closed")
        return bytes(event.data)

    def is_self_delimited(self) -> bool:
        """Tell whether the response's end can be told from a cut.

        A body that only the end of the connection ends can't be told.
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
        """Tell whether the response says that the server closes.

        One that answers before it has read the request's body closes for that.
        """
        if self._transport.http.our_state is h11.SEND_BODY:
            return False
        return any(
            name == b"connection" and b"close" in value.lower()
            for name, value in self.headers
        )

    def abort(self) -> None:
        """Drop the connection; harmless after the end of the exchange."""
        if not self._closed:
            self._closed = True
            self._transport.abort()

    def _finish(self) -> None:
        """Part with the connection, which another exchange may take at once."""
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
