"""Recognition of turns in the demand of a pool.

Load: queues that ask several times their mean for some seconds, one after the other,
and little in between. Arrivals of work tell a rise before its work runs or waits.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from cicadatrail_core.jobs.scheduler import Scheduler

WINDOW_S = 0.8
"""Time over which arrivals are counted; a few of them tell a rise."""

LEAST_COUNT = 3
"""Jobs within the window from which a turn is recognised: one job is no rise."""

FEW_JOBS_COUNT = 3.0
"""Jobs within the window that may be chance."""

RISING_FACTOR = 1.25
"""Arrivals in one window, as a multiple of those in the one before, in a rise."""

RISE_FACTOR = 2.0
"""Arrivals in a turn, at least, as a multiple of the mean before it."""

FALL_FRACTION = 0.3
"""Arrivals at which a turn has ended, as a fraction of its mean."""

PAST_PEAK_FRACTION = 0.6
"""Arrivals at which a turn is past its peak, as a fraction of the peak."""

LEAST_LENGTH_S = 1.0
"""Shortest turn that is learned from; a burst is shorter."""

LEAST_TURN_COUNT = 8
"""Fewest jobs in a turn that is learned from, and in a window that tells a rise."""

END_LAG_S = 1.4 * WINDOW_S
"""Time from the end of a turn until its fall is recognised."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Work that came to a pool: jobs, their core-seconds, and those times run times."""

    job_count: int = 0
    core_s: float = 0.0
    weighted_run_s: float = 0.0

    def __add__(self, other: Arrival) -> Arrival:
        return Arrival(
            self.job_count + other.job_count,
            self.core_s + other.core_s,
            self.weighted_run_s + other.weighted_run_s,
        )


@dataclass(frozen=True, slots=True)
class Turn:
    """A turn that has ended.

    ``cores`` is what its work took at its peak, ``ramp_s`` the time from its start to
    that peak.
    """

    start_s: float
    length_s: float
    cores: float
    ramp_s: float


def arrivals_since(scheduler: Scheduler, since_s: float) -> dict[str, Arrival]:
    """Return the work by pool of the jobs accepted after ``since_s``.

    Jobs that an earlier leader accepted don't count, nor long-running and best-effort
    work.
    """
    arrivals: dict[str, Arrival] = {}
    # Jobs are kept in the order in which they were accepted.
    for job in reversed(scheduler.jobs.values()):
        if job.accepted_s <= since_s:
            break
        queue = scheduler.queues.get(job.definition.queue)
        if job.inherited or queue is None:
            continue
        core_s = run_s = 0.0
        for step in job.definition.steps:
            if step.lasting or step.filler:
                continue
            step_s = scheduler.durations.expected_ms(queue.name, step.estimate_ms) / 1e3
            core_s += step.count * step.need.cpu_millicores / 1e3 * step_s
            run_s += step_s
        if core_s:
            arrival = Arrival(1, core_s, core_s * run_s)
            arrivals[queue.pool] = arrivals.get(queue.pool, Arrival()) + arrival
    return arrivals


