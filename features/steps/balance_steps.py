"""Steps about the plan of which machines move between pools."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.demand import Demand
from cicadatrail_core.jobs.models import Step
from cicadatrail_core.models.resources import Resources
from features.support.balance_world import CORES, STANDBY, BalanceWorld

NEED = Resources(CORES * 1000, 10)


@given("pools of {a:d} and {b:d} machines and {standby:d} on standby")
def step_pools(context: Any, a: int, b: int, standby: int) -> None:
    context.world = BalanceWorld(a, b, standby)


@given("pools of {a:d} and {b:d} machines and no pool on standby")
def step_pools_only(context: Any, a: int, b: int) -> None:
    context.world = BalanceWorld(a, b, 0, has_standby=False)


@given("each machine of b runs a subtask")
def step_b_runs(context: Any) -> None:
    world = context.world
    runs = world.submit("b", Step(4, NEED, 500))
    assert len(runs) == 4
    world.run(runs)


@given("a start on each machine of b is unanswered")
def step_b_open(context: Any) -> None:
    world = context.world
    runs = world.submit("b", Step(4, NEED, 500))
    for run in runs:
        run.mark_unanswered(world.now_s)


@given("an open wave includes every machine")
def step_wave(context: Any) -> None:
    context.world.pinned = frozenset(context.world.machines)


@given("no worker of b answers")
def step_b_silent(context: Any) -> None:
    for worker in context.world.scheduler.workers.values():
        worker.is_suspect = worker.facts.pool == "b"


@given("the machines of a are of another kind")
def step_other_kind(context: Any) -> None:
    context.world.set_kind("a", "other")


@given("the team has reached its limit of running work")
def step_limit(context: Any) -> None:
    context.world.configure(Resources(1, 0))


@when("work in a waits for {count:d} more machines")
def step_waits(context: Any, count: int) -> None:
    world = context.world
    present = world.sizes["a"]
    world.run(world.submit("a", Step(present, NEED, 1000)))
    before = world.needs()["a"].needed_count
    # Each subtask needs a whole machine for one second.
    while world.needs()["a"].needed_count < max(before, present) + count:
        waiting = world.scheduler.jobs
        world.submit("a", Step(1, NEED, 1000))
        if len(waiting) > 40:
            break
        world.now_s += 0.01
    context.moves = world.moves()


@then("the idle machine that b can spare moves to a before those on standby")
def step_idle_first(context: Any) -> None:
    sources = [move.pool for move in context.moves if move.target == "a"]
    assert sources[0] == "b", sources
    assert set(sources[1:]) == {STANDBY}, sources


@then("no machine of a moves")
def step_a_stays(context: Any) -> None:
    assert all(move.pool != "a" for move in context.moves)


@then("{count:d} machines on standby move to a")
def step_from_standby(context: Any, count: int) -> None:
    sources = [move.pool for move in context.moves if move.target == "a"]
    assert sources.count(STANDBY) >= count, context.moves


@then("no machine moves")
def step_none(context: Any) -> None:
    assert not context.moves, context.moves


@then("no machine moves to a")
def step_none_to_a(context: Any) -> None:
    assert all(move.target != "a" for move in context.moves), context.moves


@when("both pools are idle")
def step_idle(context: Any) -> None:
    pass


@then("no machine moves while the pools recently needed them")
def step_kept(context: Any) -> None:
    assert not context.world.moves({"a": 8, "b": 8})


@then("later all but {count:d} of each pool move to standby")
def step_to_standby(context: Any, count: int) -> None:
    moves = context.world.moves()
    assert {move.target for move in moves} == {STANDBY}
    left = Counter(move.pool for move in moves)
    assert left == {"a": 8 - count, "b": 8 - count}, left


@then("no machine moves at any time")
def step_never(context: Any) -> None:
    assert not context.world.moves()


@when("a long-running step of {count:d} subtasks, one per machine, runs in a")
def step_long_running(context: Any, count: int) -> None:
    world = context.world
    spec = Step(count, Resources(100, 10), lasting=True, spread_limit_count=1)
    world.run(world.submit("a", spec))


@when("a machine of a is being evacuated")
def step_evacuated(context: Any) -> None:
    world = context.world
    assert all(move.target != "a" for move in world.moves())
    next(iter(world.scheduler.workers.values())).is_cordoned = True
    context.moves = world.moves()


@then("one machine on standby moves to a")
def step_one_from_standby(context: Any) -> None:
    moves = [move for move in context.moves if move.target == "a"]
    assert [move.pool for move in moves] == [STANDBY], context.moves


@then("a needs {count:d} machines")
def step_needs(context: Any, count: int) -> None:
    assert context.world.needs()["a"].needed_count == count


@then(
    "cores that rise from {low:d} to {high:d} in a second are expected to reach {n:d}"
)
@then("cores that fall from {low:d} to {high:d} are expected to stay at {n:d}")
@then("cores that jump from {low:d} to {high:d} are expected to reach {n:d}")
def step_expected(context: Any, low: int, high: int, n: int) -> None:
    demand = Demand()
    demand.record("a", low, 10.0)
    demand.record("a", high, 11.0)
    assert demand.expected_cores("a", 0.0) == n, demand.expected_cores("a", 0.0)


@then(
    "cores that rise from {low:d} to {high:d} with a step of {step:d} are expected to"
    " reach {n:d}"
)
def step_expected_less_step(
    context: Any, low: int, high: int, step: int, n: int
) -> None:
    demand = Demand()
    demand.record("a", low, 10.0)
    demand.record("a", high, 11.0)
    assert demand.expected_cores("a", step) == n, demand.expected_cores("a", step)


@given("each pool was idle a second ago")
def step_was_idle(context: Any) -> None:
    world = context.world
    world.needs()
    world.now_s += 1.0


@when("a job of {count:d} whole machines arrives in a")
def step_large_job(context: Any, count: int) -> None:
    world = context.world
    context.runs = world.submit("a", Step(count, NEED, 1000))
    world.run(context.runs)
    context.subtask_count = count
    context.moves = world.moves()


@then("every subtask of the job runs and no machine moves to a")
def step_job_runs(context: Any) -> None:
    assert len(context.runs) == context.subtask_count
    to_a = [move for move in context.moves if move.target == "a"]
    assert to_a == [], to_a


@when(
    "{jobs:d} long-running steps of {count:d} subtasks that may miss"
    " {missed:d} run in a"
)
def step_long_running_steps(context: Any, jobs: int, count: int, missed: int) -> None:
    context.runs = []
    for _ in range(jobs):
        spec = Step(count, Resources(500, 10), lasting=True, may_miss_count=missed)
        runs = context.world.submit("a", spec)
        assert len(runs) == count
        context.runs.append(runs)


@then(
    "they run on {most:d} machines or fewer, at most {per_machine:d} of a step on one,"
    " on both racks"
)
def step_placement(context: Any, most: int, per_machine: int) -> None:
    worker_ids = {run.worker.facts.worker_id for runs in context.runs for run in runs}
    assert len(worker_ids) <= most, worker_ids
    for runs in context.runs:
        counts = Counter(run.worker.facts.worker_id for run in runs)
        assert max(counts.values()) <= per_machine, counts
        assert len({run.worker.facts.rack for run in runs}) == 2
