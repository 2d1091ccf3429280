"""Request traces on a virtual clock, and the scheduling policies compared on them."""

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
"""Interval between two checks for tasks to preempt."""

TASK = Resources(2000, 4096)
PEAK_S = (60.0, 70.0)
MIX = (
    (Urgency.URGENT, 0.2, 0.4),
    (Urgency.NORMAL, 0.6, 0.6),
    (Urgency.BATCH, 0.2, 6.0),
)
"""Urgency, fraction of the requests and mean run time in seconds."""


@dataclass(frozen=True, slots=True)
class Arrival:
    at_s: float
    request: TaskRequest
    run_s: float


class Policy(Protocol):
    """Scheduling policy that decides which requests start."""

    def arrive(self, request: TaskRequest, now_s: float) -> list[str]:
        """Add a request and return the ids that start now."""

    def end(self, request_id: str, now_s: float) -> list[str]:
        """Record the end of a task and return the ids that start now."""

    def stop(self, now_s: float) -> list[str]:
        """Return the ids of the tasks to stop now."""


@dataclass
class Outcome:
    """Start and end times of a simulated trace."""

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
        """Return each team's mean dominant share from ``from_s`` on."""
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


class DispatcherPolicy:
    """Policy of this repository's dispatcher; stopped tasks are submitted again."""

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
        # A task that was checkpointed ends and resumes later.
        ending = (PreemptionStep.CHECKPOINT, PreemptionStep.STOP)
        return [order.request_id for order in orders if order.step in ending]

    def _place(self, now_s: float) -> list[str]:
        placed = self.dispatcher.next_placements(now_s)
        return [one.request.request_id for one in placed]


class FirstComeFirstServed:
    """First come, first served in each pool, on the first worker that fits."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.free = {name: one.capacity for name, one in state.workers.items()}
        self.queues: dict[str, deque[TaskRequest]] = {}
        self.running: dict[str, tuple[TaskRequest, str]] = {}

    def arrive(self, request: TaskRequest, now_s: float) -> list[str]:
        key = self.queue_key(request)
        self.queues.setdefault(key, deque()).append(request)
        return self._start(key)

    def end(self, request_id: str, now_s: float) -> list[str]:
        request, worker_id = self.running.pop(request_id)
        self.free[worker_id] += request.size
        return self._start(self.queue_key(request))

    def stop(self, now_s: float) -> list[str]:
        return []

    def queue_key(self, request: TaskRequest) -> str:
        return self.state.services[request.service_id].pool_id

    def may_start(self, request: TaskRequest) -> bool:
        return True

    def _start(self, key: str) -> list[str]:
        started = []
        waiting = self.queues.get(key, deque())
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


class StaticSplit(FirstComeFirstServed):
    """Fixed part of each pool for each team, with a queue of its own."""

    def queue_key(self, request: TaskRequest) -> str:
        return f"{super().queue_key(request)} {request.team_id}"

    def may_start(self, request: TaskRequest) -> bool:
        pool_id = self.state.services[request.service_id].pool_id
        total = sum(
            worker.capacity.cpu_millicores
            for name, worker in self.state.workers.items()
            if self.state.pool_of[name] == pool_id
        )
        weights = {name: team.share_weight for name, team in self.state.teams.items()}
        part = total * weights[request.team_id] / sum(weights.values())
        key = self.queue_key(request)
        used = sum(
            other.size.cpu_millicores
            for other, _ in self.running.values()
            if self.queue_key(other) == key
        )
        return used + request.size.cpu_millicores <= part


POLICIES: Mapping[str, Callable[[State], Policy]] = {
    "this version": DispatcherPolicy,
    "first come": FirstComeFirstServed,
    "static split": StaticSplit,
}


def simulate(policy: Policy, trace: list[Arrival], until_s: float) -> Outcome:
    """Simulate a trace; a stopped task is resubmitted at once with its time left."""
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
    """Return arrivals at 0.3 of the pool's capacity, and five times that at the peak.

    The urgent requests alone stay within the pool's capacity.
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
    """Return arrivals of 1.6 times the fleet's capacity, mostly of a few large teams.

    Also return the demand of each team as a fraction of the fleet's capacity.
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
    """Return the max-min fair shares by weight (progressive filling).

    Teams are filled by weight until the fleet is full or their demand is met.
    """
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
