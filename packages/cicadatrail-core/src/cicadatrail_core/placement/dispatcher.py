"""Dispatcher of one entry instance: who runs next, and on which worker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.models.usage import UsageReport
from cicadatrail_core.placement.decisions import (
    Placed,
    Rejected,
    RejectReason,
    Submission,
    TaskEnd,
    Waiting,
)

__all__ = [
    "Dispatcher",
    "DispatcherSettings",
    "Placed",
    "RejectReason",
    "Rejected",
    "Submission",
    "TaskEnd",
    "Waiting",
]


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Bound what a dispatcher keeps."""

    queue_limit_count: int = 10_000
    retry_after_s: float = 1.0


class Dispatcher:
    """Place requests on the workers that one entry instance holds.

    Times are of the loop's clock, in seconds. No method raises for a request
    that it does not know: it changes nothing.
    """

    __slots__ = ("_free", "_running", "_settings", "_slots", "_state", "_waiting")

    def __init__(self, settings: DispatcherSettings) -> None:
        self._settings = settings
        self._state = State()
        self._free: dict[str, Resources] = {}
        self._slots: dict[str, int] = {}
        self._waiting: dict[str, TaskRequest] = {}
        self._running: dict[str, Placed] = {}

    def configure(
        self,
        state: State,
        workers: Collection[str],
        slots: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Set the workers to place on and the team slots to spend.

        Running tasks stay charged, also where a worker or slot is gone.
        """
        self._state = state
        self._slots = dict(slots)
        self._free = {
            worker_id: state.workers[worker_id].capacity
            for worker_id in workers
            if worker_id in state.workers
        }
        for placed in self._running.values():
            if placed.worker_id in self._free:
                self._free[placed.worker_id] -= placed.size

    def submit(self, request: TaskRequest, now_s: float) -> Submission:
        """Place the request at once, queue it, or reject it with the reason."""
        reason = self._reason_to_reject(request, now_s)
        if reason is not None:
            return self._reject(request, reason)
        if not self._has_rivals(request):
            placed = self._place(request)
            if placed is not None:
                return placed
        if len(self._waiting) >= self._settings.queue_limit_count:
            return self._reject(request, RejectReason.QUEUE_FULL)
        self._waiting[request.request_id] = request
        return Waiting(request.request_id)

    def try_place(self, request: TaskRequest, now_s: float) -> Placed | None:
        """Place a request that a peer forwarded, at once or not at all."""
        if self._reason_to_reject(request, now_s) is not None:
            return None
        if self._has_rivals(request):
            return None
        return self._place(request)

    def finish(self, request_id: str, ended: TaskEnd, now_s: float) -> None:
        """Free the place and the slot of a task that has ended."""
        placed = self._running.pop(request_id, None)
        if placed is not None and placed.worker_id in self._free:
            self._free[placed.worker_id] += placed.size

    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a waiting request; tell whether it was still waiting."""
        return self._waiting.pop(request_id, None) is not None

    def next_placements(self, now_s: float) -> tuple[Placed, ...]:
        """Place waiting requests, urgent ones first, until none fits."""
        chosen = []
        for request in sorted(self._waiting.values(), key=lambda r: r.urgency.rank):
            placed = None
            if request.deadline_s > now_s:
                placed = self._place(request)
            if placed is not None:
                del self._waiting[request.request_id]
                chosen.append(placed)
        return tuple(chosen)

    def expire(self, now_s: float) -> tuple[Rejected, ...]:
        """Remove and return the waiting requests whose deadline passed."""
        late = [r for r in self._waiting.values() if r.deadline_s <= now_s]
        for request in late:
            del self._waiting[request.request_id]
        return tuple(self._reject(r, RejectReason.DEADLINE) for r in late)

    def report_usage(self, report: UsageReport, now_s: float) -> None:
        """Take in a worker's lagged report on its tasks."""

    @property
    def waiting_counts(self) -> Mapping[str, int]:
        """Count the waiting requests of each team."""
        return Counter(request.team_id for request in self._waiting.values())

    @property
    def running_counts(self) -> Mapping[str, int]:
        """Count the running tasks of each team."""
        return Counter(placed.request.team_id for placed in self._running.values())

    def free_room(self, pool_id: str) -> Resources:
        """Return the sum of what is free on this pool's held workers."""
        total = NO_RESOURCES
        for worker_id, free in self._free.items():
            if self._state.pool_of.get(worker_id) == pool_id:
                total += free
        return total

    def _reason_to_reject(
        self, request: TaskRequest, now_s: float
    ) -> RejectReason | None:
        service = self._state.services.get(request.service_id)
        if service is None:
            return RejectReason.UNKNOWN_SERVICE
        if request.team_id not in self._state.teams:
            return RejectReason.UNKNOWN_TEAM
        if request.request_id in self._running or request.request_id in self._waiting:
            return RejectReason.DUPLICATE_ID
        if request.deadline_s <= now_s:
            return RejectReason.DEADLINE
        if not self._fits_some_worker(request, service.pool_id):
            return RejectReason.FITS_NO_WORKER
        return None

    def _fits_some_worker(self, request: TaskRequest, pool_id: str) -> bool:
        return any(
            request.size.fits_in(self._state.workers[worker_id].capacity)
            for worker_id, its_pool_id in self._state.pool_of.items()
            if its_pool_id == pool_id
        )

    def _reject(self, request: TaskRequest, reason: RejectReason) -> Rejected:
        again_s = None
        if reason in (RejectReason.QUEUE_FULL, RejectReason.DEADLINE):
            again_s = self._settings.retry_after_s
        return Rejected(request.request_id, reason, again_s)

    def _has_rivals(self, request: TaskRequest) -> bool:
        return any(
            waiting.service_id == request.service_id
            and waiting.urgency.rank <= request.urgency.rank
            for waiting in self._waiting.values()
        )

    def _place(self, request: TaskRequest) -> Placed | None:
        team_id = request.team_id
        if self.running_counts.get(team_id, 0) >= self._slots.get(team_id, 0):
            return None
        pool_id = self._state.services[request.service_id].pool_id
        fitting = [
            (free.cpu_millicores, worker_id)
            for worker_id, free in self._free.items()
            if self._state.pool_of.get(worker_id) == pool_id
            and request.size.fits_in(free)
        ]
        if not fitting:
            return None
        worker_id = min(fitting)[1]
        self._free[worker_id] -= request.size
        placed = Placed(request, worker_id, request.size)
        self._running[request.request_id] = placed
        return placed
