from __future__ import annotations

import asyncio
import json
from typing import Any

from behave import then, when

from cicadatrail.commands import job_show
from cicadatrail.network.admin import AdminClient
from cicadatrail.utils.access import Access, Address
from features.support.platform_cluster import (
    PlatformCluster,
    configuration,
    job,
    run_scenario,
)

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000b2"
OTHER_KEY = "another-key"


def _ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(1, count + 1)]


async def _start(cluster: PlatformCluster, count: int = 2) -> str:
    """Start instances; return the name of the holder."""
    for number in range(1, count + 1):
        cluster.start(f"edge-{number}")
    await cluster.until(cluster.holder)
    ready = list(cluster.instances.values())
    await cluster.until(lambda: all(instance.is_ready for instance in ready))
    holder = cluster.holder()
    assert holder is not None
    return holder


def _other(cluster: PlatformCluster, holder: str) -> str:
    return next(name for name in cluster.instances if name != holder)


async def _submit(
    cluster: PlatformCluster, name: str, job_id: str, body: dict[str, Any]
) -> int:
    status, _ = await cluster.call(name, "POST", f"/q/{job_id}", body)
    return status


async def _submit_all(
    cluster: PlatformCluster, name: str, ids: list[str], body: dict[str, Any]
) -> None:
    statuses = await asyncio.gather(
        *[_submit(cluster, name, job_id, body) for job_id in ids]
    )
    assert set(statuses) == {200}, statuses


def _play(context: Any, scenario: Any, worker_count: int = 3) -> None:
    """Play a scenario; keep what the steps after it judge."""

    async def run(cluster: PlatformCluster) -> None:
        context.fleet = cluster.fleet
        await scenario(cluster)

    run_scenario(run, worker_count)


