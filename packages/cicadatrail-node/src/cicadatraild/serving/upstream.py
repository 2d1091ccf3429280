"""Runs one attempt of a request on the worker that it was placed on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.network.http_client import (
    Address,
    ClientError,
    ClientExchange,
    ClientFault,
    ConnectionPool,
    Headers,
)
from cicadatraild.serving.outcomes import (
    NotRun,
    Reason,
    Reply,
    ReplyCutError,
    Unknown,
    end_to_end_headers,
)


class RequestBody:
    """Give a request's body to attempts; only a whole one can be sent again."""

    __slots__ = ("_rest", "start", "whole")

    def __init__(
        self, start: bytes, whole: bool, rest: AsyncIterator[bytes] | None = None
    ) -> None:
        self.start = start
        self.whole = whole
        self._rest = rest

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        if self.start:
            yield self.start
        if self._rest is not None:
            async for chunk in self._rest:
                yield chunk


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Hold what is sent to the worker; ``headers`` are end to end already."""

    request: TaskRequest
    method: str
    target: str
    headers: Headers
    body: RequestBody
    traceparent: str = ""


Attempt = Reply | NotRun | Unknown


class Upstream:
    """Send requests to workers, each under a lease of its deadline."""

    __slots__ = ("_incarnation", "_may_spend", "_on_leaving", "_pool")

    def __init__(
        self,
        pool: ConnectionPool,
        incarnation: IncarnationId,
        may_spend: Callable[[float], bool],
        on_leaving: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._incarnation = incarnation
        self._may_spend = may_spend
        self._on_leaving = on_leaving

    async def run(self, worker: Worker, call: UpstreamCall) -> Attempt:
        """Run one attempt; a NotRun is returned only if no byte was sent."""
        loop = asyncio.get_running_loop()
        exchange: ClientExchange | None = None
        handed_over = False
        try:
            async with asyncio.timeout_at(call.request.deadline_s):
                exchange = await self._pool.start(Address(worker.host, worker.port))
                if not self._may_spend(loop.time()):
                    return NotRun(Reason.NOT_SUPPORTED)
                await self._send(exchange, call)
                head = await exchange.read_head()
            if exchange.server_closes():
                self._on_leaving(worker.worker_id)
            handed_over = True
            headers = end_to_end_headers(tuple(head.headers))
            return Reply(head.status_code, headers, _iterate(exchange, call.request))
        except ClientError as error:
            return _failed(error)
        except TimeoutError:
            if exchange is not None and exchange.sent:
                return Unknown(Reason.DEADLINE, 504)
            return NotRun(Reason.DEADLINE, 504, None)
        finally:
            if exchange is not None and not handed_over:
                exchange.abort()

    async def _send(self, exchange: ClientExchange, call: UpstreamCall) -> None:
        """Send head and body; the rights were checked just before."""
        headers = self._headers(exchange.address, call)
        body = call.body
        if body.whole:
            length = (b"Content-Length", str(len(body.start)).encode())
            await exchange.send_whole(
                call.method, call.target, (*headers, length), body.start
            )
            return
        chunked = (b"Transfer-Encoding", b"chunked")
        await exchange.send_head(call.method, call.target, (*headers, chunked))
        async for chunk in body.chunks():
            await exchange.send_body(chunk)
        await exchange.end_body()

    def _headers(self, address: Address, call: UpstreamCall) -> Headers:
        request = call.request
        remaining_s = request.deadline_s - asyncio.get_running_loop().time()
        lease_ms = max(1, round(remaining_s * 1000))
        traced = ((b"traceparent", call.traceparent.encode()),)
        return (
            (b"Host", str(address).encode()),
            (b"Cicadatrail-Task-Id", request.request_id.encode()),
            (b"Cicadatrail-Team", request.team_id.encode()),
            (b"Cicadatrail-Queue", request.queue_id.encode()),
            (b"Cicadatrail-Holder", self._incarnation.encode()),
            (b"Cicadatrail-Lease-Ms", str(lease_ms).encode()),
            *(traced if call.traceparent else ()),
            *call.headers,
        )


async def _iterate(
    exchange: ClientExchange, request: TaskRequest
) -> AsyncIterator[bytes]:
    """Yield the reply's body within the deadline; drop the connection if cut."""
    chunks = exchange.body()
    try:
        while True:
            async with asyncio.timeout_at(request.deadline_s):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk
    except (ClientError, TimeoutError) as error:
        raise ReplyCutError(repr(error)) from error
    finally:
        exchange.abort()


def _failed(error: ClientError) -> NotRun | Unknown:
    if error.fault is ClientFault.NOT_SENT:
        return NotRun(Reason.NOT_CONNECTED)
    return Unknown(Reason.NO_ANSWER)
