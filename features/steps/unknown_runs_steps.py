"""Steps about runs of jobs that a leader doesn't know."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.evacuation import evacuate
from cicadatrail_core.jobs.models import EndKind
from cicadatraild.scheduling.leader_records import JOB_PREFIX
from features.support.crash_world import CrashWorld
from features.support.job_world import definition

JOB = "00000000000000f3"
LASTING_JOB = "00000000000000f4"
OTHER_JOB = "00000000000000f5"
CORES = 5
"""More than half of a worker."""


@given("2 workers that each run a subtask of a job")
def step_run(context: Any) -> None:
    world = context.world = CrashWorld(context.stack, 2, 8)
    world.submit(JOB, definition(2, CORES))
    assert len(world.run_all()) == 2
    world.store()


@given("2 workers, one with a long-running subtask and one with a subtask of a job")
def step_run_lasting(context: Any) -> None:
    world = context.world = CrashWorld(context.stack, 2, 8)
    world.submit(LASTING_JOB, definition(1, CORES, lasting=True))
    world.submit(JOB, definition(1, CORES))
    assert len(world.run_all()) == 2
    for sim in world.sims.values():
        sim.percent = 100
    world.store()


@when("a leader takes over that can't read the job")
def step_take_over(context: Any) -> None:
    world = context.world
    world.stored[JOB_PREFIX + JOB] = b"\xc1"
    world.fail_over(world.epoch + 1)
    assert JOB not in world.scheduler.jobs


@when("all workers have reported")
def step_report(context: Any) -> None:
    context.world.report_all()


@when("the run on the first worker has ended and all workers have reported")
def step_end(context: Any) -> None:
    sim = context.world.sims["w0"]
    for name in [*sim.running]:
        sim.end(name, EndKind.DONE)
    context.world.report_all()


@when("the worker of the long-running subtask is evacuated")
def step_evacuate(context: Any) -> None:
    world = context.world
    job = world.scheduler.jobs[LASTING_JOB]
    (run,) = job.occurrences[0][0].subtasks[0].live_runs
    # A stop by the former leader can't be under way any more.
    run.inherited_clock_ms = None
    evacuate(world.scheduler, run.worker, world.now_s, world.now_s)


@then("no subtask of another job starts")
def step_starts_none(context: Any) -> None:
    world = context.world
    world.submit(OTHER_JOB, definition(2, CORES))
    assert world.dispatch() == []


@then("a subtask of another job starts on the first worker only")
def step_starts(context: Any) -> None:
    started = [run.worker.facts.worker_id for run in context.world.dispatch()]
    assert started == ["w0"], started


@then("the long-running subtask is not stopped")
def step_not_stopped(context: Any) -> None:
    assert context.world.stops() == []
