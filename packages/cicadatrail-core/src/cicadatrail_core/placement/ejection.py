"""Ejection of workers on which tasks fail, and probes that restore them.

Source: outlier detection as in Envoy. A failure is weighted by whether the same
jobs fail on other workers too, so that a job that fails everywhere ejects none.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import floor

from sortedcontainers import SortedList

from cicadatrail_core.placement.decisions import TaskEnd
from cicadatrail_core.placement.fleet_view import PoolFacts
from cicadatrail_core.placement.never_run import JobShape

LAST_RESULTS_LIMIT_COUNT = 16
"""Workers for which the last result of a job shape is remembered."""


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When a worker is ejected and how it is restored.

    A worker is ejected when, of its last ``window_count`` task results, at least
    ``failure_fraction`` are failures and the weights of these failures add up to
    ``min_failure_weight`` or more. At most ``ejected_limit_fraction`` of a pool may
    be ejected at once, but always at least one worker of a pool that has others.
    The first probe is sent ``first_probe_s`` after the ejection; each failed probe
    doubles the delay, up to ``longest_probe_s``. A worker is restored after
    ``successful_probe_count`` successful probes in a row.
    """

    window_count: int = 20
    failure_fraction: float = 0.6
    min_failure_weight: float = 3.0
    ejected_limit_fraction: float = 0.34
    first_probe_s: float = 5.0
    longest_probe_s: float = 300.0
    successful_probe_count: int = 3
    shape_limit_count: int = 1024


class HealthChange(Enum):
    """What the end of a task changed about the health of its worker."""

    NONE = "none"
    EJECTED = "ejected"
    RESTORED = "restored"


@dataclass(slots=True)
class _Ejected:
    pool_id: str
    probe_at_s: float
    backoff_s: float
    successful_probes: int = 0
    probe_id: str | None = None