class TurnWatch:
    """Tell from the arrivals of one pool when its turns start and end."""

    def __init__(self, now_s: float) -> None:
        self.known_since_s = now_s
        self.start_s: float | None = None
        self.newest: Turn | None = None
        # Since when and until when arrivals have been recorded without a gap.
        self._recorded_since_s = now_s
        self._recorded_s = now_s
        self._recent: deque[tuple[float, Arrival]] = deque()
        self._total_core_s = 0.0
        self._earlier: deque[tuple[float, Arrival]] = deque()
        self._turn = Arrival()
        self._peak_cores = 0.0
        self._peak_rate_cores = 0.0
        self._peak_s = now_s

    @property
    def is_on(self) -> bool:
        """Return whether the pool is in its turn."""
        return self.start_s is not None

    @property
    def rate_cores(self) -> float:
        """Return the cores that arriving work takes if it goes on."""
        return _sum(self._recent).core_s / WINDOW_S

    @property
    def _wide_rate_cores(self) -> float:
        """Return the same over two windows: a fall is told later, but surely."""
        arrived = _sum(self._recent) + _sum(self._earlier)
        return arrived.core_s / (2 * WINDOW_S)

    @property
    def is_rising(self) -> bool:
        """Return whether the turn is on its way to its peak."""
        if self._recorded_s - self._recorded_since_s < 2 * WINDOW_S:
            return False
        recent, earlier = _sum(self._recent), _sum(self._earlier)
        if not self.is_on or recent.job_count < LEAST_TURN_COUNT:
            return False
        return recent.core_s > RISING_FACTOR * earlier.core_s

    @property
    def is_falling(self) -> bool:
        """Return whether the turn is past its peak: little more than half is left."""
        least = PAST_PEAK_FRACTION * self._peak_rate_cores
        if self._recorded_s - self._recorded_since_s < 2 * WINDOW_S:
            return False
        return self.is_on and self._wide_rate_cores < least

    def expected_cores(self, ahead_s: float) -> float | None:
        """Return the cores that arriving work takes in ``ahead_s``; None if too few.

        Work that runs for some time takes at the end what arrived in that time, half
        of it earlier. A rise is continued; what may be chance in few jobs is left out.
        """
        recent, earlier = _sum(self._recent), _sum(self._earlier)
        if recent.job_count < LEAST_COUNT:
            return None
        run_s = recent.weighted_run_s / recent.core_s
        rise = max(0.0, recent.core_s - earlier.core_s) / WINDOW_S / WINDOW_S
        if self._recorded_s - self._recorded_since_s < 2 * WINDOW_S:
            rise = 0.0
        sure_fraction = 1.0 - 1.0 / math.sqrt(recent.job_count)
        rate = self.rate_cores
        least_ahead_s = max(0.0, ahead_s + WINDOW_S / 2 - run_s / 2)
        coming = sure_fraction * min(rate, rise * least_ahead_s)
        return rate * (1.0 - FEW_JOBS_COUNT / recent.job_count) + coming

    def resume(self, start_s: float) -> None:
        """Continue a turn that an earlier leader recognised."""
        self.start_s = start_s

    def record(self, arrival: Arrival, cores: float, now_s: float) -> bool | None:
        """Record what came since the last call, and the cores that work could use.

        Return True if a turn has started, False if one has ended, and else None.
        """
        mean = self._total_core_s / max(WINDOW_S, now_s - self.known_since_s)
        self._total_core_s += arrival.core_s
        if now_s - self._recorded_s > WINDOW_S:
            # When the work came is not known: at once, it would seem to be a rise.
            self._recent.clear()
            self._earlier.clear()
            self._recorded_since_s, arrival = now_s, Arrival()
        self._recorded_s = now_s
        self._recent.append((now_s, arrival))
        while self._recent[0][0] <= now_s - WINDOW_S:
            self._earlier.append(self._recent.popleft())
        while self._earlier and self._earlier[0][0] <= now_s - 2 * WINDOW_S:
            self._earlier.popleft()
        known_s = now_s - self._recorded_since_s
        if known_s < WINDOW_S:
            return None
        recent = _sum(self._recent)
        if self.start_s is None:
            if recent.job_count < LEAST_COUNT or self.rate_cores < RISE_FACTOR * mean:
                return None
            least = self.newest.cores / RISE_FACTOR if self.newest is not None else 0.0
            if self.rate_cores < least:
                return None
            self.start_s = next(at_s for at_s, a in self._recent if a.job_count)
            self._turn, self._peak_cores = recent, cores
            self._peak_rate_cores = 0.0
            return True
        self._turn += arrival
        self._peak_cores = max(self._peak_cores, cores)
        if known_s < 2 * WINDOW_S:
            return None
        if self._wide_rate_cores > self._peak_rate_cores:
            self._peak_rate_cores, self._peak_s = self._wide_rate_cores, now_s
        length_s = max(WINDOW_S, now_s - self.start_s)
        if self._wide_rate_cores > FALL_FRACTION * self._turn.core_s / length_s:
            return None
        self._end(self.start_s, now_s - END_LAG_S)
        return False

    def _end(self, start_s: float, end_s: float) -> None:
        self.start_s = None
        turn, length_s = self._turn, end_s - start_s
        if length_s < LEAST_LENGTH_S or turn.job_count < LEAST_TURN_COUNT:
            return
        # Limits of teams may let less run than arrives.
        cores = min(self._peak_rate_cores, self._peak_cores)
        if self.newest is not None:
            cores = (cores + self.newest.cores) / 2
        ramp_s = max(WINDOW_S, self._peak_s - WINDOW_S - start_s)
        self.newest = Turn(start_s, length_s, cores, ramp_s)


def _sum(recent: Iterable[tuple[float, Arrival]]) -> Arrival:
    return sum((arrival for _, arrival in recent), start=Arrival())
