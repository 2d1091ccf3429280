"""Request streams between entry instances."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from typing import Any

from cicadatraild.network.body_budget import BodyBudget
from cicadatraild.network.frames import FrameError, FrameStream
from cicadatraild.network.listener import Listener, listen_for_streams
from cicadatraild.scheduling.messages import (
    AskHolder,
    Refused,
    Reply,
    Request,
    Submit,
    Unsettled,
    decode_message,
    encode_message,
)

logger = logging.getLogger("cicadatrail.peer")

FRAME_LIMIT_BYTES = 1024 * 1024
"""Largest frame; the platform limits submitted bodies to 256 KiB."""

CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to a peer; peers are about 1 ms away."""

SILENCE_S = 0.4
"""Time without any reply after which a link counts as silent, and for the reply that
shows that it still delivers."""

CONCURRENT_REQUESTS_COUNT = 2000
"""Largest number of concurrent requests per stream."""


class PeerUnreachableError(Exception):
    """Raised when a request got no reply.

    ``may_have_run`` is set when the request may have reached the peer,
    ``is_refused`` when the peer's machine refused the connection, so no process
    listens there.
    """

    def __init__(self, reason: str, may_have_run: bool, is_refused: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.is_refused = is_refused


def _decode(value: Any) -> Any:
    """Return the message in a frame. Raises ValueError, which ends the stream."""
    try:
        return decode_message(value)
    except ValueError as error:
        logger.warning(
            "peer: ignoring an invalid message.", extra={"reason": str(error)[:200]}
        )
        raise


class PeerServer:
    """Serve the requests of peers.

    ``on_peer`` is called with the host of each peer that connects. ``budget`` bounds
    the submissions that wait for their reply; what exceeds it is refused, and counted
    in ``refused_count``. Without one they are not bounded.
    """

    def __init__(
        self,
        answer: Callable[[Request], Awaitable[Reply]],
        on_peer: Callable[[str], None],
        budget: BodyBudget | None = None,
    ) -> None:
        self._budget = budget
        self.refused_count = 0
        self._answer = answer
        self._on_peer = on_peer
        self._tasks: set[asyncio.Task[None]] = set()
        self._streams: dict[FrameStream, asyncio.Task[None]] = {}

    async def listen(self, stack: AsyncExitStack, host: str, port: int) -> int:
        """Listen until ``stack`` closes; return the bound port."""
        listener = listen_for_streams(self._connection_made)
        bound_port = listener.listen(host, port)
        stack.push_async_callback(self._close, listener)
        return bound_port

    def _connection_made(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, FRAME_LIMIT_BYTES)
        task = asyncio.create_task(self._serve(stream))
        self._streams[stream] = task
        task.add_done_callback(lambda _: self._end(stream))
        address = writer.get_extra_info("peername")
        if address is not None:
            self._on_peer(address[0])

    def _end(self, stream: FrameStream) -> None:
        del self._streams[stream]
        stream.abort()

    async def _serve(self, stream: FrameStream) -> None:
        permits = asyncio.Semaphore(CONCURRENT_REQUESTS_COUNT)
        try:
            while True:
                number, value = await stream.read()
                request = _decode(value)
                await permits.acquire()
                task = asyncio.create_task(self._reply(stream, number, request))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                task.add_done_callback(lambda _: permits.release())
        except (FrameError, ValueError, TypeError) as error:
            logger.info("peer: stream ended.", extra={"reason": str(error)})

    async def _reply(self, stream: FrameStream, number: int, request: Any) -> None:
        try:
            reply = await self._answer_within_budget(request)
        except Exception as error:
            # One request that can't be handled must not leave its caller waiting.
            logger.exception("peer: request failed.")
            reply = Unsettled(repr(error))
        with suppress(FrameError):
            stream.write([number, encode_message(reply)])
            await stream.drain()

    async def _answer_within_budget(self, request: Any) -> Reply:
        if self._budget is None or not isinstance(request, Submit):
            return await self._answer(request)
        size_bytes = len(request.definition)
        if not self._budget.try_take(size_bytes):
            self.refused_count += 1
            return Refused("too many large requests are waiting")
        try:
            return await self._answer(request)
        finally:
            self._budget.give_back(size_bytes)

    async def _close(self, listener: Listener) -> None:
        await listener.close()
        for task in (*self._tasks, *self._streams.values()):
            task.cancel()
        for stream in self._streams:
            stream.abort()


class _Link:
    """One stream to a peer, and the requests that wait for a reply on it.

    A retired link takes no new requests and closes when none is left.
    """

    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self.waiting: dict[int, asyncio.Future[Reply]] = {}
        self.is_closed = False
        self._received_s = asyncio.get_running_loop().time()
        self._is_retired = False
        self._tasks = {asyncio.create_task(self._read())}

    async def request(self, number: int, request: Request) -> Reply:
        """Return the reply to a request. Raises PeerUnreachableError or FrameError."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            self.stream.write([number, encode_message(request)])
            await self.stream.drain()
            return await future
        finally:
            self.waiting.pop(number, None)
            if self._is_retired and not self.waiting:
                self.close("retired")

    def is_silent(self, since_s: float) -> bool:
        """Return whether nothing was received since a time, or for ``SILENCE_S``."""
        silent_s = asyncio.get_running_loop().time() - self._received_s
        return self._received_s <= since_s or silent_s >= SILENCE_S

    def retire(self, number: int) -> None:
        """Take no new requests, and fail those that wait if the stream has died.

        ``number`` is that of the query by which this is found out.
        """
        if self._is_retired or self.is_closed:
            return
        self._is_retired = True
        if self.waiting:
            self._tasks.add(asyncio.create_task(self._check(number)))
        else:
            self.close("retired")

    async def _check(self, number: int) -> None:
        try:
            async with asyncio.timeout(SILENCE_S):
                await self.request(number, AskHolder())
        except (TimeoutError, FrameError, PeerUnreachableError) as error:
            self.close(f"no reply in {SILENCE_S:.2f} s: {error!r}")

    async def _read(self) -> None:
        """Pass replies to the waiting requests until the stream ends."""
        try:
            while True:
                number, value = await self.stream.read()
                self._received_s = asyncio.get_running_loop().time()
                future = self.waiting.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(_decode(value))
        except (FrameError, ValueError, TypeError) as error:
            self.close(str(error))

    def close(self, reason: str) -> None:
        """Abort the stream and fail the waiting requests."""
        self.is_closed = True
        self.stream.abort()
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(PeerUnreachableError(reason, True, False))
        self.waiting.clear()

    def cancel(self) -> None:
        """Close the link as its owner closes."""
        self.close("closing")
        for task in self._tasks:
            task.cancel()


class PeerClient:
    """Send requests to peers over one stream per peer.

    A stream that delivers nothing any more is replaced; requests that wait on it go on,
    unless it has died.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._links: dict[str, _Link] = {}
        self._retired: set[_Link] = set()
        self._is_closed = False
        self._numbers = itertools.count(1)

    async def open(self, stack: AsyncExitStack) -> None:
        """Close all streams when ``stack`` closes."""
        stack.callback(self._close)

    async def call(
        self,
        host: str,
        request: Request,
        timeout_s: float,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Return a peer's reply; ``on_sent`` is called before the request is sent.

        Raises PeerUnreachableError when there is none within ``timeout_s``.
        """
        link = await self._link(host)
        on_sent()
        sent_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await link.request(next(self._numbers), request)
        except FrameError as error:
            self._forget(host, link)
            link.close(str(error))
            raise PeerUnreachableError(repr(error), True, False) from error
        except TimeoutError as error:
            if link.is_silent(sent_s):
                self._forget(host, link)
                self._retire(link)
            raise PeerUnreachableError(repr(error), True, False) from error

    async def _link(self, host: str) -> _Link:
        link = self._links.get(host)
        if link is not None and not link.is_closed and not link.stream.closing:
            return link
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, self._port)
        except (OSError, TimeoutError, ValueError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise PeerUnreachableError(repr(error), False, is_refused) from error
        if self._is_closed:
            writer.transport.abort()
            raise PeerUnreachableError("closing", False, False)
        present = self._links.get(host)
        if present is not None and not present.is_closed:
            # Another request has connected in the meantime.
            writer.close()
            return present
        link = _Link(FrameStream(reader, writer, FRAME_LIMIT_BYTES))
        self._links[host] = link
        return link

    def _forget(self, host: str, link: _Link) -> None:
        if self._links.get(host) is link:
            del self._links[host]

    def _retire(self, link: _Link) -> None:
        self._retired = {retired for retired in self._retired if not retired.is_closed}
        self._retired.add(link)
        link.retire(next(self._numbers))

    def _close(self) -> None:
        self._is_closed = True
        for link in (*self._links.values(), *self._retired):
            link.cancel()
        self._links.clear()
        self._retired.clear()
