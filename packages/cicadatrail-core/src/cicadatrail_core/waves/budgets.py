"""Availability budgets of all pools, counted down while a plan is made."""

from __future__ import annotations

from collections import Counter

from cicadatrail_core.fold.availability import disrupted_workers
from cicadatrail_core.models.state import State


class Budgets:
    """Count what the budgets of all pools still allow while a plan is made.

    Gives the same answers as ``fold.availability.may_take_out`` without going
    over the whole state for each worker.
    """

    __slots__ = ("_counts", "_limits", "_pool_of", "_taken", "_unavailable")

    def __init__(self, state: State) -> None:
        self._pool_of = state.pool_of
        self._taken = set(disrupted_workers(state))
        self._unavailable = self._taken.union(state.conditions)
        self._counts = Counter(
            state.pool_of.get(worker, "") for worker in self._unavailable
        )
        self._limits: dict[str, int] = {}
        for service in state.services.values():
            limit = service.unavailable_limit_count
            known = self._limits.get(service.pool_id, limit)
            self._limits[service.pool_id] = min(known, limit)

    def try_reserve(self, worker_id: str) -> bool:
        """Count the worker as drained if that breaks no budget."""
        pool_id = self._pool_of.get(worker_id)
        if pool_id is None or worker_id in self._taken:
            return False
        added = worker_id not in self._unavailable
        limit = self._limits.get(pool_id)
        if limit is not None and self._counts[pool_id] + added > limit:
            return False
        self._taken.add(worker_id)
        self._counts[pool_id] += added
        return True
