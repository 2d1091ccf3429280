"""Plan moves between the spare pool and the pools whose queues outgrow them.

A pool gets workers only once its lack has outlasted the duration of a move, and
gives borrowed ones back only after a surplus that lasted several times longer,
so that peaks of seconds move nothing. A borrowed worker that one pool has too
many of goes straight to a pool that lacks one, which saves a move.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from returns.result import Success

from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.fold.move_operations import start_move
from cicadatrail_core.models.maintenance import DomainOrder, MoveStatus
from cicadatrail_core.models.patches import StartMove
from cicadatrail_core.models.state import State
from cicadatrail_core.moves.buffers import (
    Domain,
    expected_pools,
    loss_buffer_count,
    serving_counts,
)
from cicadatrail_core.moves.demand import (
    DemandTrends,
    MoveTiming,
    PoolTrend,
    deficit_persists,
    kept_count,
    needed_count,
    steady_count,
    surplus_persists,
)

PLANNED_PREFIX = "planned-"
"""Start of the ids of moves that the planner made; operators' moves are kept."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """Propose a move and say why."""

    operation: StartMove
    reason: str


@dataclass(frozen=True, slots=True)
class MoveInputs:
    """Hold what the planner knows besides the state.

    ``drain_s_of`` estimates how long each worker would take to drain;
    ``loss_domain`` is the failure domain whose loss the buffers cover.
    """

    demand: DemandTrends
    timing: MoveTiming
    now_s: float
    loss_domain: DomainOrder = DomainOrder.RACK
    drain_s_of: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({})
    )


def plan_moves(state: State, inputs: MoveInputs) -> tuple[PlannedMove, ...]:
    """Return the moves to start now, each with its reason.

    Every one is valid after those before it, so that all may go into one
    patch against the state's version.
    """
    draft = _Draft(state, inputs)
    for pool_id in draft.lacking_pools():
        draft.feed(pool_id)
    for pool_id in draft.giving_pools():
        draft.give_back(pool_id)
    return tuple(draft.planned)


