"""Steps about starts that a later life of their worker carries out."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import Any

from behave import then, when

from cicadatrail_core.jobs.data_centre_evacuation import evacuate_data_centres
from cicadatrail_core.jobs.models import EndKind, JobPhase
from cicadatrail_core.jobs.worker_leases import count_call, known_clock, renew_lease
from cicadatrail_core.jobs.worker_state import LATE_START_S
from features.support.job_world import definition
from features.support.lives_world import LivesWorld, run_in_memory
from features.support.platform_actions import (
    JOB,
    other_instance,
    start_instances,
    submit,
)
from features.support.platform_cluster import job

SEED = 46
INSTANCE_COUNT = 3
WORKER_COUNT = 3
RUN_MS = 15_000
SHORT_MS = 1000
LONG_MS = 60_000
OTHER_JOB = "00000000000000f1"
LATENCY_S = 0.02
LEASES_S = 12.0
SOON_S = 0.1
FIRST_DARK_S = 0.2
SECOND_DARK_S = 0.25
READ_LIMIT_S = 3.0
COMPLETION_LIMIT_S = 60.0


@dataclass(frozen=True)
class Outcome:
    later_lives_start_count: int
    violations: list[str]
    state: str


class LateStart:
    """The first start gets no answer and is carried out ``late_s`` later."""

    def __init__(self, world: LivesWorld, late_s: float) -> None:
        self._late_s = late_s
        self._sent = asyncio.Event()
        self.worker_id = ""
        self.arrives_s = 0.0
        world.network.passes_late_calls_on = True
        world.network.late_s = self._delay
        self._loop = world.loop

    async def wait_until_sent(self) -> None:
        await self._sent.wait()

    def _delay(self, machine: str, call: str) -> float:
        if call != "run-start" or self.worker_id:
            return 0.0
        self.worker_id = machine
        self.arrives_s = self._loop.time() + self._late_s
        self._sent.set()
        return self._late_s


@when("a start gets no answer, and its worker goes on answering other calls")
def step_same_life(context: Any) -> None:
    context.is_cut_off = context.is_present_life_listed = False
    context.restarts_soon = False


@when("a start gets no answer, and its worker restarts and is read by the leader")
def step_read(context: Any) -> None:
    context.is_cut_off = context.is_present_life_listed = False
    context.restarts_soon = True


@when(
    "a start gets no answer, and its worker restarts cut off from all instances,"
    " its {life} life listed"
)
def step_cut_off(context: Any, life: str) -> None:
    context.is_cut_off = context.restarts_soon = True
    context.is_present_life_listed = life == "present"


@when("the worker restarts, and first gets that start, {late_s:g} s late")
@when("the worker restarts again, and first gets that start, {late_s:g} s late")
def step_restarts(context: Any, late_s: float) -> None:
    async def main(world: LivesWorld) -> Outcome:
        return await _play(context, world, late_s)

    logging.disable(logging.CRITICAL)
    try:
        context.outcome = run_in_memory(main, SEED)
    finally:
        logging.disable(logging.NOTSET)


async def _play(context: Any, world: LivesWorld, late_s: float) -> Outcome:
    late_start = LateStart(world, late_s)
    await world.open(WORKER_COUNT)
    leader = await start_instances(world, INSTANCE_COUNT)
    entry = other_instance(world, leader)
    assert await submit(world, entry, JOB, job(RUN_MS, count=1)) == 200
    await late_start.wait_until_sent()
    await _restart(context, world, late_start)
    state = await _wait_for_completion(world, entry)
    assert world.leader() == leader, "the leader changed"
    count = world.network.later_lives_calls["run-start"]
    return Outcome(count, world.fleet.violations, state)


async def _restart(context: Any, world: LivesWorld, late_start: LateStart) -> None:
    """Restart the worker shortly before its late start arrives, and maybe before."""
    worker = next(w for w in world.workers if w.worker_id == late_start.worker_id)
    links = {(name, worker.worker_id) for name in world.instances}
    links |= {(target, source) for source, target in links}
    await asyncio.sleep(SOON_S)
    if context.is_cut_off:
        world.network.lost |= links
    if context.restarts_soon:
        worker.restart_dark(FIRST_DARK_S)
        worker.is_unlisted = not context.is_present_life_listed
    if not context.is_cut_off:
        await world.wait_until(lambda: worker.token, READ_LIMIT_S)
    await asyncio.sleep(late_start.arrives_s - SOON_S - world.loop.time())
    worker.restart_dark(SECOND_DARK_S)
    worker.is_unlisted = not context.is_present_life_listed
    await asyncio.sleep(SOON_S + SECOND_DARK_S)
    world.network.lost -= links
    worker.is_unlisted = False


async def _wait_for_completion(world: LivesWorld, entry: str) -> str:
    """Return the job's state once it is completed, or at the end of the wait."""
    until_s = world.loop.time() + COMPLETION_LIMIT_S
    state = ""
    while state != "completed" and world.loop.time() < until_s:
        await asyncio.sleep(0.1)
        state = await world.state(entry, JOB)
    return state


