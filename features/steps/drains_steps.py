"""Steps of drains.feature: requests that arrive around a server's drain."""

from __future__ import annotations

import asyncio
import gc
import socket
import threading
import time
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from typing import Any

from behave import then, when

from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from features.support.faulty_proxy import HOST
from features.support.thread_caller import REQUEST

# ruff: noqa: SLF001

CALLERS_COUNT = 5
CHUNK = b"x" * 4096
READ_DELAY_S = 0.1
BLOCKED_S = 0.4
HANDLER_PASSES_COUNT = 3


async def _answer(exchange: HttpExchange) -> None:
    for _ in range(HANDLER_PASSES_COUNT):
        await asyncio.sleep(0)
    await exchange.respond(200, headers=((b"Connection", b"close"),))


def _block_loop(send: Callable[[], None]) -> None:
    """Block the loop, and send before it goes on."""
    time.sleep(BLOCKED_S)
    send()


def _connect(context: Any, port: int) -> socket.socket:
    caller = socket.create_connection((HOST, port))
    context.stack.callback(caller.close)
    return caller


async def _read_statuses(callers: list[socket.socket]) -> list[int]:
    loop = asyncio.get_running_loop()
    return [await loop.run_in_executor(None, _read_status, c) for c in callers]


def _read_status(caller: socket.socket) -> int:
    """Return the status that a caller got, or 0."""
    caller.settimeout(1.0)
    try:
        line = caller.recv(4096)
    except OSError:
        return 0
    return int(line.split()[1]) if line else 0


@when("requests arrive on {on} while the loop is blocked past the end of a drain")
def step_blocked_past_end(context: Any, on: str) -> None:
    async def scenario() -> None:
        callers: list[socket.socket] = []

        def send() -> None:
            if not callers:
                callers.extend(_connect(context, port) for _ in range(CALLERS_COUNT))
            for caller in callers:
                caller.sendall(REQUEST)

        async with AsyncExitStack() as stack:
            server = HttpServer("drained", _answer, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            if on == "idle connections":
                callers += [_connect(context, port) for _ in range(CALLERS_COUNT)]
                await asyncio.sleep(0.1)
            asyncio.get_running_loop().call_soon(_block_loop, send)
            await asyncio.sleep(0)
            await server.drain(0.0)
        context.statuses = await _read_statuses(callers)

    asyncio.run(scenario())


@when("half a request arrives before a drain, and the rest while the loop is blocked")
def step_blocked_in_drain(context: Any) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with AsyncExitStack() as stack:
            server = HttpServer("drained", _answer, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            caller = _connect(context, port)
            caller.sendall(REQUEST[:20])
            await asyncio.sleep(0.05)
            loop.call_later(0.05, _block_loop, lambda: caller.sendall(REQUEST[20:]))
            await server.drain(0.2)
        context.statuses = await _read_statuses([caller])

    asyncio.run(scenario())


@when("a request arrives while the loop is blocked past the time limit of its head")
def step_blocked_past_head(context: Any) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            limits = HttpLimits(header_timeout_s=BLOCKED_S - 0.1)
            server = HttpServer("drained", _answer, limits)
            port = await server.listen(stack, HOST, 0)
            caller = _connect(context, port)
            while not server.connection_count:  # noqa: ASYNC110
                await asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(
                _block_loop, lambda: caller.sendall(REQUEST)
            )
            context.statuses = await _read_statuses([caller])

    asyncio.run(scenario())


@when("a new connection sends its first request {delay_s:g} s after a drain has begun")
def step_new_connection(context: Any, delay_s: float) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("drained", _answer, HttpLimits())
            caller = _connect(context, await server.listen(stack, HOST, 0))
            await asyncio.sleep(0.02)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, _send_if_open, caller)
            await server.drain(0.5)
        context.statuses = await _read_statuses([caller])

    asyncio.run(scenario())


def _send_if_open(caller: socket.socket) -> None:
    with suppress(ConnectionError):
        caller.sendall(REQUEST)


@when("a connection is made 0.02 s before a drain and sends nothing")
def step_silent_connection(context: Any) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("drained", _answer, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            with socket.create_connection((HOST, port)):
                await asyncio.sleep(0.02)
                began_s = time.monotonic()
                await server.drain(1.0)
                context.duration_s = time.monotonic() - began_s

    asyncio.run(scenario())


@then("each of these late requests got 200")
def step_all_200(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses


@then("the drain has ended within {limit_s:g} s")
def step_drain_ended(context: Any, limit_s: float) -> None:
    assert context.duration_s < limit_s, context.duration_s


@when("a caller reads an answer {on} {delay_s:g} s after a drain has begun")
def step_slow_reader(context: Any, on: str, delay_s: float) -> None:
    headers = ((b"Connection", b"close"),) if on.endswith("ends") else ()

    async def scenario() -> None:
        answered = asyncio.Event()

        async def fill(exchange: HttpExchange) -> None:
            await exchange.start(200, headers)
            while not exchange._transport.unsent_bytes:
                await exchange.send(CHUNK)
            await exchange.end()
            answered.set()

        async with AsyncExitStack() as stack:
            server = HttpServer("drained", fill, HttpLimits())
            caller = _connect(context, await server.listen(stack, HOST, 0))
            caller.sendall(REQUEST)
            await answered.wait()
            await asyncio.sleep(0.02)
            context.reading = _Reading(caller, b"", delay_s)
            await server.drain(1.0)

    _run_process(scenario)


@when("a full server refuses a caller right before a drain, which then sends a body")
def step_refused_sender(context: Any) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            limits = HttpLimits(connection_limit_count=0)
            server = HttpServer("drained", _answer, limits)
            caller = _connect(context, await server.listen(stack, HOST, 0))
            caller.sendall(REQUEST)
            await asyncio.sleep(0.02)
            context.reading = _Reading(caller, CHUNK, READ_DELAY_S)
            await server.drain(1.0)

    _run_process(scenario)


@then("the process has ended after the caller had the whole answer")
def step_whole_answer(context: Any) -> None:
    data = context.reading.join()
    assert data.startswith(b"HTTP/1.1 200 "), data[:100]
    assert data.endswith(b"0\r\n\r\n"), (len(data), data[-100:])


@then("the process has ended after the caller had the refusal")
def step_whole_refusal(context: Any) -> None:
    data = context.reading.join()
    assert data.startswith(b"HTTP/1.1 503 "), data[:100]


class _Reading:
    """Send in two parts after a delay, and read until the server closes."""

    def __init__(self, caller: socket.socket, body: bytes, delay_s: float) -> None:
        self._caller = caller
        self._body = body
        self._delay_s = delay_s
        self._data = b""
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def join(self) -> bytes:
        """Return what was read."""
        self._thread.join()
        return self._data

    def _run(self) -> None:
        time.sleep(self._delay_s)
        self._caller.settimeout(2.0)
        with self._caller, suppress(OSError):
            for part in (self._body, self._body):
                self._caller.sendall(part)
                time.sleep(0.02)
            while data := self._caller.recv(65536):
                self._data += data
                if self._data.endswith(b"0\r\n\r\n"):
                    return


def _run_process(scenario: Callable[[], Any]) -> None:
    """Run a loop, and close all sockets that it leaves open, as a process does."""
    asyncio.run(scenario())
    gc.collect()
