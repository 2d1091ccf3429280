"""Actions that scenarios on a platform cluster share."""

from __future__ import annotations

import asyncio
from typing import Any

from features.support.platform_cluster import PlatformCluster, run_scenario

JOB = "00000000000000a1"


def job_ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(1, count + 1)]


async def start_instances(cluster: PlatformCluster, count: int = 2) -> str:
    """Start instances, wait until they are ready and return the leader's name."""
    for number in range(1, count + 1):
        cluster.start(f"edge-{number}")
    await cluster.wait_until(cluster.leader)
    ready = list(cluster.instances.values())
    await cluster.wait_until(lambda: all(instance.is_ready for instance in ready))
    leader = cluster.leader()
    assert leader is not None
    return leader


def other_instance(cluster: PlatformCluster, leader: str) -> str:
    return next(name for name in cluster.instances if name != leader)


async def submit(
    cluster: PlatformCluster, name: str, job_id: str, body: dict[str, Any]
) -> int:
    status, _ = await cluster.call(name, "POST", f"/q/{job_id}", body)
    return status


async def submit_all(
    cluster: PlatformCluster, name: str, ids: list[str], body: dict[str, Any]
) -> None:
    statuses = await asyncio.gather(
        *[submit(cluster, name, job_id, body) for job_id in ids]
    )
    assert set(statuses) == {200}, statuses


def run_on_cluster(context: Any, scenario: Any, worker_count: int = 3) -> None:
    """Run a scenario on a new cluster; keep its fleet for the steps that follow."""

    async def run(cluster: PlatformCluster) -> None:
        context.fleet = cluster.fleet
        await scenario(cluster)

    run_scenario(run, worker_count)


async def finish_all(cluster: PlatformCluster, ids: list[str]) -> None:
    await cluster.wait_until(cluster.leader)
    name = cluster.leader()
    assert name is not None
    for job_id in ids:
        await cluster.wait_for_state(name, job_id, "completed", 15)


async def start_with_jobs(
    cluster: PlatformCluster, ids: list[str], body: dict[str, Any], run_s: float
) -> str:
    """Start instances and run jobs for ``run_s`` seconds; return the leader's name."""
    leader = await start_instances(cluster, 3)
    await submit_all(cluster, other_instance(cluster, leader), ids, body)
    await asyncio.sleep(run_s)
    return leader
