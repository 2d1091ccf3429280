"""Prometheus metrics of an entry instance, collected on request."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

Gauges = Mapping[str, float]


class InstanceCollector(Collector):
    """Collector that reads the instance's counters, so that requests set no metrics."""

    def __init__(
        self, gauges: Callable[[], Gauges], outcomes: Callable[[], Mapping[str, int]]
    ) -> None:
        self._gauges = gauges
        self._outcomes = outcomes

    def collect(self) -> Iterable[Metric]:
        """Yield every metric."""
        return self._iterate()

    def _iterate(self) -> Iterator[Metric]:
        requests = CounterMetricFamily(
            "cicadatrail_requests", "Answered requests by outcome", labels=["outcome"]
        )
        for outcome, count in sorted(self._outcomes().items()):
            requests.add_metric([outcome], count)
        yield requests
        for name, value in sorted(self._gauges().items()):
            gauge = GaugeMetricFamily(f"cicadatrail_{name}", name.replace("_", " "))
            gauge.add_metric([], value)
            yield gauge


class Metrics:
    """Metrics registry of one instance."""

    __slots__ = ("_registry",)

    def __init__(self, collector: InstanceCollector) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(collector)

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