@when("a job of two steps is submitted to an entry that does not hold the fleet")
def step_two_steps(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        entry = _other(cluster, holder)
        assert await _submit(cluster, entry, JOB, job(steps=2, count=5)) == 200
        await cluster.wait_for_state(entry, JOB, "completed")
        context.state = "completed"

    _play(context, scenario)


@then("it is completed")
def step_completed(context: Any) -> None:
    assert context.state == "completed"


@then("no subtask ran twice and no worker was over its capacity")
def step_sound(context: Any) -> None:
    assert not context.fleet.faults_seen, context.fleet.faults_seen


@then("each subtask started once")
def step_once(context: Any) -> None:
    assert set(context.fleet.starts.values()) == {1}, context.fleet.starts


@then("a call with an unknown key gets 401")
def step_unknown_key(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        status, _ = await cluster.call(holder, "GET", f"/q/{JOB}", key="no-key")
        assert status == 401, status
        context.unknown_queue, _ = await cluster.call(holder, "GET", "/other/")
        context.unknown_job, _ = await cluster.call(holder, "GET", f"/q/{JOB}")
        steps = [{"count": 0, "cpu": 1}, {"count": 1, "after": [7]}]
        context.malformed = await cluster.call(
            holder, "POST", f"/q/{JOB}", {"spec": 5, "steps": steps}
        )

    _play(context, scenario)


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


async def _watch_keys(context: Any, cluster: PlatformCluster) -> None:
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
        await _start(cluster)
        _replace_key(cluster)
        await _watch_keys(context, cluster)

    _play(context, scenario)


@when("the store forgets the history of the operators' records and changes the key")
def step_forget(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await _start(cluster)
        for version in range(2, 5):
            cluster.store.put_json("keyed.op", "config", configuration(version))
        _replace_key(cluster)
        cluster.store.forget_history("keyed.op")
        await _watch_keys(context, cluster)

    _play(context, scenario)


@then("the old key gets 401 and the new one is served")
def step_keys(context: Any) -> None:
    assert context.keys_replaced


@when("a job is submitted three times to different entries")
def step_repeated(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        statuses = await asyncio.gather(
            *[_submit(cluster, name, JOB, job()) for name in cluster.instances]
        )
        assert set(statuses) == {200}, statuses
        await cluster.wait_for_state(holder, JOB, "completed")
        assert await _submit(cluster, holder, JOB, job()) == 200
        await asyncio.sleep(0.3)
        context.state = await cluster.state(holder, JOB)

    _play(context, scenario)


@when("a job that lasts is cancelled")
def step_cancel(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        body = job(**{"long-running": True}) | {"spec": "lasts"}
        assert await _submit(cluster, holder, JOB, body) == 200
        running = cluster.fleet.running
        await cluster.until(lambda: sum(map(len, running.values())) == 2)
        status, _ = await cluster.call(holder, "DELETE", f"/q/{JOB}")
        assert status == 200
        await cluster.until(lambda: not any(running.values()), 1.0)
        await asyncio.sleep(0.3)
        assert not any(running.values())
        context.state = await cluster.state(holder, JOB)

    _play(context, scenario)


@then("nothing of it runs and its state is cancelled")
def step_cancelled(context: Any) -> None:
    assert context.state == "cancelled"


@when("a job that always fails is submitted")
def step_fails(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        body = job(count=1) | {"spec": "ms=20 fail"}
        assert await _submit(cluster, holder, JOB, body) == 200
        await cluster.wait_for_state(holder, JOB, "failed")
        await asyncio.sleep(0.3)

    _play(context, scenario)


@then("it is failed after {count:d} starts of its subtask")
def step_failed(context: Any, count: int) -> None:
    assert list(context.fleet.starts.values()) == [count], context.fleet.starts


@when("six instances start at once")
def step_six(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await _start(cluster, 6)
        await asyncio.sleep(0.5)
        context.holders = [
            name for name, i in cluster.instances.items() if i.holds_fleet
        ]

    _play(context, scenario)


@then("one of them holds the fleet")
def step_one_holds(context: Any) -> None:
    assert len(context.holders) == 1, context.holders


async def _finish(cluster: PlatformCluster, ids: list[str]) -> None:
    await cluster.until(cluster.holder)
    name = cluster.holder()
    assert name is not None
    for job_id in ids:
        await cluster.wait_for_state(name, job_id, "completed", 15)


@when("the holder is killed while jobs run")
def step_kill(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        ids = _ids(6)
        body = job(ms=250, steps=2, count=3)
        await _submit_all(cluster, _other(cluster, holder), ids, body)
        await asyncio.sleep(0.2)
        await cluster.kill(holder)
        await _finish(cluster, ids)
        context.state = "completed"

    _play(context, scenario)


@then("every accepted job is completed by its successor")
def step_all_completed(context: Any) -> None:
    assert context.state == "completed"


@when("the holder is told to stop while a job is submitted")
def step_release(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        entry = _other(cluster, holder)
        cluster.instances[holder].stop()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        assert await _submit(cluster, entry, JOB, job()) == 200
        context.accepted_s = loop.time() - began_s
        await cluster.wait_for_state(entry, JOB, "completed")

    _play(context, scenario)


@then("the job is accepted within 1 second")
def step_accepted(context: Any) -> None:
    assert context.accepted_s < 1.0, context.accepted_s


@when("three instances start one after the other and the first is told to stop")
def step_in_turn(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        for name in ("edge-1", "edge-2", "edge-3"):
            cluster.start(name)
            while not cluster.instances[name].is_ready:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)
        assert cluster.holder() == "edge-1"
        cluster.instances["edge-1"].stop()
        await cluster.until(lambda: cluster.holder() not in (None, "edge-1"))
        context.holder = cluster.holder()

    _play(context, scenario)


@then("the third holds the fleet")
def step_third(context: Any) -> None:
    assert context.holder == "edge-3", context.holder


@when("the holder hands over to an instance that does not exist")
def step_nobody(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        await cluster.instances[holder].hand_over("127.0.0.99")
        await cluster.until(lambda: cluster.holder() not in (None, holder), 3.0)
        context.holder = cluster.holder()

    _play(context, scenario)


@then("another instance holds the fleet within 3 seconds")
def step_another(context: Any) -> None:
    assert context.holder is not None


@when("every instance is killed while jobs run and new ones start")
def step_kill_all(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        ids = _ids(6)
        body = job(ms=250, steps=2, count=3)
        await _submit_all(cluster, _other(cluster, holder), ids, body)
        await asyncio.sleep(0.2)
        for name in list(cluster.instances):
            await cluster.kill(name)
        for number in range(1, 4):
            cluster.start(f"edge-{number}")
        await _finish(cluster, ids)
        context.state = "completed"

    _play(context, scenario)


@when("the holder is killed while one worker is mute")
def step_kill_mute(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        ids = _ids(4)
        body = job(ms=2500, count=4)
        await _submit_all(cluster, _other(cluster, holder), ids, body)
        await asyncio.sleep(0.3)
        cluster.workers[0].mute = True
        await cluster.kill(holder)
        await _finish(cluster, ids)
        context.state = "completed"

    _play(context, scenario)


@when("a worker leaves starts unanswered and carries them out late")
def step_late(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        cluster.workers[0].late_starts_s = 0.9
        cluster.workers[1].late_starts_s = 2.0
        assert await _submit(cluster, holder, JOB, job(ms=100, count=12)) == 200
        await cluster.wait_for_state(holder, JOB, "completed", 15)
        await asyncio.sleep(2.2)
        context.state = await cluster.state(holder, JOB)

    _play(context, scenario)


@when("the store loses the answers of 3 appends while a job is submitted")
def step_lost(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        cluster.store.faults.lost_answers = 3
        assert await _submit(cluster, _other(cluster, holder), JOB, job()) == 200
        await cluster.wait_for_state(holder, JOB, "completed")
        context.state = "completed"

    _play(context, scenario)


@when("the store is down")
def step_down(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        entry = _other(cluster, holder)
        body = job(ms=300, steps=3)
        assert await _submit(cluster, entry, JOB, body) == 200
        cluster.store.faults.down = True
        context.refusals = [
            (await cluster.call(entry, "POST", f"/q/{n}", job(), timeout_s=1.0))[0]
            for n in _ids(3)
        ]
        context.known_state = await cluster.state(entry, JOB)
        await asyncio.sleep(1.5)
        context.started = len(cluster.fleet.starts)
        cluster.store.faults.down = False
        await cluster.wait_for_state(entry, JOB, "completed")
        context.state = "completed"

    _play(context, scenario)


@then("a new job is refused with 503 or stays unsettled with 504")
def step_refused(context: Any) -> None:
    assert set(context.refusals) <= {503, 504}, context.refusals
    assert 503 in context.refusals, context.refusals


@then("an accepted job still gets its state")
def step_known(context: Any) -> None:
    assert context.known_state == "running", context.known_state


@then("work goes on and is completed after the store is back")
def step_goes_on(context: Any) -> None:
    assert context.started == 6, context.started
    assert context.state == "completed"
    assert not context.fleet.faults_seen, context.fleet.faults_seen


@when("the holder is cut from the store while no worker answers")
def step_cut_holder(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        await cluster.add_proxy("edge-1")
        cluster.start("edge-1")
        await cluster.until(cluster.holder)
        for name in ("edge-2", "edge-3"):
            cluster.start(name)
        others = [cluster.instances[name] for name in ("edge-2", "edge-3")]
        await cluster.until(lambda: all(other.is_ready for other in others))
        for worker in cluster.workers:
            # So that no worker can tell the old holder of the new one.
            worker.mute = True
        cluster.proxies["edge-1"].silent = True
        first = cluster.instances["edge-1"]
        await cluster.until(lambda: any(other.holds_fleet for other in others))
        await asyncio.sleep(0.5)
        context.may_start = first.may_start
        context.deposed = not first.holds_fleet

    _play(context, scenario)


@then("half a second later its peers have told it, and it starts nothing")
def step_deposed(context: Any) -> None:
    assert not context.may_start
    assert context.deposed


@when("the store is down longer than others wait before they claim")
def step_down_long(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster, 3)
        body = job(ms=400, steps=6, count=1)
        assert await _submit(cluster, holder, JOB, body) == 200
        await asyncio.sleep(0.1)
        cluster.store.faults.down = True
        await asyncio.sleep(3.5)
        context.starts = sum(cluster.fleet.starts.values())
        context.holder_stays = cluster.holder() == holder
        cluster.store.faults.down = False
        await cluster.wait_for_state(holder, JOB, "completed", 15)

    _play(context, scenario)


@then("the holder still starts what it had accepted")
def step_still_starts(context: Any) -> None:
    assert context.holder_stays
    # Each step takes 0.4 s; some were started after the others' limit of 1.3 s.
    assert context.starts >= 6, context.starts


@when("a worker restarts while it runs a job")
def step_restart(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        assert await _submit(cluster, holder, JOB, job(ms=400, count=6)) == 200
        await cluster.until(lambda: cluster.workers[0].lives)
        cluster.workers[0].restart()
        await cluster.wait_for_state(holder, JOB, "completed")
        context.state = "completed"

    _play(context, scenario)


@when("a wave of three machines is asked for while lasting work runs")
def step_wave(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        step = {"long-running": True, "may-miss": 1, "anti-affinity": 1}
        body = job(count=2, **step) | {"spec": "lasts"}
        assert await _submit(cluster, holder, JOB, body) == 200
        running = cluster.fleet.running

        def at_work() -> int:
            return sum(map(len, running.values()))

        await cluster.until(lambda: at_work() == 2)
        assert cluster.machines is not None
        wave = {
            "wave": 1,
            "machines": list(cluster.machines.workers),
            "duration-s": 20,
            "cap": 1,
        }
        cluster.store.put_json("keyed.op", "wave/1", wave)
        context.least = 2
        async with asyncio.timeout(15):
            while _wave_state(cluster) != "completed":
                context.least = min(context.least, at_work())
                await asyncio.sleep(0.01)
        context.machines = cluster.machines

    _play(context, scenario)


def _wave_state(cluster: PlatformCluster) -> str:
    newest = cluster.store.topic("keyed.status").newest.get("wave/1")
    return "" if newest is None else str(json.loads(newest[1])["state"])


@then("the wave is completed within its limit of {limit:d}")
def step_wave_done(context: Any, limit: int) -> None:
    assert len(context.machines.maintained) == 3, context.machines.maintained
    assert context.machines.most_down <= limit


@then("the lasting work lost at most one subtask at a time")
def step_lasting(context: Any) -> None:
    assert context.least >= 1, context.least


@when("a job larger than any worker and one that runs are asked for")
def step_show(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        holder = await _start(cluster)
        large = job(cpu=9000)
        small = job(ms=3000)
        assert await _submit(cluster, holder, JOB, large) == 200
        assert await _submit(cluster, holder, OTHER_JOB, small) == 200
        running = cluster.fleet.running
        await cluster.until(lambda: sum(map(len, running.values())) == 2)
        addresses = [
            Address(cluster.host(name), cluster.operator_port)
            for name in (_other(cluster, holder), holder)
        ]
        client = AdminClient(Access(tuple(addresses), "token"), 2.0)
        context.large = (await client.read_job(JOB)).unwrap()
        context.small = (await client.read_job(OTHER_JOB)).unwrap()

    _play(context, scenario)


@then("the command line shows the runs of one and why the other waits")
def step_shown(context: Any) -> None:
    (waiting,) = context.large.steps
    assert waiting.reason == "no worker of the pool is large enough"
    (running,) = context.small.steps
    assert len(running.runs) == 2 and running.reason == ""
    lines = job_show._reply(context.small).lines
    assert any(OTHER_JOB in line and "running" in line for line in lines), lines


@when("a weak instance and a strong one start at once")
def step_weak(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        cluster.cores["edge-1"] = 0.5
        context.holder = await _start(cluster)

    _play(context, scenario)


@then("the strong one holds the fleet")
def step_strong(context: Any) -> None:
    assert context.holder == "edge-2", context.holder
