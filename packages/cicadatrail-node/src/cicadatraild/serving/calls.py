"""Outgoing requests to workers and peers, with their bodies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from cicadatrail_core.models.requests import TaskRequest
from cicadatraild.network.frames import FrameError
from cicadatraild.network.http_server import BodyIncompleteError, BodyTooLargeError
from cicadatraild.network.http_transport import Headers
from cicadatraild.serving.outcomes import Reason

BUFFERED_BODY_LIMIT_BYTES = 64 * 1024
"""Bodies up to this size are buffered, so that an attempt can be retried."""


class RequestBodyError(Exception):
    """A request body that ended early; has the reason and HTTP status to report."""

    def __init__(self, reason: Reason, status: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


class RequestBody:
    """Body of a request; only a completely buffered one can be sent repeatedly."""

    __slots__ = ("_remainder", "_started", "is_complete", "start")

    def __init__(
        self, start: bytes, is_complete: bool, rest: AsyncIterator[bytes] | None = None
    ) -> None:
        self.start = start
        self.is_complete = is_complete
        self._remainder = rest
        self._started = False

    @property
    def can_resend(self) -> bool:
        """Return whether the next attempt can send the body from its start."""
        return self.is_complete or not self._started

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Raises RequestBodyError if the body ends early.
        """
        self._started = True
        if self.start:
            yield self.start
        if self._remainder is not None:
            async for chunk in translate_body_errors(self._remainder):
                yield chunk


async def translate_body_errors(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield chunks, and convert errors of the stream to RequestBodyError."""
    try:
        async for chunk in chunks:
            yield chunk
    except BodyTooLargeError as error:
        raise RequestBodyError(Reason.BODY_TOO_LARGE, 413) from error
    except BodyIncompleteError as error:
        raise RequestBodyError(Reason.BODY_INCOMPLETE, 408) from error
    except FrameError as error:
        raise RequestBodyError(Reason.PEER_LOST, 502) from error


async def read_body_start(
    chunks: AsyncIterator[bytes], deadline_s: float
) -> RequestBody:
    """Read a short body completely, or the start of a long one.

    Raises RequestBodyError if the body ends early or is late for the deadline.
    """
    start = bytearray()
    try:
        async with asyncio.timeout_at(deadline_s):
            async for chunk in translate_body_errors(chunks):
                start += chunk
                if len(start) > BUFFERED_BODY_LIMIT_BYTES:
                    return RequestBody(bytes(start), False, chunks)
    except TimeoutError as error:
        raise RequestBodyError(Reason.DEADLINE, 408) from error
    return RequestBody(bytes(start), True)


@dataclass(slots=True)
class SendProgress:
    """Whether any byte of a request may have been sent, and the workers tried."""

    sent: bool = False
    tried_workers: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """A request as sent to a worker; ``headers`` has no hop-by-hop headers."""

    request: TaskRequest
    method: str
    target: str
    headers: Headers
    body: RequestBody
    traceparent: str = ""
    progress: SendProgress = field(default_factory=SendProgress)