@then("that start was carried out by a later life, and nothing runs on two workers")
def step_not_twice(context: Any) -> None:
    assert context.outcome.later_lives_start_count == 1, context.outcome
    assert not context.outcome.violations, context.outcome


@then("the job completes")
def step_completes(context: Any) -> None:
    assert context.outcome.state == "completed", context.outcome


@when("it is sent again, and its end as {kind} is read")
def step_repeated_end(context: Any, kind: str) -> None:
    world, run = context.world, context.run
    assert world.dispatch() == [run]
    world.carry_out(run)
    context.sim = world.sims[run.worker.facts.worker_id]
    context.sim.end(run.subtask.name, EndKind(kind))
    world.report_all()


@then("the job is completed, and that end isn't acknowledged for {seconds:g} s")
def step_completed(context: Any, seconds: float) -> None:
    assert context.run.subtask.step.job.phase is JobPhase.COMPLETED
    step_not_acknowledged(context, seconds)


@then("that end isn't acknowledged for {seconds:g} s")
def step_not_acknowledged(context: Any, seconds: float) -> None:
    world = context.world
    until_s = world.now_s + seconds
    while world.now_s < until_s:
        world.report_all()
        assert context.run.worker.acknowledged_end == 0
        assert len(context.sim.ends) == 1
        world.tick(1.0)


@then("later it is acknowledged")
def step_acknowledged_later(context: Any) -> None:
    context.world.tick(LATE_START_S)
    context.world.report_all()
    assert context.run.worker.acknowledged_end == 1


def _lose_life(context: Any) -> None:
    world, run = context.world, context.run
    sim = world.sims[run.worker.facts.worker_id]
    sim.running.clear()
    sim.started_ms += 1
    world.now_s += SOON_S
    world.scheduler.update_worker(world.facts(sim), world.now_s)
    for _ in range(2):
        world.report_all()


@when(
    "a long-running start gets no answer, and the repeated one is lost with its"
    " worker's life"
)
def step_lasting_lost(context: Any) -> None:
    _repeat_lasting(context)
    _lose_life(context)


def _repeat_lasting(context: Any) -> None:
    """Let a long-running subtask run whose first start has got no answer."""
    world = context.world
    world.submit(JOB, definition(1, lasting=True))
    (context.run,) = world.dispatch()
    renew_lease(world.scheduler, context.run.worker, world.now_s)
    context.run.start_expires_s = context.run.worker.lease_expires_s
    context.run.mark_unanswered(world.now_s)
    world.now_s += SOON_S
    world.report_all()
    assert world.dispatch() == [context.run]
    world.carry_out(context.run)
    world.report_all()


@then("the start is sent to that worker once more, under its number, and to no other")
def step_lasting_repeated(context: Any) -> None:
    assert context.world.stops() == []
    assert context.world.dispatch() == [context.run]
    assert context.run.subtask.live_runs == [context.run]


@then(
    "after another restart nothing starts it for {seconds:g} s, and then a worker does"
)
def step_lasting_waits(context: Any, seconds: float) -> None:
    world = context.world
    world.carry_out(context.run)
    world.report_all()
    _lose_life(context)
    until_s = world.now_s + seconds
    while world.now_s < until_s:
        world.report_all()
        assert world.dispatch() == []
        world.tick(1.0)
    world.tick(LATE_START_S)
    world.report_all()
    assert len(world.dispatch()) == 1


@when("a start gets no answer, and its worker {change}")
def step_worker_changes(context: Any, change: str) -> None:
    world = context.world
    world.submit(JOB, definition(1, required_label="a"))
    (context.run,) = world.dispatch()
    worker = context.run.worker
    context.run.mark_unanswered(world.now_s)
    match change:
        case "drains":
            worker.facts = replace(worker.facts, draining=True)
        case "is cordoned":
            worker.is_cordoned = True
        case "is of another kind":
            worker.facts = replace(worker.facts, labels=("b",))
        case "is evacuated":
            evacuate_data_centres(world.scheduler, frozenset({worker.facts.zone}))
    world.now_s += SOON_S
    world.report_all()


