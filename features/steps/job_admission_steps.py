"""Steps about the admission of jobs under overload."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from cicadatrail_core.jobs.data_centre_evacuation import evacuate_data_centres
from cicadatrail_core.jobs.models import JobDefinition, Machine, MachineState, Step
from cicadatrail_core.jobs.service_window import READING_AGE_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling import admission
from cicadatraild.scheduling.messages import Refused
from features.support.overload_world import (
    LOAD_S,
    SETTLE_S,
    SURGE,
    TEAMS,
    Caller,
    OverloadWorld,
)
from features.support.platform_actions import (
    finish_all,
    job_ids,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import PlatformCluster

SURGE_FACTOR = 5.0
LOST_FRACTION = 0.03
"""Part of the callers of a group that may lose their service within the objective."""

RIGHT_FRACTION = 0.8
TRY_LIMIT = 4
HUGE = Step(100, Resources(3000, 10), 800)
REAL_JOBS_COUNT = 160
GROUP_COUNT = 8
LAST_COUNT = 40
SMALL = Step(1, Resources(3000, 10), 800)
NEW_ID = "00000000000000ff"
EVACUATED = "y"


def _plan(step: Step, team: str = "calm", queue: str = "plain") -> JobDefinition:
    return JobDefinition(queue, team, "s", (step,))


def _consider(
    world: OverloadWorld, plan: JobDefinition, job_id: str = NEW_ID
) -> Refused | None:
    return world.control.consider(job_id, plan, world.world.now_s)


def _add_work(world: OverloadWorld, count: int, **plan: str) -> None:
    for _ in range(count):
        number = len(world.world.scheduler.jobs)
        world.world.submit(f"{number:016x}", _plan(HUGE, **plan))


@given("a load of callers with seed {seed:d}")
def step_load(context: Any, seed: int) -> None:
    context.seed = seed


@when("it is played with admission and with every job accepted")
def step_play(context: Any) -> None:
    def play(surge: float, admits_all: bool) -> OverloadWorld:
        world = OverloadWorld(context.seed, surge, admits_all)
        world.play()
        return world

    context.load = play(SURGE_FACTOR, False)
    context.baseline = play(SURGE_FACTOR, True)
    context.usual = play(1.0, False)


def _refused(world: OverloadWorld) -> list[Caller]:
    callers = world.callers.values()
    return [c for c in callers if c.refused_s and not c.is_cancelled]


@then("callers are refused in the surge and only there")
def step_only_surge(context: Any) -> None:
    assert not _refused(context.usual)
    refused = _refused(context.load)
    assert refused
    began_s = context.load.began_s
    assert all(c.asked_s >= began_s + SURGE[0] for c in refused)


@then("four of five refused callers would have got nothing by being accepted")
def step_right(context: Any) -> None:
    refused = {caller.job_id for caller in _refused(context.load)}
    otherwise = context.baseline.outcome(lambda caller: caller.job_id in refused)
    assert otherwise.useless >= RIGHT_FRACTION * otherwise.asked, otherwise


@then("no queue and no team is served less within its objective")
def step_served(context: Any) -> None:
    groups = [
        *[lambda c, name=name: c.plan.team == name for name in TEAMS],
        *[lambda c, name=name: c.plan.queue == name for name in ("urgent", "plain")],
    ]
    for belongs in groups:
        now = context.load.outcome(belongs)
        before = context.baseline.outcome(belongs)
        allowed = max(1.0, LOST_FRACTION * now.asked)
        assert now.in_objective >= before.in_objective - allowed, (now, before)


@then("callers wait no longer in all, and none is refused more than 3 times")
def step_waits(context: Any) -> None:
    def waited_s(world: OverloadWorld) -> float:
        callers = [c for c in world.callers.values() if c.done_s]
        return sum(c.done_s - max(c.asked_s, c.refused_s) for c in callers)

    assert waited_s(context.load) <= 1.02 * waited_s(context.baseline)
    assert max(c.tries for c in context.load.callers.values()) <= TRY_LIMIT


@then("every accepted job is done")
def step_done(context: Any) -> None:
    for caller in context.load.callers.values():
        assert caller.done_s or caller.is_cancelled or not caller.accepted, caller


@then("nothing of a refused job has started")
def step_not_started(context: Any) -> None:
    assert _refused(context.load)
    assert not context.load.started_unaccepted


@when("half of the workers are lost in the surge")
def step_lose(context: Any) -> None:
    context.load = OverloadWorld(context.seed, SURGE_FACTOR, False)
    context.load.play(SURGE[1] - 2)
    context.load.lose_half()
    context.load.play()


@when("a new leader takes over in the surge")
def step_take_over(context: Any) -> None:
    world = context.load = OverloadWorld(context.seed, SURGE_FACTOR, False)
    world.play(SURGE[1] - 2)
    assert world.control.refused_counts
    world.fail_over()
    context.blind = _consider(world, _plan(SMALL, "hot"))
    world.play(LOAD_S + SETTLE_S)


@then("it refuses nothing before the workers have reported")
def step_blind(context: Any) -> None:
    assert context.blind is None, context.blind


@given("work ahead for 10 minutes")
def step_ahead(context: Any) -> None:
    context.load = OverloadWorld(1, 1.0, False)
    _add_work(context.load, 400)


@given("a fleet without work")
def step_idle(context: Any) -> None:
    context.load = OverloadWorld(1, 1.0, False)


@then("admission accepts {name}")
def step_accepted(context: Any, name: str) -> None:
    if "standby" in name:
        for number in range(2000):
            machine = Machine(f"s{number}", "spare", MachineState.UP, "")
            context.load.machines[machine.name] = machine
    assert _consider(context.load, PLANS[name]) is None
    for machine in [m for m in context.load.machines if m.startswith("s")]:
        del context.load.machines[machine]
    context.load.world.now_s += READING_AGE_S


@then("a plain job is refused")
def step_plain_refused(context: Any) -> None:
    assert isinstance(_consider(context.load, _plan(SMALL)), Refused)


PLANS = {
    "a plain job": _plan(SMALL),
    "a long-running job": _plan(replace(SMALL, lasting=True)),
    "a scheduled job": replace(_plan(SMALL), repeat_count=3, interval_ms=1000),
    "a best-effort job": _plan(replace(SMALL, filler=True)),
    "a job of a queue without an objective": _plan(
        replace(SMALL, estimate_ms=1500), queue="aimless"
    ),
    "a job of an urgent queue": _plan(SMALL, queue="urgent"),
    "a job that is due much later": _plan(replace(SMALL, estimate_ms=3_600_000)),
    "a job that machines on standby serve": _plan(SMALL),
    "a job larger than any worker": _plan(replace(SMALL, need=Resources(10**6, 1))),
}


@given("a queue that 40 jobs of each team and queue are refused for")
def step_many(context: Any) -> None:
    world = OverloadWorld(1, 1.0, False)
    _add_work(world, 200, team="hot", queue="urgent")
    _add_work(world, 40, team="small", queue="urgent")
    _add_work(world, 200, team="hot")
    _add_work(world, 40, team="small")
    context.times = {}
    for number in range(40):
        for queue in ("urgent", "plain"):
            for team in ("hot", "small"):
                job_id = f"{number:08x}{queue[0]}{team[0]}"
                refusal = _consider(world, _plan(SMALL, team, queue), job_id)
                assert refusal is not None
                key = (queue, team)
                context.times.setdefault(key, []).append(refusal.retry_after_s)


@then("the urgent ones of the least-served team come back first")
def step_first(context: Any) -> None:
    first = max(context.times.pop(("urgent", "small")))
    context.times["first"] = [first]
    assert first < min(context.times["plain", "hot"])


@then("no second has more than a third of those who come back")
def step_spread(context: Any) -> None:
    for times in context.times.values():
        most = max(Counter(int(time_s) for time_s in times).values())
        assert most <= max(1, len(times) / 3), times


@given("a team whose limit leaves its accepted work a minute")
def step_limit(context: Any) -> None:
    world = context.load = OverloadWorld(1, 1.0, False)
    limited = replace(TEAMS["hot"], limit=Resources(3000))
    configuration = world.world.scheduler.configuration
    teams = TEAMS | {"hot": limited}
    world.world.scheduler.configure(replace(configuration, version=3, teams=teams))
    _add_work(world, 1, team="hot")


@then("its next job is refused and another team's is accepted")
def step_limited(context: Any) -> None:
    assert isinstance(_consider(context.load, _plan(SMALL, "hot")), Refused)
    assert _consider(context.load, _plan(SMALL, "calm")) is None


@given("a team whose limit is half of the fleet and its urgent work of a minute")
def step_urgent_limit(context: Any) -> None:
    world = context.load = OverloadWorld(1, 1.0, False)
    cores = sum(sim.cores for sim in world.world.sims.values())
    limited = replace(TEAMS["hot"], limit=Resources(cores * 500))
    configuration = world.world.scheduler.configuration
    teams = TEAMS | {"hot": limited}
    world.world.scheduler.configure(replace(configuration, version=3, teams=teams))
    _add_work(world, cores * 30 // 240, team="hot", queue="urgent")


@given("work that a fleet and its standby machines end in time")
def step_evacuable(context: Any) -> None:
    load = context.load = OverloadWorld(1, 1.0, False)
    world = load.world
    for sim in [*world.sims.values()][::2]:
        facts = replace(world.facts(sim), zone=EVACUATED)
        world.scheduler.update_worker(facts, world.now_s)
        name = f"{EVACUATED}-{sim.worker_id}"
        load.machines[name] = Machine(
            name, "spare", MachineState.UP, "", data_centre=EVACUATED
        )
    _add_work(load, 5)


@when("the data centre of half of them is evacuated")
def step_evacuate(context: Any) -> None:
    evacuate_data_centres(context.load.world.scheduler, frozenset({EVACUATED}))


@given("an idle fleet and {count:d} urgent jobs that were accepted and then dropped")
def step_dropped(context: Any, count: int) -> None:
    world = context.load = OverloadWorld(1, 1.0, False)
    for number in range(count):
        _consider(world, _plan(HUGE, queue="urgent"), f"{number:016x}")


@given("a worker has not reported to this leader")
def step_unreported(context: Any) -> None:
    context.load.world.worker("w0").is_reconciled = False


@given("a newer leader may have been elected")
def step_unsure(context: Any) -> None:
    context.load.world.scheduler.is_lease_valid = lambda: False


@given("the machine list has not been read")
def step_no_list(context: Any) -> None:
    context.load.machines.clear()


@given("the decision fails")
def step_fault(context: Any) -> None:
    fault = patch.object(admission, "decide", side_effect=ValueError)
    fault.start()
    context.add_cleanup(fault.stop)


@when("more jobs than can be served in time are submitted and the leader is killed")
def step_real(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        entry = other_instance(cluster, leader)
        step_entry = {"count": 6, "cpu": 1000, "est-duration-ms": 1000}
        body = {"spec": "ms=1000", "steps": [step_entry]}
        first, *ids = job_ids(REAL_JOBS_COUNT)
        # The leader has to know the machines before it may refuse.
        assert await submit(cluster, entry, first, body) == 200
        running = cluster.instances[leader]._leader
        assert running is not None
        await cluster.wait_until(lambda: bool(running._inventory.machines))
        statuses: dict[str, int] = {}
        for position in range(0, len(ids), GROUP_COUNT):
            group = ids[position : position + GROUP_COUNT]
            answers = await asyncio.gather(
                *[submit(cluster, entry, job_id, body) for job_id in group]
            )
            statuses |= dict(zip(group, answers, strict=True))
        context.statuses = statuses
        accepted = [first, *(i for i in ids if statuses[i] == 200)]
        context.repeats = [
            await submit(cluster, leader, job_id, body) for job_id in accepted
        ]
        context.retry_after_s = running.admission.retry_after_s
        await cluster.kill(leader)
        await finish_all(cluster, accepted)
        context.started = {task.partition(".")[0] for task in cluster.fleet.starts}

    run_on_cluster(context, scenario)


@then("the last ones were refused with a time to come back")
def step_real_refused(context: Any) -> None:
    assert set(context.statuses.values()) == {200, 503}, context.statuses
    last = job_ids(REAL_JOBS_COUNT)[-LAST_COUNT:]
    refused_count = sum(context.statuses[job_id] == 503 for job_id in last)
    assert refused_count > LAST_COUNT / 2, refused_count
    assert context.retry_after_s >= 1.0


@then("the repeats of the accepted ones got 200 and all of them are completed")
def step_real_repeats(context: Any) -> None:
    assert set(context.repeats) == {200}, context.repeats


@then("nothing of the refused ones has started")
def step_real_started(context: Any) -> None:
    refused = {j for j, status in context.statuses.items() if status == 503}
    assert context.started and not refused & context.started