class WorkerHealth:
    """Track the health of workers by the results of their tasks."""

    __slots__ = (
        "_ejected",
        "_ends",
        "_pool_ejected",
        "_pool_probes",
        "_settings",
        "_shapes",
    )

    def __init__(self, settings: EjectionSettings) -> None:
        self._settings = settings
        self._ends: dict[str, deque[float | None]] = {}
        self._ejected: dict[str, _Ejected] = {}
        self._pool_ejected: dict[str, set[str]] = {}
        self._pool_probes: dict[str, SortedList] = {}
        self._shapes: OrderedDict[JobShape, OrderedDict[str, bool]] = OrderedDict()

    @property
    def ejected(self) -> tuple[str, ...]:
        """Return the ejected workers."""
        return tuple(self._ejected)

    def is_ejected(self, worker_id: str) -> bool:
        """Return whether a worker is ejected."""
        return worker_id in self._ejected

    def fails_everything(self, worker_id: str) -> bool:
        """Return whether a worker has failed several tasks and completed none."""
        ends = self._ends.get(worker_id, ())
        return len(ends) >= self._settings.min_failure_weight and None not in ends

    def record(
        self,
        worker_id: str,
        pool: PoolFacts,
        shape: JobShape,
        ended: TaskEnd,
        now_s: float,
    ) -> HealthChange:
        """Record the result of a task that was no probe; ignore cancelled tasks."""
        if ended is TaskEnd.CANCELLED:
            return HealthChange.NONE
        failed = ended is TaskEnd.FAILED
        weight = (
            1.0 - self._failure_rate_elsewhere(shape, worker_id) if failed else None
        )
        self._record_result(shape, worker_id, failed)
        ends = self._ends.setdefault(
            worker_id, deque(maxlen=self._settings.window_count)
        )
        ends.append(weight)
        if worker_id in self._ejected or not self._is_outlier(ends):
            return HealthChange.NONE
        if not self._may_eject(pool):
            return HealthChange.NONE
        self._eject(worker_id, pool.pool_id, now_s)
        return HealthChange.EJECTED

    def due_probe(self, pool_id: str, repeatable: bool, now_s: float) -> str | None:
        """Return an ejected worker of the pool that is due for a probe, or None.

        A task that may not be repeated is used as a probe only once the probe has been
        due for ``longest_probe_s`` without any other task to send.
        """
        probes = self._pool_probes.get(pool_id)
        if not probes:
            return None
        probe_at_s, worker_id = probes[0]
        if not repeatable:
            probe_at_s += self._settings.longest_probe_s
        return worker_id if probe_at_s <= now_s else None

    def pools_to_probe(self, now_s: float) -> tuple[str, ...]:
        """Return the pools that have a worker due for a probe."""
        return tuple(
            pool_id
            for pool_id in self._pool_ejected
            if self.due_probe(pool_id, True, now_s) is not None
        )

    def start_probe(self, worker_id: str, request_id: str) -> None:
        """Record that this task probes the worker; only one probe runs at a time."""
        ejected = self._ejected[worker_id]
        self._cancel_probe(worker_id, ejected)
        ejected.probe_id = request_id

    def end_probe(
        self, worker_id: str, request_id: str, ended: TaskEnd, now_s: float
    ) -> HealthChange | None:
        """Record the result of a probe; return None if the task was no probe."""
        ejected = self._ejected.get(worker_id)
        if ejected is None or ejected.probe_id != request_id:
            return None
        ejected.probe_id = None
        match ended:
            case TaskEnd.SUCCEEDED:
                ejected.successful_probes += 1
                ejected.probe_at_s = now_s
            case TaskEnd.FAILED:
                ejected.successful_probes = 0
                limit_s = self._settings.longest_probe_s
                ejected.backoff_s = min(2 * ejected.backoff_s, limit_s)
                ejected.probe_at_s = now_s + ejected.backoff_s
            case TaskEnd.CANCELLED:
                ejected.probe_at_s = now_s
        if ejected.successful_probes < self._settings.successful_probe_count:
            self._schedule_probe(worker_id, ejected)
            return HealthChange.NONE
        self.forget(worker_id)
        return HealthChange.RESTORED

    def forget(self, worker_id: str) -> None:
        """Drop the state of a worker that was removed or restored."""
        self._ends.pop(worker_id, None)
        ejected = self._ejected.pop(worker_id, None)
        if ejected is None:
            return
        if ejected.probe_id is None:
            self._cancel_probe(worker_id, ejected)
        in_pool = self._pool_ejected[ejected.pool_id]
        in_pool.remove(worker_id)
        if not in_pool:
            del self._pool_ejected[ejected.pool_id]
            self._pool_probes.pop(ejected.pool_id, None)

    def _schedule_probe(self, worker_id: str, ejected: _Ejected) -> None:
        probes = self._pool_probes.setdefault(ejected.pool_id, SortedList())
        probes.add((ejected.probe_at_s, worker_id))

    def _cancel_probe(self, worker_id: str, ejected: _Ejected) -> None:
        probes = self._pool_probes[ejected.pool_id]
        probes.discard((ejected.probe_at_s, worker_id))

    def _is_outlier(self, ends: deque[float | None]) -> bool:
        weights = [weight for weight in ends if weight is not None]
        if sum(weights) < self._settings.min_failure_weight:
            return False
        return len(weights) >= self._settings.failure_fraction * len(ends)

    def _may_eject(self, pool: PoolFacts) -> bool:
        if pool.worker_count < 2:
            return False
        limit = floor(self._settings.ejected_limit_fraction * pool.worker_count)
        ejected = pool.ejected_ids | self._pool_ejected.get(pool.pool_id, set())
        return len(ejected) < max(1, limit)

    def _eject(self, worker_id: str, pool_id: str, now_s: float) -> None:
        first_s = self._settings.first_probe_s
        ejected = _Ejected(pool_id, now_s + first_s, first_s)
        self._ejected[worker_id] = ejected
        self._pool_ejected.setdefault(pool_id, set()).add(worker_id)
        self._schedule_probe(worker_id, ejected)

    def _failure_rate_elsewhere(self, shape: JobShape, worker_id: str) -> float:
        last_ends: Mapping[str, bool] = self._shapes.get(shape, {})
        others = [failed for other, failed in last_ends.items() if other != worker_id]
        return sum(others) / len(others) if others else 0.0

    def _record_result(self, shape: JobShape, worker_id: str, failed: bool) -> None:
        last_ends = self._shapes.setdefault(shape, OrderedDict())
        self._shapes.move_to_end(shape)
        if len(self._shapes) > self._settings.shape_limit_count:
            self._shapes.popitem(last=False)
        last_ends[worker_id] = failed
        last_ends.move_to_end(worker_id)
        if len(last_ends) > LAST_RESULTS_LIMIT_COUNT:
            last_ends.popitem(last=False)
