"""View of the whole fleet that a dispatcher needs, from the folded state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.fleet import DrainPolicy, Team
from cicadatrail_core.models.maintenance import Condition
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State


@dataclass(frozen=True, slots=True)
class PoolFacts:
    """Size of a pool and those of its workers that are known to be ejected.

    It includes the workers owned by other instances.
    """

    pool_id: str
    worker_count: int = 0
    ejected_ids: frozenset[str] = frozenset()


class FleetView:
    """Look up pools and services; indexes are rebuilt only when the state changes."""

    __slots__ = ("_facts", "_largest", "_state", "_total")

    def __init__(self) -> None:
        self._state = State()
        self._largest: Mapping[str, Collection[Resources]] = {}
        self._facts: Mapping[str, PoolFacts] = {}
        self._total = NO_RESOURCES

    @property
    def state(self) -> State:
        """Return the state that was last configured."""
        return self._state

    @property
    def teams(self) -> Mapping[str, Team]:
        """Return the teams by id."""
        return self._state.teams

    @property
    def total(self) -> Resources:
        """Return the capacity of the whole fleet."""
        return self._total

    def configure(self, state: State) -> None:
        """Replace the state with a newer one."""
        old = self._state
        self._state = state
        if state.conditions is not old.conditions or state.pool_of is not old.pool_of:
            self._facts = _pool_facts(state)
        if state.workers is old.workers and state.pool_of is old.pool_of:
            return
        self._largest = largest_capacities(state)
        total = NO_RESOURCES
        for worker in state.workers.values():
            total += worker.capacity
        self._total = total

    def pool_of_service(self, service_id: str) -> str | None:
        """Return the pool that serves a service, or None if it is unknown."""
        service = self._state.services.get(service_id)
        return None if service is None else service.pool_id

    def pool_facts(self, pool_id: str) -> PoolFacts:
        """Return the size of a pool and its workers known to be ejected."""
        return self._facts.get(pool_id, PoolFacts(pool_id))

    def fits_some_worker(self, size: Resources, pool_id: str) -> bool:
        """Return whether the size fits on an empty worker of the pool."""
        return any(
            size.fits_in(capacity) for capacity in self._largest.get(pool_id, ())
        )

    def clamp(self, size: Resources, lower: Resources, pool_id: str) -> Resources:
        """Limit a size to a worker capacity of the pool that fits ``lower``.

        The size is returned unchanged if it fits on a worker, or if ``lower`` fits on
        none.
        """
        capacities = self._largest.get(pool_id, ())
        if any(size.fits_in(candidate) for candidate in capacities):
            return size
        for capacity in capacities:
            if lower.fits_in(capacity):
                return size.at_most(capacity)
        return size

    def drain_policy(self, queue_id: str) -> DrainPolicy:
        """Return a queue's drain policy; NEVER_CUT if the queue is unknown."""
        queue = self._state.queues.get(queue_id)
        return DrainPolicy.NEVER_CUT if queue is None else queue.drain_policy


def _pool_facts(state: State) -> Mapping[str, PoolFacts]:
    counts = Counter(state.pool_of.values())
    ejected: dict[str, set[str]] = {}
    for worker_id, condition in state.conditions.items():
        if condition is Condition.EJECTED and worker_id in state.pool_of:
            ejected.setdefault(state.pool_of[worker_id], set()).add(worker_id)
    return {
        pool_id: PoolFacts(pool_id, count, frozenset(ejected.get(pool_id, ())))
        for pool_id, count in counts.items()
    }


def largest_capacities(state: State) -> Mapping[str, tuple[Resources, ...]]:
    """Return, per pool, the capacities that fit within no other capacity."""
    distinct: dict[str, dict[Resources, None]] = {}
    for worker_id, pool_id in state.pool_of.items():
        worker = state.workers.get(worker_id)
        if worker is not None:
            distinct.setdefault(pool_id, {})[worker.capacity] = None
    return {
        pool_id: tuple(
            capacity
            for capacity in capacities
            if not any(
                capacity.fits_in(other) for other in capacities if other != capacity
            )
        )
        for pool_id, capacities in distinct.items()
    }
