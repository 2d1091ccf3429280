"""Forecast of the turns of pools, from which pool followed which and for how long.

Load: demand that goes from pool to pool by turns. A pool gets its machines when its
turn is about to come, and an idle pool whose turn is some time away keeps few.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from statistics import fmean, median

from cicadatrail_core.jobs.turns import Arrival, Turn, TurnWatch

logger = logging.getLogger("cicadatrail.balance")

LEAD_S = 1.8
"""Time before its use at which a machine is ordered: a move and the notice of it."""

EARLY_S = 1.0
"""Time by which machines should be there before the expected start of a turn."""

GRACE_S = 2.5
"""Time after its expected start at which a turn counts as failed to come."""

LEAST_GAPS_COUNT = 2
"""Turns that must have followed another before one is forecast."""

SPREAD_LIMIT_FRACTION = 0.25
"""Largest difference from the median, as a fraction of it, of a gap near it.

A gap is the time from the start of a turn to that of the next one.
"""

NEAR_LEAST_FRACTION = 0.7
"""Gaps near the median, of all, from which turns are forecast."""

GAPS_KEPT_COUNT = 5

POOLS_STORED_COUNT = 32
"""Most pools in a record that is stored."""


@dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected of a pool: cores that it will soon need, and whether few.

    ``cores`` is None where nothing is known. ``is_rising`` says that its turn is on the
    way to its peak, ``is_falling`` that it is past it, and ``is_quiet`` that the next
    one is some time away.
    """

    cores: float | None = None
    is_rising: bool = False
    is_falling: bool = False
    is_quiet: bool = False


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """What a successor needs to go on; starts are ages in seconds."""

    active: str = ""
    active_age_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    followers: Mapping[str, str] = field(default_factory=dict)
    turns: Mapping[str, Turn] = field(default_factory=dict)


