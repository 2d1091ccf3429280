"""Steps of listeners.feature: connections made while a listener closes."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack, suppress
from typing import Any
from unittest.mock import patch

from behave import then, when

from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.network import peer_server
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.network.listener import Listener, listen_for_streams
from cicadatraild.scheduling import peers
from cicadatraild.scheduling.messages import HolderIs, Reply, Request
from features.support.faulty_proxy import HOST

REQUEST = b"GET / HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
ROUNDS_COUNT = 5
OPEN_PASSES_COUNT = 20
DRAIN_S = 0.5

CloseListener = Callable[[], Awaitable[None]]
OpenListener = Callable[[AsyncExitStack], Awaitable[tuple[int, CloseListener]]]


class PassCaller:
    """Open a connection and send a request in each pass of the loop."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.sockets: list[socket.socket] = []
        self.refused = asyncio.Event()

    def open(self) -> None:
        """Open one connection now, and the next in the following pass."""
        try:
            connection = socket.create_connection((HOST, self._port))
            connection.sendall(REQUEST)
        except ConnectionError:
            self.refused.set()
            return
        connection.setblocking(False)
        self.sockets.append(connection)
        asyncio.get_running_loop().call_soon(self.open)


async def _open_http(stack: AsyncExitStack) -> tuple[int, CloseListener]:
    async def answer(exchange: HttpExchange) -> None:
        await exchange.respond(200, headers=((b"Connection", b"close"),))

    server = HttpServer("closing", answer, HttpLimits())
    port = await server.listen(stack, HOST, 0)
    return port, lambda: server.drain(DRAIN_S)


async def _open_instance_peers(stack: AsyncExitStack) -> tuple[int, CloseListener]:
    async def answer(request: Request) -> Reply:
        return HolderIs(0, "")

    server = peers.PeerServer(answer, lambda host: None)
    listening = AsyncExitStack()
    port = await server.listen(listening, HOST, 0)
    return port, listening.aclose


async def _open_product_peers(stack: AsyncExitStack) -> tuple[int, CloseListener]:
    async def serve(sender: IncarnationId, message: Any) -> Any:
        return message

    name = IncarnationId("closing")
    server = peer_server.PeerServer(name, b"key", 1024, object, serve, serve)
    listening = AsyncExitStack()
    port = await server.listen(listening, HOST, 0)
    return port, listening.aclose


LISTENERS: dict[str, OpenListener] = {
    "the HTTP server": _open_http,
    "an instance's listener for peers": _open_instance_peers,
    "the product's listener for peers": _open_product_peers,
}


@when("connections are made in each pass of the loop while {listener} closes")
def step_close(context: Any, listener: str) -> None:
    async def scenario() -> None:
        context.left_count = context.made_count = 0
        for _ in range(ROUNDS_COUNT):
            async with AsyncExitStack() as stack:
                port, close = await LISTENERS[listener](stack)
                caller = PassCaller(port)
                caller.open()
                for _ in range(OPEN_PASSES_COUNT):
                    await asyncio.sleep(0)
                await close()
                await caller.refused.wait()
                await asyncio.sleep(0.2)
                context.made_count += len(caller.sockets)
                context.left_count += sum(map(_is_waiting, caller.sockets))
                for connection in caller.sockets:
                    connection.close()

    asyncio.run(scenario())


def _is_waiting(connection: socket.socket) -> bool:
    """Return whether a caller got neither an answer nor the connection's end."""
    try:
        connection.recv(1)
    except BlockingIOError:
        return True
    except ConnectionError:
        return False
    return False


@then("each of them was answered or has ended within 0.2 s")
def step_none_left(context: Any) -> None:
    assert context.made_count > ROUNDS_COUNT * OPEN_PASSES_COUNT, context.made_count
    assert context.left_count == 0, (context.left_count, context.made_count)


