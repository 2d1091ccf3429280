"""Server side of peer links: control links and forward streams."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

from returns.result import Failure, Success

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.utils import codec
from cicadatraild.network.frames import FrameError, FrameStream, authenticate_as_server
from cicadatraild.network.listener import Listener, listen_for_streams

logger = logging.getLogger("cicadatrail.peer")

HANDSHAKE_TIMEOUT_S = 2.0
"""Time in which a new connection must authenticate with the cluster key."""

LINK_LIMIT_COUNT = 2_000
"""Tasks for links and control messages above which new links are refused."""

CONTROL = "control"
FORWARD = "forward"

ControlHandler = Callable[[IncarnationId, Any], Awaitable[Any]]
ForwardHandler = Callable[[IncarnationId, FrameStream], Awaitable[None]]


class PeerServer:
    """Server that authenticates peers and passes messages to its handlers."""

    __slots__ = (
        "_cluster_key",
        "_control_handler",
        "_forward_handler",
        "_limit_bytes",
        "_message_type",
        "_name",
        "_tasks",
        "received_bytes",
        "refused_count",
    )

    def __init__(
        self,
        name: IncarnationId,
        cluster_key: bytes,
        limit_bytes: int,
        message_type: Any,
        control_handler: ControlHandler,
        forward_handler: ForwardHandler,
    ) -> None:
        self._name = name
        self._cluster_key = cluster_key
        self._limit_bytes = limit_bytes
        self._message_type = message_type
        self._control_handler = control_handler
        self._forward_handler = forward_handler
        self._tasks: set[asyncio.Task[Any]] = set()
        self.refused_count = 0
        self.received_bytes = 0

    async def listen(self, stack: AsyncExitStack, host: str, port: int) -> int:
        """Listen until ``stack`` closes; return the port."""
        listener = listen_for_streams(self._connection_made)
        bound_port = listener.listen(host, port)
        stack.push_async_callback(self._close, listener)
        return bound_port

    def _connection_made(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self._limit_bytes)
        task = asyncio.get_running_loop().create_task(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._end(task, stream))

    def _end(self, task: asyncio.Task[None], stream: FrameStream) -> None:
        self._tasks.discard(task)
        stream.abort()

    async def _serve(self, stream: FrameStream) -> None:
        try:
            if len(self._tasks) > LINK_LIMIT_COUNT:
                raise FrameError("too many links or messages are open")
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                purpose, sender = await authenticate_as_server(
                    stream, self._cluster_key, self._name
                )
        except (FrameError, TimeoutError) as error:
            self.refused_count += 1
            logger.warning("peer: refused a connection: %s.", error)
            return
        try:
            await self._serve_purpose(purpose, IncarnationId(sender), stream)
        except FrameError as error:
            logger.debug("peer: connection from %s ended: %s.", sender, error)

    async def _serve_purpose(
        self, purpose: str, sender: IncarnationId, stream: FrameStream
    ) -> None:
        if purpose == FORWARD:
            await self._forward_handler(sender, stream)
            return
        while True:
            frame = await stream.read()
            task = asyncio.get_running_loop().create_task(
                self._answer(sender, stream, frame)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, sender: IncarnationId, stream: FrameStream, frame: Any
    ) -> None:
        """Answer one control message; a malformed one is logged and dropped."""
        match frame:
            case [int(call_id), body]:
                pass
            case _:
                logger.warning("peer: dropped a malformed frame from %s.", sender)
                return
        match codec.from_map(body, self._message_type):
            case Success(message):
                answer = await self._control_handler(sender, message)
                stream.write([call_id, codec.to_map(answer, self._message_type)])
            case Failure(findings):
                logger.warning(
                    "peer: dropped a malformed message from %s: %s.",
                    sender,
                    findings[0],
                )

    async def _close(self, listener: Listener) -> None:
        await listener.close()
        for task in tuple(self._tasks):
            task.cancel()
