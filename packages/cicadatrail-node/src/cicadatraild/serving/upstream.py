"""Single attempts of requests over HTTP on the worker where they were placed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import suppress
from typing import Any

import h11

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.placement.dispatcher import TaskEnd
from cicadatraild.network.client_exchange import Pending
from cicadatraild.network.http_client import (
    Address,
    ClientError,
    ClientExchange,
    ClientFault,
    ConnectionPool,
)
from cicadatraild.network.http_transport import Headers
from cicadatraild.serving.calls import RequestBody, RequestBodyError, UpstreamCall
from cicadatraild.serving.outcomes import (
    NotRun,
    Reason,
    Reply,
    ReplyTruncatedError,
    Unknown,
    reply_headers,
)
from cicadatraild.serving.placed_tasks import PlacedTask

MIN_FAILURE_STATUS = 500
"""Lowest HTTP status that counts as a failure of the worker."""

RIGHTS_CHECK_INTERVAL_S = 0.05
"""Time between checks whether a body may be ended while rights may not be used."""

Attempt = Reply | NotRun | Unknown


class Upstream:
    """Send requests to workers, each under a task lease."""

    __slots__ = ("_incarnation", "_may_use_rights", "_on_worker_leaving", "_pool")

    def __init__(
        self,
        pool: ConnectionPool,
        incarnation: IncarnationId,
        may_use_rights: Callable[[float], bool],
        on_worker_leaving: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._incarnation = incarnation
        self._may_use_rights = may_use_rights
        self._on_worker_leaving = on_worker_leaving

    async def run(
        self, worker: Worker, call: UpstreamCall, task: PlacedTask
    ) -> Attempt:
        """Run one attempt; NotRun is returned only if no byte was sent.

        The end of ``task`` is accounted for here or, if a Reply is returned, when
        its body ends or is closed.
        """
        exchange: ClientExchange | None = None
        try:
            async with asyncio.timeout_at(call.request.deadline_s):
                exchange = await self._pool.start(Address(worker.host, worker.port))
                if not self._may_use_rights(asyncio.get_running_loop().time()):
                    return _not_run(exchange, task, NotRun(Reason.NOT_SUPPORTED))
                call.progress.sent = True
                head = await self._exchange(exchange, call, task)
        except h11.LocalProtocolError:
            # The head is not valid HTTP, so nothing was sent.
            return _not_run(exchange, task, NotRun(Reason.MALFORMED, 400, None))
        except ClientError as error:
            return _failed(exchange, task, error)
        except RequestBodyError as error:
            return _give_up(
                exchange, task, TaskEnd.CANCELLED, Unknown(error.reason, error.status)
            )
        except TimeoutError:
            return _timed_out(exchange, task)
        except BaseException:
            _abort_cancelled(exchange, task)
            raise
        return self._reply(worker, exchange, head, task, call.request.deadline_s)

    def _reply(
        self,
        worker: Worker,
        exchange: ClientExchange,
        head: h11.Response,
        task: PlacedTask,
        deadline_s: float,
    ) -> Attempt:
        if exchange.server_will_close():
            self._on_worker_leaving(worker.worker_id)
        if not exchange.is_self_delimited():
            unknown = Unknown(Reason.ANSWER_UNBOUNDED)
            return _give_up(exchange, task, TaskEnd.CANCELLED, unknown)
        body = _ReplyBody(exchange, task, deadline_s)
        headers = reply_headers(exchange.headers)
        return Reply(head.status_code, headers, body.chunks(), body.close)

    async def _exchange(
        self, exchange: ClientExchange, call: UpstreamCall, task: PlacedTask
    ) -> h11.Response:
        """Send the request and return the reply's head.

        The rights were checked just before the call. Nothing may be awaited in
        between.
        """
        headers = self._headers(exchange.address, call, task.lease.start())
        body = call.body
        if not body.is_complete:
            chunked = (b"Transfer-Encoding", b"chunked")
            await exchange.send_head(call.method, call.target, (*headers, chunked))
            sending = self._send_body(exchange, body, task)
            return await _send_and_read(exchange, sending)
        length = (b"Content-Length", str(len(body.start)).encode())
        # A server may answer and close before it has read the whole body.
        with suppress(ClientError):
            await exchange.send_whole(
                call.method, call.target, (*headers, length), body.start
            )
        return await exchange.read_head()

    async def _send_body(
        self, exchange: ClientExchange, body: RequestBody, task: PlacedTask
    ) -> None:
        """Send a body; its end, on which the task may start, only under the rights."""
        async for chunk in body.chunks():
            await exchange.send_body(chunk)
        loop = asyncio.get_running_loop()
        while True:
            if self._may_use_rights(loop.time()):
                task.lease.restart()
                await exchange.end_body()
                return
            await asyncio.sleep(RIGHTS_CHECK_INTERVAL_S)

    def _headers(self, address: Address, call: UpstreamCall, lease_ms: int) -> Headers:
        request = call.request
        trace_headers = ((b"traceparent", call.traceparent.encode()),)
        return (
            (b"Host", str(address).encode()),
            (b"Cicadatrail-Task-Id", request.request_id.encode()),
            (b"Cicadatrail-Team", request.team_id.encode()),
            (b"Cicadatrail-Queue", request.queue_id.encode()),
            (b"Cicadatrail-Holder", self._incarnation.encode()),
            (b"Cicadatrail-Lease-Ms", str(lease_ms).encode()),
            *(trace_headers if call.traceparent else ()),
            *call.headers,
        )


class _ReplyBody:
    """Body of a reply, whose end also ends the task."""

    __slots__ = ("_deadline_s", "_exchange", "_task")

    def __init__(
        self, exchange: ClientExchange, task: PlacedTask, deadline_s: float
    ) -> None:
        self._exchange = exchange
        self._task = task
        self._deadline_s = deadline_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's chunks.

        Raises ReplyTruncatedError on a connection error or at the deadline.
        """
        try:
            while (chunk := await self._next_chunk()) is not None:
                yield chunk
        except (ClientError, TimeoutError) as error:
            self._exchange.abort()
            self._task.give_up(TaskEnd.FAILED)
            raise ReplyTruncatedError(repr(error)) from error
        response = self._exchange.response
        failed = response is not None and response.status_code >= MIN_FAILURE_STATUS
        self._task.finish(TaskEnd.FAILED if failed else TaskEnd.SUCCEEDED)

    async def _next_chunk(self) -> bytes | None:
        if asyncio.get_running_loop().time() >= self._deadline_s:
            raise TimeoutError
        chunk = self._exchange.poll_chunk()
        if not isinstance(chunk, Pending):
            return chunk
        async with asyncio.timeout_at(self._deadline_s):
            return await self._exchange.next_chunk()

    def close(self) -> None:
        """Give up the rest of the body and the task, unless they have ended."""
        self._exchange.abort()
        self._task.give_up(TaskEnd.CANCELLED)


