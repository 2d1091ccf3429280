"""Steps about random histories of leaders that follow each other."""

from __future__ import annotations

import gc
import weakref
from functools import partial
from typing import Any

import msgpack
from behave import given, then, when

from cicadatrail_core.jobs.models import SubtaskName
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatraild.scheduling.last_answers import UNANSWERED_KEY
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import SILENCE_LIMIT_S
from features.support.job_world import definition
from features.support.series_history import FAULTS, play_series
from features.support.series_world import SeriesWorld

# ruff: noqa: SLF001

JOB = "00000000000000a1"
LONG_S = 1000.0
WAIT_LIMIT_S = 12.0


@then("in {count:d} random histories of {instances} no subtask runs twice at once")
def step_never_twice(context: Any, count: int, instances: str) -> None:
    has_old = instances != "instances of one version"
    for seed in range(count):
        world = play_series(seed, has_old)
        assert not world.doubles, (seed, world.doubles[0])


@then("in {count:d} random histories a subtask runs twice at once if {fault}")
def step_found(context: Any, count: int, fault: str) -> None:
    assert fault in FAULTS
    assert any(play_series(seed, fault=fault).doubles for seed in range(count))


def _no_machines(scheduler: Scheduler) -> dict[str, float]:
    return {}


@given("a leader of a series that one worker has not answered")
def step_leader(context: Any) -> None:
    world = context.world = SeriesWorld(context.stack, 3, 2)
    context.told_id = "w0"
    world.silent.add("w0")
    world.hand_over()
    world.advance(0.5)


@given("a leader of a series with a start under way")
def step_start_under_way(context: Any) -> None:
    world = context.world = SeriesWorld(context.stack, 3, 2)
    world.hand_over()
    world.advance(0.5)
    world.submit(JOB, definition(1, 8))
    (run,) = world.dispatch()
    assert run.is_start_pending
    world.scheduler.is_handing_over = True
    context.told_id = run.worker.facts.worker_id


@given("a leader of a series whose worker is lost with a subtask")
def step_lost(context: Any) -> None:
    world = context.world = SeriesWorld(context.stack, 3, 2)
    # Its first leader has not restored anything, and so knows no workers.
    world.hand_over()
    world.durations_s[JOB] = LONG_S
    world.submit(JOB, definition(1, 8))
    world.advance(1.0)
    (busy,) = [sim for sim in world.sims.values() if sim.running]
    world.silent.add(busy.worker_id)


@when("it hands over, and the next one does not reach that worker")
def step_handed_over(context: Any) -> None:
    context.world.hand_over()
    _wait_for_repeat(context)


@when("it is killed, and the next one does not reach that worker")
def step_killed(context: Any) -> None:
    context.world.replace_killed()
    _wait_for_repeat(context)


@when("it is killed, and the next one hands over before its takeover")
def step_killed_and_handed_over(context: Any) -> None:
    world = context.world
    position = world.instances.index(world.leading)
    world.instances[position] = world.new_instance(position)
    world.follow()
    world.now_s += SILENCE_LIMIT_S + 0.1
    world.leading = world.instances[(position + 1) % len(world.instances)]
    world.claim(world.leading)
    began_s = world.now_s
    others = [i for i in world.instances if i is not world.leading]
    confirmed_s = {instance._host: world.now_s for instance in others}
    world.leading.apply_round(
        ConfirmationRound(world.leading.held_epoch, world.now_s, confirmed_s, False)
    )
    world.hand_over()
    _wait_for_repeat(context, began_s)


def _wait_for_repeat(context: Any, began_s: float | None = None) -> None:
    world = context.world
    began_s = world.now_s if began_s is None else began_s
    world.advance(WAIT_LIMIT_S)
    (_, again_s) = world.start_times_s[SubtaskName(JOB, 0, 0, 0)]
    context.waited_s = again_s - began_s


@then("the subtask starts again after {least_s:g} to {most_s:g} s")
def step_waited(context: Any, least_s: float, most_s: float) -> None:
    assert least_s <= context.waited_s <= most_s, context.waited_s


@when("it hands over")
def step_hand_over(context: Any) -> None:
    world = context.world
    # The inventory of machines refers to what the leader stores as well.
    answers = world.leading.right.last_answers
    answers.blocked = partial(_no_machines, world.scheduler)
    context.scheduler = weakref.ref(world.scheduler)
    world.hand_over()


@then("nothing refers to its jobs and workers")
def step_released(context: Any) -> None:
    gc.collect()
    assert context.scheduler() is None


@then("its record tells of the worker")
def step_told(context: Any) -> None:
    newest = {record.key: record.value for record in context.world.topic.topic.newest()}
    _, _, rows, _ = msgpack.unpackb(newest[UNANSWERED_KEY])
    assert [worker_id for worker_id, _ in rows] == [context.told_id], rows
