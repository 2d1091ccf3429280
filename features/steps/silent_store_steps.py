"""Steps of shutdown.feature about submissions to a store that falls silent."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any

from behave import then, when

from features.support.open_caller import CallOutcome, open_caller
from features.support.platform_actions import run_on_cluster, start_instances
from features.support.platform_cluster import PlatformCluster, job
from features.support.quiet_store import wait_for_quiet_store

FIRST, SECOND = "00000000000000d1", "00000000000000d2"


@when("two submissions follow each other while the store does not answer")
def step_two_submissions(context: Any) -> None:
    async def submit(cluster: PlatformCluster, name: str, job_id: str) -> CallOutcome:
        async with AsyncExitStack() as stack:
            caller = open_caller(cluster, name)
            await caller.open(stack)
            outcome = await caller.call("POST", f"/q/{job_id}", job())
        assert outcome is not None
        return outcome

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        await wait_for_quiet_store(cluster)
        cluster.store.faults.unresponsive = True
        first = asyncio.create_task(submit(cluster, leader, FIRST))
        await asyncio.sleep(0.1)
        second = asyncio.create_task(submit(cluster, leader, SECOND))
        await cluster.stop(leader)
        context.statuses = [(await first).status, (await second).status]

    run_on_cluster(context, scenario)


@then("the one that was sent got 504, and the one behind it got 503")
def step_statuses(context: Any) -> None:
    assert context.statuses == [504, 503], context.statuses
