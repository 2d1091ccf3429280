"""Sends a request to a peer that has room, and serves those of peers.

A forward stream carries one request at a time: the peer first reserves a
place, then gets the request and its body, then sends the reply back. Every
reply names the request, so that one of another exchange is never taken.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure, Success

from cicadatrail_core.models.peer_messages import (
    Abandon,
    BodyChunk,
    BodyEnd,
    ForwardGo,
    ForwardMessage,
    ForwardOpen,
    NotReserved,
    ReplyHead,
    ReplyNotRun,
    ReplyUnknown,
    Reserved,
)
from cicadatrail_core.utils import codec
from cicadatraild.network.frames import FrameError, FrameStream
from cicadatraild.network.peer_client import PeerLink
from cicadatraild.serving.outcomes import NotRun, Reason, Reply, ReplyCutError, Unknown
from cicadatraild.serving.upstream import Attempt, UpstreamCall

logger = logging.getLogger("cicadatrail.forward")

RESERVE_TIMEOUT_S = 0.5
"""Time that a peer has to answer a request for a place."""

CHUNK_BYTES = 64 * 1024
"""Largest part of a body in one frame."""


class ForwardStream:
    """Read and write typed messages on a forward stream."""

    __slots__ = ("frames",)

    def __init__(self, frames: FrameStream) -> None:
        self.frames = frames

    async def read(self) -> Any:
        """Return the next message. Raises FrameError."""
        match codec.from_map(await self.frames.read(), ForwardMessage):
            case Success(message):
                return message
            case Failure(findings):
                raise FrameError(f"unreadable message: {findings[0]}")

    async def send(self, message: Any) -> None:
        """Send a message and wait while the peer is slow. Raises FrameError."""
        self.frames.write(codec.to_map(message, ForwardMessage))
        await self.frames.drain()

    async def send_body(self, chunks: AsyncIterator[bytes]) -> None:
        """Send a body to its end."""
        async for chunk in chunks:
            for start in range(0, len(chunk), CHUNK_BYTES):
                await self.send(BodyChunk(chunk[start : start + CHUNK_BYTES]))
        await self.send(BodyEnd())

    async def body(self) -> AsyncIterator[bytes]:
        """Yield a body to its end. Raises FrameError when it is cut."""
        while True:
            match await self.read():
                case BodyChunk(data):
                    yield data
                case BodyEnd():
                    return
                case other:
                    raise FrameError(f"{type(other).__name__} within a body")


@dataclass(slots=True)
class Reservation:
    """Hold a place that a peer keeps for a request."""

    link: PeerLink
    stream: ForwardStream
    call: UpstreamCall

    async def abandon(self) -> None:
        """Give the place back."""
        try:
            await self.stream.send(Abandon())
        except FrameError:
            self.stream.frames.abort()
            return
        self.link.give_back(self.stream.frames)

    async def run(self) -> Attempt:
        """Let the request run at the peer and return what came of it.

        The reply to a request whose peer was lost is unknown: it may have
        reached a worker.
        """
        call = self.call
        handed_over = False
        try:
            async with asyncio.timeout_at(call.request.deadline_s):
                go = ForwardGo(call.method, call.target, call.headers)
                await self.stream.send(go)
                await self.stream.send_body(call.body.chunks())
                answer = await self.stream.read()
            handed_over = isinstance(answer, ReplyHead)
            return self._attempt(answer)
        except FrameError:
            return Unknown(Reason.PEER_LOST)
        except TimeoutError:
            return Unknown(Reason.DEADLINE, 504)
        finally:
            if not handed_over:
                self.stream.frames.abort()

    def _attempt(self, answer: Any) -> Attempt:
        request_id = self.call.request.request_id
        match answer:
            case ReplyHead(found, status, headers) if found == request_id:
                return Reply(status, headers, self._body())
            case ReplyNotRun(found, reason) if found == request_id:
                return NotRun(reason)
            case ReplyUnknown(found, reason) if found == request_id:
                return Unknown(reason)
        raise FrameError("the answer belongs to another request")

    async def _body(self) -> AsyncIterator[bytes]:
        chunks = self.stream.body()
        whole = False
        try:
            while True:
                async with asyncio.timeout_at(self.call.request.deadline_s):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    break
                yield chunk
            whole = True
        except (FrameError, TimeoutError) as error:
            raise ReplyCutError(repr(error)) from error
        finally:
            if whole:
                self.link.give_back(self.stream.frames)
            else:
                self.stream.frames.abort()


async def reserve_at(link: PeerLink, call: UpstreamCall) -> Reservation | None:
    """Ask a peer for a place; None when it has none or doesn't answer in time."""
    now_s = asyncio.get_running_loop().time()
    remaining_s = call.request.deadline_s - now_s
    frames: FrameStream | None = None
    try:
        async with asyncio.timeout(min(RESERVE_TIMEOUT_S, max(0.0, remaining_s))):
            frames = await link.open_forward()
            stream = ForwardStream(frames)
            # The peer's clock differs: the deadline goes as what remains.
            await stream.send(ForwardOpen(call.request, remaining_s, call.traceparent))
            match await stream.read():
                case Reserved():
                    reservation = Reservation(link, stream, call)
                    frames = None
                    return reservation
                case NotReserved():
                    link.give_back(frames)
                    frames = None
                    return None
    except (FrameError, TimeoutError):
        return None
    finally:
        if frames is not None:
            frames.abort()
    return None


def with_local_deadline(opened: ForwardOpen, now_s: float) -> ForwardOpen:
    """Return the message with the deadline on this instance's clock."""
    deadline_s = now_s + opened.remaining_s
    return replace(opened, request=replace(opened.request, deadline_s=deadline_s))
