"""A seeded load on a scheduler: callers that submit, come back, cancel and wait."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from cicadatrail_core.jobs.models import (
    EndKind,
    FleetConfiguration,
    JobDefinition,
    JobPhase,
    Machine,
    MachineState,
    Pool,
    Queue,
    Step,
    SubtaskName,
    Team,
)
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling.admission import AdmissionControl
from cicadatraild.scheduling.messages import Refused
from features.support.job_world import JobWorld

WORKER_COUNT = 8
CORES = 16
STEP_S = 0.05
LOAD_S = 24.0
SURGE = (4.0, 16.0)
SETTLE_S = 120.0
USUAL_PER_S = 5.0
"""Jobs a second that keep about 0.6 of the workers busy."""

RETRY_COUNT = 4
CANCELLED_FRACTION = 0.05
QUEUES = (
    Queue("urgent", "", "/u/", "pool", 0, 3, 2.0, 600),
    Queue("plain", "", "/p/", "pool", 1, 3, 2.0, 600),
    Queue("aimless", "", "/a/", "pool", 1, 3, 2.0, 0),
)
TEAMS = {
    "hot": Team("hot", ("k1",), 2),
    "calm": Team("calm", ("k2",), 1),
    "small": Team("small", ("k3",), 1),
}


@dataclass(slots=True)
class Caller:
    """A job as its caller sees it; ``told_s`` is when the caller knew its outcome."""

    job_id: str
    plan: JobDefinition
    asked_s: float
    is_cancelled: bool
    tries: int = 0
    accepted: bool = False
    told_s: float = 0.0
    done_s: float = 0.0
    refused_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the callers of one group got, as counts of jobs that weren't cancelled."""

    asked: int = 0
    in_objective: int = 0
    late: int = 0
    useless: int = 0
    refused: int = 0

    @property
    def useful(self) -> int:
        return self.in_objective + self.late


