"""Steps of unstarted_leaders.feature."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then, when

from cicadatraild.scheduling.messages import CountQueued, HolderIs
from features.support.platform_actions import run_on_cluster, start_instances
from features.support.platform_cluster import PlatformCluster


@when("a leader is stopped in the pass of the loop in which it was elected")
def step_stop_unstarted(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        cluster.store.faults.down = True
        instance = cluster.instances[leader]
        epoch = instance._leadership.held_epoch
        instance._stop_leading("test")
        loop = asyncio.get_running_loop()
        # The request's first step and the stop come before the leader's first step.
        asking = asyncio.create_task(instance._entry.answer_peer(CountQueued("q")))
        loop.call_soon(instance._stop_leading, "test")
        instance._start_leading(epoch)
        done, _ = await asyncio.wait({asking}, timeout=0.5)
        context.replies = [task.result() for task in done]
        asking.cancel()

    run_on_cluster(context, scenario)


@then("the request that it got in that pass names no leader within 0.5 s")
def step_no_leader(context: Any) -> None:
    assert context.replies == [HolderIs(0, "")], context.replies
