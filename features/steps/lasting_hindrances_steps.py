"""Steps about ends of hindrances, and about records on workers that aren't reached."""

from __future__ import annotations

import asyncio
from math import inf, nan
from typing import Any
from unittest.mock import patch

import msgpack
from behave import given, then, when

from cicadatrail_core.jobs.ejection import EJECTION_S
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.last_answers import UNANSWERED_KEY, LastAnswers
from features.steps.lasting_subtasks_steps import STEP_S, submit_lasting
from features.support.drain_world import DrainWorld

GOOD = msgpack.packb([7, 0.0, [["w0", -1.0]], []])

RECORDS = {
    "only three parts": msgpack.packb([7, 0.0, [["w0", -1.0]]]),
    "other bytes": b"\xc1",
    "an older epoch": msgpack.packb([6, 0.0, [["w0", -1.0]], []]),
    "a time in words": msgpack.packb([7, 0.0, [["w0", "soon"]], []]),
    "an endless time": msgpack.packb([7, 0.0, [["w0", -inf]], []]),
    "a time that is nan": msgpack.packb([7, nan, [["w0", -1.0]], []]),
    "no epoch": msgpack.packb([None, 0.0, [["w0", -1.0]], []]),
}


def _world(context: Any) -> DrainWorld:
    """Return a world in which one of two subtasks runs, and the other has no worker."""
    world = context.world = DrainWorld(context.stack, 2)
    submit_lasting(world, 2)
    world.worker("w1").is_cordoned = True
    world.advance(STEP_S)
    return world


@given("one of two long-running subtasks waits as the worker with room is ejected")
def step_ejected(context: Any) -> None:
    world = _world(context)
    world.worker("w1").is_cordoned = False
    world.worker("w1").ejected_until_s = world.now_s + EJECTION_S
    context.end = lambda: None


@given("one of two long-running subtasks waits as the machine with room is drained")
def step_drained(context: Any) -> None:
    world = _world(context)

    async def refuse(name: str, wave: int) -> MachineOutcome:
        return MachineOutcome.REFUSED

    world.inventory.maintain = refuse
    context.end = lambda: asyncio.run(world.runner._advance(world.wave))


@when("{seconds:d} seconds pass in which only the {what} ends")
def step_ends(context: Any, seconds: int, what: str) -> None:
    world = context.world
    context.woken = []
    world.scheduler.on_change = lambda: context.woken.append(world.now_s)
    context.end()
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        world.report_all()
        world.tick(STEP_S)


@then("a scheduling pass is due")
def step_due(context: Any) -> None:
    assert context.woken


@given("a leader whose predecessor told of a worker in a record with {fault}")
def step_record(context: Any, fault: str) -> None:
    with patch("cicadatraild.scheduling.last_answers.boot_now_s", lambda: 100.0):
        context.answers = LastAnswers()
        assert context.answers.apply(KeyedRecord(UNANSWERED_KEY, RECORDS[fault]))
        context.answers.begin(7)


@then("it knows no end of earlier leases from the record")
def step_knows_none(context: Any) -> None:
    module = "cicadatraild.scheduling.last_answers"
    with (
        patch(f"{module}.boot_now_s", lambda: 100.0),
        patch(f"{module}.loop_now_s", lambda: 100.0),
    ):
        assert context.answers.until_loop_s("w0") == inf
        assert context.answers.former_until_loop_s == inf
        assert context.answers.blocked_until_loop_s() == {}
        assert context.answers.apply(KeyedRecord(UNANSWERED_KEY, GOOD))
        context.answers.begin(7)
        assert 99.0 <= context.answers.until_loop_s("w0") < 99.1
