"""Plan moves between the spare pool and the pools that need more workers.

A pool receives workers only once its deficit has lasted for the duration of a
move, and returns borrowed ones only after a surplus that lasted several times
longer, so that peaks of a few seconds cause no moves. A surplus borrowed worker
moves directly to a pool with a deficit, which saves a move.
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
"""Prefix of planned moves' ids; workers that operators moved are not returned."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A proposed move and the reason for it."""

    operation: StartMove
    reason: str


@dataclass(frozen=True, slots=True)
class MoveInputs:
    """Inputs of the planner besides the state.

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

    Each move is valid after those before it, so all may go into one patch
    against the state's version.
    """
    builder = _PlanBuilder(state, inputs)
    for pool_id in builder.deficit_pools():
        builder.fill_deficit(pool_id)
    for pool_id in builder.surplus_pools():
        builder.return_surplus(pool_id)
    return tuple(builder.planned)


class _PlanBuilder:
    """Collect moves while tracking the state that results from them."""

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

    def deficit_pools(self) -> list[str]:
        """Return the pools that need workers now, the largest deficit first."""
        trends = self._inputs.demand.trends
        pool_ids = [
            pool_id
            for pool_id in self._state.pools
            if (trend := trends.get(pool_id))
            and deficit_persists(trend, self._inputs.timing, self._inputs.now_s)
        ]
        return sorted(pool_ids, key=lambda pool_id: (-self._deficit(pool_id), pool_id))

    def surplus_pools(self) -> list[str]:
        """Return the pools whose surplus has lasted long enough."""
        return [
            pool_id
            for pool_id in sorted(self._state.pools)
            if pool_id not in self._spare and self._surplus_persists(pool_id)
        ]

    def fill_deficit(self, pool_id: str) -> None:
        """Move workers to the pool until it needs none or no donor is left."""
        while (deficit := self._deficit(pool_id)) > 0:
            reason = f"its queue needs {deficit} more workers"
            donors = [*self._surplus_donors(pool_id), *self._spare_donors(pool_id)]
            if not any(self._move_one(donor, pool_id, reason) for donor in donors):
                return

    def return_surplus(self, pool_id: str) -> None:
        """Return borrowed workers to the spare pool while there is a surplus."""
        while self._spare and self._surplus(pool_id) > 0:
            reason = f"it has had {self._surplus(pool_id)} surplus workers"
            if not self._move_one(pool_id, self._spare[0], reason):
                return

    def _trend(self, pool_id: str) -> PoolTrend | None:
        return self._inputs.demand.trends.get(pool_id)

    def _count(self, pool_id: str) -> int:
        return self._counts[pool_id]

    def _deficit(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        if trend is None:
            return 0
        return needed_count(trend, self._inputs.timing) - self._count(pool_id)

    def _surplus(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        if trend is None:
            return 0
        return self._count(pool_id) - kept_count(trend, self._inputs.timing)

    def _surplus_persists(self, pool_id: str) -> bool:
        trend = self._trend(pool_id)
        timing, now_s = self._inputs.timing, self._inputs.now_s
        return trend is not None and surplus_persists(trend, timing, now_s)

    def _surplus_donors(self, recipient: str) -> Iterator[str]:
        """Yield pools with a surplus now; only their borrowed workers may leave.

        Their long-term load is ignored here, since another pool has a deficit.
        """
        for pool_id in sorted(self._state.pools):
            if pool_id == recipient or pool_id in self._spare:
                continue
            if self._trend(pool_id) is not None and self._deficit(pool_id) < 0:
                yield pool_id

    def _spare_donors(self, recipient: str) -> Iterator[str]:
        """Yield the spare pools that carry their own load without one worker."""
        for pool_id in self._spare:
            if pool_id == recipient:
                continue
            if self._count(pool_id) - 1 < self._own_need_count(pool_id):
                continue
            yield pool_id

    def _own_need_count(self, pool_id: str) -> int:
        trend = self._trend(pool_id)
        return 0 if trend is None else kept_count(trend, self._inputs.timing)

    def _keeps_buffer(self, pool_of: Mapping[str, str]) -> bool:
        """Return whether the spare pools cover the buffer at least as well as now."""
        needed = {
            pool_id: steady_count(trend)
            for pool_id, trend in self._inputs.demand.trends.items()
            if pool_id not in self._spare
        }
        return self._uncovered_count(pool_of, needed) <= max(
            0, self._uncovered_count(self._pool_of, needed)
        )

    def _uncovered_count(
        self, pool_of: Mapping[str, str], needed: Mapping[str, int]
    ) -> int:
        buffer_count = loss_buffer_count(
            self._state, pool_of, needed, self._inputs.loss_domain
        )
        counts = serving_counts(pool_of)
        free_count = sum(counts[p] - self._own_need_count(p) for p in self._spare)
        return buffer_count - free_count

    def _move_one(self, donor: str, recipient: str, reason: str) -> bool:
        """Plan the best valid move of one worker; return whether there was one."""
        refused_domains: set[Domain] = set()
        for worker_id in self._candidates(donor, recipient):
            domain = self._domain(worker_id)
            if domain in refused_domains:
                continue
            after = {**self._pool_of, worker_id: recipient}
            if donor in self._spare and not self._keeps_buffer(after):
                refused_domains.add(domain)
                continue
            move_id = f"{PLANNED_PREFIX}{self._start.version}-{worker_id}"
            operation = StartMove(move_id, worker_id, donor, recipient)
            match start_move(self._state, operation, "move"):
                case Success(changed):
                    self._state = changed
                    self._pool_of = after
                    self._counts = serving_counts(after)
                    self.planned.append(PlannedMove(operation, reason))
                    return True
        return False

    def _candidates(self, donor: str, recipient: str) -> list[str]:
        """Return the donor's serving workers, the best to move first.

        The best is in the domain of which the recipient has fewest workers, which
        keeps buffers small, and then drains soonest.
        """
        may_leave = self._may_leave(donor)
        present = [
            w
            for w, p in self._pool_of.items()
            if p == donor and self._state.pool_of[w] == donor and may_leave(w)
        ]
        taken = Counter(
            self._domain(w) for w, p in self._pool_of.items() if p == recipient
        )
        drain_s_of = self._inputs.drain_s_of
        return sorted(
            present,
            key=lambda w: (taken[self._domain(w)], drain_s_of.get(w, 0.0), w),
        )

    def _domain(self, worker_id: str) -> Domain:
        return domain_of(self._state.workers[worker_id], self._inputs.loss_domain)

    def _may_leave(self, donor: str) -> Callable[[str], bool]:
        if donor in self._spare:
            return lambda worker_id: True
        borrowed = borrowed_workers(self._state, donor)
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
