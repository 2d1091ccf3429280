"""Traces of requests on the virtual clock, and the policies that meet them."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from cicadatrail_core.admission.preemption import PreemptionStep
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    TaskEnd,
)
from features.support.admission_fleet import request

TICK_S = 0.25
"""Time between two looks for room to take back."""

TASK = Resources(2000, 4096)
PEAK_S = (60.0, 70.0)
MIX = (
    (Urgency.URGENT, 0.2, 0.4),
    (Urgency.NORMAL, 0.6, 0.6),
    (Urgency.BATCH, 0.2, 6.0),
)
"""Class, part of the requests and mean run time in seconds."""


@dataclass(frozen=True, slots=True)
class Arrival:
    at_s: float
    request: TaskRequest
    run_s: float


class Policy(Protocol):
    def arrive(self, request: TaskRequest, now_s: float) -> list[str]:
        """Take a request; return the ids that start now."""

    def end(self, request_id: str, now_s: float) -> list[str]:
        """Take the end of a task; return the ids that start now."""

    def stop(self, now_s: float) -> list[str]:
        """Return the tasks that are to stop now."""


@dataclass
class Outcome:
    arrivals: Mapping[str, Arrival]
    started_s: dict[str, float] = field(default_factory=dict)
    ended_s: dict[str, float] = field(default_factory=dict)
    until_s: float = 0.0
    total: Resources = NO_RESOURCES

    def delays_s(self, urgency: Urgency) -> list[float]:
        return [
            self.started_s.get(name, float("inf")) - arrival.at_s
            for name, arrival in self.arrivals.items()
            if arrival.request.urgency is urgency
        ]

    def shares(self, from_s: float) -> list[float]:
        """Return each team's mean dominant share from a time on."""
        teams = sorted({one.request.team_id for one in self.arrivals.values()})
        use = dict.fromkeys(teams, 0.0)
        for name, started_s in self.started_s.items():
            one = self.arrivals[name]
            ended_s = min(self.ended_s.get(name, self.until_s), self.until_s)
            span_s = max(0.0, ended_s - max(started_s, from_s))
            use[one.request.team_id] += span_s * one.request.size.dominant_share(
                self.total
            )
        return [use[team] / (self.until_s - from_s) for team in teams]


class Shared:
    """The dispatcher of this repository; stopped tasks are submitted again."""

    def __init__(self, state: State) -> None:
        self.dispatcher = Dispatcher(DispatcherSettings())
        slots = dict.fromkeys(state.teams, 100_000)
        self.dispatcher.configure(state, list(state.workers), slots, 0.0)

    def arrive(self, request: TaskRequest, now_s: float) -> list[str]:
        answer = self.dispatcher.submit(request, now_s)
        started = [request.request_id] if isinstance(answer, Placed) else []
        return started + self._place(now_s)

    def end(self, request_id: str, now_s: float) -> list[str]:
        self.dispatcher.finish(request_id, TaskEnd.SUCCEEDED, now_s)
        return self._place(now_s)

    def stop(self, now_s: float) -> list[str]:
        orders = self.dispatcher.next_preemptions(now_s)
        # A task that was checkpointed ends and goes on later.
        ending = (PreemptionStep.CHECKPOINT, PreemptionStep.STOP)
        return [order.request_id for order in orders if order.step in ending]

    def _place(self, now_s: float) -> list[str]:
        placed = self.dispatcher.next_placements(now_s)
        return [one.request.request_id for one in placed]


