from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given, step, then, when

from cicadatrail_core.jobs.demand import Demand
from cicadatrail_core.jobs.models import Machine, Step
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.scheduling.pool_balance import PoolBalance
from cicadatraild.scheduling.roster import MachineRoster
from features.support.balance_world import CORES, STANDBY, BalanceWorld
from features.support.paused_loop import run_paused
from features.support.platform_cluster import (
    PlatformCluster,
    configuration,
    job,
    run_scenario,
)

NEED = Resources(CORES * 1000, 10)
IDS = [f"{number:016x}" for number in range(1, 13)]


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


@given("a start without an answer is open on each machine of b")
def step_b_open(context: Any) -> None:
    world = context.world
    runs = world.submit("b", Step(4, NEED, 500))
    for run in runs:
        run.doubted_s = world.now_s


@given("an open wave names every machine")
def step_wave(context: Any) -> None:
    context.world.held = frozenset(context.world.machines)


@given("no worker of b answers")
def step_b_silent(context: Any) -> None:
    for worker in context.world.scheduler.workers.values():
        worker.is_suspect = worker.facts.pool == "b"


@given("the machines of a are of another kind")
def step_other_kind(context: Any) -> None:
    context.world.set_kind("a", "other")


@given("the team may not have more running")
def step_limit(context: Any) -> None:
    context.world.configure(Resources(1, 0))


@when("work waits for {count:d} machines more in a")
def step_waits(context: Any, count: int) -> None:
    world = context.world
    present = world.sizes["a"]
    world.run(world.submit("a", Step(present, NEED, 1000)))
    before = world.needs()["a"].needed_count
    # Work for whole machines that runs a second each.
    while world.needs()["a"].needed_count < max(before, present) + count:
        waiting = world.scheduler.jobs
        world.submit("a", Step(1, NEED, 1000))
        if len(waiting) > 40:
            break
        world.now_s += 0.01
    context.moves = world.moves()


@then("the idle machine that b can spare moves to a before those on standby")
def step_lent(context: Any) -> None:
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


@then("no machine moves while the pools needed them a short time ago")
def step_kept(context: Any) -> None:
    assert not context.world.moves({"a": 8, "b": 8})


@then("later all but {count:d} of each pool move to standby")
def step_rest(context: Any, count: int) -> None:
    moves = context.world.moves()
    assert {move.target for move in moves} == {STANDBY}
    left = Counter(move.pool for move in moves)
    assert left == {"a": 8 - count, "b": 8 - count}, left


@then("no machine moves at any time")
def step_never(context: Any) -> None:
    assert not context.world.moves()


@when("a lasting step of {count:d} subtasks, one on a machine, runs in a")
def step_lasting(context: Any, count: int) -> None:
    world = context.world
    spec = Step(count, Resources(100, 10), lasting=True, spread_limit_count=1)
    world.run(world.submit("a", spec))


@when("a machine of a is being emptied")
def step_emptied(context: Any) -> None:
    world = context.world
    assert all(move.target != "a" for move in world.moves())
    next(iter(world.scheduler.workers.values())).closed = True
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
    demand.note("a", low, 10.0)
    demand.note("a", high, 11.0)
    assert demand.expected_cores("a") == n, demand.expected_cores("a")


@when("{jobs:d} lasting steps of {count:d} subtasks that may miss {missed:d} run in a")
def step_lasting_steps(context: Any, jobs: int, count: int, missed: int) -> None:
    context.runs = []
    for _ in range(jobs):
        spec = Step(count, Resources(500, 10), lasting=True, may_miss_count=missed)
        runs = context.world.submit("a", spec)
        assert len(runs) == count
        context.runs.append(runs)


@then(
    "they lie on {most:d} machines or fewer, at most {together:d} of a step on one,"
    " on both racks"
)
def step_places(context: Any, most: int, together: int) -> None:
    places = {run.worker.facts.worker_id for runs in context.runs for run in runs}
    assert len(places) <= most, places
    for runs in context.runs:
        counts = Counter(run.worker.facts.worker_id for run in runs)
        assert max(counts.values()) <= together, counts
        assert len({run.worker.facts.rack for run in runs}) == 2


def _standby_configuration() -> dict[str, Any]:
    services = [{"name": "pool"}, {"name": STANDBY, "standby": True}]
    return configuration(2, services=services)


async def _open_standby(cluster: PlatformCluster) -> str:
    """Put the last three workers on standby and start the instances."""
    for worker in cluster.workers[2:]:
        worker.rest(STANDBY)
    cluster.store.put_json("keyed.op", "config", _standby_configuration())
    for number in (1, 2):
        cluster.start(f"edge-{number}")
    await cluster.until(cluster.holder)
    holder = cluster.holder()
    assert holder is not None
    await cluster.until(lambda: cluster.instances[holder].is_ready)
    # Machine orders wait until an earlier holder's can't be under way.
    await asyncio.sleep(1.0)
    return holder


def _in_use(cluster: PlatformCluster) -> int:
    return sum(worker.pool == "pool" for worker in cluster.workers)


async def _submit_all(cluster: PlatformCluster, holder: str) -> None:
    for job_id in IDS:
        body = job(ms=1500, count=4, cpu=2000)
        status, _ = await cluster.call(holder, "POST", f"/q/{job_id}", body)
        assert status == 200, status


