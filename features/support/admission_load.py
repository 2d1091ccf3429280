"""Closed-loop load on a dispatcher, simulated on a virtual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cicadatrail_core.admission.fair_queue import Ageing
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    TaskEnd,
    Waiting,
)
from features.support.admission_fleet import fleet

CAPACITY = Resources(8000, 8000)
SMALL = Resources(1000, 1000)
BOUND_TURNS = Ageing(limit_s=5.0, turn_count=8)


@dataclass
class ClosedLoop:
    """Run each placed task for ``run_s`` seconds and record start times and usage."""

    state: State
    dispatcher: Dispatcher
    run_s: Callable[[TaskRequest], float]
    now_s: float = 0.0
    ends: list[tuple[float, str]] = field(default_factory=list)
    running: dict[str, Placed] = field(default_factory=dict)
    submitted_s: dict[str, float] = field(default_factory=dict)
    started_s: dict[str, float] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    resource_seconds: dict[str, list[float]] = field(default_factory=dict)

    def submit(self, request: TaskRequest) -> bool:
        """Submit a request and return whether it was placed or queued."""
        self.submitted_s[request.request_id] = self.now_s
        answer = self.dispatcher.submit(request, self.now_s)
        if isinstance(answer, Placed):
            self._start(answer)
        self.place()
        return isinstance(answer, Placed | Waiting)

    def place(self) -> None:
        for placed in self.dispatcher.next_placements(self.now_s):
            self._start(placed)

    def run_until(self, until_s: float, after_end: Callable[[Placed], None]) -> None:
        """Advance to ``until_s`` and end each task that is due by then."""
        while self.ends and self.ends[0][0] <= until_s:
            end_s, request_id = heapq.heappop(self.ends)
            self.advance_to(end_s)
            if request_id in self.running:
                self.end(request_id, TaskEnd.SUCCEEDED, after_end)
        self.advance_to(until_s)

    def end(
        self, request_id: str, ended: TaskEnd, after_end: Callable[[Placed], None]
    ) -> None:
        placed = self.running.pop(request_id)
        team_id = placed.request.team_id
        self.used[team_id] -= placed.size
        self.dispatcher.finish(request_id, ended, self.now_s)
        self.place()
        after_end(placed)

    def advance_to(self, now_s: float) -> None:
        passed_s = now_s - self.now_s
        for team_id, used in self.used.items():
            sums = self.resource_seconds.setdefault(team_id, [0.0, 0.0, 0.0])
            sums[0] += used.cpu_millicores * passed_s
            sums[1] += used.memory_mib * passed_s
            sums[2] += used.accelerator_count * passed_s
        self.now_s = now_s

    def dominant_shares(self, span_s: float) -> dict[str, float]:
        """Return each team's mean dominant share since the sums were cleared."""
        total = NO_RESOURCES
        for worker in self.state.workers.values():
            total += worker.capacity
        limits = (total.cpu_millicores, total.memory_mib, total.accelerator_count)
        return {
            team_id: max(
                amount / span_s / limit
                for amount, limit in zip(sums, limits, strict=True)
                if limit
            )
            for team_id, sums in self.resource_seconds.items()
        }

    def _start(self, placed: Placed) -> None:
        request = placed.request
        self.started_s[request.request_id] = self.now_s
        self.running[request.request_id] = placed
        used = self.used.get(request.team_id, NO_RESOURCES)
        self.used[request.team_id] = used + placed.size
        heapq.heappush(
            self.ends, (self.now_s + self.run_s(request), request.request_id)
        )


def make_loop(workers: int, weights: list[float], **more: Any) -> ClosedLoop:
    state = fleet([workers], weights, CAPACITY, **more)
    dispatcher = Dispatcher(DispatcherSettings(ageing=BOUND_TURNS))
    slots = dict.fromkeys(state.teams, 10_000)
    dispatcher.configure(state, list(state.workers), slots, 0.0)
    return ClosedLoop(state, dispatcher, run_s=lambda request: 1.0)
