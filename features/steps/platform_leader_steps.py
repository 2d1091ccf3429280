"""Steps about the election, failure and hand-over of the leader."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then, when

from features.support.platform_actions import (
    JOB,
    finish_all,
    job_ids,
    other_instance,
    run_on_cluster,
    start_instances,
    start_with_jobs,
    submit,
)
from features.support.platform_cluster import PlatformCluster, job


@when("six instances start at once")
def step_six(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await start_instances(cluster, 6)
        await asyncio.sleep(0.5)
        context.leaders = [name for name, i in cluster.instances.items() if i.is_leader]

    run_on_cluster(context, scenario)


@then("exactly one of them is the leader")
def step_one_leads(context: Any) -> None:
    assert len(context.leaders) == 1, context.leaders


@when("the leader is killed while jobs run")
def step_kill_leader(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        ids = job_ids(6)
        leader = await start_with_jobs(cluster, ids, job(ms=250, steps=2, count=3), 0.2)
        await cluster.kill(leader)
        await finish_all(cluster, ids)
        context.state = "completed"

    run_on_cluster(context, scenario)


@then("every accepted job is completed by its successor")
def step_all_completed(context: Any) -> None:
    assert context.state == "completed"


@when("the leader is told to stop while a job is submitted")
def step_stop(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        entry = other_instance(cluster, leader)
        cluster.instances[leader].stop()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        assert await submit(cluster, entry, JOB, job()) == 200
        context.accepted_s = loop.time() - began_s
        await cluster.wait_for_state(entry, JOB, "completed")

    run_on_cluster(context, scenario)


@then("the job is accepted within 1 second")
def step_accepted(context: Any) -> None:
    assert context.accepted_s < 1.0, context.accepted_s


@when("three instances start one after the other and the first is told to stop")
def step_in_turn(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        for name in ("edge-1", "edge-2", "edge-3"):
            cluster.start(name)
            while not cluster.instances[name].is_ready:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)
        assert cluster.leader() == "edge-1"
        cluster.instances["edge-1"].stop()
        await cluster.wait_until(lambda: cluster.leader() not in (None, "edge-1"))
        context.leader = cluster.leader()

    run_on_cluster(context, scenario)


@then("the third is the leader")
def step_third(context: Any) -> None:
    assert context.leader == "edge-3", context.leader


@when("the leader hands over to an instance that does not exist")
def step_missing_successor(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        await cluster.instances[leader].handover.release("127.0.0.99")
        await cluster.wait_until(lambda: cluster.leader() not in (None, leader), 3.0)
        context.leader = cluster.leader()

    run_on_cluster(context, scenario)


@then("another instance is the leader within 3 seconds")
def step_another(context: Any) -> None:
    assert context.leader is not None


@when("every instance is killed while jobs run and new ones start")
def step_kill_all(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        ids = job_ids(6)
        await start_with_jobs(cluster, ids, job(ms=250, steps=2, count=3), 0.2)
        for name in list(cluster.instances):
            await cluster.kill(name)
        for number in range(1, 4):
            cluster.start(f"edge-{number}")
        await finish_all(cluster, ids)
        context.state = "completed"

    run_on_cluster(context, scenario)


@when("the leader is killed while one worker is unresponsive")
def step_kill_unresponsive(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        ids = job_ids(4)
        leader = await start_with_jobs(cluster, ids, job(ms=2500, count=4), 0.3)
        cluster.workers[0].unresponsive = True
        await cluster.kill(leader)
        await finish_all(cluster, ids)
        context.state = "completed"

    run_on_cluster(context, scenario)


@when("the leader is cut off from the store while no worker answers")
def step_cut_off_leader(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await cluster.add_proxy("edge-1")
        cluster.start("edge-1")
        await cluster.wait_until(cluster.leader)
        for name in ("edge-2", "edge-3"):
            cluster.start(name)
        others = [cluster.instances[name] for name in ("edge-2", "edge-3")]
        await cluster.wait_until(lambda: all(other.is_ready for other in others))
        for worker in cluster.workers:
            # Workers can then not inform the old leader of the new one.
            worker.unresponsive = True
        cluster.proxies["edge-1"].silent = True
        first = cluster.instances["edge-1"]
        await cluster.wait_until(lambda: any(other.is_leader for other in others))
        await asyncio.sleep(0.5)
        context.may_start = first.may_start
        context.stepped_down = not first.is_leader

    run_on_cluster(context, scenario)


@then("half a second later it knows of the new leader, and it starts nothing")
def step_stepped_down(context: Any) -> None:
    assert not context.may_start
    assert context.stepped_down


@when("the leader and another instance are cut off from the store")
def step_cut_off_two(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        for name in ("edge-1", "edge-2"):
            await cluster.add_proxy(name)
        cluster.start("edge-1")
        await cluster.wait_until(cluster.leader)
        for name in ("edge-2", "edge-3"):
            cluster.start(name)
        instances = list(cluster.instances.values())
        await cluster.wait_until(lambda: all(other.is_ready for other in instances))
        for name in ("edge-1", "edge-2"):
            cluster.proxies[name].silent = True
        # As if a worker refused its token: it does not learn who the leader is.
        cluster.instances["edge-1"]._leadership.step_down("refused by a worker")
        await cluster.wait_until(lambda: cluster.instances["edge-3"].is_leader)
        context.status = await submit(cluster, "edge-2", JOB, job())

    run_on_cluster(context, scenario)


@then("the other instance accepts a job for the new leader")
def step_accepted_for_leader(context: Any) -> None:
    assert context.status == 200, context.status


@when("the store is down longer than others wait before they claim leadership")
def step_down_long(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        body = job(ms=400, steps=6, count=1)
        assert await submit(cluster, leader, JOB, body) == 200
        await asyncio.sleep(0.1)
        cluster.store.faults.down = True
        await asyncio.sleep(3.5)
        context.starts = sum(cluster.fleet.starts.values())
        context.leader_stays = cluster.leader() == leader
        cluster.store.faults.down = False
        await cluster.wait_for_state(leader, JOB, "completed", 15)

    run_on_cluster(context, scenario)


@then("the leader still starts what it had accepted")
def step_still_starts(context: Any) -> None:
    assert context.leader_stays
    # Each step takes 0.4 s, so that some start after the 1.3 s that other instances
    # wait before they claim leadership.
    assert context.starts >= 6, context.starts


@when("a worker restarts while the store is down, with more work than the others hold")
def step_restart_without_store(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        # What is lost with the worker is not repeated without the lease, and holds
        # up no other subtask.
        body = job(ms=300, count=400)
        assert await submit(cluster, leader, JOB, body) == 200
        await asyncio.sleep(0.1)
        cluster.store.faults.down = True
        # Longer than the leadership lease: peers confirm the leader from then on.
        await asyncio.sleep(1.2)
        worker = cluster.workers[0]
        worker.restart()
        starts = cluster.fleet.worker_starts.copy()
        await asyncio.sleep(1.5)
        context.is_leader = cluster.leader() == leader
        started = cluster.fleet.worker_starts - starts
        context.started_there = started.pop(worker.worker_id, 0)
        context.started_elsewhere = started.total()
        cluster.store.faults.down = False
        await cluster.wait_for_state(leader, JOB, "completed", 20)
        context.state = "completed"

    run_on_cluster(context, scenario)


@then("nothing starts on it before the store is back, and the others go on")
def step_nothing_there(context: Any) -> None:
    assert context.is_leader
    assert not context.started_there, context.started_there
    assert context.started_elsewhere > 0


@when("a weak instance and a strong one start at once")
def step_weak_and_strong(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        cluster.cores["edge-1"] = 0.5
        context.leader = await start_instances(cluster)

    run_on_cluster(context, scenario)


@then("the strong one is the leader")
def step_strong(context: Any) -> None:
    assert context.leader == "edge-2", context.leader
