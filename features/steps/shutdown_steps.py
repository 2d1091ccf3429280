"""Steps of shutdown.feature: requests at instances that are being stopped."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import AsyncExitStack
from typing import Any
from unittest.mock import patch

import msgpack
from behave import then, when

from cicadatrail_core.jobs.models import SubtaskName
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.platform.store import LEADER_TOPIC, FencedError
from cicadatraild.scheduling.messages import AskHolder, CountQueued, HolderIs
from cicadatraild.scheduling.peers import PeerClient, PeerUnreachableError
from features.support.crash_world import CrashWorld
from features.support.faulty_proxy import HOST
from features.support.job_world import definition
from features.support.open_caller import CallOutcome, OpenCaller, open_caller
from features.support.platform_actions import (
    JOB,
    other_instance,
    run_on_cluster,
    start_instances,
)
from features.support.platform_cluster import PlatformCluster, job, run_scenario
from features.support.quiet_store import wait_for_quiet_store
from features.support.thread_caller import ThreadCaller

SERIES_S = 9.0
RESTART_S = 0.3
CALL_PAUSE_S = 0.03
SERVED_SHARE = 0.75
LATE_CALLERS_COUNT = 5
BLOCKED_S = 0.35
JOB_NUMBERS = itertools.count(0xC000)


@when("an instance without a leader is stopped while requests wait")
def step_wait_for_leader(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        entry = "edge-2" if leader == "edge-1" else "edge-1"
        cluster.store.faults.down = True
        await cluster.kill(leader)
        stopping = asyncio.create_task(cluster.stop(entry))
        await asyncio.sleep(1.2)
        context.outcomes = await asyncio.gather(
            _call(cluster, entry, "GET", f"/q/{JOB}"),
            _call(cluster, entry, "GET", "/q/"),
            _call(cluster, entry, "DELETE", f"/q/{JOB}"),
            _call(cluster, entry, "POST", f"/q/{JOB}", job()),
        )
        await stopping

    run_on_cluster(context, scenario)


async def _call(
    cluster: PlatformCluster, name: str, method: str, target: str, body: Any = None
) -> CallOutcome:
    async with AsyncExitStack() as stack:
        caller = open_caller(cluster, name)
        await caller.open(stack)
        outcome = await caller.call(method, target, body)
    assert outcome is not None
    return outcome


@when("the only instance is stopped while the store does not take a submission")
def step_unknown_submission(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        await wait_for_quiet_store(cluster)
        cluster.store.faults.unresponsive = True
        calling = asyncio.create_task(
            _call(cluster, leader, "POST", f"/q/{JOB}", job())
        )
        await asyncio.sleep(0.1)
        await cluster.stop(leader)
        context.outcomes = [await calling]

    run_on_cluster(context, scenario)


@when("an instance is stopped while the body of a submission stops")
def step_body_stops(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        reader, writer = await asyncio.open_connection(
            cluster.host(leader), cluster.front_port
        )
        head = (
            f"POST /q/{JOB} HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 50\r\n"
            "Authorization: Bearer key-of-florists\r\nDeadline-Ms: 9000\r\n\r\n{"
        )
        writer.write(head.encode())
        await asyncio.sleep(0.1)
        await cluster.stop(leader)
        line = await reader.readline()
        writer.close()
        status = int(line.split()[1]) if line else 0
        context.outcomes = [CallOutcome("POST", status, 0.0)]

    run_on_cluster(context, scenario)


@then("each of these requests got {status:d}")
def step_all_got(context: Any, status: int) -> None:
    statuses = [outcome.status for outcome in context.outcomes]
    assert statuses, "no request was sent"
    assert set(statuses) == {status}, context.outcomes


@when("all instances are stopped at once while jobs are submitted")
def step_stop_all(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await start_instances(cluster, 3)
        names = list(cluster.instances)
        stopping = [asyncio.create_task(cluster.stop(name)) for name in names]
        context.outcomes = []
        for number, name in enumerate(names * 3):
            await asyncio.sleep(0.1)
            target = f"/q/{number:016x}"
            context.outcomes.append(await _call(cluster, name, "POST", target, job()))
        await asyncio.gather(*stopping)

    run_on_cluster(context, scenario)


@when("all instances are stopped at once and one of them starts again")
def step_start_again(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        others = [name for name in cluster.instances if name != leader]
        first = asyncio.create_task(cluster.stop(others[0]))
        await asyncio.sleep(1.0)
        rest = [asyncio.create_task(cluster.stop(n)) for n in (leader, others[1])]
        await first
        cluster.start(others[0])
        await cluster.wait_until(lambda: cluster.leader() == others[0], 1.5)
        context.led_before_end = not any(task.done() for task in rest)
        await asyncio.gather(*rest)

    run_on_cluster(context, scenario)


@then("it leads before the stopped leader has ended")
def step_led_before(context: Any) -> None:
    assert context.led_before_end


@when("instances are stopped {series} while callers use open connections")
def step_series(context: Any, series: str) -> None:
    words = series.split()
    at_once = {"one": 1, "two": 2, "three": 3}[words[0]]
    gap_s = float(words[2])

    async def scenario(cluster: PlatformCluster) -> None:
        await start_instances(cluster, 3)
        names = list(cluster.instances)
        async with AsyncExitStack() as stack:
            callers = [open_caller(cluster, name) for name in names for _ in range(4)]
            for caller in callers:
                await caller.open(stack)
            calls = [asyncio.create_task(_use(caller)) for caller in callers]
            await _stop_in_series(cluster, names, at_once, gap_s)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        context.outcomes = [o for caller in callers for o in caller.outcomes]

    run_on_cluster(context, scenario)


async def _use(caller: OpenCaller) -> None:
    """Submit a job, then ask for its state, again and again."""
    while True:
        target = f"/q/{next(JOB_NUMBERS):016x}"
        await caller.call("POST", target, job(ms=20, count=1))
        await caller.call("GET", target)
        await asyncio.sleep(CALL_PAUSE_S)


async def _stop_in_series(
    cluster: PlatformCluster, names: list[str], at_once: int, gap_s: float
) -> None:
    """Stop instances in turn, and start each again soon after it has ended."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + SERIES_S
    stops: dict[str, asyncio.Task[None]] = {}
    for name in itertools.cycle(names):
        if loop.time() > until_s:
            break
        running = [n for n, task in stops.items() if not task.done()]
        if name not in running and len(running) < 2 * at_once:
            stops[name] = asyncio.create_task(_stop_and_restart(cluster, name))
        await asyncio.sleep(gap_s / at_once)
    await asyncio.gather(*stops.values())


