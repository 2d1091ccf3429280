"""Simulates pools with queues of fluid work, driven by the product's move planner."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cicadatrail_core.fold import availability, maintenance
from cicadatrail_core.models.state import State
from cicadatrail_core.moves.buffers import expected_pools, serving_counts
from cicadatrail_core.moves.demand import (
    DemandTrends,
    MoveTiming,
    PoolObservation,
    move_timing,
    observe,
)
from cicadatrail_core.moves.planner import MoveInputs, PlannedMove, plan_moves
from features.support.waves_simulation import WaveSimulation

Demand = Callable[[str, float], float]
"""Returns the work arriving at a pool at a time, in worker-seconds per second."""

PLAN_INTERVAL_S = 5.0

MovePolicy = Callable[[State, MoveInputs], tuple[PlannedMove, ...]]


@dataclass
class MoveSimulation:
    """Simulation that advances queues, waves and moves together, tick by tick."""

    waves: WaveSimulation
    demand: Demand
    move_s: float
    policy: MovePolicy = plan_moves
    tick_s: float = 1.0
    demand_trends: DemandTrends = DemandTrends()
    queued_s: dict[str, float] = field(default_factory=dict)
    arrived_s: dict[str, float] = field(default_factory=dict)
    planned: list[PlannedMove] = field(default_factory=list)
    done_count: int = 0
    late_work_s: float = 0.0
    _planned_s: float = 0.0

    @property
    def state(self) -> State:
        return self.waves.state

    @property
    def timing(self) -> MoveTiming:
        return move_timing(self.state.weights, self.move_s)

    def run(self, until_s: float) -> None:
        while self.waves.now_s < until_s:
            self.waves.run(self.waves.now_s + self.tick_s)
            self._serve(self.serving())
            if self.waves.now_s >= self._planned_s + PLAN_INTERVAL_S:
                self._plan(self.waves.now_s - self._planned_s)
                self._planned_s = self.waves.now_s

    def serving(self) -> Mapping[str, int]:
        out = availability.all_unavailable(self.state)
        return serving_counts(
            {w: p for w, p in self.state.pool_of.items() if w not in out}
        )

    def _serve(self, serving: Mapping[str, int]) -> None:
        for pool_id in self.state.pools:
            arriving_s = self.demand(pool_id, self.waves.now_s) * self.tick_s
            capacity_s = serving.get(pool_id, 0) * self.tick_s
            queued_s = self.queued_s.get(pool_id, 0.0) + arriving_s - capacity_s
            self.queued_s[pool_id] = max(0.0, queued_s)
            self.late_work_s += max(0.0, queued_s) * self.tick_s
            self.arrived_s[pool_id] = self.arrived_s.get(pool_id, 0.0) + arriving_s

    def _plan(self, elapsed_s: float) -> None:
        observations = [
            PoolObservation(
                pool_id,
                self.arrived_s.get(pool_id, 0.0) / elapsed_s,
                self.queued_s.get(pool_id, 0.0),
            )
            for pool_id in self.state.pools
        ]
        self.arrived_s.clear()
        now_s = self.waves.now_s
        counts = serving_counts(expected_pools(self.state))
        self.demand_trends = observe(
            self.demand_trends, observations, counts, self.timing, now_s
        )
        inputs = MoveInputs(self.demand_trends, self.timing, now_s)
        for planned in self.policy(self.state, inputs):
            self._start(planned)

    def _start(self, planned: PlannedMove) -> None:
        operation = planned.operation
        result = maintenance.start_move(self.state, operation, "operations[0]")
        started = result.unwrap()
        self.waves.state = _next_version(started)
        self.planned.append(planned)
        self.waves.drain_move(operation.move_id, self._count_done)

    def _count_done(self) -> None:
        self.done_count += 1


def _next_version(state: State) -> State:
    return replace(state, version=state.version + 1)
