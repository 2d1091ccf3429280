"""Prometheus metrics of an instance on the platform."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from cicadatrail_core.jobs.data_centre_evacuation import evacuated_worker_count
from cicadatrail_core.jobs.state import RunPhase
from cicadatraild.platform.store import StoreClient
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.utils.output import OutputHandler

if TYPE_CHECKING:
    from cicadatraild.platform.callers import CallerInterface
    from cicadatraild.scheduling.caller_listener import CallerListener
    from cicadatraild.scheduling.leader import Leader
    from cicadatraild.scheduling.peers import PeerServer

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Histogram buckets, up to the longest deadline of callers."""


class InstanceMetrics(Collector):
    """Collect metrics from the parts of the instance at each scrape."""

    def __init__(
        self,
        store: StoreClient,
        leadership: Leadership,
        leader: Callable[[], Leader | None],
        callers: CallerInterface,
        output: OutputHandler,
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._leader = leader
        self._callers = callers
        self._output = output
        self._registry = CollectorRegistry()
        self._durations = Histogram(
            "cicadatrail_answer_seconds",
            "Time from a request to its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._lag = Histogram(
            "cicadatrail_loop_lag_seconds",
            "Lateness of the loop's timers",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._front: CallerListener | None = None
        self._peer_server: PeerServer | None = None
        self._registry.register(self)
        callers.on_duration = self._observe_duration

    def watch_clients(self, front: CallerListener, peer_server: PeerServer) -> None:
        """Collect what the listeners for callers and peers hold and refuse."""
        self._front = front
        self._peer_server = peer_server

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def observe_lag(self, lag_s: float) -> None:
        """Record one probe of the event loop's lag."""
        self._lag.observe(max(0.0, lag_s))

    def _observe_duration(self, kind: str, duration_s: float) -> None:
        self._durations.labels(kind).observe(duration_s)

    def collect(self) -> Iterable[Metric]:
        """Return all metrics but the histograms."""
        return self._iterate()

    def _iterate(self) -> Iterator[Metric]:
        answers = CounterMetricFamily(
            "cicadatrail_answers", "Answers to callers", labels=["kind", "status"]
        )
        for (kind, status), count in sorted(self._callers.answers.items()):
            answers.add_metric([kind, str(status)], count)
        yield answers
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(
                f"cicadatrail_{name}", name.replace("_", " "), value=value
            )
        yield from self._client_metrics()
        leader = self._leader()
        if leader is None:
            return
        events = CounterMetricFamily(
            "cicadatrail_run_events", "Ends and refused starts", labels=["kind"]
        )
        for name, count in sorted(leader.scheduler.counts.items()):
            events.add_metric([name], count)
        yield events
        refused = CounterMetricFamily(
            "cicadatrail_refused_jobs", "Jobs refused by admission", labels=["reason"]
        )
        for reason, count in sorted(leader.admission.refused_counts.items()):
            refused.add_metric([reason], count)
        yield refused
        used = GaugeMetricFamily(
            "cicadatrail_team_cpu_cores", "Processor time in use", labels=["team"]
        )
        for team, resources in sorted(leader.scheduler.team_used.items()):
            used.add_metric([team], resources.cpu_millicores / 1000)
        yield used
        served = GaugeMetricFamily(
            "cicadatrail_team_served_share",
            "Share of recent work done within its objective",
            labels=["team"],
        )
        for team, share in sorted(leader.scheduler.standing.team_shares.items()):
            served.add_metric([team], share)
        yield served
        machines = GaugeMetricFamily(
            "cicadatrail_pool_machines",
            "Machines that a pool has and needs",
            labels=["pool", "kind"],
        )
        for pool, need in sorted(leader.balance.needs.items()):
            machines.add_metric([pool, "present"], need.present_count)
            machines.add_metric([pool, "needed"], need.needed_count)
        yield machines
        turns = CounterMetricFamily(
            "cicadatrail_turns",
            "Turns of pools by what became of them",
            labels=["kind"],
        )
        turns.add_metric(["begun"], leader.balance.turns.turn_count)
        turns.add_metric(["missed"], leader.balance.turns.missed_count)
        yield turns

    def _client_metrics(self) -> Iterator[Metric]:
        if self._front is None or self._peer_server is None:
            return
        server, budget = self._front.server, self._front.budget
        refused = CounterMetricFamily(
            "cicadatrail_refused_clients", "Clients over a limit", labels=["reason"]
        )
        refusals = server.refusals.counts | {
            "peer-budget": self._peer_server.refused_count
        }
        for reason, count in sorted(refusals.items()):
            refused.add_metric([reason], count)
        yield refused
        held = {
            "caller_connections": server.connection_count,
            "held_body_bytes": budget.used_bytes,
            "waiting_bodies": budget.waiting_count,
        }
        for name, value in held.items():
            yield GaugeMetricFamily(
                f"cicadatrail_{name}", name.replace("_", " "), value=value
            )

    def _gauges(self) -> dict[str, float]:
        gauges: dict[str, float] = {
            "store_calls": self._store.call_count,
            "held_epoch": self._leadership.held_epoch,
            "claims": self._leadership.claim_count,
            "dropped_log_lines": self._output.dropped_count,
        }
        leader = self._leader()
        if leader is None:
            return gauges
        scheduler = leader.scheduler
        runs = [run for w in scheduler.workers.values() for run in w.runs.values()]
        gauges |= {
            "jobs": len(scheduler.jobs),
            "workers": len(scheduler.workers),
            "runs": len(runs),
            "unanswered_starts": sum(run.phase is RunPhase.SENT for run in runs),
            "store_appends": leader.journal.append_count,
            "stored_bytes": leader.journal.stored_bytes,
            "worker_lists": (leader.links.list_count + leader.orders.lives.check_count),
            "starts": leader.orders.start_count,
            "machine_moves": leader.balance.move_count,
            "evacuated_data_centres": len(scheduler.evacuated_data_centres),
            "evacuated_workers": evacuated_worker_count(scheduler),
            "retry_after_seconds": leader.admission.retry_after_s,
            "may_start": self._leadership.may_start(),
        }
        return gauges