async def _send_and_read(
    exchange: ClientExchange, send_body: Coroutine[Any, Any, None]
) -> h11.Response:
    """Send a body and read the head concurrently.

    The server may answer before the body's end.
    """
    loop = asyncio.get_running_loop()
    sending = loop.create_task(send_body)
    reading = loop.create_task(exchange.read_head())
    try:
        await asyncio.wait((sending, reading), return_when=asyncio.FIRST_COMPLETED)
        if not reading.done():
            with suppress(ClientError):
                await sending
        return await reading
    finally:
        sending.cancel()
        reading.cancel()
        await asyncio.gather(sending, reading, return_exceptions=True)


def _not_run(
    exchange: ClientExchange | None, task: PlacedTask, not_run: NotRun
) -> NotRun:
    """End an attempt of which no byte was sent."""
    if exchange is not None:
        exchange.abort()
    connected = not_run.reason is not Reason.NOT_CONNECTED
    task.finish(TaskEnd.CANCELLED if connected else TaskEnd.FAILED)
    return not_run


def _give_up(
    exchange: ClientExchange | None,
    task: PlacedTask,
    task_end: TaskEnd,
    unknown: Unknown,
) -> Unknown:
    """End an attempt that may have run, partly or completely."""
    if exchange is not None:
        exchange.abort()
    task.give_up(task_end)
    return unknown


def _failed(
    exchange: ClientExchange | None, task: PlacedTask, error: ClientError
) -> NotRun | Unknown:
    if error.fault is ClientFault.NOT_SENT:
        return _not_run(exchange, task, NotRun(Reason.NOT_CONNECTED))
    return _give_up(exchange, task, TaskEnd.FAILED, Unknown(Reason.NO_ANSWER))


def _timed_out(exchange: ClientExchange | None, task: PlacedTask) -> NotRun | Unknown:
    if exchange is None or not exchange.sent:
        return _not_run(exchange, task, NotRun(Reason.DEADLINE, 504, None))
    return _give_up(exchange, task, TaskEnd.FAILED, Unknown(Reason.DEADLINE, 504))


def _abort_cancelled(exchange: ClientExchange | None, task: PlacedTask) -> None:
    """End an attempt that was cancelled."""
    if exchange is None or not exchange.sent:
        _not_run(exchange, task, NotRun(Reason.LEAVING))
        return
    _give_up(exchange, task, TaskEnd.CANCELLED, Unknown(Reason.NO_ANSWER))
