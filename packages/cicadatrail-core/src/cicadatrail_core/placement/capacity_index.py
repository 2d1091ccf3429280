"""Index of the workers of one pool by free capacity.

A search examines a bounded number of candidates and costs O(log n). It can miss
a fitting worker only if more than twice ``CANDIDATE_LIMIT_COUNT`` workers have
enough of the scarcest resource and all examined ones lack another resource.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from operator import attrgetter

from sortedcontainers import SortedList

from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement.spread import SpreadCounts

CANDIDATE_LIMIT_COUNT = 16
"""Candidates that a search examines from each end of the index."""

IDLE_ACCELERATOR_PENALTY = 1.0
"""Score added if the task would leave accelerators of the worker idle."""

AVOIDED_PENALTY = 10.0
"""Score added for a worker to avoid; exceeds the sum of all other terms."""

_GETTERS = (
    attrgetter("cpu_millicores"),
    attrgetter("memory_mib"),
    attrgetter("accelerator_count"),
)


@dataclass(frozen=True, slots=True)
class IndexedWorker:
    """Free capacity of a worker; negative if the worker is overloaded."""

    worker_id: str
    place: Place
    capacity: Resources
    free: Resources


class CapacityIndex:
    """Find the best-fitting worker for a task."""

    __slots__ = ("_orders", "_workers")

    def __init__(self) -> None:
        self._workers: dict[str, IndexedWorker] = {}
        self._orders: tuple[SortedList, ...] = tuple(SortedList() for _ in _GETTERS)

    def __len__(self) -> int:
        return len(self._workers)

    def put(self, worker: IndexedWorker) -> None:
        """Add a worker, or update the one that has the same id."""
        old = self._workers.get(worker.worker_id)
        self._workers[worker.worker_id] = worker
        for order, getter in zip(self._orders, _GETTERS, strict=True):
            value = getter(worker.free)
            if old is not None:
                old_value = getter(old.free)
                if old_value == value:
                    continue
                order.remove((old_value, worker.worker_id))
            order.add((value, worker.worker_id))

    def drop(self, worker_id: str) -> None:
        """Remove a worker from the index, if it is present."""
        worker = self._workers.pop(worker_id, None)
        if worker is None:
            return
        for order, getter in zip(self._orders, _GETTERS, strict=True):
            order.remove((getter(worker.free), worker_id))

    def best_fit(
        self,
        size: Resources,
        service_id: str,
        spread: SpreadCounts,
        avoided_ids: Collection[str] = (),
    ) -> str | None:
        """Return the best-fitting worker for the task, or None if none is found.

        A worker in ``avoided_ids`` is chosen only if the task fits on no other.
        """
        best: tuple[float, str] | None = None
        for worker in self._candidates(size):
            if not size.fits_in(worker.free):
                continue
            score = _score(worker, size) + spread.concentration(
                service_id, worker.place
            )
            if worker.worker_id in avoided_ids:
                score += AVOIDED_PENALTY
            if best is None or (score, worker.worker_id) < best:
                best = (score, worker.worker_id)
        return None if best is None else best[1]

    def most_free_worker(self, size: Resources) -> str | None:
        """Return a worker that could run the task if it were empty, or None.

        Among those examined, it has the most free of the task's scarcest resource.
        """
        order, _ = self._scarcest(size)
        for _, worker_id in _most_free(order, 0):
            if size.fits_in(self._workers[worker_id].capacity):
                return worker_id
        return None

    def _candidates(self, size: Resources) -> Iterator[IndexedWorker]:
        order, start = self._scarcest(size)
        stop = start + CANDIDATE_LIMIT_COUNT
        for _, worker_id in order.islice(start, stop):
            yield self._workers[worker_id]
        for _, worker_id in _most_free(order, stop):
            yield self._workers[worker_id]

    def _scarcest(self, size: Resources) -> tuple[SortedList, int]:
        """Return the order with the fewest candidates and the first one's position."""
        best = self._orders[0]
        best_start = best.bisect_left((size.cpu_millicores, ""))
        for order, getter in zip(self._orders[1:], _GETTERS[1:], strict=True):
            need = getter(size)
            if not need:
                continue
            start = order.bisect_left((need, ""))
            if start > best_start:
                best, best_start = order, start
        return best, best_start


def _most_free(order: SortedList, lowest: int) -> Iterator[tuple[int, str]]:
    start = max(lowest, len(order) - CANDIDATE_LIMIT_COUNT)
    return order.islice(start, len(order), reverse=True)  # type: ignore[no-any-return]


def _score(worker: IndexedWorker, size: Resources) -> float:
    """Return the fraction of the worker's capacity that would stay free.

    It refers to the task's dominant resource; the lowest score fits best.
    """
    left_over = 0.0
    largest_share = -1.0
    for getter in _GETTERS:
        capacity = getter(worker.capacity)
        if not capacity:
            continue
        need = getter(size)
        if need / capacity > largest_share:
            largest_share = need / capacity
            left_over = (getter(worker.free) - need) / capacity
    if worker.free.accelerator_count and not size.accelerator_count:
        return left_over + IDLE_ACCELERATOR_PENALTY
    return left_over
