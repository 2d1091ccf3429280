"""Estimates of the size and run time of tasks.

Declared sizes are far from actual usage, so sizes are learned per team and queue
from usage reports. A report contains the peak so far and arrives late: if it covers
only part of a run, its peak is a lower bound of the actual one. Such a sample is
used if it exceeds the estimate and is dropped otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import ceil

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement.sample_window import SampleWindow


@dataclass(frozen=True, slots=True)
class EstimateSettings:
    """How estimates are learned.

    An estimate covers ``size_quantile`` of the samples. A job is rejected as too large
    only if even its ``smallest_quantile`` fits no worker. A report is treated as
    complete if it covers ``coverage_fraction`` of the run.
    """

    window_count: int = 64
    min_sample_count: int = 8
    size_quantile: float = 0.9
    smallest_quantile: float = 0.1
    coverage_fraction: float = 0.5
    kind_limit_count: int = 4096


@dataclass(frozen=True, slots=True)
class JobKind:
    """Key of the requests that are expected to need the same resources."""

    team_id: str
    queue_id: str


class _ResourceSamples:
    """Samples of one resource, as amounts and as multiples of the declared amount."""

    __slots__ = ("_amounts", "_ratios")

    def __init__(self, window_count: int) -> None:
        self._amounts = SampleWindow(window_count)
        self._ratios = SampleWindow(window_count)

    def add(self, declared: int, used: int) -> None:
        self._amounts.add(used)
        if declared:
            self._ratios.add(used / declared)

    def value(self, declared: int, quantile: float) -> int:
        """Return the estimate from whichever of the two series varies less."""
        amount = self._amounts.quantile(quantile)
        if not declared or len(self._ratios) < len(self._amounts):
            return ceil(amount)
        if _relative_spread(self._ratios, quantile) >= _relative_spread(
            self._amounts, quantile
        ):
            return ceil(amount)
        return ceil(self._ratios.quantile(quantile) * declared)


def _relative_spread(window: SampleWindow, quantile: float) -> float:
    middle = window.quantile(0.5)
    return window.quantile(max(quantile, 1.0 - quantile)) / max(middle, 1e-9)


class _KindSamples:
    """Samples of one kind of job."""

    __slots__ = ("cpu", "memory", "accelerators", "run_times", "sample_count")

    def __init__(self, window_count: int) -> None:
        self.cpu = _ResourceSamples(window_count)
        self.memory = _ResourceSamples(window_count)
        self.accelerators = _ResourceSamples(window_count)
        self.run_times = SampleWindow(window_count)
        self.sample_count = 0


class Estimator:
    """Estimate sizes and run times; memory is bounded by the number of kinds."""

    __slots__ = ("_kinds", "_settings")

    def __init__(self, settings: EstimateSettings) -> None:
        self._settings = settings
        self._kinds: OrderedDict[JobKind, _KindSamples] = OrderedDict()

    def size(self, request: TaskRequest) -> Resources:
        """Return the estimated peak, or the declared size until enough is learned."""
        kind = self._learned(request)
        if kind is None:
            return request.size
        return self._size_at(kind, request.size, self._settings.size_quantile)

    def smallest_size(self, request: TaskRequest) -> Resources:
        """Return a size that nearly every job of the kind has reached."""
        kind = self._learned(request)
        if kind is None:
            return request.size
        return self._size_at(kind, request.size, self._settings.smallest_quantile)

    def is_learned(self, request: TaskRequest) -> bool:
        """Return whether enough samples exist to override the declared size."""
        return self._learned(request) is not None

    def run_time_s(self, request: TaskRequest) -> float | None:
        """Return the median run time of the kind in seconds, or None if unknown."""
        kind = self._kinds.get(_kind_of(request))
        if kind is None or not len(kind.run_times):
            return None
        return kind.run_times.quantile(0.5)

    def learn_run_time(self, request: TaskRequest, run_s: float) -> None:
        """Record the run time of a task that succeeded."""
        self._kind_samples(request).run_times.add(run_s)

    def learn_size(
        self, request: TaskRequest, used: Resources, covered_fraction: float
    ) -> bool:
        """Record a task's peak, observed during ``covered_fraction`` of its run.

        Returns False if the sample was dropped because it adds no information.
        """
        is_whole = covered_fraction >= self._settings.coverage_fraction
        if not is_whole and used.fits_in(self.size(request)):
            return False
        kind = self._kind_samples(request)
        kind.cpu.add(request.size.cpu_millicores, used.cpu_millicores)
        kind.memory.add(request.size.memory_mib, used.memory_mib)
        kind.accelerators.add(request.size.accelerator_count, used.accelerator_count)
        kind.sample_count += 1
        return True

    def _learned(self, request: TaskRequest) -> _KindSamples | None:
        kind = self._kinds.get(_kind_of(request))
        if kind is None or kind.sample_count < self._settings.min_sample_count:
            return None
        return kind

    def _size_at(
        self, kind: _KindSamples, declared: Resources, quantile: float
    ) -> Resources:
        accelerators = kind.accelerators.value(declared.accelerator_count, quantile)
        return Resources(
            kind.cpu.value(declared.cpu_millicores, quantile),
            kind.memory.value(declared.memory_mib, quantile),
            # A task occupies the accelerators it requested, even unused ones.
            max(declared.accelerator_count, accelerators),
        )

    def _kind_samples(self, request: TaskRequest) -> _KindSamples:
        key = _kind_of(request)
        kind = self._kinds.get(key)
        if kind is None:
            kind = self._kinds[key] = _KindSamples(self._settings.window_count)
        self._kinds.move_to_end(key)
        if len(self._kinds) > self._settings.kind_limit_count:
            self._kinds.popitem(last=False)
        return kind


def _kind_of(request: TaskRequest) -> JobKind:
    return JobKind(request.team_id, request.queue_id)
