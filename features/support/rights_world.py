"""Simulated clocks, links, log and instance list for the rights model."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from cicadatrail_core.fold import membership as fold
from cicadatrail_core.models import records as rec
from cicadatrail_core.models.fleet import Place, Team, Worker
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming

if TYPE_CHECKING:
    from features.support.rights_node import SimNode

TEAM = "team"
LIMIT = 6
WORKERS = ("w0", "w1", "w2")
PARTITIONS = (0, 1)
DRIFT = 0.01


@dataclass(frozen=True, slots=True)
class LimitPatch:
    """Patch that sets the team's limit; 0 removes the team."""

    limit: int


@dataclass(frozen=True, slots=True)
class WorkerPatch:
    """Patch that removes a worker or creates it again."""

    worker_id: str
    present: bool


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """Patch that withdraws the only key of the model."""


def fold_record(state: State, offset: int, record: Any) -> State:
    """Fold a record with the production functions, or one of the model's patches."""
    match record:
        case rec.JoinRecord():
            state = fold.apply_join(state, offset, record)
        case rec.PulseRecord():
            state = fold.apply_heartbeat(state, offset, record)
        case rec.LeaveRecord():
            state = fold.apply_leave(state, offset, record)
        case rec.RetireRecord():
            state = fold.apply_retire(state, offset, record)
        case rec.RetireAckRecord():
            state = fold.apply_retire_ack(state, offset, record)
        case rec.FreeRecord():
            state = fold.apply_free(state, offset, record)
        case rec.ClaimRecord():
            state = fold.apply_claim(state, offset, record)
        case rec.TransferRecord():
            state = fold.apply_transfer(state, offset, record)
        case rec.ReleaseRecord():
            state = fold.apply_release(state, offset, record)
        case LimitPatch(limit):
            teams = {TEAM: Team(TEAM, 1.0, limit)} if limit else {}
            state = fold.drop_rights_of_removed(replace(state, teams=teams))
            state = replace(state, version=state.version + 1)
        case WorkerPatch(worker_id, present):
            workers = {k: v for k, v in state.workers.items() if k != worker_id}
            if present:
                workers[worker_id] = make_worker(worker_id)
            state = fold.drop_rights_of_removed(replace(state, workers=workers))
            state = replace(state, version=state.version + 1)
        case KeyWithdrawal():
            state = replace(state, version=state.version + 1)
    return replace(state, next_offset=offset + 1)


def make_worker(worker_id: str) -> Worker:
    return Worker(worker_id, "127.0.0.1", 1, Place("r0", "d0"), Resources())


def first_state() -> State:
    return State(
        teams={TEAM: Team(TEAM, 1.0, LIMIT)},
        workers={worker_id: make_worker(worker_id) for worker_id in WORKERS},
    )


