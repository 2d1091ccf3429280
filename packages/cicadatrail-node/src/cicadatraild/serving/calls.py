"""A request as it is sent to a worker or a peer, with its body."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from cicadatrail_core.models.requests import TaskRequest
from cicadatraild.network.frames import FrameError
from cicadatraild.network.http_server import BodyIncompleteError, BodyTooLargeError
from cicadatraild.network.http_transport import Headers
from cicadatraild.serving.outcomes import Reason

BODY_START_BYTES = 64 * 1024
"""Bodies up to this size are kept, so that an attempt can be repeated."""


class BodyCutError(Exception):
    """Report a request body that stopped before its end, and why."""

    def __init__(self, reason: Reason, status: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


class RequestBody:
    """Give a request's body to attempts; only a whole one can be sent again."""

    __slots__ = ("_begun", "_rest", "start", "whole")

    def __init__(
        self, start: bytes, whole: bool, rest: AsyncIterator[bytes] | None = None
    ) -> None:
        self.start = start
        self.whole = whole
        self._rest = rest
        self._begun = False

    @property
    def can_repeat(self) -> bool:
        """Tell whether an attempt would get the body from its start."""
        return self.whole or not self._begun

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start. Raises BodyCutError."""
        self._begun = True
        if self.start:
            yield self.start
        if self._rest is not None:
            async for chunk in checked(self._rest):
                yield chunk


async def checked(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield chunks; every way in which they stop early is a BodyCutError."""
    try:
        async for chunk in chunks:
            yield chunk
    except BodyTooLargeError as error:
        raise BodyCutError(Reason.BODY_TOO_LARGE, 413) from error
    except BodyIncompleteError as error:
        raise BodyCutError(Reason.BODY_INCOMPLETE, 408) from error
    except FrameError as error:
        raise BodyCutError(Reason.PEER_LOST, 502) from error


async def read_body_start(
    chunks: AsyncIterator[bytes], deadline_s: float
) -> RequestBody:
    """Read a short body whole, or the start of a long one.

    Raises BodyCutError when it is cut or has not come by the deadline.
    """
    start = bytearray()
    try:
        async with asyncio.timeout_at(deadline_s):
            async for chunk in checked(chunks):
                start += chunk
                if len(start) > BODY_START_BYTES:
                    return RequestBody(bytes(start), False, chunks)
    except TimeoutError as error:
        raise BodyCutError(Reason.DEADLINE, 408) from error
    return RequestBody(bytes(start), True)


@dataclass(slots=True)
class SendMark:
    """Note whether a byte of a request may have left, and which workers were tried."""

    sent: bool = False
    workers: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Hold what is sent to the worker; ``headers`` are end to end already."""

    request: TaskRequest
    method: str
    target: str
    headers: Headers
    body: RequestBody
    traceparent: str = ""
    mark: SendMark = field(default_factory=SendMark)