@when("more work is submitted than the pool holds, with machines on standby")
def step_peak(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        context.fleet = cluster.fleet
        holder = await _open_standby(cluster)
        await _submit_all(cluster, holder)
        await cluster.until(lambda: _in_use(cluster) == 5)
        for job_id in IDS:
            await cluster.wait_for_state(holder, job_id, "completed", 20)
        context.completed = True
        await cluster.until(lambda: _in_use(cluster) <= 3, 10)
        context.rested = True

    run_scenario(scenario, 5)


@then("machines of the standby pool join and all work is completed")
def step_joined(context: Any) -> None:
    assert context.completed


@then("they rest again once the work is done")
def step_rested(context: Any) -> None:
    assert context.rested


@when("the machine service carries out a move and its answer is lost")
def step_lost_move(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _open_standby(cluster)
        assert cluster.machines is not None
        cluster.machines.lost_answers = 2
        await _submit_all(cluster, holder)
        await cluster.until(lambda: _in_use(cluster) == 5, 12)
        for job_id in IDS:
            await cluster.wait_for_state(holder, job_id, "completed", 20)
        context.used = {place for place in cluster.fleet.places if "moved" in place}

    run_scenario(scenario, 5)


@step("the machine is used where a later list shows it")
def step_used(context: Any) -> None:
    assert len(context.used) == 3, context.used


class _Machines:
    """A machine service that carries out every move."""

    def __init__(self, machines: list[Machine] | None = None) -> None:
        self._machines = machines

    async def list_machines(self) -> list[Machine] | None:
        return self._machines

    async def move(self, machine: str, pool: str) -> MachineOutcome:
        return MachineOutcome.DONE


async def _stored() -> None:
    return None


def _roster() -> MachineRoster:
    return MachineRoster(_Machines(), lambda: True, 3.0, _stored)  # type: ignore[arg-type]


@given("a holder that has announced an order for m1")
def step_announced(context: Any) -> None:
    async def announce() -> MachineRoster:
        roster = _roster()
        await roster.announce(["m1"])
        return roster

    context.announce = announce


@when("a successor takes over with the stored record")
def step_successor(context: Any) -> None:
    async def succeed() -> list[MachineOutcome]:
        record = (await context.announce()).encode()
        roster = _roster()
        roster.restore(record)
        await roster.announce(["m1", "m2"])
        outcomes = [await roster.move("m1", "a"), await roster.move("m2", "a")]
        await asyncio.sleep(3.4)
        await roster.announce(["m1"])
        return [*outcomes, await roster.move("m1", "a")]

    context.outcomes = run_paused(succeed())


@then("it may give no order for m1 before the gap is over, but for m2 at once")
def step_gap(context: Any) -> None:
    refused, done = MachineOutcome.REFUSED, MachineOutcome.DONE
    assert context.outcomes == [refused, done, done], context.outcomes


@then("it may give an order for m1 and none for m2")
def step_announced_only(context: Any) -> None:
    async def order() -> list[MachineOutcome]:
        roster = await context.announce()
        return [await roster.move("m1", "a"), await roster.move("m2", "a")]

    assert run_paused(order()) == [MachineOutcome.DONE, MachineOutcome.REFUSED]


@then("it may give none for m1 {seconds:d} seconds later")
def step_too_late(context: Any, seconds: int) -> None:
    async def order() -> MachineOutcome:
        roster = await context.announce()
        await asyncio.sleep(seconds)
        return await roster.move("m1", "a")

    assert run_paused(order()) is MachineOutcome.REFUSED


@when("an order is announced while the store does not answer")
def step_stalled(context: Any) -> None:
    async def announce() -> tuple[float, MachineOutcome]:
        loop = asyncio.get_running_loop()
        never: asyncio.Future[None] = loop.create_future()

        async def flush() -> None:
            await never

        service = _Machines()
        roster = MachineRoster(service, lambda: True, 3.0, flush)  # type: ignore[arg-type]
        began_s = loop.time()
        await roster.announce(["m1"])
        return loop.time() - began_s, await roster.move("m1", "a")

    context.stalled = run_paused(announce())


@then("it is given up after {seconds:d} second, and nothing may be ordered")
def step_given_up(context: Any, seconds: int) -> None:
    took_s, outcome = context.stalled
    assert abs(took_s - seconds) < 0.1, took_s
    assert outcome is MachineOutcome.REFUSED


@when("both pools are idle and the store does not answer any more")
def step_idle_stalled(context: Any) -> None:
    world = context.world

    async def play() -> list[int]:
        loop = asyncio.get_running_loop()
        never: asyncio.Future[None] = loop.create_future()

        async def flush() -> None:
            await never

        service = _Machines(list(world.machines.values()))
        roster = MachineRoster(service, lambda: True, 3.0, flush)  # type: ignore[arg-type]
        balance = PoolBalance(world.scheduler, roster, frozenset)
        running = asyncio.create_task(balance.run())
        closed = []
        for _ in range(30):
            await asyncio.sleep(0.1)
            workers = world.scheduler.workers.values()
            closed.append(sum(worker.closed for worker in workers))
        running.cancel()
        return closed

    context.closed = run_paused(play())


@then("machines are closed to work for {seconds:d} second at most, and then used again")
def step_used_again(context: Any, seconds: int) -> None:
    assert max(context.closed) > 0, "no move was planned"
    closed_s = sum(count > 0 for count in context.closed) * 0.1
    assert closed_s <= seconds + 0.2, context.closed
    assert context.closed[-1] == 0, context.closed