class FirstCome:
    """First come, first served, in each pool; the first that fits."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.free = {name: one.capacity for name, one in state.workers.items()}
        self.lines: dict[str, deque[TaskRequest]] = {}
        self.running: dict[str, tuple[TaskRequest, str]] = {}

    def arrive(self, request: TaskRequest, now_s: float) -> list[str]:
        line = self.line_of(request)
        self.lines.setdefault(line, deque()).append(request)
        return self._start(line)

    def end(self, request_id: str, now_s: float) -> list[str]:
        request, worker_id = self.running.pop(request_id)
        self.free[worker_id] += request.size
        return self._start(self.line_of(request))

    def stop(self, now_s: float) -> list[str]:
        return []

    def line_of(self, request: TaskRequest) -> str:
        return self.state.services[request.service_id].pool_id

    def may_start(self, request: TaskRequest) -> bool:
        return True

    def _start(self, line: str) -> list[str]:
        started = []
        waiting = self.lines.get(line, deque())
        while waiting and self.may_start(waiting[0]):
            worker_id = self._find(waiting[0])
            if worker_id is None:
                break
            request = waiting.popleft()
            self.free[worker_id] -= request.size
            self.running[request.request_id] = (request, worker_id)
            started.append(request.request_id)
        return started

    def _find(self, request: TaskRequest) -> str | None:
        pool_id = self.state.services[request.service_id].pool_id
        for worker_id, free in self.free.items():
            if self.state.pool_of[worker_id] == pool_id and request.size.fits_in(free):
                return worker_id
        return None


class StaticSplit(FirstCome):
    """Each team has its part of each pool, and a line of its own for it."""

    def line_of(self, request: TaskRequest) -> str:
        return f"{super().line_of(request)} {request.team_id}"

    def may_start(self, request: TaskRequest) -> bool:
        pool_id = self.state.services[request.service_id].pool_id
        total = sum(
            worker.capacity.cpu_millicores
            for name, worker in self.state.workers.items()
            if self.state.pool_of[name] == pool_id
        )
        weights = {name: team.share_weight for name, team in self.state.teams.items()}
        part = total * weights[request.team_id] / sum(weights.values())
        line = self.line_of(request)
        used = sum(
            other.size.cpu_millicores
            for other, _ in self.running.values()
            if self.line_of(other) == line
        )
        return used + request.size.cpu_millicores <= part


POLICIES: Mapping[str, Callable[[State], Policy]] = {
    "this version": Shared,
    "first come": FirstCome,
    "static split": StaticSplit,
}


def play(policy: Policy, trace: list[Arrival], until_s: float) -> Outcome:
    """Play a trace; a stopped task comes again at once with its time still to run."""
    arrivals = {one.request.request_id: one for one in trace}
    state: State = getattr(policy, "state", None) or policy.dispatcher._view.state  # type: ignore[attr-defined]
    outcome = Outcome(arrivals, until_s=until_s)
    for worker in state.workers.values():
        outcome.total += worker.capacity
    events = [(one.at_s, 0, one.request.request_id) for one in trace]
    events += [(tick * TICK_S, 1, "") for tick in range(int(until_s / TICK_S))]
    heapq.heapify(events)
    left_s = {name: one.run_s for name, one in arrivals.items()}
    resumed_s: dict[str, float] = {}

    def start(names: list[str], now_s: float) -> None:
        for name in names:
            outcome.started_s.setdefault(name, now_s)
            resumed_s[name] = now_s
            heapq.heappush(events, (now_s + left_s[name], 2, name))

    while events and events[0][0] <= until_s:
        now_s, kind, name = heapq.heappop(events)
        if kind == 0:
            start(policy.arrive(arrivals[name].request, now_s), now_s)
        elif kind == 1:
            for stopped in policy.stop(now_s):
                left_s[stopped] -= now_s - resumed_s.pop(stopped)
                started = policy.end(stopped, now_s)
                start(started + policy.arrive(arrivals[stopped].request, now_s), now_s)
        elif name in resumed_s and abs(resumed_s[name] + left_s[name] - now_s) < 1e-6:
            del resumed_s[name]
            outcome.ended_s[name] = now_s
            start(policy.end(name, now_s), now_s)
    return outcome


def peak_trace(random: Random, state: State) -> list[Arrival]:
    """Arrivals at a fifth of what the pool holds, and at its peak five times that.

    The urgent part alone stays under what the pool holds.
    """
    mean_run_s = sum(part * run_s for _, part, run_s in MIX)
    slots = len(state.workers) * 16
    mean_rate = 0.3 * slots / mean_run_s
    trace: list[Arrival] = []
    now_s = 0.0
    while now_s < 120.0:
        rate = 5 * mean_rate if PEAK_S[0] <= now_s < PEAK_S[1] else mean_rate
        now_s += random.expovariate(rate)
        trace.append(_arrival(random, now_s, len(trace), random.randrange(6), 0))
    return trace


def share_trace(random: Random, state: State) -> tuple[list[Arrival], list[float]]:
    """Arrivals of 1.6 times what the fleet holds, with a few large teams.

    Returns the demand of each team as a part of the fleet, too.
    """
    demand = [0.5, 0.4, 0.3, 0.2, 0.15, 0.05]
    slots = len(state.workers) * 16
    mean_run_s = 1.0
    trace: list[Arrival] = []
    for team, part in enumerate(demand):
        now_s = 0.0
        while now_s < 120.0:
            now_s += random.expovariate(part * slots / mean_run_s)
            name = f"{team}/{len(trace)}"
            one = request(name, team=team, pool=random.randrange(5), size=TASK)
            trace.append(Arrival(now_s, one, random.uniform(0.5, 1.5)))
    return sorted(trace, key=lambda one: one.at_s), demand


def due_shares(demand: list[float], weights: list[float]) -> list[float]:
    """Fill up teams by weight until the fleet is full or their demand is met."""
    due = [0.0] * len(demand)
    left = 1.0
    open_teams = set(range(len(demand)))
    while open_teams and left > 1e-12:
        level = left / sum(weights[team] for team in open_teams)
        level = min(
            level, *((demand[one] - due[one]) / weights[one] for one in open_teams)
        )
        for team in open_teams:
            due[team] += level * weights[team]
            left -= level * weights[team]
        open_teams = {one for one in open_teams if demand[one] - due[one] > 1e-9}
    return due


def _arrival(random: Random, at_s: float, number: int, team: int, pool: int) -> Arrival:
    parts = [part for _, part, _ in MIX]
    urgency, _, mean_s = random.choices(MIX, parts)[0]
    one = request(f"request-{number}", team=team, pool=pool, size=TASK, urgency=urgency)
    return Arrival(at_s, one, random.uniform(0.5, 1.5) * mean_s)
