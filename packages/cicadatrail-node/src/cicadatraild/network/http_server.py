"""HTTP/1.1 server that passes each request to a handler."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import cast

import h11

from cicadatraild.network.body_budget import BodyBudget
from cicadatraild.network.drain_time import DrainTime
from cicadatraild.network.http_transport import (
    ConnectionEndedError,
    HttpTransport,
    lower_headers,
)
from cicadatraild.network.lingering import CLOSE_GRACE_S, LingeringConnections
from cicadatraild.network.listener import Listener
from cicadatraild.network.open_connections import OpenConnections, Stage
from cicadatraild.network.refusal_counts import RefusalCounts
from cicadatraild.network.server_exchange import (
    BodyIncompleteError,
    BodyTooLargeError,
    HttpExchange,
    HttpLimits,
)
from cicadatraild.network.server_transport import READ_BYTES, ServerTransport

__all__ = [
    "BodyIncompleteError",
    "BodyTooLargeError",
    "Handler",
    "HttpExchange",
    "HttpLimits",
    "HttpServer",
]

logger = logging.getLogger("cicadatrail.http")

DRAIN_HEAD_TIMEOUT_S = 0.2
"""Time for the request on a connection that was opened right before a drain."""

HEAD_KEPT_S = 2.0
"""Time without a whole head after which a full server may drop a connection."""

BACKLOG_LIMIT_COUNT = 100
"""Largest number of connections that wait to be accepted."""

FAULT_LIMIT_CHARACTERS = 200
"""Longest finding about a malformed request, which may quote it."""

REQUEST_TIMEOUT_STATUS = 408
HEAD_TOO_LONG_STATUS = 431

_TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Cicadatrail-Outcome: not-run\r\nCicadatrail-Reason: too-many-connections\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)


Handler = Callable[[HttpExchange], Awaitable[None]]


class HttpServer:
    """Server on one address; while ``draining``, connections close after a request.

    ``limits`` may be replaced while it serves: open connections keep the limit of an
    incomplete head, all others hold from the next request on. ``budget`` bounds the
    bodies that handlers read as a whole; ``refusals`` counts clients over a limit.
    """

    __slots__ = (
        "_budget",
        "_connections",
        "_handler",
        "_idle",
        "_is_closing",
        "_lingering",
        "_listener",
        "_name",
        "_read_buffer",
        "_waiting",
        "draining",
        "limits",
        "refusals",
    )

    def __init__(
        self,
        name: str,
        handler: Handler,
        limits: HttpLimits,
        budget: BodyBudget | None = None,
    ) -> None:
        self._name = name
        self._handler = handler
        self.limits = limits
        self.refusals = RefusalCounts()
        self._budget = budget
        self._read_buffer = bytearray(READ_BYTES)
        # Connections that wait for a head, the oldest first, and since when.
        self._waiting: dict[HttpTransport, float] = {}
        self._lingering = LingeringConnections()
        self._connections = OpenConnections()
        # Connections that wait for the head of a request.
        self._idle: dict[asyncio.Task[None], HttpTransport] = {}
        self._listener: Listener | None = None
        self._is_closing = False
        self.draining = False

    async def listen(self, stack: AsyncExitStack, host: str, port: int) -> int:
        """Listen until ``stack`` closes; return the port."""
        backlog = min(BACKLOG_LIMIT_COUNT, self.limits.connection_limit_count // 4 + 1)
        listener = Listener(self._new_transport, backlog)
        bound_port = listener.listen(host, port)
        self._listener = listener
        stack.push_async_callback(self._close, listener)
        return bound_port

    async def drain(self, timeout_s: float) -> None:
        """Refuse connections, close idle ones and wait until requests are answered.

        Callers may also read answers that were sent before. What takes longer than
        ``timeout_s`` is dropped when the stack closes, but a loop that was late for all
        of that time gets a short time after it.
        """
        began_s = asyncio.get_running_loop().time()
        drain_time = DrainTime(timeout_s)
        made_count = self._connections.made_count
        self._log_drain("http: draining.", began_s, made_count)
        self.draining = True
        self._is_closing = True
        # Requests that have arrived are read first, also when the loop is late.
        await drain_time.run_ready()
        if self._listener is not None:
            await self._listener.close()
        await drain_time.run_ready()
        self._end_idle(DRAIN_HEAD_TIMEOUT_S)
        await self._wait_ended(drain_time, DRAIN_HEAD_TIMEOUT_S)
        self._end_idle(0.0)
        await self._wait_ended(drain_time, math.inf)
        self._log_drain("http: drained.", began_s, made_count)

    def _end_idle(self, new_limit_s: float) -> None:
        """End the connections without a request, but not new ones."""
        for task, transport in self._idle.items():
            is_new = self._connections.is_new(task, new_limit_s)
            if is_new or transport.has_unparsed:
                continue
            if transport.unsent_bytes:
                # Its task ends once the caller has the last answer.
                transport.close_unread(CLOSE_GRACE_S)
            else:
                task.cancel()

    async def _wait_ended(self, drain_time: DrainTime, limit_s: float) -> None:
        """Wait until no connection is open, for ``limit_s`` or until a drain's end."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while self._connections or self._lingering:
            left_s = min(drain_time.left_s(), until_s - loop.time())
            if left_s <= 0:
                return
            waiters = (*self._connections, *self._lingering)
            await asyncio.wait(waiters, timeout=left_s)

    def _log_drain(self, message: str, began_s: float, made_count: int) -> None:
        connections = self._connections
        logger.info(
            message,
            extra={
                "server": self._name,
                "duration_s": round(asyncio.get_running_loop().time() - began_s, 3),
                "connection_count": len(connections),
                "waiting_count": connections.count(Stage.HEAD),
                "answering_count": connections.count(Stage.ANSWER),
                "lingering_count": len(self._lingering),
                "made_count": connections.made_count - made_count,
            },
        )

    @property
    def connection_count(self) -> int:
        """Return the number of open connections that are served."""
        return len(self._connections)

    def _new_transport(self) -> HttpTransport:
        return ServerTransport(
            self.limits.header_limit_bytes, self._connection_made, self._read_buffer
        )

    def _connection_made(self, transport: HttpTransport) -> None:
        is_full = len(self._connections) >= self.limits.connection_limit_count
        if is_full and not self._drop_waiting():
            self._refuse("too-many-connections")
            transport.write_raw(_TOO_MANY_CONNECTIONS)
            self._lingering.close(transport, self.limits.lingering_limit_count)
            return
        loop = asyncio.get_running_loop()
        self._waiting[transport] = loop.time()
        task = loop.create_task(self._serve(transport))
        self._connections.add(task, transport)
        task.add_done_callback(lambda done: _abort_if_cancelled(done, transport))

    def _drop_waiting(self) -> bool:
        """Drop the connection that has waited longest for a head.

        Return whether there was one that has waited for long enough.
        """
        transport, since_s = next(iter(self._waiting.items()), (None, 0.0))
        now_s = asyncio.get_running_loop().time()
        if transport is None or now_s - since_s < HEAD_KEPT_S:
            return False
        self._refuse("no-head")
        del self._waiting[transport]
        transport.abort()
        return True

    def _refuse(self, reason: str) -> None:
        self.refusals.add(reason, asyncio.get_running_loop().time())

    async def _serve(self, transport: HttpTransport) -> None:
        """Serve the requests of one connection in turn."""
        wait_s = self.limits.header_timeout_s
        try:
            while await self._serve_one(transport, wait_s):
                wait_s = self.limits.idle_timeout_s
                if transport.has_unparsed:
                    # Others are served between pipelined requests.
                    await asyncio.sleep(0)
            self._enter(Stage.CLOSE)
            self._lingering.close(transport, self.limits.lingering_limit_count)
            if self.draining:
                # The process may end next, and would discard unsent bytes.
                await transport.wait_lost(CLOSE_GRACE_S)
        except (ConnectionEndedError, TimeoutError):
            transport.abort()
        except Exception:
            logger.exception(
                "http %s: handler failed; dropping the connection.", self._name
            )
            transport.abort()

    async def _serve_one(self, transport: HttpTransport, wait_s: float) -> bool:
        """Serve one request; return whether the connection stays open for another."""
        if self._is_closing:
            wait_s = min(wait_s, DRAIN_HEAD_TIMEOUT_S)
        task = cast(asyncio.Task[None], asyncio.current_task())
        self._idle[task] = transport
        self._enter(Stage.HEAD)
        self._waiting.setdefault(transport, asyncio.get_running_loop().time())
        try:
            request = await _read_head(transport, wait_s)
            if request is not None:
                _check_head(request, self.limits)
        except h11.RemoteProtocolError as error:
            self._refuse("malformed-head")
            await _refuse_malformed(transport, error)
            return False
        finally:
            del self._idle[task]
            self._waiting.pop(transport, None)
        if request is None:
            return False
        self._enter(Stage.ANSWER)
        exchange = HttpExchange(request, transport, self.limits, self._budget)
        # The exchange holds less of a request with very many headers.
        del request
        await self._handle(exchange, transport)
        http = transport.http
        if http.our_state is not h11.DONE or not _skip_body(transport):
            return False
        if self.draining:
            return False
        http.start_next_cycle()
        return True

    def _enter(self, stage: Stage) -> None:
        task = cast(asyncio.Task[None], asyncio.current_task())
        self._connections.enter(task, stage)

    async def _handle(self, exchange: HttpExchange, transport: HttpTransport) -> None:
        """Run the handler; cancel it when the caller closes the connection."""
        if transport.ended:
            raise ConnectionEndedError
        task = cast(asyncio.Task[None], asyncio.current_task())
        transport.on_end = lambda: _cancel(task)
        try:
            await self._handler(exchange)
        finally:
            transport.on_end = None
            exchange.release_body()
            if exchange.refusal:
                self._refuse(exchange.refusal)

    async def _close(self, listener: Listener) -> None:
        await listener.close()
        if self.draining:
            self._connections.log_dropped(self._name)
        for task in self._connections:
            task.cancel()
        if self._connections:
            await asyncio.wait(tuple(self._connections), timeout=CLOSE_GRACE_S)


