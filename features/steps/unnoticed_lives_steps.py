"""Steps about calls that a worker's next life takes, on a cluster of instances."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from features.standins.platform_fleet import HEARTBEAT_S
from features.support.platform_actions import (
    JOB,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import PlatformCluster, job

DARK_S = 0.25
SOON_S = 0.15
LONG_MS = 30_000
LATE_S = 3.0
SLOW_RATE = 0.98
REPEAT_LIMIT_S = 20.0
EXPIRY_COUNT = 3
"""Heartbeat intervals of silence after which the platform removes an entry."""


async def _restart(cluster: PlatformCluster) -> None:
    (worker,) = cluster.workers
    worker.clock.rate = SLOW_RATE
    await cluster.wait_until(lambda: worker.token)
    worker.restart_dark(DARK_S)


@given("a worker that is back under its id before its leader has noticed")
def step_back(context: Any) -> None:
    context.restart = _restart


@given("a worker that has been back under its id for {seconds:g} s, unnoticed")
def step_back_for(context: Any, seconds: float) -> None:
    async def restart(cluster: PlatformCluster) -> None:
        await _restart(cluster)
        await asyncio.sleep(DARK_S + seconds)

    context.restart = restart


async def _take_start(
    context: Any, cluster: PlatformCluster, answer: str, **step: Any
) -> str:
    """Let the worker's new life take a start; return the leader that sent it."""
    leader = await start_instances(cluster, 3)
    await context.restart(cluster)
    (worker,) = cluster.workers
    worker.loses_start_answers = answer == "whose answer gets lost"
    entry = other_instance(cluster, leader)
    assert await submit(cluster, entry, JOB, job(LONG_MS, count=1, **step)) == 200
    await cluster.wait_until(lambda: cluster.fleet.starts)
    return leader


async def _cut_off(cluster: PlatformCluster) -> None:
    """Cut the worker off, and wait until its subtask starts on another one.

    It writes no entries either, so that the platform removes its last one.
    """
    worker = cluster.workers[0]
    worker.unresponsive = worker.is_unlisted = True
    other = await cluster.add_worker("i-9")
    await asyncio.sleep(EXPIRY_COUNT * HEARTBEAT_S)
    cluster.store.put("keyed.servers", worker.worker_id, None)
    await cluster.wait_until(
        lambda: cluster.fleet.worker_starts[other.worker_id], REPEAT_LIMIT_S
    )


@when("it takes a start, {answer}, and is cut off")
def step_takes_start(context: Any, answer: str) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await _take_start(context, cluster, answer)
        await _cut_off(cluster)

    run_on_cluster(context, scenario, worker_count=1)


@when(
    "it takes a start, {answer}, its leader is killed {seconds:g} s later"
    " and it is cut off"
)
def step_leader_killed(context: Any, answer: str, seconds: float) -> None:
    _kill_leader(context, answer, seconds)


@when(
    "it takes a long-running start, its leader is killed {seconds:g} s later"
    " and it is cut off"
)
def step_lasting_leader_killed(context: Any, seconds: float) -> None:
    step = {"long-running": True}
    _kill_leader(context, "whose answer gets lost", seconds, **step)


def _kill_leader(context: Any, answer: str, seconds: float, **step: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await _take_start(context, cluster, answer, **step)
        await asyncio.sleep(seconds)
        cluster.workers[0].unresponsive = True
        await cluster.kill(leader)
        await _cut_off(cluster)

    run_on_cluster(context, scenario, worker_count=1)


@when(
    "a subtask waits for it, and it is cut off and its leader killed soon after",
)
def step_waits_for_restarted(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        await context.restart(cluster)
        cluster.workers[0].loses_start_answers = True
        entry = other_instance(cluster, leader)
        assert await submit(cluster, entry, JOB, job(LONG_MS, count=1)) == 200
        await asyncio.sleep(SOON_S)
        cluster.workers[0].unresponsive = True
        await cluster.kill(leader)
        await _cut_off(cluster)
        context.restarted_id = cluster.workers[0].worker_id

    run_on_cluster(context, scenario, worker_count=1)


@then(
    "the subtask starts on another worker, and none has started on the restarted one",
)
def step_not_sent(context: Any) -> None:
    step_not_twice(context)
    assert not context.fleet.worker_starts[context.restarted_id]


@then("the subtask starts on another worker only when the lease is over")
def step_not_twice(context: Any) -> None:
    assert not context.fleet.violations, context.fleet.violations


@when("a start gets no answer and is stopped, and the next life of its worker gets it")
def step_late_start(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        entry = await start_instances(cluster)
        (worker,) = cluster.workers
        worker.late_starts_s = LATE_S
        worker.passes_late_starts_on = True
        assert await submit(cluster, entry, JOB, job(LONG_MS, count=1)) == 200
        await asyncio.sleep(SOON_S)
        status, _ = await cluster.call(entry, "DELETE", f"/q/{JOB}")
        assert status == 200
        await cluster.wait_until(lambda: worker.ended_runs)
        worker.restart()
        await cluster.wait_until(lambda: worker.late_answers)
        context.late_answers = worker.late_answers

    run_on_cluster(context, scenario, worker_count=1)


@then("the next life refuses it")
def step_refuses(context: Any) -> None:
    assert context.late_answers == [(409, {"reason": "old"})], context.late_answers
    step_not_twice(context)
