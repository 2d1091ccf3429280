"""Forecast of when runs end and of the capacity that is free then.

It answers the load of large subtasks that fit nowhere while small ones take each gap
that opens: whether a gap will grow is known only from the ends of the runs beside it.
Times are in seconds on the event loop's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from cicadatrail_core.jobs.durations import RunTime
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase, StepState
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import Resources

MIN_PROGRESS_PERCENT = 10
"""Progress between two reports from which a run's speed is known."""

PROGRESS_TOLERANCE = 0.25
"""Largest error of a remaining time from progress, as a fraction of it."""

REPORT_DELAY_S = 0.5
"""Longest time from the end of a run to its report."""


@dataclass(frozen=True, slots=True)
class End:
    """Forecast of the time of a run's end; infinite if it isn't foreseen."""

    early_s: float
    expected_s: float
    late_s: float


UNFORESEEN = End(math.inf, math.inf, math.inf)


@dataclass(frozen=True, slots=True)
class _Releases:
    """Free capacity of a worker from each time on, for one state of its runs."""

    used: Resources
    capacity: Resources
    free: tuple[tuple[float, Resources], ...]


class Forecast:
    """Forecast the ends of runs and the free capacity of workers in one pass."""

    def __init__(self, scheduler: Scheduler, now_s: float) -> None:
        self._scheduler = scheduler
        self._now_s = now_s
        self._run_times: dict[tuple[str, int], RunTime | None] = {}
        self._releases: dict[str, _Releases] = {}

    def run_time(self, step: StepState) -> RunTime | None:
        """Return the run time of a step's subtasks, or None if it isn't known."""
        key = step.job.definition.queue, step.spec.estimate_ms
        if key not in self._run_times:
            self._run_times[key] = self._scheduler.durations.run_time(*key)
        return self._run_times[key]

    def end(self, run: Run) -> End:
        """Return when a run ends.

        The end of a long-running or slowed run isn't foreseen, nor that of a run which
        has exceeded its late bound.
        """
        now_s = self._now_s
        if run.phase is RunPhase.STOPPING:
            sent_s = now_s if run.stop_sent_s is None else run.stop_sent_s
            over_s = max(now_s, sent_s + self._scheduler.settings.stop_limit_s)
            return End(now_s, over_s, over_s)
        if run.subtask.step.spec.lasting or run.paced_percent < 100:
            return UNFORESEEN
        by_progress = self._end_by_progress(run)
        if by_progress is not None:
            return by_progress
        time = self.run_time(run.subtask.step)
        began_s = run.sent_s if run.answered_s is None else run.answered_s
        if time is None or now_s > began_s + time.late_s:
            return UNFORESEEN
        late_s = began_s + time.late_s
        expected_s = began_s + time.expected_s
        if expected_s < now_s:
            expected_s = (now_s + late_s) / 2
        return End(max(now_s, began_s + time.early_s), expected_s, late_s)

    def _end_by_progress(self, run: Run) -> End | None:
        """Return when a run ends by its speed, or None if that isn't known."""
        if run.first_progress is None:
            return None
        first_s, first_percent = run.first_progress
        gained_percent = run.percent - first_percent
        if gained_percent < MIN_PROGRESS_PERCENT or run.progress_s <= first_s:
            return None
        left_s = (100 - run.percent) * (run.progress_s - first_s) / gained_percent
        late_s = run.progress_s + left_s * (1 + PROGRESS_TOLERANCE) + REPORT_DELAY_S
        if self._now_s > late_s:
            return None
        early_s = run.progress_s + left_s * (1 - PROGRESS_TOLERANCE)
        expected_s = max(self._now_s, run.progress_s + left_s)
        return End(max(self._now_s, early_s), expected_s, late_s)

    def free_from(self, worker: WorkerState) -> tuple[tuple[float, Resources], ...]:
        """Return the times from which a worker has more free, each with what is free.

        The first one is now. Capacity that runs take beyond the worker's capacity
        isn't free when they end.
        """
        worker_id = worker.facts.worker_id
        known = self._releases.get(worker_id)
        # Both are replaced by new values when they change.
        if (
            known is not None
            and known.used is worker.used
            and known.capacity is worker.facts.capacity
        ):
            return known.free
        ends = [
            (self.end(run).expected_s, run.subtask.step.spec.reserved)
            for run in worker.runs.values()
        ]
        ends.sort(key=lambda end: end[0])
        free = worker.free_capacity
        steps = [(self._now_s, free)]
        for end_s, reserved in ends:
            if end_s == math.inf:
                break
            free = free + reserved
            steps.append((end_s, free))
        releases = _Releases(worker.used, worker.facts.capacity, tuple(steps))
        self._releases[worker_id] = releases
        return releases.free

    def free_at(self, worker: WorkerState, time_s: float) -> Resources:
        """Return what a worker has free at a time, without the runs to come."""
        free = worker.free_capacity
        for from_s, amount in self.free_from(worker):
            if from_s > time_s:
                break
            free = amount
        return free

    def emptied_s(self, worker: WorkerState) -> float:
        """Return when the last of a worker's runs whose ends are foreseen ends."""
        return self.free_from(worker)[-1][0]

    def start_bounds(self, worker: WorkerState, need: Resources) -> tuple[float, float]:
        """Return the times at which a need fits by the early and by the late bounds."""
        ends = [
            (self.end(r), r.subtask.step.spec.reserved) for r in worker.runs.values()
        ]
        early = [(end.early_s, reserved) for end, reserved in ends]
        late = [(end.late_s, reserved) for end, reserved in ends]
        return (
            _first_fit_s(self._now_s, worker.free_capacity, need, early),
            _first_fit_s(self._now_s, worker.free_capacity, need, late),
        )


def _first_fit_s(
    now_s: float,
    free: Resources,
    need: Resources,
    ends: list[tuple[float, Resources]],
) -> float:
    if need.fits_in(free):
        return now_s
    for end_s, reserved in sorted(ends, key=lambda end: end[0]):
        free = free + reserved
        if need.fits_in(free):
            return end_s
    return math.inf
