"""Steps about jobs, callers, the store and waves on a cluster of instances."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from behave import then, when

from cicadatrail.commands import job_show
from cicadatrail.network.admin import AdminClient
from cicadatrail.utils.access import Access, Address
from features.support.platform_actions import (
    JOB,
    job_ids,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import (
    PlatformCluster,
    configuration,
    job,
)

OTHER_JOB = "00000000000000b2"
OTHER_KEY = "another-key"


@when("a job of two steps is submitted to an instance that is not the leader")
def step_two_steps(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        entry = other_instance(cluster, leader)
        assert await submit(cluster, entry, JOB, job(steps=2, count=5)) == 200
        await cluster.wait_for_state(entry, JOB, "completed")
        context.state = "completed"

    run_on_cluster(context, scenario)


@then("it is completed")
def step_completed(context: Any) -> None:
    assert context.state == "completed"


@then("no subtask ran twice and no worker was over its capacity")
def step_no_violations(context: Any) -> None:
    assert not context.fleet.violations, context.fleet.violations


@then("each subtask started once")
def step_once(context: Any) -> None:
    assert set(context.fleet.starts.values()) == {1}, context.fleet.starts


@then("a call with an unknown key gets 401")
def step_unknown_key(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        status, _ = await cluster.call(leader, "GET", f"/q/{JOB}", key="no-key")
        assert status == 401, status
        context.unknown_queue, _ = await cluster.call(leader, "GET", "/other/")
        context.unknown_job, _ = await cluster.call(leader, "GET", f"/q/{JOB}")
        steps = [{"count": 0, "cpu": 1}, {"count": 1, "after": [7]}]
        context.malformed = await cluster.call(
            leader, "POST", f"/q/{JOB}", {"spec": 5, "steps": steps}
        )

    run_on_cluster(context, scenario)


@then("a call to an unknown queue gets 404")
def step_unknown_queue(context: Any) -> None:
    assert context.unknown_queue == 404


@then("a job that nobody submitted gets 410")
def step_unknown_job(context: Any) -> None:
    assert context.unknown_job == 410


@then("a malformed job gets 400 with every finding")
def step_malformed(context: Any) -> None:
    status, body = context.malformed
    places = [finding["place"] for finding in body["findings"]]
    assert status == 400
    assert places == ["steps[0]", "steps[1]", "body"], places


def _replace_key(cluster: PlatformCluster) -> None:
    team = configuration()["tenants"][0] | {"api-keys": [OTHER_KEY]}
    newer = configuration(9, tenants=[team])
    cluster.store.put_json("keyed.op", "config", newer)


async def _wait_for_new_key(context: Any, cluster: PlatformCluster) -> None:
    async with asyncio.timeout(3):
        for name in cluster.instances:
            while (await cluster.call(name, "GET", "/q/"))[0] != 401:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            status, _ = await cluster.call(name, "GET", "/q/", key=OTHER_KEY)
            assert status == 200, status
    context.keys_replaced = True


@when("the key of the team is replaced in a newer configuration")
def step_new_key(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await start_instances(cluster)
        _replace_key(cluster)
        await _wait_for_new_key(context, cluster)

    run_on_cluster(context, scenario)


@when("the key is replaced and the store truncates the operators' records")
def step_truncate(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await start_instances(cluster)
        for version in range(2, 5):
            cluster.store.put_json("keyed.op", "config", configuration(version))
        _replace_key(cluster)
        cluster.store.truncate_history("keyed.op")
        await _wait_for_new_key(context, cluster)

    run_on_cluster(context, scenario)


@then("the old key gets 401 and the new one is served")
def step_keys(context: Any) -> None:
    assert context.keys_replaced


@when("a job is submitted three times to different instances")
def step_repeated(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        statuses = await asyncio.gather(
            *[submit(cluster, name, JOB, job()) for name in cluster.instances]
        )
        assert set(statuses) == {200}, statuses
        await cluster.wait_for_state(leader, JOB, "completed")
        assert await submit(cluster, leader, JOB, job()) == 200
        await asyncio.sleep(0.3)
        context.state = await cluster.state(leader, JOB)

    run_on_cluster(context, scenario)


@when("a long-running job is cancelled")
def step_cancel(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        body = job(**{"long-running": True}) | {"spec": "lasts"}
        assert await submit(cluster, leader, JOB, body) == 200
        running = cluster.fleet.running
        await cluster.wait_until(lambda: sum(map(len, running.values())) == 2)
        status, _ = await cluster.call(leader, "DELETE", f"/q/{JOB}")
        assert status == 200
        await cluster.wait_until(lambda: not any(running.values()), 1.0)
        await asyncio.sleep(0.3)
        assert not any(running.values())
        context.state = await cluster.state(leader, JOB)

    run_on_cluster(context, scenario)


@then("none of its subtasks run and its state is cancelled")
def step_cancelled(context: Any) -> None:
    assert context.state == "cancelled"


@when("a job that always fails is submitted")
def step_fails(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        body = job(count=1) | {"spec": "ms=20 fail"}
        assert await submit(cluster, leader, JOB, body) == 200
        await cluster.wait_for_state(leader, JOB, "failed")
        await asyncio.sleep(0.3)

    run_on_cluster(context, scenario)


@then("it is failed after {count:d} starts of its subtask")
def step_failed(context: Any, count: int) -> None:
    assert list(context.fleet.starts.values()) == [count], context.fleet.starts


@when("a worker leaves starts unanswered and carries them out late")
def step_late_starts(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        cluster.workers[0].late_starts_s = 0.9
        cluster.workers[1].late_starts_s = 2.0
        assert await submit(cluster, leader, JOB, job(ms=100, count=12)) == 200
        await cluster.wait_for_state(leader, JOB, "completed", 15)
        await asyncio.sleep(2.2)
        context.state = await cluster.state(leader, JOB)

    run_on_cluster(context, scenario)


@when("the store loses the answers of 3 appends while a job is submitted")
def step_lost_answers(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        cluster.store.faults.lost_answers = 3
        assert await submit(cluster, other_instance(cluster, leader), JOB, job()) == 200
        await cluster.wait_for_state(leader, JOB, "completed")
        context.state = "completed"

    run_on_cluster(context, scenario)


@when("the store is down")
def step_store_down(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        entry = other_instance(cluster, leader)
        body = job(ms=300, steps=3)
        assert await submit(cluster, entry, JOB, body) == 200
        cluster.store.faults.down = True
        context.refusals = [
            (await cluster.call(entry, "POST", f"/q/{n}", job(), timeout_s=1.0))[0]
            for n in job_ids(3)
        ]
        context.known_state = await cluster.state(entry, JOB)
        await asyncio.sleep(1.5)
        context.started = len(cluster.fleet.starts)
        cluster.store.faults.down = False
        await cluster.wait_for_state(entry, JOB, "completed")
        context.state = "completed"

    run_on_cluster(context, scenario)


@then("a new job gets 503 or, if its outcome is unknown, 504")
def step_refused(context: Any) -> None:
    assert set(context.refusals) <= {503, 504}, context.refusals
    assert 503 in context.refusals, context.refusals


@then("the state of an accepted job can still be read")
def step_state_known(context: Any) -> None:
    assert context.known_state == "running", context.known_state


@then("work continues and is completed after the store is back")
def step_work_continues(context: Any) -> None:
    assert context.started == 6, context.started
    assert context.state == "completed"
    assert not context.fleet.violations, context.fleet.violations


@when("a worker restarts while it runs a job")
def step_restart(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        assert await submit(cluster, leader, JOB, job(ms=400, count=6)) == 200
        await cluster.wait_until(lambda: cluster.workers[0].runs)
        cluster.workers[0].restart()
        await cluster.wait_for_state(leader, JOB, "completed")
        context.state = "completed"

    run_on_cluster(context, scenario)


@when("a worker restarts unnoticed while the store does not answer")
def step_unseen_restart(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        # The earlier incarnation's ends have numbers up to 8, all acknowledged.
        body = job(ms=50, count=8, cpu=500)
        assert await submit(cluster, leader, OTHER_JOB, body) == 200
        await cluster.wait_for_state(leader, OTHER_JOB, "completed")
        worker = cluster.workers[0]
        await cluster.wait_until(lambda: worker.acknowledged_end == 8)
        assert await submit(cluster, leader, JOB, job(ms=300, steps=2, count=1)) == 200
        await cluster.wait_until(lambda: worker.runs)
        cluster.store.faults.down = True
        await cluster.wait_until(lambda: worker.ends)
        # The end has just been listed; the link waits for the store.
        await asyncio.sleep(0.05)
        worker.restart()
        await asyncio.sleep(0.8)
        cluster.store.faults.down = False
        await cluster.wait_for_state(leader, JOB, "completed")
        context.state = "completed"

    run_on_cluster(context, scenario, 1)


@then("only the subtask that ran at that time started twice")
def step_started_twice(context: Any) -> None:
    assert context.fleet.violations == [], context.fleet.violations
    starts = dict(context.fleet.starts)
    assert starts.pop(f"{JOB}.0.1.0") == 2, context.fleet.starts
    assert set(starts.values()) == {1}, starts


@when("a wave of three machines is requested while long-running work runs")
def step_wave(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        step = {"long-running": True, "may-miss": 1, "anti-affinity": 1}
        body = job(count=2, **step) | {"spec": "lasts"}
        assert await submit(cluster, leader, JOB, body) == 200
        running = cluster.fleet.running

        def running_count() -> int:
            return sum(map(len, running.values()))

        await cluster.wait_until(lambda: running_count() == 2)
        assert cluster.machines is not None
        wave = {
            "wave": 1,
            "machines": list(cluster.machines.workers),
            "duration-s": 20,
            "cap": 1,
        }
        cluster.store.put_json("keyed.op", "wave/1", wave)
        context.min_running_count = 2
        async with asyncio.timeout(15):
            while _wave_state(cluster) != "completed":
                context.min_running_count = min(
                    context.min_running_count, running_count()
                )
                await asyncio.sleep(0.01)
        context.machines = cluster.machines

    run_on_cluster(context, scenario)


def _wave_state(cluster: PlatformCluster) -> str:
    newest = cluster.store.topic("keyed.status").newest.get("wave/1")
    return "" if newest is None else str(json.loads(newest[1])["state"])


@then("the wave is completed within its limit of {limit:d}")
def step_wave_done(context: Any, limit: int) -> None:
    assert len(context.machines.maintained) == 3, context.machines.maintained
    assert context.machines.max_down_count <= limit


@then("the long-running work lost at most one subtask at a time")
def step_long_running(context: Any) -> None:
    assert context.min_running_count >= 1, context.min_running_count


@when("a job larger than any worker and one that runs are shown")
def step_show(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        large = job(cpu=9000)
        small = job(ms=3000)
        assert await submit(cluster, leader, JOB, large) == 200
        assert await submit(cluster, leader, OTHER_JOB, small) == 200
        running = cluster.fleet.running
        await cluster.wait_until(lambda: sum(map(len, running.values())) == 2)
        addresses = [
            Address(cluster.host(name), cluster.operator_port)
            for name in (other_instance(cluster, leader), leader)
        ]
        client = AdminClient(Access(tuple(addresses), "token"), 2.0)
        context.large = (await client.read_job(JOB)).unwrap()
        context.small = (await client.read_job(OTHER_JOB)).unwrap()

    run_on_cluster(context, scenario)


@then("the command line shows the runs of one and why the other waits")
def step_shown(context: Any) -> None:
    (waiting,) = context.large.steps
    assert waiting.reason == "no worker of the pool is large enough"
    (running,) = context.small.steps
    assert len(running.runs) == 2 and running.reason == ""
    lines = job_show._reply(context.small).lines
    assert any(OTHER_JOB in line and "running" in line for line in lines), lines
