"""The path of a caller's request: admit, place here or at a peer, answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.peer_messages import (
    Abandon,
    ForwardGo,
    ForwardOpen,
    NotReserved,
    ReplyHead,
    ReplyNotRun,
    ReplyUnknown,
    Reserved,
)
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.placement.dispatcher import Placed, Rejected, TaskEnd
from cicadatraild.network.frames import FrameError, FrameStream
from cicadatraild.network.http_server import (
    BodyIncompleteError,
    BodyTooLargeError,
    HttpExchange,
)
from cicadatraild.network.peer_client import PeerLink
from cicadatraild.serving.admission import Admission, Admitted
from cicadatraild.serving.caller_request import read_caller_request
from cicadatraild.serving.desk import Decision, Desk
from cicadatraild.serving.forwarding import (
    ForwardStream,
    Reservation,
    reserve_at,
    with_local_deadline,
)
from cicadatraild.serving.outcomes import (
    REQUEST_ID_HEADER,
    NotRun,
    Reason,
    Reply,
    ReplyCutError,
    Unknown,
    end_to_end_headers,
    read_start,
    write_findings,
    write_not_run,
    write_stream,
    write_unknown,
    write_whole,
)
from cicadatraild.serving.running import GivenUpTasks
from cicadatraild.serving.upstream import Attempt, RequestBody, Upstream, UpstreamCall
from cicadatraild.utils.open_work import OpenWork

logger = logging.getLogger("cicadatrail.router")

BODY_START_BYTES = 64 * 1024
"""Bodies up to this size are kept, so that an attempt can be repeated."""

SEEK_INTERVAL_S = 0.02
"""Wait before a request that found no place here is offered to peers."""

SEEK_LIMIT_S = 0.5
"""Longest wait between two offers of the same request to peers."""

GO_TIMEOUT_S = 1.0
"""Time that a reserved place is kept for the request to follow."""

FAILURE_STATUS = 500
"""Statuses from here on count as failures of the worker."""


@dataclass(frozen=True, slots=True)
class Started:
    """Hold an attempt's outcome and how to account for its end."""

    attempt: Attempt
    end: Callable[[bool], None]


