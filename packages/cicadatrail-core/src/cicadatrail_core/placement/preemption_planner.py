"""Selection of claims and of preemption candidates from the dispatcher state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cicadatrail_core.admission.fair_queue import Entry
from cicadatrail_core.admission.preemption import (
    Claim,
    PreemptionCandidate,
    PreemptionEscalator,
    PreemptionOrder,
)
from cicadatrail_core.placement.fleet_view import FleetView
from cicadatrail_core.placement.placer import Placer
from cicadatrail_core.placement.running_tasks import RunningTask
from cicadatrail_core.placement.submission_checks import SubmissionChecks


class PreemptionPlanner:
    """Find the request that may preempt others in each pool, and escalate for it."""

    __slots__ = ("_checks", "_escalator", "_placer", "_view")

    def __init__(
        self,
        escalator: PreemptionEscalator,
        placer: Placer,
        view: FleetView,
        checks: SubmissionChecks,
    ) -> None:
        self._escalator = escalator
        self._placer = placer
        self._view = view
        self._checks = checks

    def forget(self, request_id: str) -> None:
        """Drop the state of a task that has ended."""
        self._escalator.forget(request_id)

    def next_orders(
        self, pool_ids: Iterable[str], now_s: float
    ) -> tuple[PreemptionOrder, ...]:
        """Return the steps that are due now in these pools."""
        orders: list[PreemptionOrder] = []
        open_claim_ids = set()
        for pool_id in pool_ids:
            entry = self._claimant(pool_id, now_s)
            if entry is None:
                continue
            claim = self._claim(entry, pool_id, now_s)
            open_claim_ids.add(claim.request_id)
            orders += self._escalator.next_orders(
                claim, self._candidates(pool_id), now_s
            )
        return (*self._escalator.release(open_claim_ids), *orders)

    def _claimant(self, pool_id: str, now_s: float) -> Entry | None:
        """Return the pool's first request if it has waited long enough to preempt."""
        entry = self._placer.queue.next_entry(pool_id, (), now_s)
        if entry is None:
            return None
        waited_s = now_s - entry.arrived_s
        if self._escalator.must_wait(entry.request.urgency, waited_s):
            return None
        return entry

    def _claim(self, entry: Entry, pool_id: str, now_s: float) -> Claim:
        request = entry.request
        size = self._checks.size(request, pool_id)
        ledger = self._placer.ledger
        worker_ids = {task.worker_id for task in self._placer.running.in_pool(pool_id)}
        return Claim(
            request_id=request.request_id,
            team_id=request.team_id,
            urgency=request.urgency,
            size=size,
            share=self._placer.shares.weighted_share(request.team_id),
            waited_s=now_s - entry.arrived_s,
            free={
                worker_id: ledger.free(worker_id)
                for worker_id in sorted(worker_ids)
                if ledger.may_place(worker_id)
            },
        )

    def _candidates(self, pool_id: str) -> Iterator[PreemptionCandidate]:
        for task in self._placer.running.in_pool(pool_id):
            yield self._candidate(task)

    def _candidate(self, task: RunningTask) -> PreemptionCandidate:
        request = task.request
        shares = self._placer.shares
        return PreemptionCandidate(
            request_id=request.request_id,
            worker_id=task.worker_id,
            team_id=request.team_id,
            urgency=request.urgency,
            repeatable=request.repeatable,
            policy=self._view.drain_policy(request.queue_id),
            charge=task.charge,
            share=shares.weighted_share(request.team_id),
            task_share=shares.weighted_share_of(request.team_id, task.used),
            started_s=task.started_s,
        )
