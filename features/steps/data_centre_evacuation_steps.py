"""Steps about data centres in which nothing may start."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any
from unittest.mock import AsyncMock, MagicMock

from behave import given, then, when

from cicadatrail_core.jobs.data_centre_evacuation import evacuate_data_centres
from cicadatrail_core.jobs.evacuation import evacuate
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.platform.workers import OrderAnswer, OrderOutcome
from cicadatraild.scheduling.operator_requests import OperatorRequests
from cicadatraild.scheduling.worker_orders import WorkerOrders
from features.support.job_world import JobWorld, definition
from features.support.platform_actions import (
    JOB,
    job_ids,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
    submit_all,
)
from features.support.platform_cluster import PlatformCluster, job

EVACUATED = frozenset({"x"})
RUNNING = "00000000000000d1"
JOB_COUNT = 6


def _place_in_data_centres(world: JobWorld, names: tuple[str, str]) -> None:
    for number, worker in enumerate(world.scheduler.workers.values()):
        worker.facts = replace(worker.facts, zone=names[number % 2])
    world.report_all()


@given("{count:d} workers of 8 cores in data centres {first} and {second}")
def step_workers(context: Any, count: int, first: str, second: str) -> None:
    context.names = (first, second)
    context.world = JobWorld(count)
    _place_in_data_centres(context.world, context.names)


@when("x is evacuated and a job of {count:d} subtasks of {cores:d} cores arrives")
def step_job(context: Any, count: int, cores: int) -> None:
    evacuate_data_centres(context.world.scheduler, EVACUATED)
    context.world.submit(JOB, definition(count, cores))


@when("x is evacuated and a gang of {count:d} subtasks of {cores:d} cores arrives")
def step_gang(context: Any, count: int, cores: int) -> None:
    evacuate_data_centres(context.world.scheduler, EVACUATED)
    context.world.submit(JOB, definition(count, cores, gang=True))


@when("a worker of x crashes with a subtask and x is evacuated")
def step_crash(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1, 3))
    (run,) = world.run_all()
    assert run.worker.facts.zone == "x"
    evacuate_data_centres(world.scheduler, EVACUATED)
    # A suspect prefers workers with few runs, which those of y are not.
    world.submit(RUNNING, definition(2, 5))
    assert len(world.run_all()) == 2
    name = run.worker.facts.worker_id
    world.sims[name].running.clear()
    world.scheduler.remove_worker(name, world.now_s, "restarted")
    world.scheduler.update_worker(run.worker.facts, world.now_s)
    world.report_all()
    assert run.subtask.crashed_runs


@when("a successor that knows of the evacuation takes over")
def step_successor(context: Any) -> None:
    world = context.world
    world.fail_over(2)
    evacuate_data_centres(world.scheduler, EVACUATED)
    _place_in_data_centres(world, context.names)


@then("{count:d} subtasks start, all in y")
def step_started(context: Any, count: int) -> None:
    runs = context.world.run_all()
    data_centres = [run.worker.facts.zone for run in runs]
    assert data_centres == ["y"] * count, data_centres


@then("the other {count:d} start in x once the evacuation is taken back")
def step_taken_back(context: Any, count: int) -> None:
    world = context.world
    for _ in range(3):
        world.tick(1.0)
        world.report_all()
        assert world.run_all() == []
    evacuate_data_centres(world.scheduler, frozenset())
    runs = world.run_all()
    assert len(runs) == count, runs
    assert any(run.worker.facts.zone == "x" for run in runs)


@when("a long-running subtask runs in y and x is evacuated")
def step_long_running(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(2, 8, lasting=True))
    runs = world.run_all()
    (context.run,) = (run for run in runs if run.worker.facts.zone == "y")
    # The other subtask would keep the worker of x from taking this one.
    (other,) = (run for run in runs if run is not context.run)
    world.scheduler.detach(other, "ended")
    other.subtask.step.subtasks.remove(other.subtask)
    context.run.percent = 100
    evacuate_data_centres(world.scheduler, EVACUATED)


@then("its worker's maintenance does not stop it before x is open again")
def step_not_stopped(context: Any) -> None:
    world, run = context.world, context.run
    evacuate(world.scheduler, run.worker, world.now_s, world.now_s)
    assert world.stops() == []
    evacuate_data_centres(world.scheduler, frozenset())
    evacuate(world.scheduler, run.worker, world.now_s, world.now_s)
    assert world.stops() == [run]


@when("x is evacuated while a start waits to be sent")
def step_waiting_start(context: Any) -> None:
    world = context.world
    context.job = world.submit(JOB, definition(1, 4))
    (run,) = world.dispatch()
    evacuate_data_centres(world.scheduler, EVACUATED)
    client = MagicMock()

    async def start(*arguments: Any) -> OrderAnswer:
        outcome = OrderOutcome.DONE if arguments[-1]() else OrderOutcome.NOT_SENT
        return OrderAnswer(outcome)

    client.start = AsyncMock(side_effect=start)
    leadership = MagicMock()
    leadership.is_lease_valid = lambda: True
    orders = WorkerOrders(world.scheduler, client, leadership)
    context.run = run
    # The deadlines of starts are on the loop's clock.
    run.start_expires_s = world.now_s

    async def send() -> None:
        world.now_s = asyncio.get_running_loop().time()
        world.report_all()
        await orders._start_or_keep(run)

    asyncio.run(send())


@then("the start is refused and its subtask is ready again")
def step_refused(context: Any) -> None:
    assert context.run not in context.run.subtask.live_runs
    assert context.run.subtask.step.ready
    assert context.world.scheduler.counts == {OrderOutcome.NOT_SENT.value: 1}


@when("the data centre of {count:d} machines of each pool is evacuated")
def step_machines(context: Any, count: int) -> None:
    world = context.world
    context.evacuated = []
    for pool in ("a", "b", "standby"):
        names = [n for n, m in world.machines.items() if m.pool == pool][:count]
        for name in names:
            world.machines[name] = replace(world.machines[name], data_centre="x")
            worker = world.scheduler.worker_on(name)
            if worker is not None:
                worker.facts = replace(worker.facts, zone="x")
        context.evacuated += names
    evacuate_data_centres(world.scheduler, EVACUATED)


@then("no machine of the evacuated data centre moves")
def step_none_moves(context: Any) -> None:
    moved = {move.machine for move in context.moves}
    assert not moved & set(context.evacuated), moved


@then("a has {count:d} machines, and gets others")
def step_present(context: Any, count: int) -> None:
    assert context.world.needs()["a"].present_count == count
    assert [move.target for move in context.moves].count("a") >= 2, context.moves


@when("records evacuate x, y and an invalid data centre")
def step_records(context: Any) -> None:
    context.changes = []
    context.requests = OperatorRequests(lambda: context.changes.append(1))
    for key in ("evacuate/x", "evacuate/", "evacuate/a/b", "evacuate/\n", "evacuate/x"):
        context.requests.apply(KeyedRecord(key, b"{}"))
    context.requests.apply(KeyedRecord("evacuate/y", b"[no table"))
    context.requests.apply(KeyedRecord("evacuate/unknown", b""))


@then("x and y are evacuated")
def step_both(context: Any) -> None:
    assert context.requests.evacuated_data_centres == {"x", "y"}
    assert len(context.changes) == 2


@then("only y is after a full read without the record of x")
def step_full_read(context: Any) -> None:
    context.requests.keep({"config", "evacuate/y"})
    assert context.requests.evacuated_data_centres == {"y"}


@then("none is after the record of y came without a value")
def step_no_value(context: Any) -> None:
    context.requests.apply(KeyedRecord("evacuate/y", None))
    assert context.requests.evacuated_data_centres == frozenset()
    assert len(context.changes) == 4


@when("the data centre of a worker is evacuated while jobs arrive")
def step_cluster(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        cluster.workers[0].data_centre = "z2"
        leader = await start_instances(cluster, 3)
        starts = cluster.fleet.worker_starts
        await submit_all(cluster, leader, job_ids(JOB_COUNT), job(count=3))
        evacuated = cluster.workers[0].worker_id
        await cluster.wait_until(lambda: starts[evacuated])
        await _wait_for_jobs(cluster, leader, job_ids(JOB_COUNT))
        acting = cluster.instances[leader]._leader
        assert acting is not None
        worker = acting.scheduler.workers[evacuated]
        await cluster.wait_until(lambda: worker.facts.zone == "z2")
        cluster.store.put_json("keyed.op", "evacuate/z2", {})
        await cluster.wait_until(
            lambda: all(
                instance._requests.evacuated_data_centres == {"z2"}
                for instance in cluster.instances.values()
            )
        )
        before = starts[evacuated]
        ids = [f"a{job_id[1:]}" for job_id in job_ids(JOB_COUNT)]
        await submit_all(cluster, leader, ids, job(ms=300, count=3))
        await cluster.kill(leader)
        await cluster.wait_until(cluster.leader)
        await _wait_for_jobs(cluster, other_instance(cluster, leader), ids)
        context.evacuated_starts = starts[evacuated] - before
        cluster.store.put("keyed.op", "evacuate/z2", None)
        cluster.store.put_json("keyed.op", "other", {})
        cluster.store.truncate_history("keyed.op")
        name = other_instance(cluster, leader)
        assert await submit(cluster, name, JOB, job(count=8, cpu=3000)) == 200
        await cluster.wait_until(lambda: starts[evacuated] > before)
        await _wait_for_jobs(cluster, name, [JOB])

    run_on_cluster(context, scenario)


async def _wait_for_jobs(cluster: PlatformCluster, name: str, ids: list[str]) -> None:
    for job_id in ids:
        await cluster.wait_for_state(name, job_id, "completed")


@then("jobs are completed elsewhere, also by a successor")
def step_elsewhere(context: Any) -> None:
    assert context.evacuated_starts == 0, context.evacuated_starts


@then("the worker is used again once the truncated record is gone")
def step_used_again(context: Any) -> None:
    assert context.fleet.worker_starts["i-0"] > 0