class Router:
    """Serve callers and peers."""

    __slots__ = (
        "_admission",
        "_desk",
        "_given_up",
        "_peers_with_room",
        "_upstream",
        "_worker",
        "forwarded_count",
        "open_work",
        "outcome_counts",
    )

    def __init__(
        self,
        admission: Admission,
        desk: Desk,
        upstream: Upstream,
        given_up: GivenUpTasks,
        worker: Callable[[str], Worker | None],
        peers_with_room: Callable[[TaskRequest], Sequence[PeerLink]],
    ) -> None:
        self._admission = admission
        self._desk = desk
        self._upstream = upstream
        self._given_up = given_up
        self._worker = worker
        self._peers_with_room = peers_with_room
        self.outcome_counts: dict[str, int] = {}
        self.forwarded_count = 0
        self.open_work = OpenWork()

    async def serve_caller(self, exchange: HttpExchange) -> None:
        """Answer one request of a caller."""
        with self.open_work.one():
            await self._serve_caller(exchange)

    async def _serve_caller(self, exchange: HttpExchange) -> None:
        match read_caller_request(exchange):
            case Failure(findings):
                await write_findings(exchange, findings)
                return
            case Success(found):
                caller_request = found
        match self._admission.admit(caller_request):
            case Failure(refusal):
                given_id = str(caller_request.request_id or "")
                await self._refuse(exchange, given_id, refusal)
            case Success(admitted):
                await self._serve_admitted(exchange, admitted)

    async def serve_peer(self, sender: IncarnationId, frames: FrameStream) -> None:
        """Serve requests of one forward stream until it closes."""
        stream = ForwardStream(frames)
        while True:
            match await stream.read():
                case ForwardOpen() as opened:
                    with self.open_work.one():
                        await self._serve_forwarded(stream, opened)
                case other:
                    raise FrameError(f"{type(other).__name__} opens no request")

    async def _serve_admitted(self, exchange: HttpExchange, admitted: Admitted) -> None:
        try:
            body = await _read_body_start(exchange)
        except BodyTooLargeError:
            refusal = NotRun(Reason.BODY_TOO_LARGE, 413, None)
            await self._refuse(exchange, admitted.caller_id, refusal)
            return
        except BodyIncompleteError:
            refusal = NotRun(Reason.BODY_INCOMPLETE, 408, None)
            await self._refuse(exchange, admitted.caller_id, refusal)
            return
        named = (REQUEST_ID_HEADER, admitted.caller_id.encode())
        call = UpstreamCall(
            request=admitted.task,
            method=exchange.method,
            target=exchange.target,
            headers=(named, *end_to_end_headers(tuple(exchange.request.headers))),
            body=body,
        )
        await self._answer(exchange, admitted.caller_id, call)

    async def _answer(
        self, exchange: HttpExchange, caller_id: str, call: UpstreamCall
    ) -> None:
        """Run attempts until one may be answered, then answer."""
        while True:
            started = await self._start(call)
            if isinstance(started, NotRun):
                await self._refuse(exchange, caller_id, started)
                return
            succeeded = False
            try:
                succeeded = await self._tell(exchange, caller_id, started.attempt)
            finally:
                started.end(succeeded)
            return

    async def _tell(
        self, exchange: HttpExchange, caller_id: str, attempt: Attempt
    ) -> bool:
        """Tell the caller what came of an attempt; return whether it is whole."""
        match attempt:
            case NotRun():
                await self._refuse(exchange, caller_id, attempt)
                return False
            case Unknown():
                self._count("unknown")
                await write_unknown(exchange, caller_id, attempt)
                return False
            case Reply():
                return await self._tell_reply(exchange, caller_id, attempt)

    async def _tell_reply(
        self, exchange: HttpExchange, caller_id: str, reply: Reply
    ) -> bool:
        try:
            start, whole = await read_start(reply)
        except ReplyCutError:
            self._count("unknown")
            await write_unknown(exchange, caller_id, Unknown(Reason.ANSWER_CUT))
            return False
        if whole:
            await write_whole(exchange, caller_id, reply, start)
        else:
            await write_stream(exchange, caller_id, reply, start)
        self._count("complete")
        return True

    async def _start(self, call: UpstreamCall) -> Started | NotRun:
        """Find a place, here or at a peer, and run the request there."""
        decision = self._desk.submit(call.request)
        if isinstance(decision, asyncio.Future):
            found = await self._wait(call, decision)
        else:
            found = decision
        match found:
            case Rejected(reason=reason, again_s=again_s):
                status = 422 if again_s is None else 429
                return NotRun(reason.value, status, again_s)
            case Placed():
                return await self._run_here(found, call)
            case Reservation():
                self.forwarded_count += 1
                return Started(await found.run(), _nothing)

    async def _run_here(self, placed: Placed, call: UpstreamCall) -> Started | NotRun:
        worker = self._worker(placed.worker_id)
        request_id = placed.request.request_id
        if worker is None:
            self._desk.finish(request_id, TaskEnd.CANCELLED)
            return NotRun(Reason.NO_ROOM)
        end = _Ending(self._desk, self._given_up, placed, worker)
        try:
            attempt = await self._upstream.run(worker, call)
        except BaseException:
            end(False)
            raise
        if isinstance(attempt, NotRun):
            self._desk.finish(request_id, TaskEnd.FAILED)
            return attempt
        return Started(attempt, end)

    async def _wait(
        self, call: UpstreamCall, decision: asyncio.Future[Decision]
    ) -> Decision | Reservation:
        """Wait for a place here, and meanwhile ask peers that have room."""
        request_id = call.request.request_id
        wait_s = SEEK_INTERVAL_S
        try:
            while not decision.done():
                await asyncio.wait((decision,), timeout=wait_s)
                wait_s = min(SEEK_LIMIT_S, wait_s * 2)
                if decision.done():
                    break
                reservation = await self._seek(call)
                if reservation is None:
                    continue
                if not decision.done() and self._desk.withdraw(request_id):
                    return reservation
                await reservation.abandon()
            return decision.result()
        except BaseException:
            self._withdraw(request_id, decision)
            raise

    def _withdraw(self, request_id: str, decision: asyncio.Future[Decision]) -> None:
        """Take back a request nobody waits for, placed or not."""
        if decision.done() and isinstance(decision.result(), Placed):
            self._desk.finish(request_id, TaskEnd.CANCELLED)
            return
        self._desk.withdraw(request_id)

    async def _seek(self, call: UpstreamCall) -> Reservation | None:
        for link in self._peers_with_room(call.request):
            reservation = await reserve_at(link, call)
            if reservation is not None:
                return reservation
        return None

    async def _serve_forwarded(
        self, stream: ForwardStream, opened: ForwardOpen
    ) -> None:
        """Reserve a place for a peer's request and run it when it follows."""
        now_s = asyncio.get_running_loop().time()
        request = with_local_deadline(opened, now_s).request
        placed = None if self._admission.draining else self._desk.reserve(request)
        if placed is None:
            await stream.send(NotReserved(Reason.NO_ROOM.value))
            return
        go: ForwardGo | None = None
        try:
            await stream.send(Reserved(placed.worker_id))
            async with asyncio.timeout(GO_TIMEOUT_S):
                go = await _read_go(stream)
        except TimeoutError as error:
            raise FrameError("the reserved request didn't follow") from error
        finally:
            if go is None:
                self._desk.finish(request.request_id, TaskEnd.CANCELLED)
        if go is not None:
            await self._run_forwarded(stream, placed, go, opened.traceparent)

    async def _run_forwarded(
        self, stream: ForwardStream, placed: Placed, go: ForwardGo, traceparent: str
    ) -> None:
        request = placed.request
        chunks = stream.body()
        body = RequestBody(b"", False, chunks)
        call = UpstreamCall(
            request, go.method, go.target, go.headers, body, traceparent
        )
        started = await self._run_here(placed, call)
        if isinstance(started, NotRun):
            # The body is read to its end, so that the stream can be used again.
            async for _ in chunks:
                pass
            await stream.send(ReplyNotRun(request.request_id, _text(started.reason)))
            return
        succeeded = False
        try:
            succeeded = await _reply(stream, request.request_id, started.attempt)
        finally:
            started.end(succeeded)

    async def _refuse(
        self, exchange: HttpExchange, caller_id: str, refusal: NotRun
    ) -> None:
        self._count("not-run")
        await write_not_run(exchange, caller_id, refusal)

    def _count(self, outcome: str) -> None:
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1


