"""A scheduler with two pools and a standby pool, for tests of pool balancing."""

from __future__ import annotations

from dataclasses import replace

from cicadatrail_core.jobs.balance import PlannedMove, PoolNeed, plan_moves, pool_needs
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
from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

CORES = 10
STANDBY = "standby"


class BalanceWorld:
    """Pools a and b with a worker per machine, and machines on standby without one."""

    def __init__(self, a: int, b: int, standby: int, has_standby: bool = True) -> None:
        self.now_s = 100.0
        self.demand = Demand()
        self.pinned: frozenset[str] = frozenset()
        self.scheduler = Scheduler(SchedulerSettings(1, 3.5, 6.0, 120.0))
        self.has_standby = has_standby
        self.configure(NO_RESOURCES)
        self.machines: dict[str, Machine] = {}
        for pool, count in (("a", a), ("b", b), (STANDBY, standby)):
            for number in range(count):
                self._add(pool, number)
        self.sizes = {"a": a, "b": b}
        self.job_count = 0

    def configure(self, limit: Resources) -> None:
        pools = {"a": Pool("a"), "b": Pool("b")}
        if self.has_standby:
            pools[STANDBY] = Pool(STANDBY, standby=True)
        version = self.scheduler.configuration.version + 1
        self.scheduler.configure(
            FleetConfiguration(
                version,
                (Queue("qa", "", "/a/", "a"), Queue("qb", "", "/b/", "b")),
                pools,
                {"team": Team("team", ("key",), 1, limit)},
            )
        )

    def _add(self, pool: str, number: int) -> None:
        name = f"m-{pool}-{number}"
        state = MachineState.UP
        self.machines[name] = Machine(name, pool, state, f"w-{name}", "k")
        if pool == STANDBY:
            return
        facts = WorkerFacts(
            f"w-{name}",
            pool,
            "10.0.0.1",
            80,
            "z",
            Resources(CORES * 1000, 64_000),
            ("k", f"r{number % 2}"),
            machine=name,
        )
        worker = self.scheduler.update_worker(facts, self.now_s)
        report = WorkerReport(int(self.now_s * 1000), 1, (), ())
        apply_report(self.scheduler, worker, report, self.now_s, self.now_s)
        renew_lease(self.scheduler, worker, self.now_s)

    def set_kind(self, pool: str, kind: str) -> None:
        for name, machine in self.machines.items():
            if machine.pool == pool:
                self.machines[name] = replace(machine, kind=kind)

    def submit(self, pool: str, *steps: Step) -> list[Run]:
        """Accept a job and place the subtasks that fit; return the runs to start."""
        self.job_count += 1
        plan = JobDefinition(f"q{pool}", "team", "s", steps)
        job = self.scheduler.accept(f"{self.job_count:016x}", plan, self.now_s)
        self.scheduler.activate(job, self.now_s, int(self.now_s * 1000))
        dispatch(self.scheduler, self.now_s)
        starts, self.scheduler.starts = self.scheduler.starts, []
        return starts

    def run(self, runs: list[Run]) -> None:
        for run in runs:
            run.phase = RunPhase.RUNNING
            run.percent = 100

    def needs(self) -> dict[str, PoolNeed]:
        return pool_needs(self.scheduler, self.demand, self.machines, self.now_s)

    def moves(self, kept_counts: dict[str, int] | None = None) -> list[PlannedMove]:
        needs = self.needs()
        counts = {name: need.needed_count for name, need in needs.items()}
        return plan_moves(
            self.scheduler, needs, kept_counts or counts, self.machines, self.pinned
        )
