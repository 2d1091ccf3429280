"""Client side of peer links: a control link and pooled forward streams per peer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.utils import codec
from cicadatraild.network.frames import FrameError, FrameStream, authenticate_as_client
from cicadatraild.network.http_client import Address
from cicadatraild.network.peer_server import CONTROL, FORWARD

logger = logging.getLogger("cicadatrail.peer")

CONNECT_TIMEOUT_S = 1.0
"""Time for connecting and the handshake."""

UNSENT_LIMIT_BYTES = 1024 * 1024
"""Unsent bytes after which messages to a slow peer are dropped."""

IDLE_STREAM_COUNT = 64
"""Idle forward streams kept per peer."""


class LinkFault(Enum):
    """Reason why a link could not be opened or a call was not answered."""

    REFUSED = "refused"
    """The address refuses connections, as no process listens on it."""

    OTHER_INCARNATION = "other-incarnation"
    """Another incarnation answers at the address."""

    SILENT = "silent"
    """No answer was received in time, or the link failed."""


@dataclass(frozen=True, slots=True)
class LinkError:
    """Failed call to a peer."""

    fault: LinkFault
    reason: str


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings that all links of an instance share."""

    own_name: IncarnationId
    cluster_key: bytes
    limit_bytes: int
    message_type: Any


class PeerLink:
    """Link to one incarnation, opened on first use and reopened after a failure."""

    __slots__ = (
        "_calls",
        "_connecting",
        "_idle_streams",
        "_is_closed",
        "_next_call_id",
        "_reader_task",
        "_settings",
        "_stream",
        "address",
        "message_count",
        "name",
        "on_fault",
        "sent_bytes",
    )

    def __init__(
        self,
        name: IncarnationId,
        address: Address,
        settings: LinkSettings,
        on_fault: Callable[[IncarnationId, LinkFault], None],
    ) -> None:
        self.name = name
        self.address = address
        self.on_fault = on_fault
        self.sent_bytes = 0
        self.message_count = 0
        self._settings = settings
        self._stream: FrameStream | None = None
        self._connecting = asyncio.Lock()
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next_call_id = 0
        self._reader_task: asyncio.Task[None] | None = None
        self._idle_streams: list[FrameStream] = []
        self._is_closed = False

    async def call(self, message: Any, timeout_s: float) -> Result[Any, LinkError]:
        """Send a message and return its answer.

        An answer that arrives after the timeout is dropped.
        """
        self._next_call_id += 1
        call_id = self._next_call_id
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self._control_stream()
                if stream.unsent_bytes > UNSENT_LIMIT_BYTES:
                    return Failure(
                        LinkError(LinkFault.SILENT, "the peer reads too slowly")
                    )
                self._calls[call_id] = answer
                body = codec.to_map(message, self._settings.message_type)
                self.sent_bytes += stream.write([call_id, body])
                self.message_count += 1
                return Success(await answer)
        except _OpenError as error:
            return Failure(error.error)
        except (FrameError, TimeoutError) as error:
            return Failure(LinkError(LinkFault.SILENT, repr(error)))
        finally:
            self._calls.pop(call_id, None)

    async def open_forward(self) -> FrameStream:
        """Return an idle or new forward stream. Raises FrameError."""
        while self._idle_streams:
            stream = self._idle_streams.pop()
            if not stream.closing:
                return stream
        try:
            return await self._open(FORWARD)
        except _OpenError as error:
            raise FrameError(error.error.reason) from error

    def release(self, stream: FrameStream) -> None:
        """Return a forward stream whose last exchange ended cleanly to the pool."""
        is_full = len(self._idle_streams) >= IDLE_STREAM_COUNT
        if stream.closing or is_full or self._is_closed:
            stream.abort()
            return
        self._idle_streams.append(stream)

    def close(self) -> None:
        """Close the link and its streams, also those being opened; fail its calls."""
        self._is_closed = True
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._stream is not None:
            self._stream.abort()
        for stream in self._idle_streams:
            stream.abort()
        self._fail_calls("the link was closed")

    async def _control_stream(self) -> FrameStream:
        async with self._connecting:
            if self._stream is None or self._stream.closing:
                self._stream = await self._open(CONTROL)
                if self._reader_task is not None:
                    self._reader_task.cancel()
                self._reader_task = asyncio.get_running_loop().create_task(
                    self._read(self._stream)
                )
            return self._stream

    async def _open(self, purpose: str) -> FrameStream:
        """Connect and authenticate; report a failure and raise _OpenError."""
        settings = self._settings
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port
                )
                stream = FrameStream(reader, writer, settings.limit_bytes)
                server = await _authenticate(stream, settings, purpose)
        except ConnectionRefusedError as error:
            raise self._fault(LinkFault.REFUSED, repr(error)) from error
        except (OSError, TimeoutError, FrameError) as error:
            raise self._fault(LinkFault.SILENT, repr(error)) from error
        if self._is_closed:
            stream.abort()
            raise _OpenError(LinkError(LinkFault.SILENT, "the link was closed"))
        if server != self.name:
            stream.abort()
            raise self._fault(
                LinkFault.OTHER_INCARNATION,
                f"incarnation {server} answers at the address",
            )
        return stream

    def _fault(self, fault: LinkFault, reason: str) -> _OpenError:
        self.on_fault(self.name, fault)
        return _OpenError(LinkError(fault, reason))

    async def _read(self, stream: FrameStream) -> None:
        """Match answers to pending calls until the link closes."""
        try:
            while True:
                self._handle_answer(await stream.read())
        except FrameError as error:
            stream.abort()
            self._fail_calls(str(error))

    def _handle_answer(self, frame: Any) -> None:
        match frame:
            case [int(call_id), body]:
                pass
            case _:
                raise FrameError("an answer is not a pair of call id and message")
        waiter = self._calls.get(call_id)
        if waiter is None or waiter.done():
            return
        match codec.from_map(body, self._settings.message_type):
            case Success(answer):
                waiter.set_result(answer)
            case Failure(findings):
                waiter.set_exception(
                    FrameError(f"an answer is malformed: {findings[0]}")
                )

    def _fail_calls(self, reason: str) -> None:
        for waiter in self._calls.values():
            if not waiter.done():
                waiter.set_exception(FrameError(reason))


