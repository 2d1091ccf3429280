"""Steps about long-running subtasks that wait for a start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.job_report import waiting_reason
from cicadatrail_core.jobs.long_waits import log_long_waits_if_due
from cicadatrail_core.jobs.state import JobState, Subtask
from cicadatrail_core.models.resources import Resources
from features.support.drain_world import DrainWorld
from features.support.explain_worlds import Lines
from features.support.job_world import JobWorld, configuration, definition
from features.support.series_world import SeriesWorld

JOB = "00000000000000a1"
SECOND = "00000000000000a2"
STEP_S = 0.1
LONG_S = 1000.0
SERIES_S = 20.0
MESSAGE = "scheduler: long-running subtask has not run for long."


def submit_lasting(world: JobWorld, count: int) -> JobState:
    plan = definition(count, 1, lasting=True, spread_limit_count=1)
    return world.submit(JOB, plan)


def first_subtask(job: JobState) -> Subtask:
    return job.occurrences[0][0].subtasks[0]


def cordon(world: JobWorld) -> None:
    world.worker("w2").is_cordoned = True
    submit_lasting(world, 3)


def await_worker(world: JobWorld) -> None:
    submit_lasting(world, 1)
    world.fail_over(2)
    del world.sims["w2"]
    world.worker("w2").lease_expires_s = inf


def limit(world: JobWorld) -> None:
    world.scheduler.configuration = configuration(Resources(500))
    submit_lasting(world, 1)


def hold(world: JobWorld) -> None:
    submit_lasting(world, 1).held_until_s = inf


def doubt(world: JobWorld) -> None:
    first_subtask(submit_lasting(world, 1)).unproven_run = 1
    world.scheduler.is_lease_valid = lambda: False


def leave_unanswered(world: JobWorld) -> None:
    submit_lasting(world, 1)
    (run,) = world.dispatch()
    run.mark_unanswered(world.now_s)
    world.worker(run.worker.facts.worker_id).lease_expires_s = inf
    del world.sims[run.worker.facts.worker_id]


def silence(world: JobWorld) -> None:
    submit_lasting(world, 1)
    (run,) = world.run_all()
    run.worker.lease_expires_s = inf
    run.worker.mark_failed(world.now_s)
    del world.sims[run.worker.facts.worker_id]


def stop_unanswered(world: JobWorld) -> None:
    submit_lasting(world, 1)
    (run,) = world.run_all()
    run.worker.lease_expires_s = inf
    run.worker.mark_failed(world.now_s)
    del world.sims[run.worker.facts.worker_id]
    world.scheduler.stop(run)


def suspect(world: JobWorld) -> None:
    subtask = first_subtask(submit_lasting(world, 1))
    subtask.crashed_runs.update({1: "x", 2: "y"})
    world.scheduler.suspects[subtask.name] = subtask
    subtask.unstored_crashes.add(1)
    world.store_crashes = lambda: None  # type: ignore[method-assign]


def forbid(world: JobWorld) -> None:
    submit_lasting(world, 1)
    world.dispatch = list  # type: ignore[method-assign]


HINDRANCES: dict[str, Callable[[JobWorld], None]] = {
    "every worker with room is cordoned": cordon,
    "a worker has not answered its leader": await_worker,
    "its team is at its limit": limit,
    "its job is held back": hold,
    "another leader may have been elected": doubt,
    "its start got no answer": leave_unanswered,
    "its worker is silent": silence,
    "its stop got no answer": stop_unanswered,
    "it may crash its worker": suspect,
    "the leader may start nothing": forbid,
}


@given("a long-running subtask that waits because {hindrance}")
def step_hindrance(context: Any, hindrance: str) -> None:
    context.world = JobWorld(3)
    context.world.report_all()
    context.may_start = hindrance != "the leader may start nothing"
    HINDRANCES[hindrance](context.world)


@when("{seconds:d} seconds pass")
def step_pass(context: Any, seconds: int) -> None:
    world = context.world
    lines = Lines()
    logger = logging.getLogger("cicadatrail.scheduler")
    logger.addHandler(lines)
    context.begin_s = world.now_s
    try:
        while world.now_s < context.begin_s + seconds:
            world.report_all()
            world.tick(STEP_S)
            log_long_waits_if_due(world.scheduler, context.may_start, world.now_s)
            world.run_all()
    finally:
        logger.removeHandler(lines)
    context.lines = [r for r in lines.records if r.getMessage() == MESSAGE]


@then('the log names "{reason}" once a second, from 2 seconds on')
def step_logged(context: Any, reason: str) -> None:
    lines = context.lines
    assert 2 <= len(lines) <= 4, [line.waited_s for line in lines]
    for line in lines:
        assert line.reason == reason, vars(line)
        assert line.subtask.startswith(JOB) and line.waited_s > 2, vars(line)
        assert line.room_count >= 1, vars(line)


@then('its job\'s report names "{reasons}"')
def step_report(context: Any, reasons: str) -> None:
    world = context.world
    (step,) = world.scheduler.jobs[JOB].occurrences[0]
    assert reasons in waiting_reason(world.scheduler, step, world.now_s)


@given("a long-running subtask on one of {workers:d} workers, and {count:d} instances")
def step_series(context: Any, workers: int, count: int) -> None:
    world = context.world = SeriesWorld(context.stack, count, workers)
    world.durations_s[JOB] = LONG_S
    submit_lasting(world, 1)
    world.advance(1.0)
    context.name = first_subtask(world.scheduler.jobs[JOB]).name
    assert world.starts[context.name] == 1
    (context.used,) = [sim for sim in world.sims.values() if sim.running]


def _run_series(context: Any, term_s: float) -> None:
    """Change the leader again and again; note the most runs at once."""
    world = context.world
    context.most_count = 0
    end_s = world.now_s + SERIES_S
    context.first_change_s = world.now_s
    while world.now_s < end_s:
        world.hand_over()
        until_s = world.now_s + term_s
        while world.now_s < until_s:
            world.advance_step()
            running = [s for s in world.sims.values() if context.name in s.running]
            context.most_count = max(context.most_count, len(running))
            if (
                "machine" in context
                and context.machine not in world.inventory.blocked()
            ):
                context.allowed_s.append(world.now_s)


@given("an order for the machine of the other worker may have been sent")
def step_announced(context: Any) -> None:
    world = context.world
    (other,) = [name for name in world.sims if name != context.used.worker_id]
    world.announce(other)
    context.machine = f"m-{other}"
    context.allowed_s = []


@then("no order for that machine was allowed for 3 seconds after the first change")
def step_not_allowed(context: Any) -> None:
    assert context.allowed_s[0] >= context.first_change_s + 3.0, context.allowed_s[0]


@when("its worker is lost and each leader is stopped after {term:f} seconds, {others}")
def step_lost(context: Any, term: float, others: str) -> None:
    world = context.world
    world.crash(context.used)
    context.lost_s = world.now_s
    world.are_fresh = others == "the next one having just started"
    if others == "after the first of them was killed":
        world.replace_killed()
        world.advance(0.4)
    _run_series(context, term)


@then("the subtask starts again within {limit:d} seconds of the loss")
def step_started(context: Any, limit: int) -> None:
    times_s = context.world.start_times_s[context.name]
    assert len(times_s) == 2, times_s
    assert times_s[1] - context.lost_s <= limit, times_s[1] - context.lost_s


@when(
    "each leader is stopped after {term:f} seconds, "
    "and the worker is cut off after change {turn:d}"
)
def step_cut_off(context: Any, term: float, turn: int) -> None:
    world = context.world
    hand_over, changes = world.hand_over, []

    def cut_off_after() -> None:
        hand_over()
        changes.append(world.now_s)
        if len(changes) == turn:
            world.advance(0.3)
            world.silent.add(context.used.worker_id)

    world.hand_over = cut_off_after
    _run_series(context, term)


@then("no worker runs it beside another")
def step_alone(context: Any) -> None:
    assert context.most_count == 1, context.most_count
    assert context.world.starts[context.name] == 2, context.world.start_times_s


@given("two long-running steps, of which each worker runs one subtask, and a wave")
def step_two_steps(context: Any) -> None:
    world = context.world = DrainWorld(context.stack, 9)
    spec = {"lasting": True, "spread_limit_count": 1, "may_miss_count": 1}
    for job_id, others in ((JOB, ("w7", "w8")), (SECOND, ("w6",))):
        world.durations_s[job_id] = LONG_S
        for name in others:
            world.worker(name).is_cordoned = True
        world.submit(job_id, definition(9 - len(others), 1, **spec))
        world.advance(0.5)
        for name in others:
            world.worker(name).is_cordoned = False
    assert sum(len(sim.running) for sim in world.sims.values()) == 15


@when("a worker that runs one of each is lost while the wave drains those with room")
def step_lost_in_wave(context: Any) -> None:
    world = context.world
    world.advance_wave(0.5)
    assert all(world.worker(name).is_cordoned for name in ("w6", "w7", "w8"))
    context.lost = [*world.sims["w0"].running]
    world.crash(world.sims["w0"])
    context.lost_s = world.now_s
    world.advance_wave(12.0)


@then("both subtasks start again within {limit:d} seconds of the loss")
def step_both_start(context: Any, limit: int) -> None:
    for name in context.lost:
        times_s = context.world.start_times_s[name]
        waited_s = [time_s - context.lost_s for time_s in times_s]
        assert any(0 < time_s <= limit for time_s in waited_s), waited_s


@then("the wave has ordered no upkeep of a machine that runs anything")
def step_no_interruption(context: Any) -> None:
    assert context.world.inventory.interrupted == []


@then("the wave is completed once another worker is there")
def step_wave_completed(context: Any) -> None:
    world = context.world
    world.add_worker("w20")
    world.advance_wave(60.0)
    assert world.runner._progress[1].is_completed, world.inventory.maintained
    assert world.inventory.interrupted == []
