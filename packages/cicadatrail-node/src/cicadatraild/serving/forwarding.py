"""Forwarding of requests to a peer that has free capacity.

A forward stream carries one request at a time: the peer first reserves a
placement, then receives the request and its body, then sends the reply back.
Every answer has the request's id, so that one to another request is rejected.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

import h11
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
from cicadatraild.network.http_transport import Headers
from cicadatraild.network.peer_client import PeerLink
from cicadatraild.serving.calls import RequestBodyError, UpstreamCall
from cicadatraild.serving.outcomes import (
    NotRun,
    Reason,
    Reply,
    ReplyTruncatedError,
    Unknown,
)
from cicadatraild.serving.upstream import Attempt

logger = logging.getLogger("cicadatrail.forward")

RESERVE_TIMEOUT_S = 0.5
"""Time that a peer has to answer a reservation request."""

MAX_CHUNK_BYTES = 64 * 1024
"""Size limit of the part of a body in one frame."""


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
        """Send a message, waiting while the write buffer is full. Raises FrameError."""
        self.frames.write(codec.to_map(message, ForwardMessage))
        await self.frames.drain()

    async def send_body(self, chunks: AsyncIterator[bytes]) -> None:
        """Send a complete body as numbered chunks and an end message."""
        number = 0
        async for chunk in chunks:
            for start in range(0, len(chunk), MAX_CHUNK_BYTES):
                part = chunk[start : start + MAX_CHUNK_BYTES]
                await self.send(BodyChunk(number, part))
                number += 1
        await self.send(BodyEnd(number))

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of a body.

        Raises FrameError if the body ends early or a message is out of order.
        """
        number = 0
        while True:
            match await self.read():
                case BodyChunk(found, data) if found == number:
                    number += 1
                    yield data
                case BodyEnd(chunk_count) if chunk_count == number:
                    return
                case other:
                    raise FrameError(
                        f"a {type(other).__name__} message is out of order"
                    )


@dataclass(slots=True)
class Reservation:
    """A placement that a peer has reserved for a request."""

    link: PeerLink
    stream: ForwardStream
    call: UpstreamCall
    worker_id: str
    _body_sent: bool = False
    _released: bool = False

    async def abandon(self) -> None:
        """Release the reservation without sending the request."""
        try:
            await self.stream.send(Abandon())
        except FrameError:
            self.stream.frames.abort()
            return
        self.link.release(self.stream.frames)

    async def run(self) -> Attempt:
        """Run the request at the peer and return the outcome.

        The outcome is Unknown if the connection to the peer is lost, since the
        request may have reached a worker.
        """
        if self.stream.frames.closing:
            self.drop()
            return NotRun(Reason.PEER_LOST)
        self.call.progress.tried_workers.add(self.worker_id)
        self.call.progress.sent = True
        try:
            async with asyncio.timeout_at(self.call.request.deadline_s):
                return self._parse_answer(await self._exchange())
        except FrameError:
            self.drop()
            return Unknown(Reason.PEER_LOST)
        except RequestBodyError as error:
            self.drop()
            return Unknown(error.reason, error.status)
        except TimeoutError:
            self.drop()
            return Unknown(Reason.DEADLINE, 504)
        except BaseException:
            self.drop()
            raise

    async def _exchange(self) -> Any:
        """Send the request and return the peer's first answer.

        The upstream may answer before the body has ended, so sending and reading
        run concurrently. The stream is reused only if the whole body was sent.
        """
        call = self.call
        await self.stream.send(ForwardGo(call.method, call.target, call.headers))
        loop = asyncio.get_running_loop()
        sending = loop.create_task(self.stream.send_body(call.body.chunks()))
        reading = loop.create_task(self.stream.read())
        try:
            await asyncio.wait((sending, reading), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                with suppress(FrameError):
                    await sending
            return await reading
        finally:
            self._body_sent = sending.done() and not sending.cancelled()
            sending.cancel()
            reading.cancel()
            await asyncio.gather(sending, reading, return_exceptions=True)

    def _parse_answer(self, answer: Any) -> Attempt:
        request_id = self.call.request.request_id
        match answer:
            case ReplyHead(found, status, headers) if found == request_id:
                _check_reply_head(status, headers)
                return Reply(status, headers, self._body(), self.drop)
            case ReplyNotRun(found, reason) if found == request_id:
                self._release_stream()
                return NotRun(_parse_reason(reason))
            case ReplyUnknown(found, reason) if found == request_id:
                self._release_stream()
                return Unknown(_parse_reason(reason))
        raise FrameError("the answer is not for the request that was sent")

    async def _body(self) -> AsyncIterator[bytes]:
        chunks = self.stream.body()
        try:
            while True:
                async with asyncio.timeout_at(self.call.request.deadline_s):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    break
                yield chunk
        except (FrameError, TimeoutError) as error:
            self.drop()
            raise ReplyTruncatedError(repr(error)) from error
        self._release_stream()

    def _release_stream(self) -> None:
        """Return the stream for reuse, or close it if the body was not fully sent."""
        if not self._body_sent:
            self.drop()
            return
        self._released = True
        self.link.release(self.stream.frames)

    def drop(self) -> None:
        """Close the stream, so that the peer frees the placement or stops the task."""
        if not self._released:
            self._released = True
            self.stream.frames.abort()


async def reserve_at_peer(link: PeerLink, call: UpstreamCall) -> Reservation | None:
    """Reserve a placement at a peer; return None if it refuses or is late."""
    request_id = call.request.request_id
    now_s = asyncio.get_running_loop().time()
    remaining_s = call.request.deadline_s - now_s
    frames: FrameStream | None = None
    try:
        async with asyncio.timeout(min(RESERVE_TIMEOUT_S, max(0.0, remaining_s))):
            frames = await link.open_forward()
            stream = ForwardStream(frames)
            # Clocks differ between instances, so the remaining time is sent.
            await stream.send(ForwardOpen(call.request, remaining_s, call.traceparent))
            match await stream.read():
                case Reserved(found, worker_id) if found == request_id:
                    reservation = Reservation(link, stream, call, worker_id)
                    frames = None
                    return reservation
                case NotReserved(found) if found == request_id:
                    link.release(frames)
                    frames = None
                    return None
    except (FrameError, TimeoutError):
        return None
    finally:
        if frames is not None:
            frames.abort()
    return None


def _check_reply_head(status: int, headers: Headers) -> None:
    """Raise FrameError for a reply head that isn't valid HTTP."""
    try:
        h11.Response(status_code=status, headers=list(headers))
    except h11.LocalProtocolError as error:
        raise FrameError(f"invalid reply head ({error})") from error


def _parse_reason(text: str) -> Reason | str:
    """Return a peer's reason as a Reason, or unchanged if this release lacks it."""
    try:
        return Reason(text)
    except ValueError:
        return text


def with_local_deadline(opened: ForwardOpen, now_s: float) -> ForwardOpen:
    """Return the message with its deadline converted to this instance's clock."""
    deadline_s = now_s + opened.remaining_s
    return replace(opened, request=replace(opened.request, deadline_s=deadline_s))
