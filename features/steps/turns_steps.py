"""Steps about demand that comes in turns."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import msgpack
from behave import given, then, when

from cicadatrail_core.jobs.turn_forecast import TurnForecast
from cicadatrail_core.jobs.turns import Arrival, TurnWatch
from cicadatraild.scheduling import turn_record
from cicadatraild.scheduling.turn_record import TURNS_KEY, TurnRecords
from features.support.turns_world import POOLS, QUIET_S, TURN_S, Figures, TurnsWorld

SEEDS = (1, 2, 3)
ROUND_COUNT = 3
END_S = QUIET_S + ROUND_COUNT * len(POOLS) * TURN_S
MISSING = 9
NEXT_TURN_S = QUIET_S + MISSING * TURN_S
"""Start of the turn of b in the third round."""

BEGINNING_S = 2.0
"""Beginning of a turn, in which little of it has come."""

STORED_LIMIT_BYTES = 2000


def _world(missing: frozenset[int] = frozenset(), seed: int = 1) -> TurnsWorld:
    return TurnsWorld(seed, TurnForecast(), missing)


@when("three rounds of turns are played with 3 seeds, with and without a forecast")
def step_compare(context: Any) -> None:
    forecasts = (None, TurnForecast)
    context.baseline, context.forecast = (
        [
            TurnsWorld(seed, new() if new else None, frozenset()).play(END_S)
            for seed in SEEDS
        ]
        for new in forecasts
    )


def _sum(figures: list[Figures], name: str) -> float:
    return sum(float(getattr(one, name)) for one in figures)


@then("work waits at most {factor:g} times as long on the whole")
def step_waits(context: Any, factor: float) -> None:
    before, after = (
        _sum(figures, "mean_wait_s") for figures in (context.baseline, context.forecast)
    )
    assert after <= factor * before, (before, after)


@then("work of the first 2 seconds of a rise waits at most {more_s:g} s longer")
def step_first_waits(context: Any, more_s: float) -> None:
    before, after = (
        _sum(figures, "mean_first_wait_s") / len(SEEDS)
        for figures in (context.baseline, context.forecast)
    )
    assert after <= before + more_s, (before, after)


@then(
    "machines are in pools for at most {factor:g} times as long, with at most {moves:g}"
    " times the moves"
)
def step_cost(context: Any, factor: float, moves: float) -> None:
    for name, limit in (("machine_s", factor), ("move_count", moves)):
        before, after = (
            _sum(figures, name) for figures in (context.baseline, context.forecast)
        )
        assert after <= limit * before, (name, before, after)


@when("three rounds of turns are played with a forecast")
def step_play(context: Any) -> None:
    context.world = _world()
    context.world.play(NEXT_TURN_S - TURN_S / 2)


@then("each pool is known to be followed by the next one")
def step_followers(context: Any) -> None:
    followers = context.world.turns.export(context.world.now_s).followers
    assert followers == dict(zip(POOLS, (*POOLS[1:], POOLS[0]), strict=True))


@then(
    "the pool that is next has twice the machines that it would have as its turn begins"
)
def step_early(context: Any) -> None:
    counts = []
    for world in (context.world, TurnsWorld(1, None, frozenset())):
        world.play(NEXT_TURN_S + BEGINNING_S)
        counts.append(world.count("b"))
    assert counts[0] >= 2 * counts[1], counts


@when("the turn of b in the third round fails to come")
def step_missing(context: Any) -> None:
    context.world = _world(frozenset({MISSING}))
    context.world.play(NEXT_TURN_S + BEGINNING_S)
    assert context.world.count("b") > 8


@then("b has at most {count:d} machines {after_s:d} seconds after it was due")
def step_back(context: Any, count: int, after_s: int) -> None:
    context.world.play(NEXT_TURN_S + after_s)
    assert context.world.count("b") <= count, context.world.count("b")


@then("all work of the other pools is started")
def step_no_starving(context: Any) -> None:
    world = context.world
    world.play(END_S)
    waiting = [
        world.now_s - subtask.ready_s
        for job in world.scheduler.jobs.values()
        for steps in job.occurrences.values()
        for step in steps
        for subtask in step.ready.values()
    ]
    assert max(waiting, default=0.0) < 2.0, waiting
    assert world.turns.missed_count == 1


@when("a new leader takes over in the middle of a turn in the third round")
def step_successor(context: Any) -> None:
    context.world = world = _world()
    world.play(NEXT_TURN_S - TURN_S / 2)
    (record,) = _stored(world.turns, world.now_s)
    world.turns = TurnForecast()
    world.turns.recorded_s = world.now_s
    with _clocks(world.now_s):
        TurnRecords(world.turns).restore(record)


def _clocks(now_s: float) -> Any:
    return patch.multiple(
        turn_record,
        loop_now_s=lambda: now_s,
        unix_now_ms=lambda: int(now_s * 1000),
    )


def _stored(turns: TurnForecast | None, now_s: float) -> list[bytes]:
    assert turns is not None
    with _clocks(now_s):
        records = TurnRecords(turns).collect()
    assert all(record.key == TURNS_KEY for record in records)
    return [record.value or b"" for record in records]


@when("the record of turns is damaged in every way")
def step_damaged(context: Any) -> None:
    context.world = world = _world()
    world.play(NEXT_TURN_S)
    (context.record,) = _stored(world.turns, world.now_s)
    fields = msgpack.unpackb(context.record)
    damaged = [b"", b"\xc1", msgpack.packb(7), context.record[:-3]]
    damaged += [
        msgpack.packb(fields | {name: value})
        for name in fields
        for value in (None, {"a": 3}, [["a"]])
        if name != "active" and not (name == "followers" and value == {"a": 3})
    ]
    damaged += [
        msgpack.packb({key: value for key, value in fields.items() if key != name})
        for name in fields
    ]
    for number in (math.inf, math.nan):
        damaged += [
            msgpack.packb(fields | {"active_age_s": number}),
            msgpack.packb(fields | {"gaps_s": [8.0, number]}),
            *[
                msgpack.packb(fields | {"turns": {"a": values}})
                for values in (
                    [number, 9.0, 80.0, 4.0],
                    [1.0, number, 80.0, 4.0],
                    [1.0, 9.0, number, 4.0],
                    [1.0, 9.0, 80.0, number],
                )
            ],
        ]
    context.restored = []
    for value in damaged:
        turns = TurnForecast()
        with _clocks(world.now_s):
            TurnRecords(turns).restore(value)
        context.restored.append(turns.export(world.now_s))


@then("nothing is forecast")
def step_nothing(context: Any) -> None:
    assert all(not record.turns for record in context.restored), context.restored


@then("the whole record is stored once for each start and end of a turn")
def step_stored_once(context: Any) -> None:
    world = context.world
    assert len(context.record) < STORED_LIMIT_BYTES, len(context.record)
    with _clocks(world.now_s):
        records = TurnRecords(world.turns)
        assert [len(records.collect()) for _ in range(2)] == [1, 0]
        world.turns.change_count += 1
        assert len(records.collect()) == 1


@when("a is removed in its turn in the third round, and that of b fails to come")
def step_removed(context: Any) -> None:
    context.world = world = _world(frozenset({MISSING}))
    world.play(NEXT_TURN_S - TURN_S / 2)
    present = world.scheduler.configuration
    pools = {name: pool for name, pool in present.pools.items() if name != "a"}
    world.scheduler.configure(replace(present, version=2, pools=pools))


def _come(watch: TurnWatch, from_s: float, until_s: float) -> None:
    """Let three jobs come in each 0.2 s."""
    for number in range(round((until_s - from_s) / 0.2)):
        watch.record(Arrival(3, 3.0, 3.0), 15.0, from_s + 0.2 * number)


@given("a pool to which 15 jobs a second come")
def step_steady(context: Any) -> None:
    context.watch = TurnWatch(0.0)
    _come(context.watch, 0.0, 10.0)
    context.before = context.watch.expected_cores(1.8)


@when("there is no plan for 3 seconds")
def step_no_plan(context: Any) -> None:
    context.watch.record(Arrival(45, 45.0, 45.0), 15.0, 13.0)


@then("no more is expected than before, and no turn has begun")
def step_no_rise(context: Any) -> None:
    watch = context.watch
    assert (watch.expected_cores(1.8) or 0.0) <= context.before
    for second in range(13, 17):
        assert not watch.is_on
        _come(watch, second + 0.2, second + 1.2)
        assert (watch.expected_cores(1.8) or 0.0) <= 1.5 * context.before
