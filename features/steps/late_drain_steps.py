"""Steps about servers that drain while their loop is late."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from cicadatraild.network.drain_time import DrainTime
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from features.support.faulty_proxy import HOST
from features.support.thread_caller import ThreadCaller

CALLERS_COUNT = 5
BLOCKED_S = 0.5
PASSES_COUNT = 5
"""Passes of the loop that an answer takes, as one that comes from a peer does."""


async def _answer(exchange: HttpExchange) -> None:
    await exchange.respond(200, headers=((b"Connection", b"close"),))


async def _answer_later(exchange: HttpExchange) -> None:
    await asyncio.sleep(0.2)
    for _ in range(PASSES_COUNT):
        await asyncio.sleep(0)
    await _answer(exchange)


def _callers(port: int, is_connected: bool) -> list[ThreadCaller]:
    return [ThreadCaller(HOST, port, is_connected) for _ in range(CALLERS_COUNT)]


@when("requests reach a server on {connections} while it is late for its whole drain")
def step_late_for_drain(context: Any, connections: str) -> None:
    async def scenario() -> list[ThreadCaller]:
        async with AsyncExitStack() as stack:
            server = HttpServer("late", _answer, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            callers = _callers(port, connections == "idle connections")
            await asyncio.sleep(0.1)
            for caller in callers:
                caller.start(delay_s=0.1)
            for caller in callers:
                caller.wait_sent()
            await server.drain(0.0)
        return callers

    context.outcomes = [caller.join() for caller in asyncio.run(scenario())]


@when("a loop is late over the end of a drain while requests are being answered")
def step_late_over_end(context: Any) -> None:
    async def scenario() -> list[ThreadCaller]:
        async with AsyncExitStack() as stack:
            server = HttpServer("late", _answer_later, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            callers = _callers(port, False)
            for caller in callers:
                caller.start(delay_s=0.0)
            async with asyncio.timeout(10.0):
                while server.connection_count < CALLERS_COUNT:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            asyncio.get_running_loop().call_later(0.05, time.sleep, BLOCKED_S)
            await server.drain(0.4)
        return callers

    context.outcomes = [caller.join() for caller in asyncio.run(scenario())]


@given("a drain of {drain_s:g} s")
def step_drain(context: Any, drain_s: float) -> None:
    # Seconds from the start of the drain, and what is left then.
    context.drain_s = drain_s
    context.left_s = {}


@when("the loop asks {times} after its start what is left")
def step_ask(context: Any, times: str) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        drain_time = DrainTime(context.drain_s)
        for after_s in map(float, times.split(", ")):
            with patch.object(loop, "time", lambda now_s=began_s + after_s: now_s):
                context.left_s[after_s] = drain_time.left_s()

    asyncio.run(scenario())


@then("it has {lefts} left")
def step_left(context: Any, lefts: str) -> None:
    expected = [float(left) for left in lefts.split(", ")]
    pairs = zip(context.left_s.values(), expected, strict=True)
    assert all(abs(left - want) < 0.01 for left, want in pairs), context.left_s