async def _stop_and_restart(cluster: PlatformCluster, name: str) -> None:
    await cluster.stop(name)
    await asyncio.sleep(RESTART_S)
    cluster.start(name)


@then("no request that an instance had read was cut")
def step_none_cut(context: Any) -> None:
    cut = [outcome for outcome in context.outcomes if outcome.is_cut]
    assert not cut, (len(cut), len(context.outcomes), cut[:5])


@then("most requests were served")
def step_most_served(context: Any) -> None:
    served = [outcome for outcome in context.outcomes if outcome.status == 200]
    share = len(served) / len(context.outcomes)
    assert share >= SERVED_SHARE, (share, len(context.outcomes))


@when("the leader hands over to an instance that has just been told to stop")
def step_stopped_successor(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 2)
        successor = other_instance(cluster, leader)
        stopping = asyncio.create_task(cluster.stop(successor))
        await asyncio.sleep(0)
        await cluster.instances[leader].handover.release(cluster.host(successor))
        context.led_s = await _time_until_led(cluster, successor)
        await cluster.kill(leader)
        await stopping

    run_on_cluster(context, scenario)


async def _time_until_led(cluster: PlatformCluster, name: str) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    instance = cluster.instances[name]
    while not instance.is_leader and loop.time() < began_s + 3.0:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    return loop.time() - began_s


@then("that instance leads within {limit_s:g} s")
def step_leads_within(context: Any, limit_s: float) -> None:
    assert context.led_s < limit_s, context.led_s


@when("an instance is told to stop after its claim was stored but not answered")
def step_claim_under_way(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 2)
        other = other_instance(cluster, leader)
        await cluster.kill(leader)
        cluster.store.faults.lost_answers = 1
        records = cluster.store.topic(LEADER_TOPIC)
        count = records.end
        await cluster.wait_until(lambda: records.end > count)
        stopping = asyncio.create_task(cluster.stop(other))
        await asyncio.sleep(0)
        context.led_s = await _time_until_led(cluster, other)
        await stopping

    run_on_cluster(context, scenario)


@when("the only instance is stopped while its queries for a successor hang")
def step_hanging_queries(context: Any) -> None:
    async def hang() -> str:
        await asyncio.sleep(60)
        return ""

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        instance = cluster.instances[leader]
        with patch.object(instance._entry, "choose_successor", hang):
            await cluster.stop(leader)
        records = cluster.store.topic(LEADER_TOPIC).newest
        context.record = msgpack.unpackb(records["holder"][1])

    run_on_cluster(context, scenario)


@then("the store shows that it has released leadership")
def step_released(context: Any) -> None:
    assert context.record["released"], context.record