class _RecordList(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@when("a server drains and closes with an unanswered request and half a request")
def step_close_open(context: Any) -> None:
    async def hang(exchange: HttpExchange) -> None:
        await asyncio.sleep(60)

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("closing", hang, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            for data in (REQUEST, REQUEST[:20]):
                connection = stack.enter_context(socket.create_connection((HOST, port)))
                connection.sendall(data)
            await asyncio.sleep(0.05)
            await server.drain(0.1)

    handler = _RecordList()
    logger = logging.getLogger("cicadatrail.http")
    logger.addHandler(handler)
    context.stack.callback(logger.removeHandler, handler)
    asyncio.run(scenario())
    context.records = handler.records


@then("its log says that one waited for its handler and one for the head of a request")
def step_log_stages(context: Any) -> None:
    dropped = [vars(r) for r in context.records if "dropping" in r.getMessage()]
    stages = sorted((line["waits_for"], line["has_unparsed"]) for line in dropped)
    assert stages == [("its handler", False), ("the head of a request", True)], stages
    assert all(0.1 <= line["age_s"] < 1.0 for line in dropped), dropped


@when("a listener can't accept a connection for want of descriptors")
def step_exhausted(context: Any) -> None:
    accept = socket.socket.accept
    context.failed_count = 0

    def fail_once(listening: socket.socket) -> Any:
        if not context.failed_count:
            context.failed_count += 1
            raise OSError(errno.EMFILE, "too many open files")
        return accept(listening)

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            port, _ = await _open_http(stack)
            began_s = asyncio.get_running_loop().time()
            with patch.object(socket.socket, "accept", fail_once):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(REQUEST)
                context.line = await reader.readline()
            context.duration_s = asyncio.get_running_loop().time() - began_s
            writer.close()

    asyncio.run(scenario())


@then("the connection is answered within {limit_s:g} s")
def step_answered(context: Any, limit_s: float) -> None:
    assert b" 200 " in context.line, context.line
    assert context.duration_s < limit_s, context.duration_s


@then("the listener has tried it again once")
def step_tried_once(context: Any) -> None:
    assert context.failed_count == 1, context.failed_count


@when("a listener has accepted a connection")
def step_accepted(context: Any) -> None:
    def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted = writer.get_extra_info("socket")
        context.no_delay = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    async def scenario() -> None:
        listener = listen_for_streams(keep)
        port = listener.listen(HOST, 0)
        with socket.create_connection((HOST, port)):
            await listener.close()

    asyncio.run(scenario())


@then("the connection's segments are sent without delay")
def step_no_delay(context: Any) -> None:
    assert context.no_delay, context.no_delay


@when("the first of two connections fails as a closing listener accepts them")
def step_failing_accept(context: Any) -> None:
    accept = socket.socket.accept
    context.names = []
    failed: list[Any] = []

    def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        context.names.append(writer.get_extra_info("peername"))

    def fail_first(listening: socket.socket) -> Any:
        connection, address = accept(listening)
        if failed:
            return connection, address
        failed.append(address)
        connection.close()
        raise OSError(errno.EHOSTUNREACH, "no route to host")

    async def scenario() -> None:
        listener = listen_for_streams(keep)
        address = (HOST, listener.listen(HOST, 0))
        with (
            socket.create_connection(address),
            socket.create_connection(address) as second,
            patch.object(socket.socket, "accept", fail_first),
        ):
            context.second_name = second.getsockname()
            await listener.close()

    asyncio.run(scenario())


@then("the listener has closed, and the second connection was made")
def step_second_made(context: Any) -> None:
    assert context.names == [context.second_name], context.names


@when('a listener is opened on "{host}"')
def step_open_on(context: Any, host: str) -> None:
    def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async def scenario() -> None:
        listener = listen_for_streams(keep)
        port = listener.listen(host, 0)
        with socket.socket() as caller:
            context.error_number = caller.connect_ex((HOST, port))
        await listener.close()

    asyncio.run(scenario())


@then("an IPv4 connection to its port is refused")
def step_refused(context: Any) -> None:
    assert context.error_number == errno.ECONNREFUSED, context.error_number


@when("a listener can't listen, as {fault}")
def step_fail_to_listen(context: Any, fault: str) -> None:
    other = context.stack.enter_context(socket.socket())
    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    other.bind((HOST, 0))
    port = other.getsockname()[1]
    listen = socket.socket.listen

    def listen_second(bound: socket.socket, backlog_count: int) -> None:
        listen(other)
        listen(bound, backlog_count)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with ExitStack() as stack:
            if fault == "another socket has listened":
                stack.enter_context(
                    patch.object(socket.socket, "listen", listen_second)
                )
            elif fault == "the loop can't watch its socket":
                full = OSError(errno.ENOSPC, "no space left on device")
                stack.enter_context(patch.object(loop, "add_reader", side_effect=full))
            listener = Listener(asyncio.Protocol)
            before = _open_sockets()
            try:
                listener.listen(HOST, 70_000 if "port" in fault else port)
            except (OSError, OverflowError) as error:
                context.outcome = (listener, error, _open_sockets() - before)

    asyncio.run(scenario())


def _open_sockets() -> set[str]:
    """Return the open sockets of this process, by the system's names."""
    names = set()
    for number in os.listdir("/proc/self/fd"):
        with suppress(FileNotFoundError):
            names.add(os.readlink(f"/proc/self/fd/{number}"))
    return {name for name in names if name.startswith("socket:")}


@then("it has no open socket, though it and its error are kept")
def step_no_socket(context: Any) -> None:
    _, error, sockets = context.outcome
    assert not sockets, (error, sockets)
