"""Names of the metrics that the project exposes."""

from __future__ import annotations

import asyncio
import os
from typing import Any
from unittest.mock import MagicMock

from prometheus_client.parser import text_string_to_metric_families

from cicadatrail_core.jobs.balance import PoolNeed
from cicadatrail_core.jobs.scarcity import Standing
from cicadatrail_core.models.requests import Outcome
from cicadatrail_core.models.resources import Resources
from cicadatraild.gauges import read_gauges
from cicadatraild.network.client_exchange import Address
from cicadatraild.platform import settings
from cicadatraild.platform.callers import CallerInterface
from cicadatraild.platform.store import StoreClient
from cicadatraild.scheduling import leadership
from cicadatraild.scheduling.caller_listener import CallerListener
from cicadatraild.scheduling.client_limits import derive_client_limits
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.metrics import InstanceMetrics
from cicadatraild.scheduling.peers import PeerServer
from cicadatraild.utils.metrics import InstanceCollector, Metrics
from cicadatraild.utils.output import OutputHandler
from features.support.sampled_values import sample


def _list_metrics(text: bytes) -> dict[str, Any]:
    listed = {}
    for family in text_string_to_metric_families(text.decode()):
        samples = set()
        for entry in family.samples:
            labels = sorted(entry.labels.items())
            # The bounds of a histogram are no names.
            shown = (f"{key}={value}" for key, value in labels if key != "le")
            samples.add(f"{entry.name}({', '.join(shown)})")
        listed[family.name] = {"type": family.type, "samples": sorted(samples)}
    return listed


async def _expose_platform_metrics(output: OutputHandler) -> bytes:
    store = StoreClient(Address("10.0.0.1", 9000))
    office = leadership.Leadership(
        store, "node", "host", lambda epoch: None, lambda reason: None
    )
    holder = Leader(sample(settings.PlatformSettings), store, office, 3, list)
    holder.scheduler.counts["end"] = 1
    holder.scheduler.team_used["team"] = Resources(1, 2, 3)
    holder.admission.refused_counts["text"] = 1
    holder.scheduler.standing = Standing(team_shares={"team": 0.5})
    holder.balance.needs["pool"] = PoolNeed(1, 2)
    callers = CallerInterface(MagicMock(), lambda: None, lambda: False)
    callers.answers[("submit", 200)] = 1
    metrics = InstanceMetrics(store, office, lambda: holder, callers, output)
    front = CallerListener(callers.handle, derive_client_limits(512, 4096))
    metrics.watch_clients(front, PeerServer(MagicMock(), MagicMock()))
    callers.on_duration("submit", 0.1)
    return metrics.expose()


def list_platform_metrics() -> dict[str, Any]:
    with open(os.devnull, "w") as sink:
        output = OutputHandler(sink.fileno())
        return _list_metrics(asyncio.run(_expose_platform_metrics(output)))


def list_fleet_metrics() -> dict[str, Any]:
    # Only the names of its gauges count, so that any parts do.
    gauges = read_gauges(MagicMock())
    outcomes = {outcome.value: 1 for outcome in Outcome}
    collector = InstanceCollector(lambda: gauges, lambda: outcomes)
    return _list_metrics(Metrics(collector).expose())
