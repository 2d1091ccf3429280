"""Steps of request_limits.feature."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

from behave import then, when

from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.messages import CountQueued, Unsettled
from features.support.platform_actions import run_on_cluster, start_instances
from features.support.platform_cluster import PlatformCluster


async def _hang(*_: Any) -> None:
    await asyncio.sleep(60)


@when("the time of a request is over while its leader does not answer")
def step_time_over(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        entry = cluster.instances[await start_instances(cluster, 1)]._entry
        entry.limits.close_at(loop_now_s() + 0.1)
        with patch("cicadatraild.scheduling.leader.Leader.answer", _hang):
            reply = await entry.ask(CountQueued("q"), loop_now_s() + 3.0)
        assert isinstance(reply, Unsettled), reply
        await asyncio.sleep(0.01)
        names = [getattr(t.get_coro(), "__qualname__", "") for t in asyncio.all_tasks()]
        context.waiting = [name for name in names if name == "Leadership.changed"]

    run_on_cluster(context, scenario)


@then("no task waits for another leader")
def step_no_task(context: Any) -> None:
    assert context.waiting == [], context.waiting
