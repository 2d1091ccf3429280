"""Rejection of jobs that fail wherever they run.

A job shape that keeps failing is rejected at submission. As in a circuit breaker,
single trial runs are allowed with exponential backoff.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement.decisions import TaskEnd
from cicadatrail_core.placement.fleet_view import PoolFacts


@dataclass(frozen=True, slots=True)
class JobShape:
    """Key that identifies a job when it is sent again under another request id."""

    team_id: str
    queue_id: str
    declared: Resources


def shape_of(request: TaskRequest) -> JobShape:
    """Return the shape of a request."""
    return JobShape(request.team_id, request.queue_id, request.size)


@dataclass(frozen=True, slots=True)
class NeverRunSettings:
    """When a job is considered to fail everywhere.

    This is the case after ``failure_count`` failures in a row on ``worker_count``
    different workers, or on all workers of a smaller pool. One trial run per backoff
    interval checks whether this still holds. The interval starts at ``first_trial_s``
    and doubles up to ``longest_trial_s``.
    """

    failure_count: int = 6
    worker_count: int = 3
    first_trial_s: float = 30.0
    longest_trial_s: float = 600.0
    shape_limit_count: int = 1024


@dataclass(slots=True)
class _Failures:
    count: int = 0
    worker_ids: set[str] = field(default_factory=set)
    backoff_s: float = 0.0
    trial_at_s: float = 0.0
    is_on_trial: bool = True


class NeverRunJobs:
    """Track jobs that fail everywhere; memory is bounded by the number of shapes."""

    __slots__ = ("_failures", "_settings")

    def __init__(self, settings: NeverRunSettings) -> None:
        self._settings = settings
        self._failures: OrderedDict[JobShape, _Failures] = OrderedDict()

    def record(
        self,
        shape: JobShape,
        worker_id: str,
        pool: PoolFacts,
        ended: TaskEnd,
        now_s: float,
    ) -> None:
        """Record the result of a job on a worker that completes other jobs."""
        match ended:
            case TaskEnd.SUCCEEDED:
                self._failures.pop(shape, None)
            case TaskEnd.FAILED:
                self._record_failure(shape, worker_id, pool, now_s)
            case TaskEnd.CANCELLED:
                return

    def failed_on(self, shape: JobShape) -> Collection[str]:
        """Return workers on which the job failed since it last succeeded."""
        failures = self._failures.get(shape)
        return () if failures is None else failures.worker_ids

    def refused_for_s(self, shape: JobShape, now_s: float) -> float | None:
        """Return for how many seconds the job is rejected, or None if it may run.

        If a trial is due, the job may run and the next trial is scheduled.
        """
        failures = self._failures.get(shape)
        if failures is None or not failures.backoff_s:
            return None
        if now_s < failures.trial_at_s:
            return failures.trial_at_s - now_s
        failures.trial_at_s = now_s + failures.backoff_s
        failures.is_on_trial = True
        return None

    def refuse_too_large(self, shape: JobShape, now_s: float) -> float | None:
        """Reject a job whose learned size fits on no worker, except for trials.

        Returns the same as ``refused_for_s``.
        """
        failures = self._failures.get(shape)
        if failures is None:
            failures = self._failures[shape] = _Failures()
            self._drop_oldest()
        if not failures.backoff_s:
            failures.backoff_s = self._settings.first_trial_s
            failures.trial_at_s = now_s + failures.backoff_s
        return self.refused_for_s(shape, now_s)

    def _drop_oldest(self) -> None:
        if len(self._failures) > self._settings.shape_limit_count:
            self._failures.popitem(last=False)

    def _record_failure(
        self, shape: JobShape, worker_id: str, pool: PoolFacts, now_s: float
    ) -> None:
        failures = self._failures.setdefault(shape, _Failures())
        self._failures.move_to_end(shape)
        self._drop_oldest()
        failures.count += 1
        if len(failures.worker_ids) < self._settings.worker_count:
            failures.worker_ids.add(worker_id)
        if failures.count < self._settings.failure_count:
            return
        if len(failures.worker_ids) < self._required_worker_count(pool):
            return
        # Jobs that started before the rejection and fail later add no information.
        if not failures.is_on_trial:
            return
        failures.is_on_trial = False
        backoff_s = 2 * failures.backoff_s or self._settings.first_trial_s
        failures.backoff_s = min(backoff_s, self._settings.longest_trial_s)
        failures.trial_at_s = now_s + failures.backoff_s

    def _required_worker_count(self, pool: PoolFacts) -> int:
        return min(self._settings.worker_count, pool.worker_count)
