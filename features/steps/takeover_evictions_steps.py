"""Steps about evictions of long-running subtasks by a new leader."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.evacuation import evacuate
from cicadatrail_core.jobs.models import EndKind
from cicadatrail_core.jobs.state import Run
from features.support.job_world import JobWorld, definition

JOB = "00000000000000a1"
STOP_LIMIT_S = 0.4
STEP_S = 0.02


@given("a long-running step on 3 of them that may miss 1 is at work")
def step_at_work(context: Any) -> None:
    world = context.world
    plan = definition(3, 2, lasting=True, may_miss_count=1, spread_limit_count=1)
    job = world.submit(JOB, plan)
    # One on each worker, independent of the placement policy.
    for subtask, name in zip(job.occurrences[0][0].subtasks, world.sims, strict=False):
        world.carry_out(world.scheduler.place(subtask, world.worker(name), world.now_s))
    world.scheduler.starts.clear()
    for sim in world.sims.values():
        sim.percent = 100
    world.report_all()


def _evict(world: JobWorld, worker_id: str) -> list[Run]:
    """Evacuate a worker and return the runs whose stop would be sent."""
    worker = world.worker(worker_id)
    worker.is_cordoned = True
    evacuate(world.scheduler, worker, world.now_s, world.now_s)
    return world.stops()


def _take_over(world: JobWorld) -> None:
    world.fail_over(2)
    world.report_all()


@when("a new leader takes over just after one of its subtasks was told to stop")
def step_stop_under_way(context: Any) -> None:
    world = context.world
    (context.stopped,) = _evict(world, "w0")
    context.stopped_s = world.now_s
    _take_over(world)
    world.worker("w0").is_cordoned = True


@then("the new leader evicts no other subtask before that one is at work again")
def step_none_before(context: Any) -> None:
    world = context.world
    while world.now_s < context.stopped_s + STOP_LIMIT_S - 2 * STEP_S:
        assert _evict(world, "w1") == [], world.now_s - context.stopped_s
        world.tick(STEP_S)
        world.report_all()
    world.sims["w0"].end(context.stopped.subtask.name, EndKind.STOPPED)
    world.report_all()
    (context.again,) = world.run_all()
    context.moved_to = context.again.worker.facts.worker_id
    assert context.moved_to in ("w3", "w4")
    world.sims[context.moved_to].percent = 0
    for _ in range(30):
        world.report_all()
        assert _evict(world, "w1") == [], "the moved subtask is not at work yet"
        world.tick(STEP_S)


@then("it then evicts the other")
def step_then_evicts(context: Any) -> None:
    world = context.world
    world.sims[context.moved_to].percent = 100
    world.report_all()
    (stopped,) = _evict(world, "w1")
    assert stopped.worker.facts.worker_id == "w1"


@when("a new leader takes over")
def step_takes_over(context: Any) -> None:
    context.taken_over_s = context.world.now_s
    _take_over(context.world)


@then("it evicts no subtask during the time that a stop may take")
def step_none_in_time(context: Any) -> None:
    world = context.world
    while world.now_s < context.taken_over_s + STOP_LIMIT_S:
        assert _evict(world, "w1") == [], world.now_s - context.taken_over_s
        world.tick(STEP_S)
        world.report_all()


@then("it evicts one after that")
def step_evicts_after(context: Any) -> None:
    world = context.world
    world.tick(3 * STEP_S)
    world.report_all()
    (stopped,) = _evict(world, "w1")
    assert stopped.worker.facts.worker_id == "w1"


@when("a new leader has started one of its subtasks, and all are at work")
def step_started_itself(context: Any) -> None:
    world = context.world
    for name in world.sims["w0"].running.copy():
        world.sims["w0"].end(name, EndKind.FAILED)
    _take_over(world)
    world.tick(STOP_LIMIT_S + 3 * STEP_S)
    world.report_all()
    (context.again,) = world.run_all()
    world.report_all()


@then("it evicts another at once")
def step_evicts_at_once(context: Any) -> None:
    world = context.world
    (stopped,) = _evict(world, "w1")
    assert stopped.worker.facts.worker_id == "w1"


def _report_others(world: JobWorld) -> None:
    for name in ("w0", "w1", "w2", "w3"):
        world.report(name)


@when("a new leader takes over while a worker without runs is silent")
def step_silent(context: Any) -> None:
    world = context.world
    world.fail_over(2)
    _report_others(world)
    world.tick(STOP_LIMIT_S + 3 * STEP_S)
    _report_others(world)


@then("it evicts no subtask before the silent worker's lease is over")
def step_none_in_lease(context: Any) -> None:
    world = context.world
    while world.now_s < world.worker("w4").lease_expires_s:
        assert _evict(world, "w1") == [], world.worker("w4").lease_expires_s
        world.tick(0.1)
        _report_others(world)


@then("a subtask that it evicts after that starts elsewhere at once")
def step_starts_at_once(context: Any) -> None:
    world = context.world
    (stopped,) = _evict(world, "w1")
    world.sims["w1"].end(stopped.subtask.name, EndKind.STOPPED)
    _report_others(world)
    (run,) = world.run_all()
    assert run.subtask is stopped.subtask
    assert run.worker.facts.worker_id == "w3"


@when("the leader has no lease, and a worker is to be maintained")
def step_no_lease(context: Any) -> None:
    context.world.scheduler.is_lease_valid = lambda: False
    context.world.worker("w1").is_cordoned = True


def _drain(world: JobWorld, remaining_ms: int) -> None:
    world.scheduler.is_lease_valid = lambda: False
    facts = world.facts(world.sims["w1"], draining=True)
    facts = replace(facts, remaining_ms=remaining_ms)
    world.scheduler.update_worker(facts, world.now_s)


@when("the leader has no lease, and a worker is draining and has time left")
def step_draining(context: Any) -> None:
    _drain(context.world, 20_000)


@when("the leader has no lease, and a worker is draining and has no time left")
def step_leaving(context: Any) -> None:
    _drain(context.world, 500)


def _evacuate(world: JobWorld) -> list[Run]:
    evacuate(world.scheduler, world.worker("w1"), world.now_s, world.now_s)
    return world.stops()


@then("it evicts no subtask before it has its lease again")
def step_none_without_lease(context: Any) -> None:
    world = context.world
    for _ in range(20):
        assert _evacuate(world) == [], world.now_s
        world.tick(0.1)
        world.report_all()
    world.scheduler.is_lease_valid = lambda: True
    (stopped,) = _evacuate(world)
    assert stopped.worker.facts.worker_id == "w1"


@then("its subtask is stopped")
def step_is_stopped(context: Any) -> None:
    (stopped,) = _evacuate(context.world)
    assert stopped.worker.facts.worker_id == "w1"
