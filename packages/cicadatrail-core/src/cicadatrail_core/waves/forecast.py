"""Progress, minimum duration and forecast end of a wave."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from cicadatrail_core.fold.availability import (
    ACTIVE_STEPS,
    unavailable_limit_count,
    unavailable_workers,
)
from cicadatrail_core.models.maintenance import (
    StepStatus,
    WaveAction,
    WaveProgress,
    WaveStatus,
    WorkingHours,
)
from cicadatrail_core.models.state import State

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
STARTED_REMAINING_FRACTION = 0.5
"""Fraction of its total time that a started worker is expected to still need."""


@dataclass(frozen=True, slots=True)
class WorkTimes:
    """Estimates of how long workers drain and are maintained.

    ``drain_s`` applies to workers that ``drain_s_of`` doesn't name.
    """

    drain_s: float
    maintenance_s: float
    drain_s_of: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def work_s(self, worker_id: str, action: WaveAction) -> float:
        """Return how long the worker is out of service for the action."""
        drain_s = self.drain_s_of.get(worker_id, self.drain_s)
        if action is WaveAction.DRAIN:
            return drain_s
        return drain_s + self.maintenance_s


@dataclass(frozen=True, slots=True)
class StepCounts:
    """Numbers of a wave's workers by step status."""

    waiting_count: int
    active_count: int
    done_count: int
    failed_count: int


def count_steps(progress: WaveProgress) -> StepCounts:
    """Return the progress of a wave, counted in workers."""
    counts = Counter(step for _, step in progress.steps)
    return StepCounts(
        waiting_count=counts[StepStatus.WAITING],
        active_count=sum(counts[step] for step in ACTIVE_STEPS),
        done_count=counts[StepStatus.DONE],
        failed_count=counts[StepStatus.FAILED],
    )


def lower_bound_s(
    state: State, progress: WaveProgress, times: WorkTimes
) -> float | None:
    """Return the least time that the waiting workers of a wave can take.

    No plan can be faster than the work of any pool spread evenly over its
    budget, all work spread over the wave's concurrency, or the longest single
    worker. Returns None if a budget of zero prevents the wave from ending.
    Working hours are ignored.
    """
    wave = progress.wave
    work_of_pool: dict[str, float] = defaultdict(float)
    longest_s = 0.0
    for worker_id, step in progress.steps:
        if step is not StepStatus.WAITING or worker_id not in state.pool_of:
            continue
        work_s = times.work_s(worker_id, wave.action)
        longest_s = max(longest_s, work_s)
        work_of_pool[state.pool_of[worker_id]] += work_s
    bounds = [longest_s, sum(work_of_pool.values()) / wave.concurrency_limit_count]
    for pool_id, work_s in work_of_pool.items():
        limit = unavailable_limit_count(state, pool_id)
        if limit is None:
            continue
        if limit < 1:
            return None
        bounds.append(work_s / limit)
    return max(bounds)


def forecast_s(
    state: State, progress: WaveProgress, times: WorkTimes, second_of_day: float
) -> float | None:
    """Return the expected seconds until the wave ends, or None if unknown.

    Takes into account the budget that is free now, the other running waves' share
    of it, the wait for the first maintained worker, and working hours.
    ``second_of_day`` is the current time of day in UTC. A wave that is not running
    has no forecast, nor has one with a pool whose budget others have used up.
    """
    if progress.status is not WaveStatus.RUNNING:
        return None
    pools = {state.pool_of.get(w) for w, s in progress.steps if s not in _FINISHED}
    ends = [0.0]
    for pool_id in pools - {None}:
        end_s = _pool_end_s(state, str(pool_id), progress, times)
        if end_s is None:
            return None
        ends.append(end_s)
    work_s = sum(_remaining_work_s(w, s, progress, times) for w, s in progress.steps)
    ends.append(work_s / progress.wave.concurrency_limit_count)
    return over_working_hours_s(max(ends), second_of_day, progress.wave.working_hours)


_FINISHED = frozenset({StepStatus.DONE, StepStatus.FAILED})


def _remaining_work_s(
    worker_id: str, step: StepStatus, progress: WaveProgress, times: WorkTimes
) -> float:
    if step in _FINISHED:
        return 0.0
    work_s = times.work_s(worker_id, progress.wave.action)
    if step is StepStatus.WAITING:
        return work_s
    return STARTED_REMAINING_FRACTION * work_s


def _pool_end_s(
    state: State, pool_id: str, progress: WaveProgress, times: WorkTimes
) -> float | None:
    """Return the expected seconds until the running waves' work in the pool ends."""
    work_s = 0.0
    active: set[str] = set()
    for other in state.waves.values():
        if other.status is not WaveStatus.RUNNING:
            continue
        for worker_id, step in other.steps:
            if state.pool_of.get(worker_id) != pool_id:
                continue
            work_s += _remaining_work_s(worker_id, step, other, times)
            if step in ACTIVE_STEPS:
                active.add(worker_id)
    slots = progress.wave.concurrency_limit_count
    limit = unavailable_limit_count(state, pool_id)
    if limit is not None:
        used_by_others = unavailable_workers(state, pool_id) - active
        slots = min(slots, limit - len(used_by_others))
    if slots < 1:
        return None
    return work_s / slots + _first_maintenance_s(progress, times)


def _first_maintenance_s(progress: WaveProgress, times: WorkTimes) -> float:
    """Return the delay until the wave's first worker has been maintained."""
    if progress.wave.action is WaveAction.DRAIN:
        return 0.0
    if progress.wave.concurrency_limit_count == 1:
        return 0.0
    if any(step is StepStatus.DONE for _, step in progress.steps):
        return 0.0
    return times.maintenance_s


def over_working_hours_s(
    work_s: float, second_of_day: float, hours: WorkingHours
) -> float:
    """Return the elapsed time of work that proceeds only in working hours."""
    start_s = hours.start_hour * HOUR_S
    length_s = (hours.end_hour - hours.start_hour) % 24 * HOUR_S or DAY_S
    elapsed_s = (second_of_day - start_s) % DAY_S
    if elapsed_s < length_s:
        first_s, wait_s = length_s - elapsed_s, 0.0
    else:
        first_s, wait_s = length_s, DAY_S - elapsed_s
    if work_s <= first_s:
        return wait_s + work_s
    remaining_s = work_s - first_s
    whole_days = math.ceil(remaining_s / length_s) - 1
    rest_s = remaining_s - whole_days * length_s
    return wait_s + first_s + (DAY_S - length_s) + whole_days * DAY_S + rest_s
