"""Start and end of tasks, with the bookkeeping that belongs to both."""

from __future__ import annotations

from cicadatrail_core.admission.fair_queue import URGENT_RANK, Entry, FairQueue
from cicadatrail_core.admission.team_shares import TeamShares
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.placement.decisions import Placed
from cicadatrail_core.placement.ejection import WorkerHealth
from cicadatrail_core.placement.never_run import NeverRunJobs, shape_of
from cicadatrail_core.placement.reservations import Reservation, Reservations
from cicadatrail_core.placement.running_tasks import RunningTask, RunningTasks
from cicadatrail_core.placement.slots import TeamSlots
from cicadatrail_core.placement.worker_ledger import ExclusionReason, WorkerLedger

RESERVE_AFTER_S = 1.0
"""Wait of a non-urgent request before a worker is reserved for it."""


class Placer:
    """Allocate and release worker capacity, team slots and team shares together."""

    __slots__ = (
        "changed_pools",
        "health",
        "ledger",
        "never_run",
        "queue",
        "reservations",
        "running",
        "shares",
        "slots",
    )

    def __init__(
        self,
        queue: FairQueue,
        running: RunningTasks,
        shares: TeamShares,
        health: WorkerHealth,
        never_run: NeverRunJobs,
    ) -> None:
        self.queue = queue
        self.running = running
        self.shares = shares
        self.health = health
        self.never_run = never_run
        self.ledger = WorkerLedger()
        self.reservations = Reservations()
        self.slots = TeamSlots()
        # A dict preserves insertion order, which keeps decisions deterministic.
        self.changed_pools: dict[str, None] = {}

    def mark_changed(self, *pool_ids: str) -> None:
        """Record that these pools changed and must be filled again."""
        self.changed_pools.update(dict.fromkeys(pool_ids))

    def place(
        self, request: TaskRequest, pool_id: str, size: Resources, now_s: float
    ) -> Placed | None:
        """Start a task on the best-fitting worker if its team has a free slot."""
        team_id = request.team_id
        if not self.slots.has_free(team_id, self.running):
            return None
        worker_id = self._find_worker(request, pool_id, size, now_s)
        if worker_id is None:
            return None
        place = self.ledger.start_task(worker_id, request.service_id, size)
        task = RunningTask(request, worker_id, pool_id, place, size, size, now_s)
        self.running.add(task)
        self.count_use(team_id, NO_RESOURCES, size)
        self.update_parking(team_id)
        self.queue.count_placement(pool_id, request.urgency.rank)
        return Placed(request, worker_id, size)

    def end(self, request_id: str, now_s: float) -> RunningTask | None:
        """Release an ended task's worker capacity, team slot and share."""
        task = self.running.end(request_id, now_s)
        if task is None:
            return None
        service_id = task.request.service_id
        self.ledger.end_task(task.worker_id, service_id, task.place, task.charge)
        self.count_use(task.request.team_id, task.used, NO_RESOURCES)
        return task

    def change_task(
        self, task: RunningTask, charge: Resources, used: Resources
    ) -> None:
        """Update a running task's charge to its worker and its team's usage."""
        if charge != task.charge:
            self.ledger.change_charge(task.worker_id, charge - task.charge)
            task.charge = charge
        if used != task.used:
            self.count_use(task.request.team_id, task.used, used)
            task.used = used

    def count_use(self, team_id: str, before: Resources, after: Resources) -> None:
        """Record a change of a team's usage and reorder its waiting requests."""
        self.shares.change(team_id, before, after)
        self.update_share(team_id)

    def update_share(self, team_id: str) -> None:
        """Reorder a team's waiting requests by its current share."""
        self.queue.set_share(team_id, self.shares.weighted_share(team_id))

    def update_parking(self, team_id: str) -> None:
        """Remove a team without a free slot from the queue order, or restore it.

        Reservations of a removed team are released.
        """
        if self.slots.has_free(team_id, self.running):
            self.mark_changed(*self.queue.unpark(team_id))
            return
        for pool_id in self.queue.park(team_id):
            reservation = self.reservations.of_pool(pool_id)
            if reservation is not None and reservation.team_id == team_id:
                self.release_reservation(pool_id)
                self.mark_changed(pool_id)

    def reserve(
        self, entry: Entry, pool_id: str, size: Resources, now_s: float
    ) -> bool:
        """Reserve a worker for the first entry in order, which fits on no worker.

        Returns True if a less urgent reservation was released instead, in which case
        the entry may fit now.
        """
        rank = entry.subqueue_key.rank
        existing = self.reservations.of_pool(pool_id)
        if existing is not None and existing.request_id == entry.request.request_id:
            return False
        if existing is not None and (existing.is_aged or existing.rank <= rank):
            return False
        if existing is not None:
            self.release_reservation(pool_id)
            return True
        waited_s = now_s - entry.arrived_s
        if rank != URGENT_RANK and waited_s < RESERVE_AFTER_S:
            return False
        worker_id = self.ledger.most_free_worker(pool_id, size)
        if worker_id is None:
            return False
        reservation = Reservation(
            request_id=entry.request.request_id,
            team_id=entry.subqueue_key.team_id,
            worker_id=worker_id,
            rank=rank,
            is_aged=self.queue.is_aged(entry, now_s),
        )
        self.reservations.add(pool_id, reservation)
        self.ledger.exclude(worker_id, ExclusionReason.RESERVATION)
        return False

    def release_reservation(self, pool_id: str) -> None:
        """Make the pool's reserved worker available to all requests again."""
        reservation = self.reservations.remove(pool_id)
        if reservation is None:
            return
        worker_id = reservation.worker_id
        if self.ledger.exclusion_reason(worker_id) is ExclusionReason.RESERVATION:
            self.ledger.include(worker_id)

    def _find_worker(
        self, request: TaskRequest, pool_id: str, size: Resources, now_s: float
    ) -> str | None:
        probed = self._find_probe_worker(request, pool_id, size, now_s)
        if probed is not None:
            return probed
        reserved_id = self._reserved_worker(request, pool_id)
        if reserved_id is not None and size.fits_in(self.ledger.free(reserved_id)):
            self.release_reservation(pool_id)
            return reserved_id
        avoided_ids = self.never_run.failed_on(shape_of(request))
        return self.ledger.best_fit(pool_id, size, request.service_id, avoided_ids)

    def _reserved_worker(self, request: TaskRequest, pool_id: str) -> str | None:
        reservation = self.reservations.of_pool(pool_id)
        if reservation is None or reservation.request_id != request.request_id:
            return None
        return reservation.worker_id

    def _find_probe_worker(
        self, request: TaskRequest, pool_id: str, size: Resources, now_s: float
    ) -> str | None:
        """Return an ejected worker to probe with this request, if a probe is due."""
        if request.urgency is Urgency.URGENT:
            return None
        worker_id = self.health.due_probe(pool_id, request.repeatable, now_s)
        if worker_id is None or not size.fits_in(self.ledger.free(worker_id)):
            return None
        self.health.start_probe(worker_id, request.request_id)
        return worker_id
