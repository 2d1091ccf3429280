"""Steps about workers to which each round trip takes long."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from cicadatrail_core.jobs.models import WorkerFacts
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.jobs.worker_leases import has_expired_lease
from cicadatrail_core.models.resources import Resources
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.platform.workers import ListFailure, OrderOutcome, WorkerClient
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.worker_links import WorkerLinks
from cicadatraild.scheduling.worker_orders import WorkerOrders
from features.support.faulty_proxy import HOST
from features.support.paused_loop import run_paused

BORN_UNIX_MS = 1_000
FIRST_CLOCK_MS = 60_000
LEASE_S = 3.5
LOST_S = 30.0


class SlowWorker:
    """A worker that answers after a round trip; one of its calls may be lost."""

    def __init__(self, round_trip_s: float, lost_number: int) -> None:
        self.round_trip_s = round_trip_s
        self._lost_number = lost_number
        self._call_count = 0
        self._began_s = 0.0
        self._deadline_ms = math.inf
        self.has_lapsed = False

    async def open(self, stack: AsyncExitStack) -> WorkerFacts:
        """Listen, and have connections take as long as answers."""
        server = HttpServer("worker", self._answer, HttpLimits())
        port = await server.listen(stack, HOST, 0)
        self._began_s = loop_now_s()
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_slowly(*args: Any) -> Any:
            await asyncio.sleep(self.round_trip_s)
            return await connect(*args)

        stack.enter_context(patch.object(loop, "create_connection", connect_slowly))
        room = Resources(64_000, 64_000)
        born = BORN_UNIX_MS
        return WorkerFacts("w", "pool", HOST, port, "a", room, born_unix_ms=born)

    def check_lease(self) -> int:
        """Return the clock in ms, having noted whether the lease has lapsed."""
        clock_ms = FIRST_CLOCK_MS + int((loop_now_s() - self._began_s) * 1000)
        self.has_lapsed |= clock_ms > self._deadline_ms
        return clock_ms

    async def _answer(self, exchange: HttpExchange) -> None:
        call = json.loads(await exchange.read_body())
        self._call_count += 1
        if self._call_count == self._lost_number:
            await asyncio.sleep(LOST_S)
        await asyncio.sleep(self.round_trip_s / 2)
        clock_ms = self.check_lease()
        # This leader's deadlines only rise.
        self._deadline_ms = call.get("deadline-ms", self._deadline_ms)
        await asyncio.sleep(self.round_trip_s / 2)
        answer = {"clock-ms": clock_ms, "born": BORN_UNIX_MS}
        lists: dict[str, list[Any]] = {"running": [], "finished": []}
        await exchange.respond(200, json.dumps({**answer, **lists}).encode())


@given("a worker that is reached in {round_trip:g} s and loses its fourth call")
def step_losing(context: Any, round_trip: float) -> None:
    context.worker = SlowWorker(round_trip, 4)


@given("a worker that is reached in {round_trip:g} s and loses no call")
def step_not_losing(context: Any, round_trip: float) -> None:
    context.worker = SlowWorker(round_trip, 0)


def _run(
    context: Any, act: Callable[[WorkerClient, WorkerFacts], Awaitable[None]]
) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            client = WorkerClient(1, lambda: True)
            await client.pool.open(stack)
            await act(client, await context.worker.open(stack))

    run_paused(scenario())


@when("a leader polls it for {duration:g} s")
def step_poll(context: Any, duration: float) -> None:
    async def act(client: WorkerClient, facts: WorkerFacts) -> None:
        scheduler = Scheduler(SchedulerSettings(1, LEASE_S, 2 * LEASE_S, 60.0))
        worker = scheduler.update_worker(facts, loop_now_s())
        leadership: Any = SimpleNamespace(may_start=lambda: True, step_down=None)
        journal: Any = SimpleNamespace()
        orders = WorkerOrders(scheduler, client, leadership)
        links = WorkerLinks(scheduler, client, journal, leadership, orders)
        links.stored_ids = {facts.worker_id}
        links.follow_scheduler()
        await asyncio.sleep(1.0)
        context.has_expired = False
        for _ in range(int(10 * (duration - 1.0))):
            await asyncio.sleep(0.1)
            context.worker.check_lease()
            context.has_expired |= has_expired_lease(worker, loop_now_s())
        links.close()

    _run(context, act)


@then("its lease has not expired, for the worker or the leader")
def step_lease(context: Any) -> None:
    assert not context.worker.has_lapsed
    assert not context.has_expired


@when("a leader sends it two starts at once")
def step_starts(context: Any) -> None:
    async def act(client: WorkerClient, facts: WorkerFacts) -> None:
        # Leaves one idle connection behind.
        assert not isinstance(await client.read_lists(facts, 0, None, 0), ListFailure)
        starts = [
            client.start(facts, f"a.0.0.{n}", 1, "", "", "", 90_000, lambda: True)
            for n in range(2)
        ]
        context.answers = await asyncio.gather(*starts)

    _run(context, act)


@then("both are answered")
def step_answered(context: Any) -> None:
    outcomes = [answer.outcome for answer in context.answers]
    assert outcomes == [OrderOutcome.DONE] * 2, outcomes


@when("a leader polls it once")
def step_poll_once(context: Any) -> None:
    async def act(client: WorkerClient, facts: WorkerFacts) -> None:
        began_s = loop_now_s()
        context.result = await client.read_lists(facts, 0, None, 1000)
        context.took_s = loop_now_s() - began_s

    _run(context, act)


@then("the poll has failed after at most {limit:g} s")
def step_failed(context: Any, limit: float) -> None:
    assert isinstance(context.result, ListFailure), context.result
    assert context.took_s <= limit + 0.01, context.took_s
