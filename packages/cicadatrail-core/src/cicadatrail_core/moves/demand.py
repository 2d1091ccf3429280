"""How much work each pool has had lately, in units of its workers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from cicadatrail_core.models.fleet import Weights

TARGET_UTILISATION = 0.8
"""Part of a worker's capacity that is planned with."""

BASE_QUEUE_CLEARING_MOVES = 3.0
"""Backlog that equal weights tolerate, in durations of a move."""

BASE_SURPLUS_TOLERANCE_MOVES = 10.0
"""Surplus that equal weights tolerate, in durations of a move."""

WEIGHT_RATIO_MIN = 0.25
WEIGHT_RATIO_MAX = 4.0


@dataclass(frozen=True, slots=True)
class PoolObservation:
    """Report a pool's load since the last observation.

    ``arriving_workers`` is the work that arrived, in worker-seconds a second;
    ``queued_work_s`` is the work that waits, in worker-seconds.
    """

    pool_id: str
    arriving_workers: float
    queued_work_s: float


@dataclass(frozen=True, slots=True)
class PoolTrend:
    """Hold the smoothed load of a pool, and since when it lacks or has too much.

    ``fast_workers`` forgets over the duration of a move, since no move can meet
    anything shorter. ``slow_workers`` forgets over the time for which a surplus
    must last before workers go back.
    """

    fast_workers: float
    slow_workers: float
    queued_work_s: float = 0.0
    deficit_since_s: float | None = None
    surplus_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class MoveTiming:
    """Hold how long a move takes and what follows from it by the weights."""

    move_s: float
    queue_clearing_s: float
    surplus_tolerance_s: float


@dataclass(frozen=True, slots=True)
class DemandTrends:
    """Hold the trends of all pools as observed at ``observed_s``."""

    observed_s: float = 0.0
    trends: Mapping[str, PoolTrend] = field(
        default_factory=lambda: MappingProxyType({})
    )


def move_timing(weights: Weights, move_s: float) -> MoveTiming:
    """Return how patient the operators' weights are with lack and surplus.

    A lack costs share; ending it costs a move, and for its duration budget
    that roll-outs want. A surplus costs buffer; ending it costs the same.
    """
    price = (weights.moves + weights.roll_out_time) / 2
    lack = _bounded_ratio(price, weights.share)
    surplus = _bounded_ratio(price, weights.buffer_cost)
    return MoveTiming(
        move_s=move_s,
        queue_clearing_s=move_s * BASE_QUEUE_CLEARING_MOVES * lack,
        surplus_tolerance_s=move_s * BASE_SURPLUS_TOLERANCE_MOVES * surplus,
    )


def _bounded_ratio(price: float, gain: float) -> float:
    if gain <= 0:
        return WEIGHT_RATIO_MAX
    return min(WEIGHT_RATIO_MAX, max(WEIGHT_RATIO_MIN, price / gain))


def observe(
    memory: DemandTrends,
    observations: Iterable[PoolObservation],
    serving_counts: Mapping[str, int],
    timing: MoveTiming,
    now_s: float,
) -> DemandTrends:
    """Return the memory with one more round of observations.

    ``serving_counts`` holds each pool's workers as they will be once the moves
    under way are done.
    """
    elapsed_s = max(0.0, now_s - memory.observed_s)
    trends = dict(memory.trends)
    for seen in observations:
        trend = _smoothed(trends.get(seen.pool_id), seen, timing, elapsed_s)
        count = serving_counts.get(seen.pool_id, 0)
        trends[seen.pool_id] = _with_times(trend, count, timing, now_s)
    return DemandTrends(now_s, MappingProxyType(trends))


def _smoothed(
    trend: PoolTrend | None,
    seen: PoolObservation,
    timing: MoveTiming,
    elapsed_s: float,
) -> PoolTrend:
    if trend is None:
        return PoolTrend(
            seen.arriving_workers, seen.arriving_workers, seen.queued_work_s
        )
    kept_fast = math.exp(-elapsed_s / timing.move_s)
    kept_slow = math.exp(-elapsed_s / timing.surplus_tolerance_s)
    arriving = seen.arriving_workers
    return replace(
        trend,
        fast_workers=arriving + (trend.fast_workers - arriving) * kept_fast,
        slow_workers=arriving + (trend.slow_workers - arriving) * kept_slow,
        queued_work_s=seen.queued_work_s,
    )


def _with_times(
    trend: PoolTrend, serving_count: int, timing: MoveTiming, now_s: float
) -> PoolTrend:
    lacks = needed_count(trend, timing) > serving_count
    has_too_much = kept_count(trend, timing) < serving_count
    deficit_s = trend.deficit_since_s if trend.deficit_since_s is not None else now_s
    surplus_s = trend.surplus_since_s if trend.surplus_since_s is not None else now_s
    return replace(
        trend,
        deficit_since_s=deficit_s if lacks else None,
        surplus_since_s=surplus_s if has_too_much else None,
    )


def needed_count(trend: PoolTrend, timing: MoveTiming) -> int:
    """Return the workers that carry the load and clear its queue in time."""
    steady = trend.fast_workers / TARGET_UTILISATION
    clearing = trend.fast_workers + trend.queued_work_s / timing.queue_clearing_s
    return math.ceil(max(steady, clearing) - 1e-9)


def steady_count(trend: PoolTrend) -> int:
    """Return the workers that carry the long-term load."""
    return math.ceil(trend.slow_workers / TARGET_UTILISATION - 1e-9)


def kept_count(trend: PoolTrend, timing: MoveTiming) -> int:
    """Return the workers that a pool keeps, by its recent and its usual load."""
    return max(needed_count(trend, timing), steady_count(trend))


def deficit_persists(trend: PoolTrend, timing: MoveTiming, now_s: float) -> bool:
    """Tell whether the lack has outlasted what a move would take."""
    since_s = trend.deficit_since_s
    return since_s is not None and now_s - since_s >= timing.move_s


def surplus_persists(trend: PoolTrend, timing: MoveTiming, now_s: float) -> bool:
    """Tell whether the surplus has lasted so long that workers may go back."""
    since_s = trend.surplus_since_s
    return since_s is not None and now_s - since_s >= timing.surplus_tolerance_s
