"""Capacity charged to each worker, and the index of free capacity of each pool."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import Place, Worker
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.capacity_index import CapacityIndex, IndexedWorker
from cicadatrail_core.placement.spread import SpreadCounts


class ExclusionReason(Enum):
    """Reason for which an owned worker is kept out of the index."""

    EJECTION = "ejection"
    RESERVATION = "reservation"
    TRIED = "tried"


@dataclass(slots=True)
class _Account:
    """Usage of one worker.

    It is kept after the right to place on the worker was lost, until all tasks
    charged to it have ended. ``owned_worker`` is None in that case.
    """

    charged: Resources = NO_RESOURCES
    external_load: Resources = NO_RESOURCES
    task_count: int = 0
    owned_worker: Worker | None = None
    pool_id: str = ""
    exclusion_reason: ExclusionReason | None = None


class WorkerLedger:
    """Charge tasks to workers and find free capacity; each change costs O(log n)."""

    __slots__ = ("_accounts", "_indexes", "_pool_free", "_spread")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._indexes: dict[str, CapacityIndex] = {}
        self._pool_free: dict[str, Resources] = {}
        self._spread = SpreadCounts()

    def configure(self, state: State, owned_ids: Collection[str]) -> frozenset[str]:
        """Set the workers to place on; return the ids of those that changed."""
        wanted = {
            worker_id: (state.workers[worker_id], state.pool_of[worker_id])
            for worker_id in owned_ids
            if worker_id in state.workers and worker_id in state.pool_of
        }
        removed_ids = [
            worker_id
            for worker_id, account in self._accounts.items()
            if account.owned_worker is not None and worker_id not in wanted
        ]
        changed = set(removed_ids)
        for worker_id in removed_ids:
            self._remove_worker(worker_id)
        for worker_id, (worker, pool_id) in wanted.items():
            account = self._accounts.setdefault(worker_id, _Account())
            if account.owned_worker == worker and account.pool_id == pool_id:
                continue
            changed.add(worker_id)
            self._remove_worker(worker_id)
            self._add_worker(worker, pool_id)
        return frozenset(changed)

    def is_owned(self, worker_id: str) -> bool:
        """Return whether the right to place on the worker is owned, full or not."""
        account = self._accounts.get(worker_id)
        return account is not None and account.owned_worker is not None

    def may_place(self, worker_id: str) -> bool:
        """Return whether the worker is owned and not ejected."""
        account = self._accounts.get(worker_id)
        if account is None or account.owned_worker is None:
            return False
        return account.exclusion_reason is not ExclusionReason.EJECTION

    def pool_of(self, worker_id: str) -> str:
        """Return the pool of a worker that is owned or still charged for tasks."""
        return self._accounts[worker_id].pool_id

    def free(self, worker_id: str) -> Resources:
        """Return the free capacity of an owned worker; negative if overloaded."""
        account = self._accounts[worker_id]
        assert account.owned_worker is not None
        return account.owned_worker.capacity - account.charged - account.external_load

    def pool_free(self, pool_id: str) -> Resources:
        """Return the total free capacity of the pool's owned workers."""
        return self._pool_free.get(pool_id, NO_RESOURCES)

    def start_task(self, worker_id: str, service_id: str, size: Resources) -> Place:
        """Charge a starting task; return the place for which it is counted."""
        account = self._accounts[worker_id]
        assert account.owned_worker is not None
        account.task_count += 1
        self._spread.add(service_id, account.owned_worker.place)
        self.change_charge(worker_id, size)
        return account.owned_worker.place

    def end_task(
        self, worker_id: str, service_id: str, place: Place, size: Resources
    ) -> None:
        """Release what an ended task was charged."""
        account = self._accounts[worker_id]
        account.task_count -= 1
        self._spread.add(service_id, place, -1)
        self.change_charge(worker_id, NO_RESOURCES - size)
        if account.owned_worker is None and not account.task_count:
            del self._accounts[worker_id]

    def change_charge(self, worker_id: str, difference: Resources) -> None:
        """Adjust what running tasks are charged, based on reported usage."""
        account = self._accounts[worker_id]
        account.charged += difference
        self._update_free(worker_id, account, NO_RESOURCES - difference)

    def set_outside(self, worker_id: str, load: Resources) -> bool:
        """Set the usage of tasks that this instance did not start.

        Returns whether the usage of an owned worker changed.
        """
        account = self._accounts.get(worker_id)
        if (
            account is None
            or account.owned_worker is None
            or account.external_load == load
        ):
            return False
        difference = account.external_load - load
        account.external_load = load
        self._update_free(worker_id, account, difference)
        return True

    def exclude(self, worker_id: str, reason: ExclusionReason) -> None:
        """Keep an owned worker out of the index."""
        account = self._accounts[worker_id]
        account.exclusion_reason = reason
        self._indexes[account.pool_id].drop(worker_id)

    def include(self, worker_id: str) -> None:
        """Return an excluded worker to the index."""
        account = self._accounts.get(worker_id)
        if account is None or account.owned_worker is None:
            return
        account.exclusion_reason = None
        self._update_free(worker_id, account, NO_RESOURCES)

    @contextmanager
    def excluding(self, worker_ids: Collection[str]) -> Iterator[None]:
        """Exclude owned workers from the index for the duration of the context."""
        excluded = [
            worker_id
            for worker_id in worker_ids
            if self.is_owned(worker_id) and self.exclusion_reason(worker_id) is None
        ]
        for worker_id in excluded:
            self.exclude(worker_id, ExclusionReason.TRIED)
        try:
            yield
        finally:
            for worker_id in excluded:
                self.include(worker_id)

    def exclusion_reason(self, worker_id: str) -> ExclusionReason | None:
        """Return why a worker is kept out of the index, or None if it is not."""
        account = self._accounts.get(worker_id)
        return None if account is None else account.exclusion_reason

    def best_fit(
        self,
        pool_id: str,
        size: Resources,
        service_id: str,
        avoided_ids: Collection[str],
    ) -> str | None:
        """Return the best-fitting worker of the pool for the task, if any."""
        index = self._indexes.get(pool_id)
        if index is None:
            return None
        return index.best_fit(size, service_id, self._spread, avoided_ids)

    def most_free_worker(self, pool_id: str, size: Resources) -> str | None:
        """Return the worker of the pool that is closest to fitting the task, if any."""
        index = self._indexes.get(pool_id)
        return None if index is None else index.most_free_worker(size)

    def _add_worker(self, worker: Worker, pool_id: str) -> None:
        account = self._accounts[worker.worker_id]
        account.owned_worker = worker
        account.pool_id = pool_id
        self._indexes.setdefault(pool_id, CapacityIndex())
        self._update_free(worker.worker_id, account, self.free(worker.worker_id))

    def _remove_worker(self, worker_id: str) -> None:
        account = self._accounts[worker_id]
        if account.owned_worker is None:
            return
        pool_id = account.pool_id
        self._pool_free[pool_id] -= self.free(worker_id)
        self._indexes[pool_id].drop(worker_id)
        account.owned_worker = None
        account.exclusion_reason = None
        account.external_load = NO_RESOURCES
        if not account.task_count:
            del self._accounts[worker_id]

    def _update_free(self, worker_id: str, account: _Account, added: Resources) -> None:
        worker = account.owned_worker
        if worker is None:
            return
        pool_id = account.pool_id
        self._pool_free[pool_id] = self.pool_free(pool_id) + added
        if account.exclusion_reason is not None:
            return
        indexed = IndexedWorker(
            worker_id, worker.place, worker.capacity, self.free(worker_id)
        )
        self._indexes[pool_id].put(indexed)