class Log:
    """The log, with the folded state before each of its offsets."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.states = [first_state()]
        self.limits = [LIMIT]
        self.down = False

    def append(self, record: Any) -> int:
        offset = len(self.records)
        state = fold_record(self.states[-1], offset, record)
        self.records.append(record)
        self.states.append(state)
        team = state.teams.get(TEAM)
        self.limits.append(team.upper_limit_tasks if team else 0)
        return offset

    def withdrawal_offset(self) -> int | None:
        for offset, record in enumerate(self.records):
            if isinstance(record, KeyWithdrawal):
                return offset
        return None


@dataclass(slots=True)
class Task:
    """A task at a worker, which ends by itself or when its lease expires."""

    owner: IncarnationId
    lender: IncarnationId | None
    end_s: float
    lease_until_s: float
    limit_offset: int
    """Oldest offset whose limit may have admitted the task."""

    def runs(self, now_s: float) -> bool:
        return now_s < self.end_s and now_s < self.lease_until_s


@dataclass(slots=True)
class Faults:
    """Faults in force: cut links, and restricted log access by instance."""

    links: set[tuple[str, str]] = field(default_factory=set)
    append_cut: set[str] = field(default_factory=set)
    read_cut: set[str] = field(default_factory=set)
    stale: set[str] = field(default_factory=set)
    slow_s: dict[tuple[str, str], float] = field(default_factory=dict)
    read_limits: dict[str, int] = field(default_factory=dict)
    loss_ratio: float = 0.02
    late_ratio: float = 0.03
    repeat_ratio: float = 0.03


class ViolationError(AssertionError):
    """Raised when an invariant of the model is broken."""


class World:
    """Discrete event simulation on true time."""

    def __init__(self, rng: random.Random, timing: RightsTiming) -> None:
        self.rng = rng
        self.timing = timing
        self.now_s = 0.0
        self.log = Log()
        self.faults = Faults()
        self.nodes: dict[IncarnationId, SimNode] = {}
        self.tasks: list[Task] = []
        self.reported_s: float | None = None
        self.loan_ends_s: dict[IncarnationId, float] = {}
        self.grant_offsets: dict[tuple[str, str, int], int] = {}
        self.event_counts: Counter[str] = Counter()
        self.list_history: list[tuple[float, frozenset[str]]] = []
        self.tick_ratio = 1.0
        self.scripted = False
        self.faults_ended = False
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._event_count = 0

    def call_later(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        self._event_count += 1
        event = (self.now_s + delay_s, self._event_count, call, args)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now_s = until_s

    def _delay_s(self) -> float:
        if self.rng.random() < self.faults.late_ratio:
            return self.rng.uniform(0.2, 3.0) * self.timing.support_s
        return self.rng.uniform(0.002, 0.03) * self.timing.support_s

    def send(self, source: SimNode, target_id: IncarnationId, message: Any) -> None:
        target = self.nodes.get(target_id)
        if target is None or (source.name, target.name) in self.faults.links:
            return
        if not target.alive:
            replies = not target.machine_lost or self._is_succeeded(target)
            if replies and (target.name, source.name) not in self.faults.links:
                self.call_later(self._delay_s(), source.receive, Refusal(target_id))
            return
        if self.rng.random() < self.faults.loss_ratio:
            return
        slow_s = self.faults.slow_s.get((source.name, target.name), 0.0)
        self.call_later(slow_s + self._delay_s(), target.receive, message)
        if self.rng.random() < self.faults.repeat_ratio:
            self.call_later(slow_s + self._delay_s(), target.receive, message)

    def _is_succeeded(self, node: SimNode) -> bool:
        """Return whether a later incarnation answers at the node's address.

        Always false before faults have ended, because lost machines don't answer.
        """
        return self.faults_ended and any(
            other.alive and other.name == node.name for other in self.nodes.values()
        )

    def append(self, source: SimNode, record: Any) -> None:
        if self.log.down or source.name in self.faults.append_cut:
            return
        if self.rng.random() < self.faults.loss_ratio:
            return
        self.call_later(self._delay_s(), self._append_to_log, record)
        if self.rng.random() < self.faults.repeat_ratio:
            self.call_later(self._delay_s(), self._append_to_log, record)

    def _append_to_log(self, record: Any) -> None:
        if not self.log.down:
            self.log.append(record)

    def readable_end_offset(self, node: SimNode) -> int:
        """Return the offset up to which a node can read the log now."""
        if self.log.down or node.name in self.faults.read_cut:
            return node.state.next_offset
        tail = len(self.log.records)
        if node.name in self.faults.stale:
            tail -= self.rng.randrange(0, 12)
        tail = min(tail, self.faults.read_limits.get(node.name, tail))
        return max(tail, node.state.next_offset)

    def end_process(self, node: SimNode) -> None:
        node.alive = False
        self.record_running_instances()

    def record_running_instances(self) -> None:
        """Record the instances that run now, which the list shows with a lag."""
        shown = frozenset(n.name for n in self.nodes.values() if n.alive)
        self.list_history.append((self.now_s, shown))

    def shown_instances(self) -> frozenset[str]:
        """Return the names in the instance list, with a random lag."""
        age_s = self.rng.uniform(0, self.timing.list_lag_s)
        shown: frozenset[str] = frozenset()
        for recorded_s, names in self.list_history:
            if recorded_s <= self.now_s - age_s:
                shown = names
        return shown

    def running_tasks(self) -> list[Task]:
        self.tasks = [task for task in self.tasks if task.runs(self.now_s)]
        return self.tasks


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a connection at the address of an incarnation."""

    incarnation: IncarnationId
