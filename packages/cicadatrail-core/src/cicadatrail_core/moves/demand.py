"""Recent load of each pool, measured in workers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from cicadatrail_core.models.fleet import Weights

TARGET_UTILISATION = 0.8
"""Fraction of a worker's capacity that plans use."""

BASE_QUEUE_CLEARING_MOVES = 3.0
"""Time in which equal weights clear a queue, in durations of a move."""

BASE_SURPLUS_TOLERANCE_MOVES = 10.0
"""Time for which equal weights keep a surplus, in durations of a move."""

WEIGHT_RATIO_MIN = 0.25
WEIGHT_RATIO_MAX = 4.0


@dataclass(frozen=True, slots=True)
class PoolObservation:
    """A pool's load since the previous observation.

    ``arriving_workers`` is the arrival rate of work, in worker-seconds per
    second; ``queued_work_s`` is the queued work, in worker-seconds.
    """

    pool_id: str
    arriving_workers: float
    queued_work_s: float


@dataclass(frozen=True, slots=True)
class PoolTrend:
    """The smoothed load of a pool, and when its deficit or surplus began.

    ``fast_workers`` is an exponential average over the duration of a move, since
    no move can meet a shorter peak. ``slow_workers`` is one over the time for
    which a surplus must last before workers are returned.
    """

    fast_workers: float
    slow_workers: float
    queued_work_s: float = 0.0
    deficit_since_s: float | None = None
    surplus_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class MoveTiming:
    """Duration of a move, and the times derived from it and the weights."""

    move_s: float
    queue_clearing_s: float
    surplus_tolerance_s: float


@dataclass(frozen=True, slots=True)
class DemandTrends:
    """The trends of all pools as observed at ``observed_s``."""

    observed_s: float = 0.0
    trends: Mapping[str, PoolTrend] = field(
        default_factory=lambda: MappingProxyType({})
    )


def move_timing(weights: Weights, move_s: float) -> MoveTiming:
    """Return how long the operators' weights tolerate a deficit and a surplus.

    A deficit costs share; ending it costs a move and, for the move's duration,
    budget that roll-outs need. A surplus costs buffer; ending it costs the same.
    """
    price = (weights.moves + weights.roll_out_time) / 2
    deficit_ratio = _bounded_ratio(price, weights.share)
    surplus_ratio = _bounded_ratio(price, weights.buffer_cost)
    return MoveTiming(
        move_s=move_s,
        queue_clearing_s=move_s * BASE_QUEUE_CLEARING_MOVES * deficit_ratio,
        surplus_tolerance_s=move_s * BASE_SURPLUS_TOLERANCE_MOVES * surplus_ratio,
    )


def _bounded_ratio(price: float, gain: float) -> float:
    if gain <= 0:
        return WEIGHT_RATIO_MAX
    return min(WEIGHT_RATIO_MAX, max(WEIGHT_RATIO_MIN, price / gain))


def observe(
    demand: DemandTrends,
    observations: Iterable[PoolObservation],
    serving_counts: Mapping[str, int],
    timing: MoveTiming,
    now_s: float,
) -> DemandTrends:
    """Return the trends updated by one more round of observations.

    ``serving_counts`` holds the number of workers that each pool will have
    after the active moves complete.
    """
    elapsed_s = max(0.0, now_s - demand.observed_s)
    trends = dict(demand.trends)
    for observation in observations:
        trend = _smoothed(
            trends.get(observation.pool_id), observation, timing, elapsed_s
        )
        count = serving_counts.get(observation.pool_id, 0)
        trends[observation.pool_id] = _with_times(trend, count, timing, now_s)
    return DemandTrends(now_s, MappingProxyType(trends))


def _smoothed(
    trend: PoolTrend | None,
    observation: PoolObservation,
    timing: MoveTiming,
    elapsed_s: float,
) -> PoolTrend:
    if trend is None:
        return PoolTrend(
            observation.arriving_workers,
            observation.arriving_workers,
            observation.queued_work_s,
        )
    kept_fast = math.exp(-elapsed_s / timing.move_s)
    kept_slow = math.exp(-elapsed_s / timing.surplus_tolerance_s)
    arriving = observation.arriving_workers
    return replace(
        trend,
        fast_workers=arriving + (trend.fast_workers - arriving) * kept_fast,
        slow_workers=arriving + (trend.slow_workers - arriving) * kept_slow,
        queued_work_s=observation.queued_work_s,
    )


def _with_times(
    trend: PoolTrend, serving_count: int, timing: MoveTiming, now_s: float
) -> PoolTrend:
    has_deficit = needed_count(trend, timing) > serving_count
    has_surplus = kept_count(trend, timing) < serving_count
    deficit_s = trend.deficit_since_s if trend.deficit_since_s is not None else now_s
    surplus_s = trend.surplus_since_s if trend.surplus_since_s is not None else now_s
    return replace(
        trend,
        deficit_since_s=deficit_s if has_deficit else None,
        surplus_since_s=surplus_s if has_surplus else None,
    )


def needed_count(trend: PoolTrend, timing: MoveTiming) -> int:
    """Return the workers needed to carry the load and clear the queue in time."""
    steady = trend.fast_workers / TARGET_UTILISATION
    clearing = trend.fast_workers + trend.queued_work_s / timing.queue_clearing_s
    return math.ceil(max(steady, clearing) - 1e-9)


def steady_count(trend: PoolTrend) -> int:
    """Return the workers needed to carry the long-term load."""
    return math.ceil(trend.slow_workers / TARGET_UTILISATION - 1e-9)


def kept_count(trend: PoolTrend, timing: MoveTiming) -> int:
    """Return the workers that a pool keeps for its recent and long-term load."""
    return max(needed_count(trend, timing), steady_count(trend))


def deficit_persists(trend: PoolTrend, timing: MoveTiming, now_s: float) -> bool:
    """Return whether the deficit has lasted at least the duration of a move."""
    since_s = trend.deficit_since_s
    return since_s is not None and now_s - since_s >= timing.move_s


def surplus_persists(trend: PoolTrend, timing: MoveTiming, now_s: float) -> bool:
    """Return whether the surplus has lasted long enough to return workers."""
    since_s = trend.surplus_since_s
    return since_s is not None and now_s - since_s >= timing.surplus_tolerance_s
