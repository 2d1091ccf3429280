"""Steps about leaders that follow each other while runs of ended jobs go on."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import EndKind
from cicadatraild.scheduling.leader_records import JOB_PREFIX
from features.support.crash_world import STATUS_KEPT_S, CrashWorld
from features.support.job_world import definition

JOB = "00000000000000f1"
NEW_JOB = "00000000000000f2"
CORES = 5
"""More than half of a worker."""

FIRST_WORKERS = {"the first worker": ["w0"], "no worker": []}


@given("2 workers that each run a subtask")
def step_run(context: Any) -> None:
    world = context.world = CrashWorld(context.stack, 2, 8)
    world.submit(JOB, definition(2, CORES))
    assert len(world.run_all()) == 2
    world.store()


@given("2 workers that each stop a run of a cancelled job")
def step_stop(context: Any) -> None:
    step_run(context)
    step_cancel(context)
    assert len(context.world.stops()) == 2


@when("the inherited job is cancelled")
def step_cancel(context: Any) -> None:
    world = context.world
    world.scheduler.cancel(world.scheduler.jobs[JOB], world.now_s)
    world.store()


@when("the next leader takes over")
def step_take_over(context: Any) -> None:
    context.world.fail_over(context.world.epoch + 1)


def _store_changes(world: CrashWorld) -> None:
    if world.records.has_changes():
        world.store()


def _end(world: CrashWorld, worker_id: str) -> None:
    sim = world.sims[worker_id]
    for name in [*sim.running]:
        sim.end(name, EndKind.STOPPED)


@when("the first worker reports the end of its run")
def step_report_end(context: Any) -> None:
    _end(context.world, "w0")
    step_report(context)


@when("both runs have ended")
def step_end_both(context: Any) -> None:
    for worker_id in context.world.sims:
        _end(context.world, worker_id)


@when("the first worker reports")
def step_report(context: Any) -> None:
    context.world.report("w0")
    _store_changes(context.world)


@when("each worker reports")
def step_report_all(context: Any) -> None:
    context.world.report_all()
    _store_changes(context.world)


@when("the job's state is forgotten while one worker is silent")
def step_forget(context: Any) -> None:
    world = context.world
    world.report("w0")
    world.now_s += STATUS_KEPT_S
    # Whatever keeps the definition so long, an unread worker with a lease does so.
    world.worker("w1").may_hold_former_lease = True
    world.tick(1.0)
    assert JOB not in world.scheduler.jobs
    world.store()


@then("a further job starts on {workers}")
def step_starts(context: Any, workers: str) -> None:
    world = context.world
    world.submit(NEW_JOB, definition(2, CORES))
    started = [run.worker.facts.worker_id for run in world.dispatch()]
    assert started == FIRST_WORKERS[workers], started


@then("the two runs are stopped")
def step_stopped(context: Any) -> None:
    assert len(context.world.stops()) == 2


@then("the store has the definition")
def step_has_definition(context: Any) -> None:
    assert JOB_PREFIX + JOB in context.world.stored


@then("the store doesn't have the definition")
def step_lacks_definition(context: Any) -> None:
    assert JOB_PREFIX + JOB not in context.world.stored


@then("the job is not known")
def step_unknown(context: Any) -> None:
    assert JOB not in context.world.scheduler.jobs
