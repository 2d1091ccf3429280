"""Serving of requests that peers forward."""

from __future__ import annotations

import asyncio
from typing import Any

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
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.placement.dispatcher import Placed, TaskEnd
from cicadatraild.network.frames import FrameError, FrameStream
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.attempt_runner import AttemptRunner
from cicadatraild.serving.calls import (
    RequestBody,
    RequestBodyError,
    UpstreamCall,
    read_body_start,
)
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.forwarding import ForwardStream, with_local_deadline
from cicadatraild.serving.outcomes import (
    NotRun,
    Reason,
    Reply,
    ReplyTruncatedError,
    Unknown,
)
from cicadatraild.serving.upstream import Attempt
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.tracing import Tracing

RESERVATION_TIMEOUT_S = 1.0
"""Time for which a reservation is kept until the request follows."""


class PeerRequests:
    """Reserve placements for peers' requests and run the requests that follow."""

    __slots__ = (
        "_admission",
        "_attempt_runner",
        "_dispatch_queue",
        "_in_flight",
        "_tracing",
    )

    def __init__(
        self,
        admission: Admission,
        dispatch_queue: DispatchQueue,
        attempt_runner: AttemptRunner,
        in_flight: InFlightWork,
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._admission = admission
        self._dispatch_queue = dispatch_queue
        self._attempt_runner = attempt_runner
        self._in_flight = in_flight

    async def serve(self, sender: IncarnationId, frames: FrameStream) -> None:
        """Serve the requests on one forward stream until it closes.

        Raises FrameError when the stream fails or a message is unexpected.
        """
        stream = ForwardStream(frames)
        while True:
            match await stream.read():
                case ForwardOpen() as opened:
                    with self._in_flight.track():
                        await self._serve_one(stream, opened)
                case other:
                    raise FrameError(f"{type(other).__name__} does not open a request")

    async def _serve_one(self, stream: ForwardStream, opened: ForwardOpen) -> None:
        """Reserve a placement for a peer's request and run it when it follows."""
        now_s = asyncio.get_running_loop().time()
        request = with_local_deadline(opened, now_s).request
        placed = (
            None if self._admission.draining else self._dispatch_queue.reserve(request)
        )
        if placed is None:
            await stream.send(NotReserved(request.request_id, Reason.NO_ROOM.value))
            return
        go: ForwardGo | None = None
        try:
            await stream.send(Reserved(request.request_id, placed.worker_id))
            async with asyncio.timeout(RESERVATION_TIMEOUT_S):
                go = await _read_go(stream)
        except TimeoutError as error:
            raise FrameError("no request followed the reservation in time") from error
        finally:
            if go is None:
                self._dispatch_queue.finish(request.request_id, TaskEnd.CANCELLED)
        if go is None:
            return
        with self._tracing.hop("peer", opened.traceparent) as hop:
            await self._run(stream, placed, go, hop.traceparent)

    async def _run(
        self, stream: ForwardStream, placed: Placed, go: ForwardGo, traceparent: str
    ) -> None:
        request = placed.request
        body = await self._read_body(stream, placed)
        call = UpstreamCall(
            request, go.method, go.target, go.headers, body, traceparent
        )
        attempt = await self._attempt(stream, placed, call)
        match attempt:
            case NotRun(reason=reason):
                await _drain_body(body)
                await stream.send(ReplyNotRun(request.request_id, _reason_text(reason)))
            case Unknown(reason=reason):
                await stream.send(
                    ReplyUnknown(request.request_id, _reason_text(reason))
                )
            case Reply():
                await _send_reply(stream, request.request_id, attempt)

    async def _read_body(self, stream: ForwardStream, placed: Placed) -> RequestBody:
        """Read the start of the body, and free the placement if that fails."""
        request = placed.request
        try:
            return await read_body_start(stream.body(), request.deadline_s)
        except BaseException as error:
            self._dispatch_queue.finish(request.request_id, TaskEnd.CANCELLED)
            if isinstance(error, RequestBodyError):
                raise FrameError("the forwarded request body ended early") from error
            raise

    async def _attempt(
        self, stream: ForwardStream, placed: Placed, call: UpstreamCall
    ) -> Attempt:
        """Run the request, and cancel it when the peer closes the stream."""
        run = self._attempt_runner.run_placed(placed, call)
        if not call.body.is_complete:
            return await run
        loop = asyncio.get_running_loop()
        running = loop.create_task(run)
        # The peer sends nothing before it has the reply, so the end of this read
        # means that the stream has closed or the peer broke the protocol.
        watching: asyncio.Task[Any] = loop.create_task(stream.read())
        try:
            await asyncio.wait((running, watching), return_when=asyncio.FIRST_COMPLETED)
            if not running.done():
                raise FrameError("the peer abandoned the request")
            return running.result()
        except BaseException:
            _close_late_reply(running)
            raise
        finally:
            running.cancel()
            watching.cancel()
            await asyncio.gather(running, watching, return_exceptions=True)


async def _read_go(stream: ForwardStream) -> ForwardGo | None:
    match await stream.read():
        case ForwardGo() as go:
            return go
        case Abandon():
            return None
        case other:
            raise FrameError(f"{type(other).__name__} is not valid after a reservation")


async def _send_reply(stream: ForwardStream, request_id: str, reply: Reply) -> None:
    """Send an upstream's reply. Raises FrameError if the reply is truncated."""
    try:
        await stream.send(ReplyHead(request_id, reply.status, reply.headers))
        await stream.send_body(reply.body)
    except ReplyTruncatedError as error:
        raise FrameError("the upstream's reply was truncated") from error
    finally:
        reply.close()


async def _drain_body(body: RequestBody) -> None:
    """Discard the rest of a body, so that its stream can be reused."""
    try:
        async for _ in body.chunks():
            pass
    except RequestBodyError as error:
        raise FrameError("the forwarded request body ended early") from error


def _close_late_reply(running: asyncio.Task[Attempt]) -> None:
    """Close the reply of an attempt that ended while the peer was being lost."""
    if not running.done() or running.cancelled() or running.exception():
        return
    attempt = running.result()
    if isinstance(attempt, Reply):
        attempt.close()


def _reason_text(reason: Reason | str) -> str:
    return reason.value if isinstance(reason, Reason) else reason
