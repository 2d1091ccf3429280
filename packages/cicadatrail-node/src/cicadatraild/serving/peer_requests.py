"""Serves the requests that peers forward, on their forward streams."""

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
from cicadatraild.serving.calls import (
    BodyCutError,
    RequestBody,
    UpstreamCall,
    read_body_start,
)
from cicadatraild.serving.desk import Desk
from cicadatraild.serving.forwarding import ForwardStream, with_local_deadline
from cicadatraild.serving.outcomes import NotRun, Reason, Reply, ReplyCutError, Unknown
from cicadatraild.serving.places import Places
from cicadatraild.serving.upstream import Attempt
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.tracing import Tracing

GO_TIMEOUT_S = 1.0
"""Time that a reserved place is kept for the request to follow."""


class PeerRequests:
    """Reserve places for peers' requests and run those that follow."""

    __slots__ = ("_admission", "_desk", "_in_flight", "_places", "_tracing")

    def __init__(
        self,
        admission: Admission,
        desk: Desk,
        places: Places,
        in_flight: InFlightWork,
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._admission = admission
        self._desk = desk
        self._places = places
        self._in_flight = in_flight

    async def serve(self, sender: IncarnationId, frames: FrameStream) -> None:
        """Serve requests of one forward stream until it closes."""
        stream = ForwardStream(frames)
        while True:
            match await stream.read():
                case ForwardOpen() as opened:
                    with self._in_flight.track():
                        await self._serve_one(stream, opened)
                case other:
                    raise FrameError(f"{type(other).__name__} opens no request")

    async def _serve_one(self, stream: ForwardStream, opened: ForwardOpen) -> None:
        """Reserve a place for a peer's request and run it when it follows."""
        now_s = asyncio.get_running_loop().time()
        request = with_local_deadline(opened, now_s).request
        placed = None if self._admission.draining else self._desk.reserve(request)
        if placed is None:
            await stream.send(NotReserved(request.request_id, Reason.NO_ROOM.value))
            return
        go: ForwardGo | None = None
        try:
            await stream.send(Reserved(request.request_id, placed.worker_id))
            async with asyncio.timeout(GO_TIMEOUT_S):
                go = await _read_go(stream)
        except TimeoutError as error:
            raise FrameError("the reserved request didn't follow") from error
        finally:
            if go is None:
                self._desk.finish(request.request_id, TaskEnd.CANCELLED)
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
                await _skip(body)
                await stream.send(ReplyNotRun(request.request_id, _text(reason)))
            case Unknown(reason=reason):
                await stream.send(ReplyUnknown(request.request_id, _text(reason)))
            case Reply():
                await _send_reply(stream, request.request_id, attempt)

    async def _read_body(self, stream: ForwardStream, placed: Placed) -> RequestBody:
        """Read the start of the body; the place is free again if it is cut."""
        request = placed.request
        try:
            return await read_body_start(stream.body(), request.deadline_s)
        except BaseException as error:
            self._desk.finish(request.request_id, TaskEnd.CANCELLED)
            if isinstance(error, BodyCutError):
                raise FrameError("the forwarded body was cut") from error
            raise

    async def _attempt(
        self, stream: ForwardStream, placed: Placed, call: UpstreamCall
    ) -> Attempt:
        """Run the request, but no longer than the peer keeps the stream open."""
        run = self._places.run_placed(placed, call)
        if not call.body.whole:
            return await run
        loop = asyncio.get_running_loop()
        running = loop.create_task(run)
        # A peer sends nothing until it has the reply: a frame is its end or a fault.
        watching: asyncio.Task[Any] = loop.create_task(stream.read())
        try:
            await asyncio.wait((running, watching), return_when=asyncio.FIRST_COMPLETED)
            if not running.done():
                raise FrameError("the peer gave the request up")
            return running.result()
        except BaseException:
            _close_late(running)
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
            raise FrameError(f"{type(other).__name__} follows no reservation")


async def _send_reply(stream: ForwardStream, request_id: str, reply: Reply) -> None:
    """Send an upstream's reply; a cut one ends the stream without a proper end."""
    try:
        await stream.send(ReplyHead(request_id, reply.status, reply.headers))
        await stream.send_body(reply.body)
    except ReplyCutError as error:
        raise FrameError("the reply was cut") from error
    finally:
        reply.close()


async def _skip(body: RequestBody) -> None:
    """Read a body to its end, so that its stream can be used again."""
    try:
        async for _ in body.chunks():
            pass
    except BodyCutError as error:
        raise FrameError("the forwarded body was cut") from error


def _close_late(running: asyncio.Task[Attempt]) -> None:
    """Give up the reply of an attempt that ended as its peer was lost."""
    if not running.done() or running.cancelled() or running.exception():
        return
    attempt = running.result()
    if isinstance(attempt, Reply):
        attempt.close()


def _text(reason: Reason | str) -> str:
    return reason.value if isinstance(reason, Reason) else reason
