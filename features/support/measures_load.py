"""Simulates teams' tasks that wait and run in pools, on a virtual clock."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cicadatrail_core.admission.fair_queue import Ageing, FairQueue
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.maintenance import DomainOrder
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.moves.buffers import (
    expected_pools,
    loss_buffer_count,
)
from cicadatrail_core.moves.demand import steady_count
from features.support.moves_simulation import MoveSimulation

SLOTS_PER_WORKER = 4
RUN_S = 2.0
TEAM_DEMANDS = (0.25, 0.15, 0.45, 0.05, 0.05, 0.05)
"""Fractions of the load by team; the third demands far more than its share."""


class FifoOrder:
    """First come, first served."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._waiting: dict[str, deque[str]] = {}

    def add(self, pool_id: str, team_id: str, now_s: float) -> None:
        self._waiting.setdefault(pool_id, deque()).append(team_id)

    def take(
        self, pool_id: str, running: Counter[str], slots: int, now_s: float
    ) -> str | None:
        waiting = self._waiting.get(pool_id)
        return waiting.popleft() if waiting else None

    def waiting(self, pool_id: str) -> Counter[str]:
        return Counter(self._waiting.get(pool_id, ()))


class StaticSplit(FifoOrder):
    """Each team has a fixed part of each pool and can't use another's."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        super().__init__(weights)
        self._weights = weights
        self._counts: dict[str, Counter[str]] = {}

    def add(self, pool_id: str, team_id: str, now_s: float) -> None:
        self._counts.setdefault(pool_id, Counter())[team_id] += 1

    def take(
        self, pool_id: str, running: Counter[str], slots: int, now_s: float
    ) -> str | None:
        total = sum(self._weights.values())
        waiting = self._counts.get(pool_id, Counter())
        for team_id, weight in self._weights.items():
            part = max(1, int(slots * weight / total))
            if waiting[team_id] > 0 and running[team_id] < part:
                waiting[team_id] -= 1
                return team_id
        return None

    def waiting(self, pool_id: str) -> Counter[str]:
        return self._counts.get(pool_id, Counter())


class FairOrder(FifoOrder):
    """Fair queue of the product, ordered by the teams' weighted use of the pool."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        super().__init__(weights)
        self._weights = weights
        self._queues: dict[str, FairQueue] = {}
        self._waiting_counts: dict[str, Counter[str]] = {}
        self._sequence = 0

    def add(self, pool_id: str, team_id: str, now_s: float) -> None:
        self._sequence += 1
        request = TaskRequest(
            request_id=str(self._sequence),
            team_id=team_id,
            service_id=pool_id,
            queue_id=pool_id,
            size=Resources(1, 1),
            urgency=Urgency.NORMAL,
            deadline_s=float("inf"),
            repeatable=True,
        )
        queue = self._queues.setdefault(pool_id, FairQueue(Ageing(limit_s=1e9)))
        queue.add(request, pool_id, now_s)
        self._waiting_counts.setdefault(pool_id, Counter())[team_id] += 1

    def take(
        self, pool_id: str, running: Counter[str], slots: int, now_s: float
    ) -> str | None:
        queue = self._queues.get(pool_id)
        if queue is None or not len(queue):
            return None
        for team_id, weight in self._weights.items():
            queue.set_share(team_id, running[team_id] / weight)
        entry = queue.next_entry(pool_id, (), now_s)
        if entry is None:
            return None
        queue.remove(entry.request.request_id)
        self._waiting_counts[pool_id][entry.request.team_id] -= 1
        return entry.request.team_id

    def waiting(self, pool_id: str) -> Counter[str]:
        return self._waiting_counts.get(pool_id, Counter())


def due_slots(
    wanted: Mapping[str, int], weights: Mapping[str, float], slots: int
) -> dict[str, float]:
    """Divide slots by weight; slots that a team doesn't want go to the others."""
    due = dict.fromkeys(wanted, 0.0)
    unsatisfied = {team for team, count in wanted.items() if count > 0}
    remaining = float(slots)
    while unsatisfied and remaining > 1e-9:
        per_weight = remaining / sum(weights[team] for team in unsatisfied)
        satisfied = {
            t for t in unsatisfied if wanted[t] - due[t] <= per_weight * weights[t]
        }
        for team in satisfied or unsatisfied:
            granted = per_weight * weights[team]
            if satisfied:
                granted = wanted[team] - due[team]
            due[team] += granted
            remaining -= granted
        if not satisfied:
            break
        unsatisfied -= satisfied
    return due


