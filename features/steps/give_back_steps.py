"""Steps about drains that give way to long-running subtasks."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any
from unittest.mock import patch

from behave import given, step, then

from cicadatrail_core.jobs.drain_conflicts import WAIT_LIMIT_S, workers_to_give_back
from cicadatrail_core.jobs.models import Wave
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState
from features.steps.lasting_subtasks_steps import JOB, LONG_S, SECOND, submit_lasting
from features.support.drain_world import DrainWorld
from features.support.job_world import JobWorld, definition


def _waiting(job: JobState) -> Any:
    (subtask,) = job.occurrences[0][0].ready.values()
    return subtask


def _evacuate(world: JobWorld, job: JobState) -> None:
    world.scheduler.evacuated_data_centres = frozenset({"z"})


def _eject(world: JobWorld, job: JobState) -> None:
    world.worker("w1").ejected_until_s = inf


def _expire(world: JobWorld, job: JobState) -> None:
    world.worker("w1").lease_expires_s = 0.0


def _hold(world: JobWorld, job: JobState) -> None:
    job.held_until_s = inf


def _doubt(world: JobWorld, job: JobState) -> None:
    _waiting(job).unproven_run = 1
    world.scheduler.is_lease_valid = lambda: False


def _unstore(world: JobWorld, job: JobState) -> None:
    world.scheduler.queue_pools.unstored.add("q")


HINDRANCES: dict[str, Callable[[JobWorld, JobState], None]] = {
    "the worker's data centre is evacuated": _evacuate,
    "the worker is ejected": _eject,
    "the worker's lease has expired": _expire,
    "its job is held back": _hold,
    "its last run may go on": _doubt,
    "the queue's new pool is not stored yet": _unstore,
}


@given("a long-running subtask that fits only on a drained worker")
def step_drained(context: Any) -> None:
    world = context.world = JobWorld(2)
    world.report_all()
    world.worker("w1").is_cordoned = True
    context.job = submit_lasting(world, 2)
    assert len(world.run_all()) == 1
    while world.now_s < 100.1 + WAIT_LIMIT_S + 0.5:
        world.tick(0.1)
        world.report_all()


@step("it can't start there because {hindrance}")
def step_hindrance(context: Any, hindrance: str) -> None:
    if hindrance == "it needs a ticket":
        needs = patch.object(Scheduler, "needs_advice", lambda self, step: True)
        context.stack.enter_context(needs)
        return
    HINDRANCES[hindrance](context.world, context.job)


def _given_back(context: Any) -> list[str]:
    world = context.world
    drained = [world.worker("w1")]
    found = workers_to_give_back(world.scheduler, drained, world.now_s)
    return [worker.facts.worker_id for worker in found]


@then("the drained worker is given back")
def step_given_back(context: Any) -> None:
    assert _given_back(context) == ["w1"]


@then("the drained worker is not given back")
def step_kept(context: Any) -> None:
    assert _given_back(context) == []


@given("a wave drains the only worker on which a long-running subtask fits")
def step_wave(context: Any) -> None:
    world = context.world = DrainWorld(context.stack, 2)
    world.durations_s = {JOB: LONG_S, SECOND: LONG_S}
    world.worker("w0").is_cordoned = True
    world.submit(SECOND, definition(1, 1))
    world.advance(0.5)
    world.worker("w0").is_cordoned = False
    world.worker("w1").is_cordoned = True
    context.job = submit_lasting(world, 2)
    world.advance(WAIT_LIMIT_S + 0.5)
    world.wave = Wave(1, ("m-w1",), 60.0, 1)
    context.began_s = world.now_s
    world.advance_wave(5.0)


@then("the subtask starts there {least:d} to {most:d} seconds after the drain began")
def step_starts_later(context: Any, least: int, most: int) -> None:
    world = context.world
    times_s = [t for t in sum(world.start_times_s.values(), []) if t > context.began_s]
    assert len(times_s) == 1, times_s
    assert least <= times_s[0] - context.began_s <= most, times_s[0] - context.began_s
    assert any(name.job_id == JOB for name in world.sims["w1"].running)
