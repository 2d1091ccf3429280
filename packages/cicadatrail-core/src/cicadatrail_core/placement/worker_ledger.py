"""What is charged to each worker, and the pools' indexes of free room."""

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
    """Say why a held worker is kept out of the index."""

    EJECTION = "ejection"
    RESERVATION = "reservation"
    TRIED = "tried"


@dataclass(slots=True)
class _Account:
    """Sum up one worker; it outlives the right to place on it while charged."""

    charged: Resources = NO_RESOURCES
    external: Resources = NO_RESOURCES
    task_count: int = 0
    held: Worker | None = None
    pool_id: str = ""
    exclusion_reason: ExclusionReason | None = None


class WorkerLedger:
    """Charge tasks to workers and find room; O(log n) for each change."""

    __slots__ = ("_accounts", "_indexes", "_pool_free", "_spread")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._indexes: dict[str, CapacityIndex] = {}
        self._pool_free: dict[str, Resources] = {}
        self._spread = SpreadCounts()

    def configure(self, state: State, held_ids: Collection[str]) -> frozenset[str]:
        """Set the workers to place on; return those that changed."""
        wanted = {
            worker_id: (state.workers[worker_id], state.pool_of[worker_id])
            for worker_id in held_ids
            if worker_id in state.workers and worker_id in state.pool_of
        }
        removed_ids = [
            worker_id
            for worker_id, account in self._accounts.items()
            if account.held is not None and worker_id not in wanted
        ]
        changed = set(removed_ids)
        for worker_id in removed_ids:
            self._remove_worker(worker_id)
        for worker_id, (worker, pool_id) in wanted.items():
            account = self._accounts.setdefault(worker_id, _Account())
            if account.held == worker and account.pool_id == pool_id:
                continue
            changed.add(worker_id)
            self._remove_worker(worker_id)
            self._add_worker(worker, pool_id)
        return frozenset(changed)

    def is_held(self, worker_id: str) -> bool:
        """Tell whether tasks may be placed on the worker, were there room."""
        account = self._accounts.get(worker_id)
        return account is not None and account.held is not None

    def may_place(self, worker_id: str) -> bool:
        """Tell whether the worker is held and not ejected."""
        account = self._accounts.get(worker_id)
        if account is None or account.held is None:
            return False
        return account.exclusion_reason is not ExclusionReason.EJECTION

    def pool_of(self, worker_id: str) -> str:
        """Return the pool of a worker that is or was held."""
        return self._accounts[worker_id].pool_id

    def free(self, worker_id: str) -> Resources:
        """Return what is free on a held worker; below zero if overloaded."""
        account = self._accounts[worker_id]
        assert account.held is not None
        return account.held.capacity - account.charged - account.external

    def pool_free(self, pool_id: str) -> Resources:
        """Return the sum of what is free on the pool's held workers."""
        return self._pool_free.get(pool_id, NO_RESOURCES)

    def start_task(self, worker_id: str, service_id: str, size: Resources) -> Place:
        """Charge a task that starts; return the place it counts for."""
        account = self._accounts[worker_id]
        assert account.held is not None
        account.task_count += 1
        self._spread.add(service_id, account.held.place)
        self.change_charge(worker_id, size)
        return account.held.place

    def end_task(
        self, worker_id: str, service_id: str, place: Place, size: Resources
    ) -> None:
        """Free what an ended task was charged."""
        account = self._accounts[worker_id]
        account.task_count -= 1
        self._spread.add(service_id, place, -1)
        self.change_charge(worker_id, NO_RESOURCES - size)
        if account.held is None and not account.task_count:
            del self._accounts[worker_id]

    def change_charge(self, worker_id: str, difference: Resources) -> None:
        """Correct what running tasks are charged, by reported usage."""
        account = self._accounts[worker_id]
        account.charged += difference
        self._update_free(worker_id, account, NO_RESOURCES - difference)

    def set_outside(self, worker_id: str, load: Resources) -> bool:
        """Set what tasks of others use on a held worker; tell if that changed."""
        account = self._accounts.get(worker_id)
        if account is None or account.held is None or account.external == load:
            return False
        difference = account.external - load
        account.external = load
        self._update_free(worker_id, account, difference)
        return True

    def exclude(self, worker_id: str, reason: ExclusionReason) -> None:
        """Keep a held worker out of the index."""
        account = self._accounts[worker_id]
        account.exclusion_reason = reason
        self._indexes[account.pool_id].drop(worker_id)

    def include(self, worker_id: str) -> None:
        """Bring a excluded worker back into the index."""
        account = self._accounts.get(worker_id)
        if account is None or account.held is None:
            return
        account.exclusion_reason = None
        self._update_free(worker_id, account, NO_RESOURCES)

    @contextmanager
    def excluding(self, worker_ids: Collection[str]) -> Iterator[None]:
        """Keep held workers out of the index while the context lasts."""
        excluded = [
            worker_id
            for worker_id in worker_ids
            if self.is_held(worker_id) and self.exclusion_reason(worker_id) is None
        ]
        for worker_id in excluded:
            self.exclude(worker_id, ExclusionReason.TRIED)
        try:
            yield
        finally:
            for worker_id in excluded:
                self.include(worker_id)

    def exclusion_reason(self, worker_id: str) -> ExclusionReason | None:
        """Return why a worker is kept out of the index, if it is."""
        account = self._accounts.get(worker_id)
        return None if account is None else account.exclusion_reason

    def best_fit(
        self,
        pool_id: str,
        size: Resources,
        service_id: str,
        avoided_ids: Collection[str],
    ) -> str | None:
        """Return the worker of the pool that the task fits best, if any."""
        index = self._indexes.get(pool_id)
        if index is None:
            return None
        return index.best_fit(size, service_id, self._spread, avoided_ids)

    def most_free_worker(self, pool_id: str, size: Resources) -> str | None:
        """Return the worker of the pool that comes nearest to holding the task."""
        index = self._indexes.get(pool_id)
        return None if index is None else index.most_free_worker(size)

    def _add_worker(self, worker: Worker, pool_id: str) -> None:
        account = self._accounts[worker.worker_id]
        account.held = worker
        account.pool_id = pool_id
        self._indexes.setdefault(pool_id, CapacityIndex())
        self._update_free(worker.worker_id, account, self.free(worker.worker_id))

    def _remove_worker(self, worker_id: str) -> None:
        account = self._accounts[worker_id]
        if account.held is None:
            return
        pool_id = account.pool_id
        self._pool_free[pool_id] -= self.free(worker_id)
        self._indexes[pool_id].drop(worker_id)
        account.held = None
        account.exclusion_reason = None
        account.external = NO_RESOURCES
        if not account.task_count:
            del self._accounts[worker_id]

    def _update_free(self, worker_id: str, account: _Account, added: Resources) -> None:
        worker = account.held
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