@dataclass
class LoadSimulation(MoveSimulation):
    """Simulation of teams' tasks that sums up shares, waits and buffers."""

    order: FifoOrder = field(default_factory=lambda: FifoOrder({}))
    weights: Mapping[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    shares_buffer: bool = True
    missed_slots: float = 0.0
    full_slots: float = 0.0
    waited_s: float = 0.0
    task_count: int = 0
    buffer_sum: float = 0.0
    tick_count: int = 0
    _running: dict[str, Counter[str]] = field(default_factory=dict)
    _ends: dict[str, list[tuple[float, int, str]]] = field(default_factory=dict)

    def _serve(self, serving: Mapping[str, int]) -> None:
        for pool_id in self.state.pools:
            self._end_tasks(pool_id)
            self._add_tasks(pool_id)
            slots = serving.get(pool_id, 0) * SLOTS_PER_WORKER
            self._start_tasks(pool_id, slots)
            self._count(pool_id, slots)
        self.tick_count += 1
        if self.tick_count % 60 == 0:
            self.buffer_sum += self._buffer_count()

    def _end_tasks(self, pool_id: str) -> None:
        ends = self._ends.setdefault(pool_id, [])
        running = self._running.setdefault(pool_id, Counter())
        while ends and ends[0][0] <= self.waves.now_s:
            running[heapq.heappop(ends)[2]] -= 1

    def _add_tasks(self, pool_id: str) -> None:
        work_s = self.demand(pool_id, self.waves.now_s) * self.tick_s
        count = self.rng.gauss(1.0, 0.1) * work_s * SLOTS_PER_WORKER / RUN_S
        count = int(count + self.rng.random())
        teams = list(self.weights)
        for team_id in self.rng.choices(teams, TEAM_DEMANDS, k=max(0, count)):
            self.order.add(pool_id, team_id, self.waves.now_s)
            self.task_count += 1
        arrived_s = max(0, count) * RUN_S / SLOTS_PER_WORKER
        self.arrived_s[pool_id] = self.arrived_s.get(pool_id, 0.0) + arrived_s

    def _start_tasks(self, pool_id: str, slots: int) -> None:
        running, ends = self._running[pool_id], self._ends[pool_id]
        while len(ends) < slots:
            team_id = self.order.take(pool_id, running, slots, self.waves.now_s)
            if team_id is None:
                return
            running[team_id] += 1
            end_s = self.waves.now_s + self.rng.uniform(0.5, 1.5) * RUN_S
            heapq.heappush(ends, (end_s, len(ends), team_id))

    def _count(self, pool_id: str, slots: int) -> None:
        waiting = self.order.waiting(pool_id)
        waiting_count = sum(waiting.values())
        self.queued_s[pool_id] = waiting_count * RUN_S / SLOTS_PER_WORKER
        self.waited_s += waiting_count * self.tick_s
        if not waiting_count or not slots:
            return
        running = self._running[pool_id]
        wanted = {team: running[team] + waiting[team] for team in self.weights}
        due = due_slots(wanted, self.weights, slots)
        short = sum(max(0.0, due[team] - running[team]) for team in due)
        self.missed_slots += short
        self.full_slots += sum(due.values())

    def _buffer_count(self) -> int:
        needed = {
            p: steady_count(trend) for p, trend in self.demand_trends.trends.items()
        }
        pool_of = expected_pools(self.state)
        if self.shares_buffer:
            return loss_buffer_count(self.state, pool_of, needed, DomainOrder.RACK)
        return sum(
            loss_buffer_count(self.state, pool_of, {pool: need}, DomainOrder.RACK)
            for pool, need in needed.items()
        )


OrderFactory = Callable[[Mapping[str, float]], FifoOrder]
