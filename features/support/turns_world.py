"""Four pools whose demand comes in turns, a standby pool, and a seeded load.

Runs the scheduler, the plan of moves and the forecast on a clock of its own.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field, replace

from cicadatrail_core.jobs.balance import plan_moves, pool_needs
from cicadatrail_core.jobs.demand import Demand
from cicadatrail_core.jobs.dispatch import dispatch
from cicadatrail_core.jobs.models import (
    FleetConfiguration,
    JobDefinition,
    Machine,
    MachineState,
    Pool,
    Queue,
    Step,
    Team,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.jobs.state import Run, RunPhase, SubtaskPhase
from cicadatrail_core.jobs.turn_forecast import TurnForecast
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling.pool_balance import (
    FALL_PEAK_WINDOW_S,
    PEAK_WINDOW_S,
    PLAN_INTERVAL_S,
)

POOLS = ("a", "b", "c", "d")
STANDBY = "standby"
MACHINE_CORES = 10
RUN_S = 1.0
STEP_S = 0.05
MOVE_S = 1.5
TURN_S = 8.0
WIDTH_S = 9.0
HIGH_PER_S = 10.0
LOW_PER_S = 0.3
RISE_S = 2.0
QUIET_S = 3.0
"""Time before the first turn: arrivals are known from then on."""


@dataclass
class Figures:
    """Waits of subtasks from the first seconds of each rise, and what machines cost."""

    first_waits_s: list[float] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    machine_s: float = 0.0
    move_count: int = 0
    unstarted_count: int = 0

    @property
    def mean_first_wait_s(self) -> float:
        return sum(self.first_waits_s) / len(self.first_waits_s)

    @property
    def mean_wait_s(self) -> float:
        return sum(self.waits_s) / len(self.waits_s)


class TurnsWorld:
    """Pools of 6 machines and 56 on standby; ``turns`` is None for the baseline.

    ``missing`` has the numbers of turns that fail to come.
    """

    def __init__(
        self, seed: int, turns: TurnForecast | None, missing: frozenset[int]
    ) -> None:
        self.now_s = 0.0
        self.turns = turns
        self.figures = Figures()
        self.random = random.Random(seed)
        self.missing = missing
        self.demand = Demand()
        self.scheduler = Scheduler(SchedulerSettings(1, 3.5, 6.0, 1000.0))
        queues = tuple(Queue(pool, "", f"/{pool}/", pool) for pool in POOLS)
        pools = {name: Pool(name) for name in POOLS}
        pools[STANDBY] = Pool(STANDBY, standby=True)
        teams = {"team": Team("team", ("key",))}
        self.scheduler.configure(FleetConfiguration(1, queues, pools, teams))
        self.machines: dict[str, Machine] = {}
        self.joining: list[tuple[float, str]] = []
        self.running: list[tuple[float, Run]] = []
        self.needs_seen: dict[str, deque[tuple[float, int]]] = {}
        self.job_count = 0
        for name, count in (*((pool, 6) for pool in POOLS), (STANDBY, 56)):
            for number in range(count):
                machine = Machine(f"{name}{number}", name, MachineState.UP, "", "k")
                self.machines[machine.name] = machine
                if name != STANDBY:
                    self._join(machine.name)

    def play(self, until_s: float) -> Figures:
        next_plan_s = self.now_s
        while self.now_s < until_s:
            self._arrive()
            self._end_runs()
            dispatch(self.scheduler, self.now_s)
            self._start_runs()
            if self.now_s >= next_plan_s:
                next_plan_s += PLAN_INTERVAL_S
                self._balance()
            self.figures.machine_s += STEP_S * sum(
                machine.pool != STANDBY for machine in self.machines.values()
            )
            self.now_s += STEP_S
        for job in self.scheduler.jobs.values():
            for steps in job.occurrences.values():
                self.figures.unstarted_count += sum(len(s.ready) for s in steps)
        return self.figures

    def count(self, pool: str) -> int:
        return sum(machine.pool == pool for machine in self.machines.values())

    def turn(self) -> tuple[int, float]:
        """Return the number of the present turn, and how long it has lasted."""
        number, age_s = divmod(self.now_s - QUIET_S, TURN_S)
        return int(number), age_s

    def _arrive(self) -> None:
        number, age_s = self.turn()
        for index, pool in enumerate(POOLS):
            per_s = LOW_PER_S
            for earlier in (0, 1):
                turn, turn_age_s = number - earlier, age_s + earlier * TURN_S
                is_on = turn >= 0 and turn % len(POOLS) == index
                if is_on and turn not in self.missing and turn_age_s < WIDTH_S:
                    per_s += HIGH_PER_S * math.sin(math.pi * turn_age_s / WIDTH_S) ** 2
            if self.random.random() < per_s * STEP_S:
                self._submit(pool)

    def _submit(self, pool: str) -> None:
        self.job_count += 1
        spec = Step(4, Resources(2500, 10), int(RUN_S * 1000))
        steps = (spec, replace(spec, after=(0,)))
        plan = JobDefinition(pool, "team", "s", steps)
        job = self.scheduler.accept(f"{self.job_count:016x}", plan, self.now_s)
        self.scheduler.activate(job, self.now_s, int(self.now_s * 1000))

    def _start_runs(self) -> None:
        starts, self.scheduler.starts = self.scheduler.starts, []
        for run in starts:
            run.phase, run.is_start_pending = RunPhase.RUNNING, False
            self.running.append((self.now_s + RUN_S, run))
            wait_s = self.now_s - run.subtask.ready_s
            self.figures.waits_s.append(wait_s)
            job = run.subtask.step.job
            number, age_s = divmod(job.accepted_s - QUIET_S, TURN_S)
            pool = run.worker.facts.pool
            is_rising = age_s < RISE_S and POOLS[int(number) % 4] == pool
            if is_rising and run.subtask.step.position == 0:
                self.figures.first_waits_s.append(wait_s)

    def _end_runs(self) -> None:
        due = [run for end_s, run in self.running if end_s <= self.now_s]
        self.running = [entry for entry in self.running if entry[0] > self.now_s]
        for run in due:
            step = run.subtask.step
            self.scheduler.detach(run, "done")
            run.subtask.phase = SubtaskPhase.DONE
            step.done_count += 1
            if step.is_done:
                self.scheduler.make_steps_ready(step.job, step.occurrence, self.now_s)
                self.scheduler.check_completed(step.job, self.now_s)

    def _balance(self) -> None:
        for due_s, name in [*self.joining]:
            if due_s <= self.now_s:
                self.joining.remove((due_s, name))
                self._join(name)
        needs = pool_needs(
            self.scheduler, self.demand, self.machines, self.now_s, self.turns
        )
        kept = {}
        for name, need in needs.items():
            seen = self.needs_seen.setdefault(name, deque())
            seen.append((self.now_s, need.needed_count))
            window_s = FALL_PEAK_WINDOW_S if need.is_falling else PEAK_WINDOW_S
            while seen[0][0] < self.now_s - window_s:
                seen.popleft()
            kept[name] = max(count for _, count in seen)
        for move in plan_moves(self.scheduler, needs, kept, self.machines, frozenset()):
            self.figures.move_count += 1
            self.scheduler.workers.pop(f"w-{move.machine}-{move.pool}", None)
            state = MachineState.UP if move.target == STANDBY else MachineState.MOVING
            moved = replace(self.machines[move.machine], pool=move.target, state=state)
            self.machines[move.machine] = moved
            if move.target != STANDBY:
                self.joining.append((self.now_s + MOVE_S, move.machine))

    def _join(self, name: str) -> None:
        machine = replace(self.machines[name], state=MachineState.UP)
        self.machines[name] = machine
        capacity = Resources(MACHINE_CORES * 1000, 64_000)
        facts = WorkerFacts(
            f"w-{name}-{machine.pool}", machine.pool, "", 0, "z", capacity, machine=name
        )
        worker = self.scheduler.update_worker(facts, self.now_s)
        report = WorkerReport(int(self.now_s * 1000), 1, (), ())
        apply_report(self.scheduler, worker, report, self.now_s, self.now_s)
        worker.lease_expires_s = float("inf")
