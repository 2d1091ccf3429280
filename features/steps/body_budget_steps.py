"""Steps of body_budget.feature: the budget of bodies and limits from a machine."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from contextlib import AsyncExitStack
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import JobDefinition, JobPhase, Step
from cicadatrail_core.jobs.open_subtasks import OpenSubtasks
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.models.resources import Resources
from cicadatraild.network.body_budget import BodyBudget
from cicadatraild.network.http_server import (
    HEAD_KEPT_S,
    HttpExchange,
    HttpLimits,
    HttpServer,
)
from cicadatraild.scheduling.client_limits import (
    BODY_COPIES_COUNT,
    CONNECTION_BYTES,
    RESERVED_DESCRIPTORS_COUNT,
    ClientLimits,
    derive_client_limits,
)

KIB = 1024
HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@given("a budget of {limit:d} KiB of which {taken:d} are taken")
def step_budget(context: Any, limit: int, taken: int) -> None:
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.budget = BodyBudget(limit * KIB)
    context.taken_bytes = taken * KIB
    assert context.budget.try_take(context.taken_bytes)


@when("bodies of 50, 50 and 20 KiB ask for it in this order")
def step_ask(context: Any) -> None:
    async def ask() -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(context.budget.take(size * KIB))
            for size in (50, 50, 20)
        ]

    context.tasks = context.runner.run(ask())
    _run_ready(context)


def _run_ready(context: Any) -> list[bool]:
    """Let all tasks run; return which have ended."""
    context.runner.run(asyncio.sleep(0))
    context.runner.run(asyncio.sleep(0))
    return [task.done() for task in context.tasks]


@then("all of them wait")
def step_all_wait(context: Any) -> None:
    assert _run_ready(context) == [False, False, False]
    assert context.budget.waiting_count == 3


@then("the first is admitted once the 60 KiB are given back, then the third after it")
def step_in_turn(context: Any) -> None:
    budget = context.budget
    budget.give_back(context.taken_bytes)
    assert _run_ready(context) == [True, True, False]
    assert budget.used_bytes == 100 * KIB
    budget.give_back(50 * KIB)
    assert _run_ready(context) == [True, True, True]


@when("the first two give up")
def step_give_up(context: Any) -> None:
    for task in context.tasks[:2]:
        task.cancel()
    _run_ready(context)


@then("the third is admitted at once")
def step_third(context: Any) -> None:
    assert _run_ready(context)[2]
    assert context.budget.waiting_count == 0


@then("nothing is in use once it and the 60 KiB are given back")
def step_nothing_in_use(context: Any) -> None:
    context.budget.give_back(20 * KIB)
    context.budget.give_back(context.taken_bytes)
    assert context.budget.used_bytes == 0


@then("a body of {size:d} KiB is admitted, and none beside it")
def step_alone(context: Any, size: int) -> None:
    assert context.budget.try_take(size * KIB)
    assert not context.budget.try_take(1)


@given("a budget of {limit:d} KiB with a reserve of {reserve:d} KiB")
def step_reserve(context: Any, limit: int, reserve: int) -> None:
    context.budget = BodyBudget(limit * KIB, reserve * KIB)


@then("70 KiB are admitted, then 8 KiB and 22 times 1 KiB, but neither 20 KiB nor more")
def step_small(context: Any) -> None:
    budget = context.budget
    assert budget.try_take(70 * KIB)
    assert not budget.try_take(20 * KIB)
    assert budget.try_take(8 * KIB)
    assert all(budget.try_take(KIB) for _ in range(22))
    assert not budget.try_take(1)


async def _answer(exchange: HttpExchange) -> None:
    await exchange.respond(204)


@when("a full server refuses more connections than may linger")
def step_linger(context: Any) -> None:
    async def run() -> list[bool]:
        limits = HttpLimits(connection_limit_count=2, lingering_limit_count=3)
        async with AsyncExitStack() as stack:
            server = HttpServer("test", _answer, limits)
            port = await server.listen(stack, HOST, 0)
            clients = [await asyncio.open_connection(HOST, port) for _ in range(8)]
            for _, writer in clients:
                stack.callback(writer.transport.abort)
            refused = clients[2:]
            for reader, _ in refused:
                assert b"503" in await reader.readline()
                await reader.read()
            # Sending to a closed connection resets it; one that lingers takes it.
            for _, writer in refused:
                writer.write(b"x")
            await asyncio.sleep(0.1)
            for _, writer in refused:
                writer.write(b"x")
            await asyncio.sleep(0.1)
            return [not reader.exception() for reader, _ in refused]

    context.lingering = asyncio.run(run())


@then("as many as may linger stay open, and the others are closed at once")
def step_lingering(context: Any) -> None:
    assert context.lingering == [True] * 3 + [False] * 3, context.lingering


@when("a server is full of connections that have sent nothing for some time")
def step_full(context: Any) -> None:
    async def run() -> tuple[bytes, bytes, dict[str, int]]:
        limits = HttpLimits(connection_limit_count=2)
        async with AsyncExitStack() as stack:
            server = HttpServer("test", _answer, limits)
            port = await server.listen(stack, HOST, 0)
            clients = [await asyncio.open_connection(HOST, port) for _ in range(2)]
            await asyncio.sleep(HEAD_KEPT_S + 0.1)
            clients.append(await asyncio.open_connection(HOST, port))
            for _, writer in clients:
                stack.callback(writer.transport.abort)
            clients[2][1].write(REQUEST)
            answer = await clients[2][0].readline()
            ended = await clients[0][0].read()
            return answer, ended, server.refusals.counts

    context.answer, context.ended, context.counts = asyncio.run(run())


@when("a server is full of connections that were served and are idle for some time")
def step_idle(context: Any) -> None:
    async def run() -> tuple[bytes, bytes, dict[str, int]]:
        limits = HttpLimits(connection_limit_count=2)
        async with AsyncExitStack() as stack:
            server = HttpServer("test", _answer, limits)
            port = await server.listen(stack, HOST, 0)
            clients = [await asyncio.open_connection(HOST, port) for _ in range(2)]
            for reader, writer in clients:
                writer.write(REQUEST)
                await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(HEAD_KEPT_S + 0.1)
            clients.append(await asyncio.open_connection(HOST, port))
            for _, writer in clients:
                stack.callback(writer.transport.abort)
            clients[2][1].write(REQUEST)
            answer = await clients[2][0].readline()
            async with asyncio.timeout(1.0):
                ended = await clients[0][0].read() if b"204" in answer else b""
            return answer, ended, server.refusals.counts

    context.answer, context.ended, context.counts = asyncio.run(run())


@when("{count:d} connections wait for their answers to heads of {headers:d} headers")
def step_many_headers(context: Any, count: int, headers: int) -> None:
    fields = [b"%03x:%x" % (number, number % 16) for number in range(headers)]
    head = b"\r\n".join([b"GET / HTTP/1.1", b"Host: h", *fields, b"", b""])
    waiting: list[HttpExchange] = []

    async def wait(exchange: HttpExchange) -> None:
        waiting.append(exchange)
        await asyncio.Event().wait()

    async def run() -> float:
        async with AsyncExitStack() as stack:
            port = await HttpServer("test", wait, HttpLimits()).listen(stack, HOST, 0)
            tracemalloc.start()
            stack.callback(tracemalloc.stop)
            for _ in range(count):
                _, writer = await asyncio.open_connection(HOST, port)
                stack.callback(writer.transport.abort)
                writer.write(head)
            while len(waiting) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            gc.collect()
            return tracemalloc.get_traced_memory()[0] / count

    assert len(head) <= HttpLimits().header_limit_bytes
    context.used_bytes = asyncio.run(run())


@then("each of them takes less memory than a connection may")
def step_little_memory(context: Any) -> None:
    assert context.used_bytes < CONNECTION_BYTES, context.used_bytes


@then("a caller is served, and the oldest of them is dropped")
def step_dropped(context: Any) -> None:
    assert b"204" in context.answer, context.answer
    assert context.ended == b""
    assert context.counts == {"no-head": 1}, context.counts


@then("a machine of {memory:d} MB and {count:d} descriptors takes {callers:d} callers")
def step_limits(context: Any, memory: int, count: int, callers: int) -> None:
    limits = derive_client_limits(memory, count)
    assert limits.connection_count == callers, limits
    context.limits, context.memory_bytes, context.count = limits, memory * 2**20, count


@then("their bodies, connections and peers' requests fit its memory and descriptors")
def step_fit(context: Any) -> None:
    limits: ClientLimits = context.limits
    used_bytes = (
        limits.connection_count * CONNECTION_BYTES
        + limits.body_bytes * BODY_COPIES_COUNT
        + limits.peer_bytes
    )
    assert used_bytes < context.memory_bytes * 0.6
    open_count = limits.connection_count + limits.lingering_count
    open_count += 2 * limits.internal_connection_count
    assert open_count + RESERVED_DESCRIPTORS_COUNT < context.count


@then("a body of 256 KiB is admitted in calm")
def step_calm(context: Any) -> None:
    assert BodyBudget(context.limits.body_bytes).try_take(256 * KIB)


@given("a leader whose open jobs have {count:d} subtasks")
def step_open_jobs(context: Any, count: int) -> None:
    context.jobs = {"a" * 16: JobState("a" * 16, _definition(count), 0.0)}
    context.open_subtasks = OpenSubtasks(context.jobs)


def _definition(count: int) -> JobDefinition:
    step = Step(count, Resources(1000, 100, 0))
    return JobDefinition("q", "florists", "ms=50", (step,))


@then("a job of {count:d} subtasks is taken on, and none of {more:d} after it")
def step_taken_on(context: Any, count: int, more: int) -> None:
    definition = _definition(count)
    assert context.open_subtasks.admits(definition, 1.0)
    context.jobs["b" * 16] = JobState("b" * 16, definition, 1.0)
    assert not context.open_subtasks.admits(_definition(more), 1.0)
    assert not context.open_subtasks.admits(_definition(more), 5.0)


@then("small jobs are taken on")
def step_small_jobs(context: Any) -> None:
    assert context.open_subtasks.admits(_definition(100), 5.0)


@then("a job of {count:d} subtasks is taken on once the others have ended")
def step_room(context: Any, count: int) -> None:
    for job in context.jobs.values():
        job.phase = JobPhase.COMPLETED
    assert context.open_subtasks.admits(_definition(count), 6.0)