class TurnForecast:
    """Learn the turns of all pools, and forecast the next one of each."""

    def __init__(self) -> None:
        self._watches: dict[str, TurnWatch] = {}
        # The pool whose turn began last, that start, and its end once it is known.
        self._active = ""
        self._active_start_s = 0.0
        self._active_end_s: float | None = None
        self._followers: dict[str, str] = {}
        self._gaps_s: deque[float] = deque(maxlen=GAPS_KEPT_COUNT)
        # Up to when arrivals have been recorded.
        self.recorded_s = 0.0
        # Starts and ends of turns so far.
        self.change_count = 0
        self.missed_count = 0
        self.out_of_turn_count = 0
        self.turn_count = 0

    def record(self, pool: str, arrival: Arrival, cores: float, now_s: float) -> None:
        """Record what came to a pool, and the cores that its work could use."""
        watch = self._watches.setdefault(pool, TurnWatch(now_s))
        change = watch.record(arrival, cores, now_s)
        if change is not None:
            self.change_count += 1
            logger.info(
                "turns: turn began." if change else "turns: turn ended.",
                extra={
                    "pool": pool,
                    "rate_cores": round(watch.rate_cores, 1),
                    "gap_s": self._gap_s(),
                    "followers": dict(self._followers),
                },
            )
        if change is True and watch.start_s is not None:
            self._note_start(pool, watch.start_s)
        elif change is False and pool == self._active:
            self._active_end_s = now_s

    def outlook(self, pool: str, now_s: float) -> Outlook:
        """Return what is expected of a pool."""
        watch = self._watches.get(pool)
        if watch is None:
            return Outlook()
        arriving_cores = watch.expected_cores(LEAD_S)
        if watch.is_on:
            return Outlook(arriving_cores, watch.is_rising, watch.is_falling)
        gap_s = self._gap_s()
        if gap_s is not None and watch.newest is not None:
            start_s = self._next_start_s(pool, gap_s, now_s)
            if start_s is not None:
                start_s -= EARLY_S
                if now_s < start_s - LEAD_S:
                    return Outlook(arriving_cores, is_quiet=True)
                cores = _ramped_cores(watch.newest, start_s, now_s)
                return Outlook(max(cores, arriving_cores or 0.0))
        return Outlook(arriving_cores, is_quiet=self._is_done(watch))

    def _is_done(self, watch: TurnWatch) -> bool:
        """Return whether a pool has had its turn, and another one has yet to have its.

        Counts while pools have taken turns, and none came out of turn.
        """
        if watch.newest is None or not self._followers or self.out_of_turn_count:
            return False
        end_s = watch.newest.start_s + watch.newest.length_s
        return any(
            other is not watch
            and not other.is_on
            and (other.newest is None or other.newest.start_s < end_s - GRACE_S)
            for other in self._watches.values()
        )

    def keep(self, pools: Container[str]) -> None:
        """Forget all pools but those given: a removed one never ends its turn."""
        for pool in [name for name in self._watches if name not in pools]:
            del self._watches[pool]
        if self._active and self._active not in pools:
            self._active, self._active_end_s = "", None
        self._followers = {
            pool: follower
            for pool, follower in self._followers.items()
            if pool in pools and follower in pools
        }

    def export(self, now_s: float) -> TurnRecord:
        """Return what a successor needs to go on."""
        turns = {
            pool: Turn(now_s - t.start_s, t.length_s, t.cores, t.ramp_s)
            for pool, watch in [*self._watches.items()][:POOLS_STORED_COUNT]
            if (t := watch.newest) is not None
        }
        is_on = self._active in self._watches and self._watches[self._active].is_on
        return TurnRecord(
            self._active if is_on else "",
            now_s - self._active_start_s if is_on else 0.0,
            tuple(self._gaps_s),
            {a: b for a, b in self._followers.items() if a in turns and b in turns},
            turns,
        )

    def restore(self, record: TurnRecord, now_s: float) -> None:
        """Go on from what an earlier leader has learned."""
        self._gaps_s.extend(record.gaps_s)
        self._followers.update(record.followers)
        for pool, turn in record.turns.items():
            watch = self._watches.setdefault(pool, TurnWatch(now_s))
            start_s = now_s - turn.start_s
            watch.newest = Turn(start_s, turn.length_s, turn.cores, turn.ramp_s)
        gap_s = self._gap_s()
        if gap_s is None or record.active not in self._watches:
            return
        if record.active_age_s < gap_s + GRACE_S:
            self._active = record.active
            self._active_start_s = now_s - record.active_age_s
            self._watches[record.active].resume(self._active_start_s)

    def _note_start(self, pool: str, start_s: float) -> None:
        self.turn_count += 1
        if self._is_done(self._watches[pool]):
            self.out_of_turn_count += 1
        previous = self._active
        if previous and previous != pool and self._is_soon(start_s):
            self._followers[previous] = pool
            self._gaps_s.append(start_s - self._active_start_s)
        self._active, self._active_start_s, self._active_end_s = pool, start_s, None

    def _is_soon(self, start_s: float) -> bool:
        """Return whether a start comes with or soon after the active pool's fall."""
        newest = self._watches[self._active].newest
        if self._active_end_s is None:
            return True
        return newest is not None and start_s - self._active_end_s < newest.length_s

    def _gap_s(self) -> float | None:
        """Return the time from one turn to the next, or None while it isn't known."""
        if len(self._gaps_s) < LEAST_GAPS_COUNT:
            return None
        median_s = median(self._gaps_s)
        is_near = [
            abs(gap_s - median_s) <= SPREAD_LIMIT_FRACTION * median_s
            for gap_s in self._gaps_s
        ]
        return median_s if fmean(is_near) >= NEAR_LEAST_FRACTION else None

    def _next_start_s(self, pool: str, gap_s: float, now_s: float) -> float | None:
        """Return when the next turn of a pool is expected to start, or None."""
        if not self._active:
            return None
        start_s = self._active_start_s + gap_s
        if self._active_end_s is None:
            # The present turn may last longer than expected.
            start_s = max(start_s, now_s)
        elif now_s > start_s + GRACE_S:
            self._forget_follower()
            return None
        current = self._active
        for _ in self._watches:
            follower = self._followers.get(current)
            if follower is None:
                return None
            if follower == pool:
                return start_s
            current, start_s = follower, start_s + gap_s
        return None

    def _forget_follower(self) -> None:
        """Forget who follows the present pool: its turn has failed to come."""
        if self._followers.pop(self._active, None) is not None:
            self.missed_count += 1
        self._active, self._active_end_s = "", None


def _ramped_cores(turn: Turn, start_s: float, now_s: float) -> float:
    """Return the cores that a turn's work will take once an order is carried out."""
    ramp = (now_s + LEAD_S - start_s) / max(turn.ramp_s, 0.1)
    return turn.cores * min(1.0, max(0.0, ramp))
