"""Choice of which waiting requests start, and on which workers, at one instance."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cicadatrail_core.admission.fair_queue import FairQueue
from cicadatrail_core.admission.preemption import PreemptionEscalator, PreemptionOrder
from cicadatrail_core.admission.team_shares import TeamShares
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
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
from cicadatrail_core.placement.ejection import HealthChange, WorkerHealth
from cicadatrail_core.placement.estimates import Estimator
from cicadatrail_core.placement.feedback import Feedback
from cicadatrail_core.placement.fleet_view import FleetView
from cicadatrail_core.placement.never_run import NeverRunJobs
from cicadatrail_core.placement.placer import Placer
from cicadatrail_core.placement.pool_filler import PoolFiller
from cicadatrail_core.placement.preemption_planner import PreemptionPlanner
from cicadatrail_core.placement.running_tasks import RunningTasks
from cicadatrail_core.placement.settings import DispatcherSettings
from cicadatrail_core.placement.submission_checks import SubmissionChecks
from cicadatrail_core.placement.worker_ledger import ExclusionReason

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


class Dispatcher:
    """Place requests on the workers whose rights one entry instance owns.

    Times are in seconds on the event loop's clock. Calls with an unknown request id
    have no effect. After any change, call ``next_placements``.
    """

    __slots__ = (
        "_checks",
        "_estimator",
        "_expired",
        "_feedback",
        "_filler",
        "_placer",
        "_preemption",
        "_queue",
        "_running",
        "_settings",
        "_shares",
        "_view",
    )

    def __init__(self, settings: DispatcherSettings) -> None:
        self._settings = settings
        self._view = FleetView()
        self._queue = FairQueue(settings.ageing)
        self._running = RunningTasks(settings.report_lag_s, settings.ended_limit_count)
        self._shares = TeamShares()
        self._estimator = Estimator(settings.estimates)
        never_run = NeverRunJobs(settings.never_run)
        self._checks = SubmissionChecks(self._view, self._estimator, never_run)
        health = WorkerHealth(settings.ejection)
        self._placer = Placer(
            self._queue, self._running, self._shares, health, never_run
        )
        self._filler = PoolFiller(self._placer, self._checks)
        self._feedback = Feedback(settings, self._placer, self._view, self._estimator)
        self._preemption = PreemptionPlanner(
            PreemptionEscalator(settings.preemption),
            self._placer,
            self._view,
            self._checks,
        )
        self._expired: list[Rejected] = []

    def configure(
        self,
        state: State,
        workers: Collection[str],
        slots: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Set the workers to place tasks on and the team slots that may be used.

        ``workers`` are the owned workers that are in service, including those that
        this dispatcher ejected. Running tasks remain charged even if their worker or
        slot has been removed.
        """
        old_services = self._view.state.services
        self._view.configure(state)
        self._shares.configure(state.teams, self._view.total)
        self._configure_workers(state, workers)
        for team_id in self._placer.slots.configure(slots):
            self._placer.update_parking(team_id)
        for team_id in self._queue.team_ids:
            self._placer.update_share(team_id)
        if state.services is not old_services:
            self._requeue()
        self._placer.mark_changed(*self._queue.pool_ids)

    def configure_peer_usage(self, usage: Mapping[str, Resources]) -> None:
        """Replace the usage per team of all other instances, from their digests."""
        self._shares.set_peer_usage(usage)
        for team_id in self._queue.team_ids:
            self._placer.update_share(team_id)

    def submit(
        self,
        request: TaskRequest,
        now_s: float,
        tried_workers: Collection[str] = (),
    ) -> Submission:
        """Place the request immediately, queue it, or reject it with a reason.

        Workers on which an earlier attempt failed are skipped for the immediate
        placement only: once the request is queued, retrying on one of them is better
        than not running at all.
        """
        if request.request_id in self._running or request.request_id in self._queue:
            return Rejected(request.request_id, RejectReason.DUPLICATE_ID, None)
        refusal = self._checks.refusal(request, self._settings.retry_after_s, now_s)
        if refusal is not None:
            return refusal
        with self._placer.ledger.excluding(tried_workers):
            placed = self._place_at_once(request, now_s)
        if placed is not None:
            return placed
        if self._is_full_for(request):
            retry_delay_s = self._retry_after_s(request)
            return Rejected(request.request_id, RejectReason.QUEUE_FULL, retry_delay_s)
        self._enqueue(request, now_s)
        return Waiting(request.request_id)

    def try_place(self, request: TaskRequest, now_s: float) -> Placed | None:
        """Place a request forwarded by a peer; return None instead of queueing it."""
        if request.request_id in self._running or request.request_id in self._queue:
            return None
        if self._checks.refusal(request, self._settings.retry_after_s, now_s):
            return None
        return self._place_at_once(request, now_s)

    def finish(self, request_id: str, ended: TaskEnd, now_s: float) -> None:
        """Release the worker capacity and the team slot of a task that has ended."""
        task = self._placer.end(request_id, now_s)
        if task is None:
            return
        self._preemption.forget(request_id)
        match self._feedback.record_end(task, ended, now_s):
            case HealthChange.EJECTED:
                self._eject(task.worker_id)
            case HealthChange.RESTORED:
                self._placer.ledger.include(task.worker_id)
            case HealthChange.NONE:
                pass
        self._placer.update_parking(task.request.team_id)
        self._placer.mark_changed(task.pool_id)

    def cancel(self, request_id: str, now_s: float) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        return self._filler.withdraw(request_id) is not None

    def next_placements(self, now_s: float) -> tuple[Placed, ...]:
        """Place waiting requests in queue order until none fits."""
        self._collect_expired(now_s)
        return self._filler.fill(now_s)

    def expire(self, now_s: float) -> tuple[Rejected, ...]:
        """Remove and return the waiting requests whose deadline has passed."""
        self._collect_expired(now_s)
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def report_usage(self, report: UsageReport, now_s: float) -> None:
        """Process a worker's delayed report on its tasks.

        Tasks that this instance did not start also count against the worker's free
        capacity.
        """
        if self._feedback.record_report(report):
            self._placer.mark_changed(self._placer.ledger.pool_of(report.worker_id))

    def next_preemptions(self, now_s: float) -> tuple[PreemptionOrder, ...]:
        """Return the preemption steps that are due now.

        Call this a few times per second. It scans the running tasks of each pool in
        which a request has waited long enough, so it costs more than a placement.
        """
        return self._preemption.next_orders(self._queue.pool_ids, now_s)

    @property
    def waiting_counts(self) -> Mapping[str, int]:
        """Return the number of waiting requests per team."""
        return self._queue.team_counts

    @property
    def running_counts(self) -> Mapping[str, int]:
        """Return the number of running tasks per team."""
        return self._running.team_counts

    @property
    def own_usage(self) -> Mapping[str, Resources]:
        """Return what each team uses through this instance, for the digests."""
        return self._shares.own_usage

    @property
    def ejected_workers(self) -> tuple[str, ...]:
        """Return the workers that are currently ejected."""
        return self._placer.health.ejected

    def free_room(self, pool_id: str) -> Resources:
        """Return the total free capacity of this pool's owned workers."""
        return self._placer.ledger.pool_free(pool_id)

    def estimate(self, request: TaskRequest) -> Resources:
        """Return the size that the request would be charged if it started now."""
        pool_id = self._view.pool_of_service(request.service_id)
        return self._checks.size(request, pool_id or "")

    def _configure_workers(self, state: State, workers: Collection[str]) -> None:
        ledger = self._placer.ledger
        for worker_id in ledger.configure(state, workers):
            reserved_pool_id = self._placer.reservations.pool_of_worker(worker_id)
            if reserved_pool_id is not None:
                self._placer.release_reservation(reserved_pool_id)
            if not ledger.is_owned(worker_id):
                self._feedback.forget_worker(worker_id)
            elif self._placer.health.is_ejected(worker_id):
                ledger.exclude(worker_id, ExclusionReason.EJECTION)

    def _place_at_once(self, request: TaskRequest, now_s: float) -> Placed | None:
        pool_id = self._view.pool_of_service(request.service_id)
        assert pool_id is not None
        if self._filler.has_rivals(pool_id, request.urgency.rank, now_s):
            return None
        size = self._checks.size(request, pool_id)
        return self._placer.place(request, pool_id, size, now_s)

    def _enqueue(self, request: TaskRequest, now_s: float) -> None:
        pool_id = self._view.pool_of_service(request.service_id)
        assert pool_id is not None
        self._placer.update_share(request.team_id)
        self._placer.update_parking(request.team_id)
        self._queue.add(request, pool_id, now_s)
        self._placer.mark_changed(pool_id)

    def _requeue(self) -> None:
        """Move waiting requests whose service was assigned to another pool."""
        for entry in self._queue.entries():
            pool_id = self._view.pool_of_service(entry.request.service_id)
            if pool_id is None or pool_id == entry.subqueue_key.pool_id:
                continue
            self._filler.withdraw(entry.request.request_id)
            self._queue.add(entry.request, pool_id, entry.arrived_s)

    def _eject(self, worker_id: str) -> None:
        ledger = self._placer.ledger
        if not ledger.is_owned(worker_id):
            return
        reserved_pool_id = self._placer.reservations.pool_of_worker(worker_id)
        if reserved_pool_id is not None:
            self._placer.release_reservation(reserved_pool_id)
        ledger.exclude(worker_id, ExclusionReason.EJECTION)

    def _collect_expired(self, now_s: float) -> None:
        for request_id in self._queue.expired(now_s):
            entry = self._filler.withdraw(request_id)
            assert entry is not None
            retry_delay_s = self._retry_after_s(entry.request)
            self._expired.append(
                Rejected(request_id, RejectReason.DEADLINE, retry_delay_s)
            )

    def _is_full_for(self, request: TaskRequest) -> bool:
        limit = float(self._settings.queue_limit_count)
        if request.urgency is not Urgency.URGENT:
            limit *= 1.0 - self._settings.urgent_queue_fraction
        shared = limit * self._settings.shared_queue_fraction
        if len(self._queue) < shared:
            return False
        own = (limit - shared) / max(1, len(self._view.teams))
        return self._queue.team_counts.get(request.team_id, 0) >= own

    def _retry_after_s(self, request: TaskRequest) -> float:
        """Return the estimated time in seconds until the queue has drained.

        The estimate uses the learned run time, within the configured limits.
        """
        least_s = self._settings.retry_after_s
        run_s = self._estimator.run_time_s(request)
        if run_s is None or not len(self._running):
            return least_s
        wait_s = run_s * len(self._queue) / len(self._running)
        return min(max(least_s, wait_s), self._settings.longest_retry_after_s)
