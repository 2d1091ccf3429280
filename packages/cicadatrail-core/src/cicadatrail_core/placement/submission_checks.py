"""Checks that reject a request before it is queued."""

from __future__ import annotations

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement.decisions import Rejected, RejectReason
from cicadatrail_core.placement.estimates import Estimator
from cicadatrail_core.placement.fleet_view import FleetView
from cicadatrail_core.placement.never_run import NeverRunJobs, shape_of


class SubmissionChecks:
    """Check requests against the fleet and against learned sizes and failures."""

    __slots__ = ("_estimator", "_never_run", "_view")

    def __init__(
        self, view: FleetView, estimator: Estimator, never_run: NeverRunJobs
    ) -> None:
        self._view = view
        self._estimator = estimator
        self._never_run = never_run

    def refusal(
        self, request: TaskRequest, retry_after_s: float, now_s: float
    ) -> Rejected | None:
        """Return why a request is rejected, or None if it may wait or start."""
        pool_id = self._view.pool_of_service(request.service_id)
        if pool_id is None:
            return _refuse(request, RejectReason.UNKNOWN_SERVICE)
        if request.team_id not in self._view.teams:
            return _refuse(request, RejectReason.UNKNOWN_TEAM)
        if request.deadline_s <= now_s:
            return _refuse(request, RejectReason.DEADLINE, retry_after_s)
        smallest = self._estimator.smallest_size(request)
        if self._view.fits_some_worker(smallest, pool_id):
            retry_delay_s = self._never_run.refused_for_s(shape_of(request), now_s)
        elif self._view.fits_some_worker(request.size, pool_id):
            retry_delay_s = self._never_run.refuse_too_large(shape_of(request), now_s)
        else:
            return _refuse(request, RejectReason.FITS_NO_WORKER)
        if retry_delay_s is None:
            return None
        return _refuse(request, RejectReason.NEVER_RUNS, retry_delay_s)

    def size(self, request: TaskRequest, pool_id: str) -> Resources:
        """Return the estimate to charge, limited to a whole worker of the pool."""
        estimate = self._estimator.size(request)
        smallest = self._estimator.smallest_size(request)
        # During a trial run, even the smallest learned size may exceed every worker.
        lower = smallest.at_most(request.size)
        return self._view.clamp(estimate, lower, pool_id)


def _refuse(
    request: TaskRequest, reason: RejectReason, retry_delay_s: float | None = None
) -> Rejected:
    return Rejected(request.request_id, reason, retry_delay_s)
