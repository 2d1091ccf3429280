"""Steps about workers that a new leader has not reached, and its own lease."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import SubtaskName, WorkerReport
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatraild.scheduling.fleet_record import FLEET_KEY
from features.support.crash_world import CrashWorld
from features.support.job_world import definition

RUNNING = "00000000000000a1"
WAITING = "00000000000000a2"
LONG_S = 1000.0
WITHOUT_LEASE_S = 10.0


@given("a subtask runs on one of 2 workers as the leader changes")
def step_runs(context: Any) -> None:
    world = context.world = CrashWorld(context.stack, 2, 8)
    world.durations_s[RUNNING] = LONG_S
    world.durations_s[WAITING] = LONG_S
    world.submit(RUNNING, definition(1, 8))
    world.advance(1.0)
    context.name = SubtaskName(RUNNING, 0, 0, 0)
    assert world.starts[context.name] == 1
    (context.busy,) = [sim for sim in world.sims.values() if sim.running]
    world.submit(WAITING, definition(1, 8))
    world.store()


def _fail_over(world: CrashWorld) -> None:
    world.fail_over(2)
    world.scheduler.is_lease_valid = lambda: False


@when("the new leader does not reach that worker, and has no lease for 10 s")
def step_not_reached(context: Any) -> None:
    world = context.world
    world.silent.add(context.busy.worker_id)
    _fail_over(world)
    world.advance(WITHOUT_LEASE_S)


@when("that worker answers with a part of its lists, and there is no lease for 10 s")
def step_part(context: Any) -> None:
    world = context.world
    world.silent.add(context.busy.worker_id)
    _fail_over(world)
    worker = world.worker(context.busy.worker_id)
    report = WorkerReport(
        world.now_ms, context.busy.started_ms, (), (), is_complete=False
    )
    apply_report(world.scheduler, worker, report, world.now_s, world.now_s)
    renew_lease(world.scheduler, worker, world.now_s)
    world.advance(WITHOUT_LEASE_S)


@when("that worker is not known, and the new leader has no lease for 10 s")
def step_not_known(context: Any) -> None:
    world = context.world
    del world.sims[context.busy.worker_id]
    world.stored[FLEET_KEY] = b"unreadable"
    _fail_over(world)
    world.advance(WITHOUT_LEASE_S)


@then("the subtask starts again only once the leader has its lease")
def step_with_lease(context: Any) -> None:
    world = context.world
    assert world.starts[context.name] == 1, world.start_times_s
    world.scheduler.is_lease_valid = lambda: True
    world.advance(1.0)
    assert world.starts[context.name] == 2, world.start_times_s


@when("the new leader has no lease, and that worker answers after 10 s")
def step_answers(context: Any) -> None:
    world = context.world
    world.silent.add(context.busy.worker_id)
    _fail_over(world)
    context.busy.deadline_s = world.now_s + LONG_S
    world.advance(WITHOUT_LEASE_S)
    context.waited = world.starts[SubtaskName(WAITING, 0, 0, 0)]
    world.silent.clear()
    world.advance(1.0)


@then("a subtask that waited for its answer starts, and the other runs on")
def step_goes_on(context: Any) -> None:
    world = context.world
    assert context.waited == 0, world.start_times_s
    assert world.starts[SubtaskName(WAITING, 0, 0, 0)] == 1
    assert world.starts[context.name] == 1
    assert context.name in context.busy.running