class _Ending:
    """Account for a task's end: free its place, or make sure that it ends."""

    __slots__ = ("_desk", "_given_up", "_placed", "_worker")

    def __init__(
        self, desk: Desk, given_up: GivenUpTasks, placed: Placed, worker: Worker
    ) -> None:
        self._desk = desk
        self._given_up = given_up
        self._placed = placed
        self._worker = worker

    def __call__(self, succeeded: bool) -> None:
        if succeeded:
            request_id = self._placed.request.request_id
            self._desk.finish(request_id, TaskEnd.SUCCEEDED)
            return
        self._given_up.give_up(self._placed, self._worker)


def _nothing(_succeeded: bool) -> None:
    """Account for a task that another instance accounts for."""


def _text(reason: Reason | str) -> str:
    return reason.value if isinstance(reason, Reason) else reason


async def _read_go(stream: ForwardStream) -> ForwardGo | None:
    match await stream.read():
        case ForwardGo() as go:
            return go
        case Abandon():
            return None
        case other:
            raise FrameError(f"{type(other).__name__} follows no reservation")


async def _reply(stream: ForwardStream, request_id: str, attempt: Attempt) -> bool:
    """Send an attempt's outcome to the peer; return whether it was whole."""
    match attempt:
        case NotRun(reason=reason):
            await stream.send(ReplyNotRun(request_id, _text(reason)))
            return False
        case Unknown(reason=reason):
            await stream.send(ReplyUnknown(request_id, _text(reason)))
            return False
        case Reply(status, headers, body):
            await stream.send(ReplyHead(request_id, status, headers))
            try:
                await stream.send_body(body)
            except ReplyCutError as error:
                raise FrameError("the reply was cut") from error
            return True


async def _read_body_start(exchange: HttpExchange) -> RequestBody:
    """Read a short body whole, or the start of a long one."""
    start = bytearray()
    chunks = exchange.body()
    async for chunk in chunks:
        start += chunk
        if len(start) > BODY_START_BYTES:
            return RequestBody(bytes(start), False, chunks)
    return RequestBody(bytes(start), True)
