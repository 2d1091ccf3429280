"""Steps about queues that move to another pool or are removed."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.later_lives import CALL_LIMIT_S
from cicadatrail_core.jobs.models import JobDefinition, JobPhase, Step, WorkerFacts
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT, LEASE_MARGIN_S
from cicadatrail_core.leadership.acting_right import CONFIRMATION_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling.queue_records import QUEUE_PREFIX
from features.support.crash_world import STATUS_KEPT_S, STEP_S, CrashWorld
from features.support.job_world import LEASE_LIMIT_S, SimulatedWorker, configuration

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
LONG_S = 1000.0

LEAST_WAIT_S = CONFIRMATION_S + LEASE_LIMIT_S / (1 - CLOCK_DRIFT)
"""A start that no leader knows of may hold a lease up to the limit."""

LONGEST_WAIT_S = LEAST_WAIT_S + CALL_LIMIT_S + LEASE_MARGIN_S + 2 * STEP_S


class TwoPoolWorld(CrashWorld):
    """Workers w0 and w1 in the queue's first pool, w2 and w3 in another one."""

    def __init__(self, stack: ExitStack) -> None:
        self.configuration = configuration()
        super().__init__(stack, 4, 4)

    def new_scheduler(self, epoch: int) -> Scheduler:
        scheduler = super().new_scheduler(epoch)
        scheduler.configuration = replace(scheduler.configuration, version=0)
        scheduler.queues.clear()
        scheduler.configure(self.configuration)
        return scheduler

    def facts(self, sim: SimulatedWorker, draining: bool = False) -> WorkerFacts:
        pool = "pool" if sim.worker_id in ("w0", "w1") else "other"
        return replace(super().facts(sim, draining), pool=pool)

    def reconfigure(self, pool: str | None) -> None:
        """Give the queue another pool, or remove it."""
        present = self.configuration
        queues = tuple(replace(q, pool=pool) for q in present.queues if pool)
        self.configuration = replace(
            present, version=present.version + 1, queues=queues
        )
        self.scheduler.configure(self.configuration)


def _plan(*steps: Step) -> JobDefinition:
    return JobDefinition("q", "team", "spec", steps)


def _open_world(context: Any) -> TwoPoolWorld:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.world = TwoPoolWorld(stack)
    return context.world


@given("a job runs on 2 workers, and its queue then moves to another pool")
def step_moved(context: Any) -> None:
    world = _open_world(context)
    world.durations_s[JOB] = LONG_S
    world.submit(JOB, _plan(Step(2, Resources(4000, 10))))
    world.advance(0.5)
    assert [len(sim.running) for sim in world.sims.values()] == [1, 1, 0, 0]
    world.reconfigure("other")
    world.advance(0.5)


@when("a new leader takes over while a worker of the former pool is cut off")
def step_successor(context: Any) -> None:
    world = context.world
    world.silent.add("w0")
    world.fail_over(2)
    context.began_s = world.now_s


@when("a new leader finds no record of the queue while a former worker is cut off")
def step_no_record(context: Any) -> None:
    del context.world.stored[f"{QUEUE_PREFIX}q"]
    step_successor(context)


@then("the job's subtask on it starts only after its lease has ended")
def step_after_lease(context: Any) -> None:
    world = context.world
    sim = world.sims["w0"]
    (name,) = sim.running
    while world.now_s < context.began_s + LEAST_WAIT_S:
        world.advance_step()
        assert world.starts[name] == 1, f"{name} runs twice"
    world.advance(LONGEST_WAIT_S - LEAST_WAIT_S)
    assert world.starts[name] == 2, "the subtask was never started again"


@when("its runs end, and a new leader takes over while a former worker is cut off")
def step_runs_end(context: Any) -> None:
    world = context.world
    for sim in world.sims.values():
        for name in sim.running:
            world.due_s[name, sim.running[name]] = world.now_s
    world.advance(0.5)
    assert world.phase(JOB) is JobPhase.COMPLETED
    world.submit(NEXT_JOB, _plan(Step(1, Resources(4000, 10))))
    world.silent.add("w0")
    world.fail_over(2)


@then("a subtask of the next job starts at once in the new pool")
def step_at_once(context: Any) -> None:
    world = context.world
    world.advance(0.3)
    starts = sum(n for name, n in world.starts.items() if name.job_id == NEXT_JOB)
    assert starts == 1, starts


@given("a job waits, and its queue moves to another pool while the store is away")
def step_move_unstored(context: Any) -> None:
    world = _open_world(context)
    for worker_id in ("w0", "w1"):
        world.worker(worker_id).is_cordoned = True
    world.submit(JOB, _plan(Step(1, Resources(4000, 10))))
    world.advance(0.3)
    world.is_store_away = True
    world.reconfigure("other")


@then("nothing starts in the new pool until the store is back")
def step_no_start(context: Any) -> None:
    world = context.world
    world.advance(2.0)
    assert not world.starts, world.starts
    world.is_store_away = False
    world.advance(0.3)
    assert sum(world.starts.values()) == 1


@given("a job of two steps runs, and its queue is removed")
def step_removed(context: Any) -> None:
    world = _open_world(context)
    need = Resources(4000, 10)
    world.submit(JOB, _plan(Step(1, need), Step(1, need, after=(0,))))
    world.advance(0.2)
    world.reconfigure(None)


@when("a new leader takes over with the newest configuration")
def step_newest(context: Any) -> None:
    context.world.fail_over(2)


@then("the job is completed, and the queue's record is deleted later")
def step_completed(context: Any) -> None:
    world = context.world
    world.advance(3.0)
    assert world.phase(JOB) is JobPhase.COMPLETED
    assert f"{QUEUE_PREFIX}q" in world.stored
    world.now_s += STATUS_KEPT_S
    world.advance(0.2)
    world.scheduler.changed_jobs[NEXT_JOB] = None
    world.advance(0.2)
    assert f"{QUEUE_PREFIX}q" not in world.stored
