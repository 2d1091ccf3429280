"""HTTP/1.1 client with a pool of idle connections per address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import h11
from returns.result import Failure, Result, Success

from cicadatraild.network.client_exchange import (
    Address,
    ClientError,
    ClientExchange,
    ClientFault,
    WholeResponse,
)
from cicadatraild.network.http_transport import Headers, HttpTransport

__all__ = [
    "Address",
    "ClientError",
    "ClientExchange",
    "ClientFault",
    "ConnectionPool",
    "WholeResponse",
]

HEADER_LIMIT_BYTES = 32 * 1024
"""Largest accepted head of a response."""

IDLE_POOL_COUNT = 64
"""Idle connections kept per address."""

IDLE_LIMIT_S = 4.0
"""Time after which an idle connection is no longer used."""


@dataclass(slots=True)
class _Idle:
    transport: HttpTransport
    since_s: float


class ConnectionPool:
    """Connection pool that keeps idle connections for later requests."""

    __slots__ = ("_connect_timeout_s", "_idle", "_idle_limit_s", "_is_closed")

    def __init__(
        self, connect_timeout_s: float, idle_limit_s: float = IDLE_LIMIT_S
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._idle: dict[Address, list[_Idle]] = {}
        self._is_closed = False

    async def open(self, stack: AsyncExitStack) -> None:
        """Close all idle connections when ``stack`` closes."""
        stack.callback(self._close)

    async def start(self, address: Address) -> ClientExchange:
        """Return an exchange on an idle or new connection.

        Raises ClientError with NOT_SENT when no connection can be opened in time.
        """
        transport = await self._pop_idle(address) or await self._connect(address)
        return ClientExchange(self, address, transport)

    async def fetch(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_s: float,
        body_limit_bytes: int = 64 * 1024 * 1024,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[WholeResponse, ClientError]:
        """Send a complete request and return the complete response.

        ``timeout_s`` limits the exchange, which begins with an open connection: over
        a slow path a request on a new connection would have less time than one on an
        idle connection.

        ``may_send`` is called once the connection is open, right before the first
        byte is sent; if it returns false, the outcome is NOT_SENT. A permission that
        was checked earlier may expire while the connection is being opened.
        """
        exchange: ClientExchange | None = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                exchange = await self.start(address)
                limit.reschedule(asyncio.get_running_loop().time() + timeout_s)
                if not may_send():
                    exchange.give_back()
                    reason = "the permission to send it has expired"
                    return Failure(ClientError(ClientFault.NOT_SENT, reason))
                response = await _exchange_whole(
                    exchange, method, target, headers, body, body_limit_bytes
                )
                return Success(response)
        except ClientError as error:
            return Failure(error)
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            fault = ClientFault.NO_ANSWER if sent else ClientFault.NOT_SENT
            return Failure(ClientError(fault, f"no answer in {timeout_s} s"))
        finally:
            if exchange is not None:
                exchange.abort()

    def release(self, address: Address, transport: HttpTransport) -> None:
        """Keep an idle connection for the next request, until the pool closes."""
        entries = self._idle.setdefault(address, [])
        is_full = len(entries) >= IDLE_POOL_COUNT
        if not transport.is_clean or is_full or self._is_closed:
            transport.abort()
            return
        entries.append(_Idle(transport, asyncio.get_running_loop().time()))

    async def _pop_idle(self, address: Address) -> HttpTransport | None:
        """Return an idle connection on which the server has sent nothing.

        Unsolicited bytes may be a late response to an earlier request.
        """
        entries = self._idle.get(address, [])
        now_s = asyncio.get_running_loop().time()
        while entries:
            entry = entries.pop()
            idle_s = now_s - entry.since_s
            # Lets the event loop deliver what was received while it was busy.
            await asyncio.sleep(0)
            if entry.transport.is_clean and idle_s < self._idle_limit_s:
                return entry.transport
            entry.transport.abort()
        return None

    async def _connect(self, address: Address) -> HttpTransport:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, transport = await loop.create_connection(
                    lambda: HttpTransport(h11.CLIENT, HEADER_LIMIT_BYTES),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError) as error:
            # A name that can't be encoded for its lookup is a ValueError.
            reason = f"cannot connect to {address}: {error!r}"
            raise ClientError(ClientFault.NOT_SENT, reason) from error
        return transport

    def _close(self) -> None:
        self._is_closed = True
        for entries in self._idle.values():
            for entry in entries:
                entry.transport.abort()
        self._idle.clear()


async def _exchange_whole(
    exchange: ClientExchange,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    body_limit_bytes: int,
) -> WholeResponse:
    length = (b"Content-Length", str(len(body)).encode())
    host = (b"Host", str(exchange.address).encode())
    await exchange.send_whole(method, target, (host, length, *headers), body)
    head = await exchange.read_head()
    if not exchange.is_self_delimited():
        raise ClientError(ClientFault.TRUNCATED, "the response has no explicit length")
    received = bytearray()
    async for chunk in exchange.body():
        received += chunk
        if len(received) > body_limit_bytes:
            raise ClientError(
                ClientFault.TRUNCATED, "the response exceeds the size limit"
            )
    return WholeResponse(head.status_code, exchange.headers, bytes(received))
