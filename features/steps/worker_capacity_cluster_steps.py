"""Steps about changes of capacity on a cluster of instances."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from behave import then, when

from features.support.platform_actions import (
    JOB,
    finish_all,
    job_ids,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import PlatformCluster

SEED = 20
CHANGES_S = 12.0
KILL_S = 5.0
CAPACITIES = (
    {"cpu": 0, "mem-mb": 0},
    {"cpu": 2000, "mem-mb": 16_000},
    {"cpu": 8000, "mem-mb": 3000},
    {"cpu": 8000, "mem-mb": 16_000},
)
WORKERS_TOPIC = "keyed.servers"
MALFORMED_ENTRIES = (b"\xff", b"{}", b'{"state": "ready", "capacity": {"cpu": 8000}}')


def _job(ms: int, count: int, cpu: int, memory: int = 100) -> dict[str, Any]:
    """Return a job whose spec tells the stand-in what its subtasks need."""
    need = {"count": count, "cpu": cpu, "mem-mb": memory}
    return {"spec": f"ms={ms} cpu={cpu} mem={memory}", "steps": [need]}


def _now_s() -> float:
    return asyncio.get_running_loop().time()


async def _change_capacities(cluster: PlatformCluster, rng: random.Random) -> None:
    while True:
        worker = rng.choice(cluster.workers)
        worker.room.change(_now_s(), rng.choice(CAPACITIES))
        await asyncio.sleep(1.0)


async def _submit_sizes(
    cluster: PlatformCluster, entry: str, rng: random.Random, until_s: float
) -> list[str]:
    ids = job_ids(1000)
    accepted: list[str] = []
    while _now_s() < until_s:
        body = _job(
            rng.randint(100, 900),
            rng.randint(1, 4),
            rng.choice((500, 1000, 4000)),
            rng.choice((100, 1000, 2500)),
        )
        job_id = ids[len(accepted)]
        while await submit(cluster, entry, job_id, body) != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        accepted.append(job_id)
        await asyncio.sleep(0.1)
    return accepted


@when(
    "workers shrink and grow while jobs of several sizes run and the leader is killed"
)
def step_shrink_and_grow(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        rng = random.Random(SEED)
        leader = await start_instances(cluster, 3)
        entry = other_instance(cluster, leader)
        until_s = _now_s() + CHANGES_S
        changing = asyncio.create_task(_change_capacities(cluster, rng))
        submitting = asyncio.create_task(_submit_sizes(cluster, entry, rng, until_s))
        await asyncio.sleep(KILL_S)
        await cluster.kill(leader)
        accepted = await submitting
        changing.cancel()
        for worker in cluster.workers:
            worker.room.change(_now_s(), CAPACITIES[-1])
        await finish_all(cluster, accepted)
        context.state = "completed"

    run_on_cluster(context, scenario, 4)


@when("a worker shrinks and malformed entries follow while its topic is truncated")
def step_malformed_entries(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        (worker,) = cluster.workers
        leader = await start_instances(cluster)
        # More than the worker completes in this time with all its cores.
        body = _job(300, 150, 1000)
        assert await submit(cluster, leader, JOB, body) == 200
        await asyncio.sleep(0.2)
        worker.room.change(_now_s(), {"cpu": 2000})
        until_s = _now_s() + 5.0
        while _now_s() < until_s:
            for entry in MALFORMED_ENTRIES:
                cluster.store.put(WORKERS_TOPIC, worker.worker_id, entry)
            cluster.store.truncate_history(WORKERS_TOPIC)
            await asyncio.sleep(0.2)
        worker.room.change(_now_s(), {"cpu": 8000})
        await cluster.wait_for_state(leader, JOB, "completed", 15)
        context.state = "completed"

    run_on_cluster(context, scenario, 1)


@when("the list of workers can't be read while the leader renews and a worker shrinks")
def step_unread(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        (worker,) = cluster.workers
        leader = await start_instances(cluster)
        # More than the worker completes in this time with all its cores.
        assert await submit(cluster, leader, JOB, _job(300, 300, 1000)) == 200
        await asyncio.sleep(0.5)
        cluster.store.faults.unread_topics.add(WORKERS_TOPIC)
        worker.room.change(_now_s(), {"cpu": 2000})
        await asyncio.sleep(6.0)
        assert cluster.instances[leader].is_leader
        starts = sum(cluster.fleet.starts.values())
        cluster.store.faults.unread_topics.clear()
        await asyncio.sleep(1.0)
        context.later_starts = sum(cluster.fleet.starts.values()) - starts

    run_on_cluster(context, scenario, 1)


@then("starts go on within a second after the list can be read")
def step_go_on(context: Any) -> None:
    assert context.later_starts > 0


@when("the leader alone is cut off from the store and a worker shrinks")
def step_cut_off(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await cluster.add_proxy("edge-1")
        cluster.start("edge-1")
        await cluster.wait_until(cluster.leader)
        for name in ("edge-2", "edge-3"):
            cluster.start(name)
        instances = list(cluster.instances.values())
        await cluster.wait_until(lambda: all(other.is_ready for other in instances))
        assert await submit(cluster, "edge-1", JOB, _job(300, 400, 1000)) == 200
        await asyncio.sleep(0.5)
        cluster.proxies["edge-1"].silent = True
        (worker,) = cluster.workers
        worker.room.change(_now_s(), {"cpu": 2000})
        await asyncio.sleep(6.0)
        context.others_lead = [i.is_leader for i in instances[1:]]
        context.first_leads = instances[0].is_leader

    run_on_cluster(context, scenario, 1)


@then("another instance leads")
def step_another_leads(context: Any) -> None:
    assert any(context.others_lead)
    assert not context.first_leads


@when("a worker restarts with a quarter of its capacity while work waits")
def step_restart_smaller(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        assert await submit(cluster, leader, JOB, _job(300, 150, 1000)) == 200
        worker = cluster.workers[0]
        for cpu in (2000, 8000, 2000):
            await asyncio.sleep(0.7)
            worker.room.change(_now_s(), {"cpu": cpu})
            worker.restart()
        await cluster.wait_for_state(leader, JOB, "completed", 15)
        context.state = "completed"

    run_on_cluster(context, scenario, 2)