class _OpenError(Exception):
    def __init__(self, error: LinkError) -> None:
        super().__init__(error.reason)
        self.error = error


async def _authenticate(
    stream: FrameStream, settings: LinkSettings, purpose: str
) -> str:
    try:
        return await authenticate_as_client(
            stream, settings.cluster_key, purpose, settings.own_name
        )
    except BaseException:
        stream.abort()
        raise


class PeerDirectory:
    """Links to the other members."""

    __slots__ = ("_links", "_on_fault", "_settings", "_tasks")

    def __init__(
        self,
        settings: LinkSettings,
        on_fault: Callable[[IncarnationId, LinkFault], None],
    ) -> None:
        self._settings = settings
        self._on_fault = on_fault
        self._links: dict[IncarnationId, PeerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def links(self) -> tuple[PeerLink, ...]:
        """Return every link."""
        return tuple(self._links.values())

    async def open(self, stack: AsyncExitStack) -> None:
        """Close every link when ``stack`` is closed."""
        stack.callback(self._close)

    def link(self, name: IncarnationId) -> PeerLink | None:
        """Return the link to a member, or None if there is no such member."""
        return self._links.get(name)

    def set_members(self, members: dict[IncarnationId, Address]) -> None:
        """Open and close links to match the membership."""
        for name in self._links.keys() - members.keys():
            self._links.pop(name).close()
        for name in members.keys() - self._links.keys():
            if name != self._settings.own_name:
                self._links[name] = PeerLink(
                    name, members[name], self._settings, self._on_fault
                )

    def spawn(self, call: Coroutine[Any, Any, None]) -> None:
        """Run a call to a peer in the background; it is cancelled on close."""
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        for link in self._links.values():
            link.close()
        self._links.clear()