class _Draft:
    """Collect moves while keeping track of the state that they lead to."""

    __slots__ = (
        "_counts",
        "_inputs",
        "_pool_of",
        "_spare",
        "_start",
        "_state",
        "planned",
    )

    def __init__(self, state: State, inputs: MoveInputs) -> None:
        self._start = state
        self._state = state
        self._inputs = inputs
        self._pool_of = expected_pools(state)
        self._counts = serving_counts(self._pool_of)
        self._spare = sorted(p.pool_id for p in state.pools.values() if p.spare)
        self.planned: list[PlannedMove] = []

    def lacking_pools(self) -> list[str]:
        """Return the pools that need workers now, the largest lack first."""
        trends = self._inputs.demand.trends
        lacking = [
            pool_id
            for pool_id in self._state.pools
            if (trend := trends.get(pool_id))
            and deficit_persists(trend, self._inputs.timing, self._inputs.now_s)
        ]
        return sorted(lacking, key=lambda pool_id: (-self._lack(pool_id), pool_id))

    def giving_pools(self) -> list[str]:
        """Return the pools whose surplus has lasted long enough."""
        return [
            pool_id
            for pool_id in sorted(self._state.pools)
            if pool_id not in self._spare and self._surplus_is_old(pool_id)
        ]

    def feed(self, pool_id: str) -> None:
        """Move workers to the pool until it lacks none or no donor is left."""
        while (lack := self._lack(pool_id)) > 0:
            reason = f"its queue needs {lack} more workers"
            donors = [*self._surplus_donors(pool_id), *self._spare_donors(pool_id)]
            if not any(self._move_one(donor, pool_id, reason) for donor in donors):
                return

    def give_back(self, pool_id: str) -> None:
        """Return borrowed workers to the spare pool while there are too many."""
        while self._spare and self._excess(pool_id) > 0:
            reason = f"it has had {self._excess(pool_id)} workers too many"
            if not self._move_one(pool_id, self._spare[0], reason):
                return

    def _trend(self, pool_id: str) -> PoolTrend | None:
        return self._inputs.demand.trends.get(pool_id)

    def _count(self, pool_id: str) -> int:
        return self._counts[pool_id]

    def _lack(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        if trend is None:
            return 0
        return needed_count(trend, self._inputs.timing) - self._count(pool_id)

    def _excess(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        if trend is None:
            return 0
        return self._count(pool_id) - kept_count(trend, self._inputs.timing)

    def _surplus_is_old(self, pool_id: str) -> bool:
        trend = self._trend(pool_id)
        timing, now_s = self._inputs.timing, self._inputs.now_s
        return trend is not None and surplus_persists(trend, timing, now_s)

    def _surplus_donors(self, taker: str) -> Iterator[str]:
        """Yield pools with too many workers now; only borrowed ones leave them.

        Their usual load doesn't count here, since the worker is lacking elsewhere.
        """
        for pool_id in sorted(self._state.pools):
            if pool_id == taker or pool_id in self._spare:
                continue
            if self._trend(pool_id) is not None and self._lack(pool_id) < 0:
                yield pool_id

    def _spare_donors(self, taker: str) -> Iterator[str]:
        """Yield the spare pools that keep their own load and the buffer."""
        for pool_id in self._spare:
            if pool_id == taker:
                continue
            if self._count(pool_id) - 1 < self._own_need(pool_id):
                continue
            yield pool_id

    def _own_need(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        return 0 if trend is None else kept_count(trend, self._inputs.timing)

    def _keeps_buffer(self, pool_of: Mapping[str, str]) -> bool:
        """Tell whether the spare pools hold the buffer or no less than now."""
        needed = {
            pool_id: steady_count(trend)
            for pool_id, trend in self._inputs.demand.trends.items()
            if pool_id not in self._spare
        }
        return self._uncovered(pool_of, needed) <= max(
            0, self._uncovered(self._pool_of, needed)
        )

    def _uncovered(self, pool_of: Mapping[str, str], needed: Mapping[str, int]) -> int:
        buffer_count = loss_buffer_count(
            self._state, pool_of, needed, self._inputs.loss_domain
        )
        counts = serving_counts(pool_of)
        free = sum(counts[p] - self._own_need(p) for p in self._spare)
        return buffer_count - free

    def _move_one(self, giver: str, taker: str, reason: str) -> bool:
        """Plan the best move of one worker between two pools, if any is valid."""
        refused_domains: set[Domain] = set()
        for worker_id in self._candidates(giver, taker):
            domain = self._domain(worker_id)
            if domain in refused_domains:
                continue
            after = {**self._pool_of, worker_id: taker}
            if giver in self._spare and not self._keeps_buffer(after):
                refused_domains.add(domain)
                continue
            move_id = f"{PLANNED_PREFIX}{self._start.version}-{worker_id}"
            operation = StartMove(move_id, worker_id, giver, taker)
            match start_move(self._state, operation, "move"):
                case Success(changed):
                    self._state = changed
                    self._pool_of = after
                    self._counts = serving_counts(after)
                    self.planned.append(PlannedMove(operation, reason))
                    return True
        return False

    def _candidates(self, giver: str, taker: str) -> list[str]:
        """Return the giver's serving workers, the best to move first.

        Best is one whose domain the taker has fewest of, which keeps buffers
        small, and then one that drains soonest.
        """
        may_leave = self._may_leave(giver)
        present = [
            w
            for w, p in self._pool_of.items()
            if p == giver and self._state.pool_of[w] == giver and may_leave(w)
        ]
        taken = Counter(self._domain(w) for w, p in self._pool_of.items() if p == taker)
        drain_s_of = self._inputs.drain_s_of
        return sorted(
            present,
            key=lambda w: (taken[self._domain(w)], drain_s_of.get(w, 0.0), w),
        )

    def _domain(self, worker_id: str) -> Domain:
        return domain_of(self._state.workers[worker_id], self._inputs.loss_domain)

    def _may_leave(self, giver: str) -> Callable[[str], bool]:
        if giver in self._spare:
            return lambda worker_id: True
        borrowed = borrowed_workers(self._state, giver)
        return lambda worker_id: worker_id in borrowed


def borrowed_workers(state: State, pool_id: str) -> frozenset[str]:
    """Return the pool's workers that a planned move brought there."""
    newest: dict[str, tuple[str, str]] = {}
    for move in state.moves.values():
        if move.status is MoveStatus.DONE:
            newest[move.worker_id] = (move.move_id, move.to_pool_id)
    return frozenset(
        worker_id
        for worker_id, (move_id, to_pool_id) in newest.items()
        if to_pool_id == pool_id
        and move_id.startswith(PLANNED_PREFIX)
        and state.pool_of.get(worker_id) == pool_id
    )
