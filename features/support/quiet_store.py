"""Waiting for a leader that has nothing to store."""

from __future__ import annotations

import asyncio

from cicadatraild.platform.store import JOBS_TOPIC
from features.support.platform_cluster import PlatformCluster

QUIET_S = 0.5


async def wait_for_quiet_store(cluster: PlatformCluster) -> None:
    """Wait until the leader has appended nothing for a while."""
    topic = cluster.store.topic(JOBS_TOPIC)
    count = -1
    while topic.end != count:
        count = topic.end
        await asyncio.sleep(QUIET_S)
