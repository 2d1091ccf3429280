"""Steps about starts whose worker restarts, and about attempts and stuck runs."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.evacuation import stop_stuck_runs
from cicadatrail_core.jobs.models import EndKind
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatrail_core.jobs.state import Run, SubtaskPhase
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.jobs.worker_state import LATE_START_S
from features.support.job_world import (
    LATEST_START_S,
    LEASE_S,
    JobWorld,
    definition,
)

JOB = "00000000000000a1"
RESTART_S = 0.3
ANSWER_S = 0.5


def _start_one(world: JobWorld) -> Run:
    """Place one subtask on the first worker."""
    world.worker("w1").is_cordoned = True
    world.submit(JOB, definition(1))
    (run,) = world.dispatch()
    world.worker("w1").is_cordoned = False
    renew_lease(world.scheduler, run.worker, world.now_s)
    run.start_expires_s = run.worker.lease_expires_s
    return run


@given("a start on the first worker gets no answer")
def step_unanswered(context: Any) -> None:
    world = context.world
    context.run = _start_one(world)
    world.now_s += ANSWER_S
    context.run.mark_unanswered(world.now_s)


@given("a start on the first worker is answered after a report was requested")
def step_answered_late(context: Any) -> None:
    world = context.world
    context.run = _start_one(world)
    context.run.is_start_pending = False
    context.run.answered_s = world.now_s + RESTART_S + 0.0005


@when("the first worker reports a newer incarnation without the run")
def step_restart(context: Any) -> None:
    world = context.world
    world.sims["w0"].started_ms += 5
    world.now_s += RESTART_S
    world.report("w0")


@then("the subtask is not ready")
def step_not_ready(context: Any) -> None:
    assert context.run.subtask.phase is SubtaskPhase.ACTIVE
    assert context.world.dispatch() == []


@then("the subtask is not ready, and the start is sent to that incarnation again")
def step_not_ready_repeated(context: Any) -> None:
    world = context.world
    if not world.scheduler.starts:
        # Its entry has to be read first.
        world.tick(0.1)
        world.report("w0")
    assert world.stops() == []
    assert world.dispatch() == [context.run]
    assert context.run.subtask.live_runs == [context.run]


@then("after another restart it is stopped, and ready once the stop is acknowledged")
def step_stopped_later(context: Any) -> None:
    world = context.world
    context.run.mark_refused(world.now_s)
    step_restart(context)
    world.tick(0.1)
    world.report("w0")
    assert world.stops() == [context.run]
    assert world.dispatch() == []
    context.run.stop_acked_s = world.now_s
    world.now_s += 0.01
    world.report("w0")
    assert context.run.subtask.phase is SubtaskPhase.READY
    assert world.dispatch() == []


@then("the run counts until the longest lease of a late start is over")
def step_longest_lease(context: Any) -> None:
    world = context.world
    began_s = world.now_s
    world.stops()
    world.tick(LEASE_S + 1)
    step_not_ready(context)
    world.tick(LATEST_START_S + 6.0 - LEASE_S - 1)
    step_not_ready(context)
    world.tick(LATE_START_S - LATEST_START_S + 0.5)
    assert context.run.subtask.phase is SubtaskPhase.READY
    assert world.now_s - began_s > LATEST_START_S + 6.0


@given("a gang has failed twice of three times and a third run's lease expired")
def step_gang_failed(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(3, cores=4, gang=True))
    for _ in range(2):
        runs = world.run_all()
        assert len(runs) == 3
        sim = world.sims[runs[0].worker.facts.worker_id]
        sim.end(runs[0].subtask.name, EndKind.FAILED)
        for run in runs[1:]:
            other = world.sims[run.worker.facts.worker_id]
            other.end(run.subtask.name, EndKind.BROKEN)
        world.report_all()
    context.gang = world.run_all()
    assert len(context.gang) == 3


@when("the silent workers answer no more")
def step_silent(context: Any) -> None:
    world = context.world
    world.tick(LEASE_S + 1)
    # The workers answer again, but have not yet listed how the runs ended.
    for worker in world.scheduler.workers.values():
        renew_lease(world.scheduler, worker, world.now_s)


@then("the gang is not started again")
def step_gang_waits(context: Any) -> None:
    assert len(context.gang[0].subtask.step.ready) == 3
    assert context.world.dispatch() == []


@when("neither makes any progress for {seconds:d} seconds")
def step_no_progress(context: Any, seconds: int) -> None:
    world = context.world
    for _ in range(seconds * 2):
        world.now_s += 0.5
        world.report("w0")
    context.stuck = stop_stuck_runs(world.scheduler, world.now_s)


@then("the worker is reported once and both runs are stopped")
def step_reported_once(context: Any) -> None:
    assert context.stuck == [context.world.worker("w0")], context.stuck
    assert len(context.world.stops()) == 2


@given("a worker with a slow clock that answered 30 s ago")
def step_old_answer(context: Any) -> None:
    context.world = JobWorld(1)
    context.world.report_all()
    context.answered_s = context.world.now_s
    context.world.now_s += 30


@when("its lease is renewed")
def step_renewed(context: Any) -> None:
    world = context.world
    worker = world.worker("w0")
    deadline_ms = renew_lease(world.scheduler, worker, world.now_s)
    assert deadline_ms is not None
    left_s = (deadline_ms - worker.clock_ms) / 1000 / (1 - CLOCK_DRIFT)
    context.ended_s = context.answered_s + left_s


@then("the lease is over by the time that a successor waits")
def step_over_in_time(context: Any) -> None:
    world = context.world
    awaited_s = world.now_s + world.scheduler.settings.granted_lease_s
    assert context.ended_s <= awaited_s, (context.ended_s, awaited_s)