@then("the run is ordered to stop, and starts nowhere")
def step_ordered_to_stop(context: Any) -> None:
    assert context.world.stops() == [context.run]
    assert context.world.dispatch() == []


@when("a long-running start gets no answer, and the repeated one fails")
def step_lasting_failed(context: Any) -> None:
    _repeat_lasting(context)
    world, run = context.world, context.run
    world.sims[run.worker.facts.worker_id].end(run.subtask.name, EndKind.FAILED)
    world.report_all()


@then("it starts on that worker again, under a higher number")
def step_lasting_again(context: Any) -> None:
    (run,) = context.world.dispatch()
    assert run.worker is context.run.worker
    assert run.number > context.run.number


@when("the start of {kind} subtask gets no answer, and its worker is {gone}")
def step_gone(context: Any, kind: str, gone: str) -> None:
    world = context.world
    world.submit(JOB, definition(1, lasting=kind == "a long-running"))
    (context.run,) = world.dispatch()
    worker = context.run.worker
    clock = known_clock(worker)
    assert clock is not None
    renew_lease(world.scheduler, worker, world.now_s)
    context.run.mark_unanswered(world.now_s)
    count_call(world.scheduler, worker, clock, None, world.now_s)
    worker.mark_failed(world.now_s)
    context.gone_s = world.now_s
    if gone == "no longer listed":
        worker.is_listed = False
    else:
        world.scheduler.remove_worker(worker.facts.worker_id, world.now_s, gone)


@then("it starts on the other worker after {least_s:g} to {most_s:g} s")
def step_starts_elsewhere(context: Any, least_s: float, most_s: float) -> None:
    world = context.world
    (other,) = world.sims.keys() - {context.run.worker.facts.worker_id}
    runs = world.dispatch()
    while not runs and world.now_s < context.gone_s + most_s:
        world.report(other)
        world.tick(0.1)
        runs = world.dispatch()
    assert [run.worker.facts.worker_id for run in runs] == [other]
    assert least_s <= world.now_s - context.gone_s <= most_s + 0.2


@when("a later life gets a start {late_s:g} s late, and is cut off with other runs")
def step_late_lease(context: Any, late_s: float) -> None:
    async def main(world: LivesWorld) -> Outcome:
        return await _cut_off_after_late_start(world, late_s)

    logging.disable(logging.CRITICAL)
    try:
        context.outcome = run_in_memory(main, SEED)
    finally:
        logging.disable(logging.NOTSET)


async def _cut_off_after_late_start(world: LivesWorld, late_s: float) -> Outcome:
    late_start = LateStart(world, late_s)
    await world.open(WORKER_COUNT)
    entry = other_instance(world, await start_instances(world, INSTANCE_COUNT))
    # The clock of the first life has to be far ahead.
    await asyncio.sleep(2 * late_s)
    assert await submit(world, entry, JOB, job(SHORT_MS, count=1)) == 200
    await late_start.wait_until_sent()
    worker = next(w for w in world.workers if w.worker_id == late_start.worker_id)
    await asyncio.sleep(FIRST_DARK_S)
    worker.restart_dark(FIRST_DARK_S)
    await asyncio.sleep(2 * FIRST_DARK_S)
    worker.is_unlisted = False
    await asyncio.sleep(2.0)
    body = job(LONG_MS, count=WORKER_COUNT, cpu=3000, **{"anti-affinity": 1})
    assert await submit(world, entry, OTHER_JOB, body) == 200
    await world.wait_until(lambda: OTHER_JOB in str([*worker.runs]), 5.0)
    await world.add_worker("i-9")
    await asyncio.sleep(late_start.arrives_s - world.loop.time() + LATENCY_S)
    for name in world.instances:
        world.network.lost |= {(name, worker.worker_id), (worker.worker_id, name)}
    await world.wait_until(lambda: world.fleet.worker_starts["i-9"], LEASES_S)
    count = world.network.later_lives_calls["run-start"]
    return Outcome(count, world.fleet.violations, "")


@then("these run on no other worker as well")
def step_no_other(context: Any) -> None:
    assert not context.outcome.violations, context.outcome
