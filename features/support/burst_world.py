"""A burst on full pools of jobs in sequence and wide ones, beside changes of leader."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cicadatrail_core.jobs.models import JobDefinition, Queue, Step, WorkerFacts
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling.messages import Refused
from features.support.job_world import JobWorld, SimulatedWorker
from features.support.overload_world import CORES, TEAMS, Caller, OverloadWorld

BURST_S = (4.0, 14.0)
BURST_FACTOR = 6.0
LOAD_S = 20.0
SETTLE_S = 60.0
POOLS = ("left", "right")
WORKER_COUNT = 16
USUAL_PER_S = 4.0
"""Jobs a second that keep about half of the workers busy."""

SILENT_S = 0.5
"""Time from a change of leader to the first reports of the workers."""

ESTIMATE_SPREAD = 0.5


class TwoPools(JobWorld):
    """Workers of two pools in turn, which don't report before ``silent_until_s``."""

    silent_until_s = 0.0

    def report_all(self) -> None:
        if self.now_s >= self.silent_until_s:
            super().report_all()

    def facts(self, sim: SimulatedWorker, draining: bool = False) -> WorkerFacts:
        pool = POOLS[int(sim.worker_id[1:]) % len(POOLS)]
        return replace(super().facts(sim, draining), pool=pool)


@dataclass(frozen=True, slots=True)
class QueueBound:
    """Baseline that refuses by the age and the length of a pool's queue."""

    age_s: float = 1.0
    length_count: int = 16
    retry_after_s: float = 1.0


class BurstWorld(OverloadWorld):
    """Play a burst with admission, or with a ``bound`` in its place.

    A new leader takes over each ``term_s`` of the load, unless that is 0.
    """

    queues = tuple(
        Queue(f"{kind}-{pool}", "", f"/{kind}/{pool}/", pool, 0, 3, 1.6, 600)
        for pool in POOLS
        for kind in ("narrow", "wide")
    )

    def __init__(
        self,
        seed: int,
        term_s: float,
        bound: QueueBound | None = None,
    ) -> None:
        self.world: TwoPools
        self.bound = bound
        self.term_s = term_s
        self.run_s: dict[str, list[float]] = {}
        super().__init__(seed, BURST_FACTOR, admits_all=False)

    def _new_world(self) -> JobWorld:
        return TwoPools(WORKER_COUNT, CORES)

    def _draw_load(self, surge: float) -> list[tuple[float, str, int]]:
        due: list[tuple[float, str, int]] = []
        asked_s = 0.0
        while asked_s < LOAD_S:
            in_burst = BURST_S[0] <= asked_s < BURST_S[1]
            asked_s += self.random.expovariate(
                USUAL_PER_S * (surge if in_burst else 1.0)
            )
            job_id = f"{len(self.callers):016x}"
            due.append((self.world.now_s + asked_s, job_id, 0))
            plan = self._draw_plan(job_id)
            self.callers[job_id] = Caller(job_id, plan, due[-1][0], False)
        return due

    def _draw_plan(self, job_id: str) -> JobDefinition:
        """Return a job; its estimates are off by a factor of their own."""
        draw = self.random
        kind, count = draw.choices((("narrow", 4), ("wide", 16)), (3, 1))[0]
        need = Resources(draw.randint(2, 6) * 1000, 10)
        step_count = draw.randint(1, 3)
        self.run_s[job_id] = [draw.lognormvariate(-0.4, 0.4) for _ in range(step_count)]
        off = draw.lognormvariate(0, ESTIMATE_SPREAD)
        steps = tuple(
            Step(count, need, int(run_s * off * 1000), after=(k - 1,) if k else ())
            for k, run_s in enumerate(self.run_s[job_id])
        )
        queue = f"{kind}-{draw.choice(POOLS)}"
        return JobDefinition(queue, draw.choice([*TEAMS]), "s", steps)

    def _run_s(self, job_id: str, step: int) -> float:
        return self.run_s[job_id][step]

    def _decide(self, caller: Caller) -> Refused | None:
        if self.bound is None:
            return super()._decide(caller)
        scheduler = self.world.scheduler
        pool = scheduler.queues[caller.plan.queue].pool
        waiting = [
            job.accepted_s
            for job in scheduler.jobs.values()
            if not job.started
            and not job.is_final
            and scheduler.queues[job.definition.queue].pool == pool
        ]
        is_old = waiting and self.world.now_s - min(waiting) > self.bound.age_s
        if is_old or len(waiting) >= self.bound.length_count:
            return Refused("queue", self.bound.retry_after_s)
        return None

    def play_terms(self) -> None:
        """Play the load to its end, with its changes of leader."""
        terms = int(LOAD_S / self.term_s) if self.term_s else 0
        for term in range(1, terms + 1):
            self.play(term * self.term_s)
            accepted_s = {k: j.accepted_s for k, j in self.world.scheduler.jobs.items()}
            self.fail_over()
            self.world.silent_until_s = self.world.now_s + SILENT_S
            for job in self.world.scheduler.jobs.values():
                job.accepted_s = accepted_s[job.job_id]
        self.play(LOAD_S + SETTLE_S)
