"""Simulates waves by events on a virtual clock, with the product's planner and fold."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cicadatrail_core.fold import availability, maintenance
from cicadatrail_core.models.fleet import Place, Pool, Service, Worker
from cicadatrail_core.models.maintenance import (
    Condition,
    MoveStatus,
    StepStatus,
    Wave,
    WaveStatus,
)
from cicadatrail_core.models.patches import StartWave
from cicadatrail_core.models.records import (
    ConditionRecord,
    MoveDrainedRecord,
    PauseRecord,
    StepRecord,
)
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.waves.planner import DrainingKnowledge, WavePlan, plan_waves

REPORTER = IncarnationId("simulated")
HOUR_S = 3600.0

WavePolicy = Callable[[State, int, DrainingKnowledge], WavePlan]


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes of a fleet; racks hold workers of one pool or of several."""

    pool_count: int = 5
    workers_per_pool: int = 6
    rack_size: int = 4
    data_centre_count: int = 3
    limit_count: int = 1
    mixed_racks: bool = True
    capacity: Resources = Resources(32_000, 65_536)


def make_fleet(shape: FleetShape) -> State:
    """Return a fleet whose last pool is the spare one."""
    pools = [f"pool{index}" for index in range(shape.pool_count)]
    workers: dict[str, Worker] = {}
    pool_of: dict[str, str] = {}
    count = shape.pool_count * shape.workers_per_pool
    for index in range(count):
        name = f"w{index:04}"
        rack = index // shape.rack_size
        place = Place("r", f"dc{rack % shape.data_centre_count}", f"rack{rack:03}")
        workers[name] = Worker(name, "127.0.0.1", 10_000, place, shape.capacity)
        pool_index = index // shape.workers_per_pool
        if shape.mixed_racks:
            pool_index = index % shape.pool_count
        pool_of[name] = pools[pool_index]
    return State(
        pools={name: Pool(name, spare=name == pools[-1]) for name in pools},
        services={
            f"service-{name}": Service(f"service-{name}", name, shape.limit_count)
            for name in pools
        },
        workers=workers,
        pool_of=pool_of,
    )


@dataclass(frozen=True, slots=True)
class WorkerTimes:
    """Drain and maintenance times of one worker."""

    drain_s: float
    maintenance_s: float


def draw_times(
    state: State, rng: random.Random, drain_s: float, maintenance_s: float
) -> dict[str, WorkerTimes]:
    """Draw each worker's times: drains spread by half, maintenance by a tenth."""
    return {
        worker_id: WorkerTimes(
            drain_s * rng.uniform(0.5, 1.5), maintenance_s * rng.uniform(0.9, 1.1)
        )
        for worker_id in state.workers
    }


@dataclass
class WaveSimulation:
    """Event-driven simulation of waves and moves.

    ``failing_workers`` names those that don't return from maintenance.
    """

    state: State
    times: Mapping[str, WorkerTimes]
    policy: WavePolicy = plan_waves
    append_s: float = 0.5
    start_hour: int = 9
    failing_workers: frozenset[str] = frozenset()
    now_s: float = 0.0
    breach_count: int = 0
    refused_count: int = 0
    maintained: list[str] = field(default_factory=list)
    drained: set[str] = field(default_factory=set)
    requested: set[str] = field(default_factory=set)
    held_since_s: dict[str, float] = field(default_factory=dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0

    def schedule(self, when_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (when_s, self._sequence, action))

    def start_wave(self, wave: Wave) -> None:
        result = maintenance.start_wave(self.state, StartWave(wave), "operations[0]")
        self.state = result.unwrap()

    def fail_worker(self, worker_id: str, at_s: float, repair_s: float) -> None:
        self.schedule(at_s, lambda: self._report(worker_id, Condition.FAILED))
        self.schedule(
            at_s + repair_s, lambda: self._report(worker_id, Condition.SERVING)
        )

    def _report(self, worker_id: str, condition: Condition) -> None:
        record = ConditionRecord(worker_id, condition, REPORTER)
        self.state = maintenance.apply_condition(self.state, record)

    def run(self, until_s: float = float("inf")) -> None:
        """Process events in the order of time and plan after each."""
        self.plan()
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
            self.plan()
        if until_s != float("inf"):
            self.now_s = until_s

    def plan(self) -> None:
        hour = int(self.start_hour + self.now_s / HOUR_S) % 24
        knowledge = DrainingKnowledge(
            drained=frozenset(self.drained),
            requested=frozenset(self.requested),
            drain_s_of={name: times.drain_s for name, times in self.times.items()},
        )
        plan = self.policy(self.state, hour, knowledge)
        for pause in plan.pauses:
            record = PauseRecord(pause.wave_id, pause.reason, REPORTER)
            self.state = maintenance.apply_pause(self.state, record)
        for step in plan.steps:
            self.requested.add(step.worker_id)
            record_of_step = StepRecord(
                step.wave_id, step.worker_id, step.step, REPORTER
            )
            self._append(record_of_step)

    def _append(self, record: StepRecord) -> None:
        self.schedule(self.now_s + self.append_s, lambda: self.fold_step(record))

    def fold_step(self, record: StepRecord) -> None:
        """Fold a step and start what follows from it."""
        worker_id = record.worker_id
        self.requested.discard(worker_id)
        before = self.state
        self.state = maintenance.apply_step(before, record)
        if self.state is before:
            self.refused_count += 1
            return
        self._count_breach(worker_id, record.step)
        times = self.times[worker_id]
        match record.step:
            case StepStatus.DRAINING:
                self.held_since_s[worker_id] = self.now_s
                self.schedule(
                    self.now_s + times.drain_s, lambda: self.drained.add(worker_id)
                )
            case StepStatus.MAINTAINING:
                self.maintained.append(worker_id)
                after = StepStatus.DONE
                if worker_id in self.failing_workers:
                    after = StepStatus.FAILED
                done = replace(record, step=after)
                self.schedule(
                    self.now_s + times.maintenance_s, lambda: self._append(done)
                )
            case _:
                self.drained.discard(worker_id)

    def _count_breach(self, worker_id: str, step: StepStatus) -> None:
        """Count drains after which a pool is over its budget."""
        if step is not StepStatus.DRAINING:
            return
        pool_id = self.state.pool_of[worker_id]
        limit = availability.unavailable_limit_count(self.state, pool_id)
        out = availability.unavailable_workers(self.state, pool_id)
        self.breach_count += limit is not None and len(out) > limit

    def drain_move(self, move_id: str, on_done: Callable[[], None]) -> None:
        """Drain the worker of a started move, then change its pool."""
        move = self.state.moves[move_id]

        def finish() -> None:
            record = MoveDrainedRecord(move_id, REPORTER)
            self.state = maintenance.apply_move_drained(self.state, record)
            if self.state.moves[move_id].status is MoveStatus.DONE:
                on_done()

        self.schedule(self.now_s + self.times[move.worker_id].drain_s, finish)


def finished(state: State) -> bool:
    """Return whether every wave is done."""
    return all(w.status is WaveStatus.DONE for w in state.waves.values())