@when("a journal is flushed after its leader has ended")
def step_flush_closed(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        journal = cluster.instances[leader]._leader.journal  # type: ignore[union-attr]
        await cluster.kill(leader)
        await asyncio.sleep(0.1)
        try:
            async with asyncio.timeout(0.5):
                await journal.flush()
        except (FencedError, TimeoutError) as error:
            context.error = error

    run_on_cluster(context, scenario)


@then("the flush has failed")
def step_flush_failed(context: Any) -> None:
    assert isinstance(context.error, FencedError), repr(context.error)


@when("requests arrive on {connections} while the loop is blocked over a drain")
def step_late_loop(context: Any, connections: str) -> None:
    async def answer(exchange: HttpExchange) -> None:
        await exchange.respond(200, headers=((b"Connection", b"close"),))

    async def scenario(cluster: PlatformCluster) -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("drained", answer, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            callers = [
                ThreadCaller(HOST, port, connections == "idle connections")
                for _ in range(LATE_CALLERS_COUNT)
            ]
            await asyncio.sleep(0.1)
            for caller in callers:
                caller.start(delay_s=0.1)
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, time.sleep, BLOCKED_S)
            await asyncio.sleep(0.06)
            await server.drain(1.0)
            context.outcomes = [caller.join() for caller in callers]

    run_scenario(scenario, 1)


@when("the leader changes each {gap_s:g} s while a moved worker is still listed")
def step_moved_worker(context: Any, gap_s: float) -> None:
    world = CrashWorld(context.stack, 3, 16)
    world.scheduler.remove_worker("w2", world.now_s, "moved")
    world.silent.add("w2")
    world.submit(JOB, definition(1, 2))
    world.fail_over(2)
    context.taken_over_s = world.now_s
    for epoch in range(3, 6):
        world.advance(gap_s)
        world.fail_over(epoch)
    context.started_s = world.start_times_s.get(SubtaskName(JOB, 0, 0, 0), [])


@then("a subtask that was ready starts within {limit_s:g} s of the first takeover")
def step_starts_soon(context: Any, limit_s: float) -> None:
    assert context.started_s, "it has not started"
    assert context.started_s[0] - context.taken_over_s < limit_s, context.started_s


@when("an instance has ended while a peer's stream to it was open")
def step_stream_open(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        peers = PeerClient(cluster.settings(leader).peer_port)
        async with AsyncExitStack() as stack:
            await peers.open(stack)
            host = cluster.host(leader)
            assert isinstance(await peers.call(host, AskHolder(), 1.0), HolderIs)
            await cluster.stop(leader)
            try:
                context.reply = await peers.call(host, AskHolder(), 1.0)
            except PeerUnreachableError as error:
                context.reply = error

    run_on_cluster(context, scenario)


@then("the peer can't reach it")
def step_unreachable(context: Any) -> None:
    assert isinstance(context.reply, PeerUnreachableError), context.reply


@when("a leader stops while a request waits for its takeover")
def step_stop_in_takeover(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        cluster.store.faults.down = True
        instance = cluster.instances[leader]
        # A takeover can't complete without the store.
        instance._stop_leading("test")
        instance._start_leading(instance._leadership.held_epoch)
        asking = asyncio.create_task(instance._entry.answer_peer(CountQueued("q")))
        await asyncio.sleep(0.1)
        instance._stop_leading("test")
        async with asyncio.timeout(0.5):
            context.reply = await asking

    run_on_cluster(context, scenario)


@then("the request is told at once that this instance leads nothing")
def step_told(context: Any) -> None:
    assert context.reply == HolderIs(0, ""), context.reply


@when("a server drains with an open request and an idle connection")
def step_server_drains(context: Any) -> None:
    async def answer(exchange: HttpExchange) -> None:
        await asyncio.sleep(0.3)
        closing = ((b"Connection", b"close"),) if server.draining else ()
        await exchange.respond(200, headers=closing)

    server = HttpServer("drained", answer, HttpLimits())

    async def scenario(cluster: PlatformCluster) -> None:
        async with AsyncExitStack() as stack:
            port = await server.listen(stack, HOST, 0)
            busy, idle, late = (OpenCaller(HOST, port) for _ in range(3))
            for caller in (busy, idle, late):
                await caller.open(stack)
            assert (await idle.call("GET", "/")).status == 200  # type: ignore[union-attr]
            calling = asyncio.create_task(busy.call("GET", "/"))
            await asyncio.sleep(0.1)
            draining = asyncio.create_task(server.drain(1.0))
            await asyncio.sleep(0.05)
            context.idle = await idle.call("GET", "/")
            context.late = await late.call("GET", "/")
            context.busy = await calling
            async with asyncio.timeout(0.5):
                await draining

    run_scenario(scenario, 1)


@then("the open request is answered, the idle connection ends and no new one is made")
def step_drained(context: Any) -> None:
    assert context.busy.status == 200, context.busy
    assert context.idle.status == 0, context.idle
    assert not context.idle.is_cut, context.idle
    assert context.late is None, context.late
