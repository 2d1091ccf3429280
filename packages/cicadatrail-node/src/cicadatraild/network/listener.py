"""Listening socket that either takes a connection or leaves it to be reset."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from contextlib import ExitStack

logger = logging.getLogger("cicadatrail.listener")

ACCEPT_PAUSE_S = 1.0
"""Pause of a listener that can't accept, as without descriptors or memory."""

CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
)
"""Errors by which accept(2) reports that the connection itself has failed."""

BACKLOG_COUNT = 100
"""Default for the largest number of connections that wait to be accepted."""

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]


class Listener:
    """Accept connections on one address until it is closed.

    Each accepted connection gets a protocol, also when the listener is closed in the
    same pass of the loop; asyncio's server would leave it open without a reader.
    ``close`` accepts what waits first, so that only later connections are reset.
    """

    __slots__ = (
        "_backlog_count",
        "_factory",
        "_opening",
        "_pause",
        "_socket",
    )

    def __init__(
        self, factory: ProtocolFactory, backlog_count: int = BACKLOG_COUNT
    ) -> None:
        self._factory = factory
        self._backlog_count = backlog_count
        self._opening: set[asyncio.Task[None]] = set()
        self._pause: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None

    def listen(self, host: str, port: int) -> int:
        """Start to accept connections; return the port.

        Raises OSError, or OverflowError for a port that is out of range.
        """
        with ExitStack() as stack:
            bound = stack.enter_context(_bind(host, port))
            bound.listen(self._backlog_count)
            asyncio.get_running_loop().add_reader(bound, self._accept)
            bound_port: int = bound.getsockname()[1]
            stack.pop_all()
        self._socket = bound
        return bound_port

    async def close(self) -> None:
        """Accept the connections that wait, and refuse all later ones.

        Returns when each accepted connection has its protocol.
        """
        self._accept()
        self._stop()
        if self._opening:
            await asyncio.wait(tuple(self._opening))

    def _stop(self) -> None:
        if self._socket is None:
            return
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _resume(self) -> None:
        self._pause = None
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Accept the connections that wait."""
        listening = self._socket
        if listening is None:
            return
        # The system's queue holds one more than the backlog.
        for _ in range(self._backlog_count + 1):
            try:
                connection, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    _log_lost(error)
                    continue
                self._pause_after(error, listening)
                return
            self._start_transport(connection)

    def _pause_after(self, error: OSError, listening: socket.socket) -> None:
        logger.warning(
            "listener: failed to accept; pausing.", extra={"reason": str(error)}
        )
        # The socket stays readable, and would be tried in each pass of the loop.
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        self._pause = loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _start_transport(self, connection: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._make_transport(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _make_transport(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            _log_lost(error)
            connection.close()


def listen_for_streams(handler: StreamHandler) -> Listener:
    """Return a listener that calls ``handler`` for each connection, when it is made."""

    def make_protocol() -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        return asyncio.StreamReaderProtocol(reader, handler, loop=loop)

    return Listener(make_protocol)


def _log_lost(error: OSError) -> None:
    logger.info("listener: connection lost.", extra={"reason": str(error)})


def _bind(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that is bound to an address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with ExitStack() as stack:
        # asyncio disables Nagle's algorithm only if the protocol is named.
        bound = stack.enter_context(
            socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        )
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.setblocking(False)
        bound.bind((host, port))
        stack.pop_all()
    return bound