def _skip_body(transport: HttpTransport) -> bool:
    """Skip received bytes of an unread body; return whether the body is complete."""
    http = transport.http
    while http.their_state is h11.SEND_BODY:
        if not isinstance(transport.poll_event(), h11.Data | h11.EndOfMessage):
            return False
    return http.their_state is h11.DONE


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _abort_if_cancelled(task: asyncio.Task[None], transport: HttpTransport) -> None:
    """Drop the connection of a task that was cancelled, perhaps before it ran."""
    if task.cancelled():
        transport.abort()


async def _read_head(transport: HttpTransport, wait_s: float) -> h11.Request | None:
    """Return the head of the next request, or None if none begins in time.

    Raises h11.RemoteProtocolError when the head is malformed or incomplete.
    """
    try:
        async with asyncio.timeout(wait_s):
            event = await transport.next_event()
    except TimeoutError as error:
        # A late loop may have read the head in the pass in which the time is over.
        event = transport.poll_event()
        if event is h11.NEED_DATA:
            if not transport.has_unparsed:
                return None
            fault = f"its head did not come in {wait_s} s"
            raise h11.RemoteProtocolError(fault, REQUEST_TIMEOUT_STATUS) from error
    return event if isinstance(event, h11.Request) else None


def _check_head(request: h11.Request, limits: HttpLimits) -> None:
    """Check what h11 accepts: a long head read at once, and ambiguous framing.

    A request with both Content-Length and Transfer-Encoding is ambiguous. Raises
    h11.RemoteProtocolError.
    """
    headers = lower_headers(request)
    size = sum(len(name) + len(value) for name, value in headers)
    if size + len(request.target) > limits.header_limit_bytes:
        raise h11.RemoteProtocolError("its head is too long", HEAD_TOO_LONG_STATUS)
    names = {name for name, _ in headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise h11.RemoteProtocolError("it has a length and is chunked", 400)


async def _refuse_malformed(
    transport: HttpTransport, error: h11.RemoteProtocolError
) -> None:
    """Answer a malformed request with a 4xx status and the finding."""
    if transport.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    finding = {"place": "request", "fault": str(error)[:FAULT_LIMIT_CHARACTERS]}
    body = json.dumps({"findings": [finding]}).encode()
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
        (b"Cicadatrail-Outcome", b"not-run"),
        (b"Cicadatrail-Reason", b"malformed"),
        (b"Connection", b"close"),
    ]
    status = error.error_status_hint if error.error_status_hint >= 400 else 400
    response = h11.Response(status_code=status, headers=headers)
    async with asyncio.timeout(CLOSE_GRACE_S):
        await transport.send(response, h11.Data(data=body), h11.EndOfMessage())