class OverloadWorld:
    """Play a load of jobs against the scheduler, with admission or without."""

    queues: tuple[Queue, ...] = QUEUES

    def __init__(self, seed: int, surge: float, admits_all: bool) -> None:
        self.random = random.Random(seed)
        self.world = self._new_world()
        self.admits_all = admits_all
        self.callers: dict[str, Caller] = {}
        self.started_unaccepted: set[str] = set()
        self.epoch = 1
        self._ends: list[tuple[float, SubtaskName, int]] = []
        self.machines = {
            f"m-{name}": Machine(f"m-{name}", worker.facts.pool, MachineState.UP, name)
            for name, worker in self.world.scheduler.workers.items()
        }
        self._configure()
        self.world.report_all()
        self._due = self._draw_load(surge)
        self.began_s = self.world.now_s

    def _new_world(self) -> JobWorld:
        return JobWorld(WORKER_COUNT, CORES)

    def _configure(self) -> None:
        scheduler = self.world.scheduler
        pools = {queue.pool: Pool(queue.pool) for queue in self.queues}
        scheduler.configure(FleetConfiguration(2, self.queues, pools, TEAMS))
        self.control = AdmissionControl(scheduler, lambda: self.machines)

    def _draw_load(self, surge: float) -> list[tuple[float, str, int]]:
        due: list[tuple[float, str, int]] = []
        now_s = self.world.now_s
        end_s = now_s + LOAD_S
        while now_s < end_s:
            is_surge = SURGE[0] <= now_s - self.world.now_s < SURGE[1]
            rate = USUAL_PER_S * (surge if is_surge else 1.0)
            now_s += self.random.expovariate(rate)
            job_id = f"{len(self.callers):016x}"
            weights = (8, 1, 1) if is_surge else (2, 1, 1)
            team = self.random.choices([*TEAMS], weights)[0]
            queue = self.random.choices(("urgent", "plain"), (3, 1))[0]
            estimate_ms = int(self.random.lognormvariate(0, 0.4) * 800)
            wide = Step(4, Resources(3000, 10), estimate_ms)
            steps = (wide, replace(wide, after=(0,))) if queue == "plain" else (wide,)
            plan = JobDefinition(queue, team, "s", steps)
            is_cancelled = self.random.random() < CANCELLED_FRACTION
            self.callers[job_id] = Caller(job_id, plan, now_s, is_cancelled)
            heapq.heappush(due, (now_s, job_id, 0))
        return due

    def play(self, until_s: float = LOAD_S + SETTLE_S) -> None:
        """Play until ``until_s`` after the start, or until nothing is left."""
        world = self.world
        while world.now_s - self.began_s < until_s:
            while self._due and self._due[0][0] <= world.now_s:
                self._submit(self.callers[heapq.heappop(self._due)[1]])
            self._end_runs()
            world.tick(STEP_S)
            world.report_all()
            for run in world.run_all():
                self._carry_out(run)
            self._note_ends()
            is_idle = all(job.is_final for job in world.scheduler.jobs.values())
            if not self._due and is_idle:
                return

    def _carry_out(self, run: object) -> None:
        subtask = run.subtask  # type: ignore[attr-defined]
        if not self.callers[subtask.name.job_id].accepted:
            self.started_unaccepted.add(subtask.name.job_id)
        run_s = self._run_s(subtask.name.job_id, subtask.name.step)
        factor = random.Random(str(subtask.name)).lognormvariate(0, 0.2)
        entry = (self.world.now_s + run_s * factor, subtask.name, run.number)  # type: ignore[attr-defined]
        self._ends.append(entry)

    def _run_s(self, job_id: str, step: int) -> float:
        """Return the usual run time of a step's subtasks."""
        return self.callers[job_id].plan.steps[step].estimate_ms / 1000

    def _end_runs(self) -> None:
        due = [entry for entry in self._ends if entry[0] <= self.world.now_s]
        self._ends = [entry for entry in self._ends if entry[0] > self.world.now_s]
        for _, name, number in due:
            for sim in self.world.sims.values():
                if sim.running.get(name) == number:
                    sim.end(name, EndKind.DONE)

    def _submit(self, caller: Caller) -> None:
        now_s = self.world.now_s
        caller.tries += 1
        refusal = self._decide(caller)
        if refusal is None:
            caller.accepted = True
            job = self.world.submit(caller.job_id, caller.plan)
            if caller.is_cancelled:
                self.world.scheduler.cancel(job, now_s)
            return
        caller.refused_s = now_s
        if caller.tries > RETRY_COUNT:
            caller.told_s = now_s
            return
        heapq.heappush(
            self._due, (now_s + refusal.retry_after_s, caller.job_id, caller.tries)
        )

    def _decide(self, caller: Caller) -> Refused | None:
        if self.admits_all:
            return None
        return self.control.consider(caller.job_id, caller.plan, self.world.now_s)

    def _note_ends(self) -> None:
        for job in self.world.scheduler.jobs.values():
            caller = self.callers[job.job_id]
            if job.phase is JobPhase.COMPLETED and not caller.done_s:
                caller.done_s = caller.told_s = self.world.now_s

    def fail_over(self) -> None:
        """Replace the leader; its successor knows only what was stored."""
        self.epoch += 1
        self.world.fail_over(self.epoch)
        self._configure()

    def lose_half(self) -> None:
        """Lose every second worker with what runs there."""
        for name in [*self.world.sims][::2]:
            del self.world.sims[name]
            del self.machines[f"m-{name}"]
            scheduler = self.world.scheduler
            scheduler.remove_worker(name, self.world.now_s, "gone")

    def outcome(self, belongs: Callable[[Caller], bool] = lambda _: True) -> Outcome:
        """Return what callers got, of those for whom ``belongs`` is true."""
        counts = {"in_objective": 0, "late": 0, "useless": 0, "refused": 0}
        kept = [c for c in self.callers.values() if belongs(c) and not c.is_cancelled]
        for caller in kept:
            counts[self._kind(caller)] += 1
        return Outcome(len(kept), **counts)

    def _kind(self, caller: Caller) -> str:
        if not caller.accepted:
            return "refused"
        queue = self.world.scheduler.queues[caller.plan.queue]
        steps = range(len(caller.plan.steps))
        path_s = sum(self._run_s(caller.job_id, step) for step in steps)
        limit_s = queue.stretch * path_s + queue.target_latency_ms / 1000
        taken_s = caller.done_s - caller.asked_s
        if not caller.done_s or taken_s > 3 * limit_s:
            return "useless"
        return "in_objective" if taken_s <= limit_s else "late"
