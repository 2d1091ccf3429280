"""Remaining availability budgets of all pools while a plan is made."""

from __future__ import annotations

from collections import Counter

from cicadatrail_core.fold.availability import disrupted_workers
from cicadatrail_core.models.state import State


class Budgets:
    """The budgets of all pools, less the workers that a plan takes out.

    Gives the same answers as ``fold.availability.may_take_out`` without scanning
    the whole state for each worker.
    """

    __slots__ = ("_counts", "_limits", "_pool_of", "_reserved", "_unavailable")

    def __init__(self, state: State) -> None:
        self._pool_of = state.pool_of
        self._reserved = set(disrupted_workers(state))
        self._unavailable = self._reserved.union(state.conditions)
        self._counts = Counter(
            state.pool_of.get(worker, "") for worker in self._unavailable
        )
        self._limits: dict[str, int] = {}
        for service in state.services.values():
            limit = service.unavailable_limit_count
            known = self._limits.get(service.pool_id, limit)
            self._limits[service.pool_id] = min(known, limit)

    def try_reserve(self, worker_id: str) -> bool:
        """Count the worker as drained if that exceeds no budget; return success."""
        pool_id = self._pool_of.get(worker_id)
        if pool_id is None or worker_id in self._reserved:
            return False
        added = worker_id not in self._unavailable
        limit = self._limits.get(pool_id)
        if limit is not None and self._counts[pool_id] + added > limit:
            return False
        self._reserved.add(worker_id)
        self._counts[pool_id] += added
        return True
