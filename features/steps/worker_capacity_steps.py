"""Steps about the decisions on workers whose capacity shrinks and grows."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

from behave import given, step, then, when

from cicadatrail_core.jobs.models import EndKind, Step
from cicadatrail_core.jobs.state import Run, SubtaskPhase
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.worker_entries import decode_worker
from cicadatraild.scheduling.clocks import loop_now_s
from features.support.balance_world import CORES, BalanceWorld
from features.support.capacity_world import CapacityHistory, CapacityWorld, send_after

SEEDS = range(60)
ACTION_COUNT = 250
ESTIMATE_MS = 60_000
RESERVATION_S = 2.0
ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "state": "ready",
    "born": 5,
    "capacity": {"cpu": 8000, "mem-mb": 64, "gpu": 1},
}
MALFORMED: tuple[Any, ...] = (
    None,
    5,
    "8000",
    [8000, 64, 1],
    {"cpu": "8000", "mem-mb": 64, "gpu": 1},
    {"cpu": 8000, "mem-mb": -64, "gpu": 1},
    {"cpu": 8000, "mem-mb": 64, "gpu": 1.5},
    {"cpu": 8000, "mem-mb": None, "gpu": 1},
    {"cpu": True, "mem-mb": 64, "gpu": 1},
    {},
    {"mem-mb": 64, "gpu": 1},
    {"cpu": 8000, "gpu": 1},
)


def _submit(context: Any, count: int, need: Resources, **spec: Any) -> list[Run]:
    """Submit a job of one step and run what starts."""
    context.jobs = getattr(context, "jobs", 0) + 1
    step_spec = Step(count, need, ESTIMATE_MS, **spec)
    context.world.submit_steps(context.jobs, step_spec)
    started: list[Run] = context.world.run_all()
    return started


@given("{count:d} worker of {cores:d} cores, {memory:d} MiB and {gpus:d} accelerators")
@given("{count:d} workers of {cores:d} cores, {memory:d} MiB and {gpus:d} accelerators")
def step_workers(context: Any, count: int, cores: int, memory: int, gpus: int) -> None:
    context.world = CapacityWorld(count, Resources(cores * 1000, memory, gpus))
    context.world.report_all()


@given("{count:d} subtasks of {cpu:d}, {memory:d} and {gpu:d} run on it")
def step_run(context: Any, count: int, cpu: int, memory: int, gpu: int) -> None:
    context.runs = _submit(context, count, Resources(cpu, memory, gpu))
    assert len(context.runs) == count


@given("each worker runs {count:d} subtasks of {cpu:d}, {memory:d} and {gpu:d}")
def step_run_each(context: Any, count: int, cpu: int, memory: int, gpu: int) -> None:
    count *= len(context.world.sims)
    step_run(context, count, cpu, memory, gpu)


@when("its {resource} shrinks to {amount:d}")
def step_shrink(context: Any, resource: str, amount: int) -> None:
    context.world.change("w0", **{resource: amount})


@when("the {resource} of {name} shrinks to {amount:d}")
@when("the {resource} of {name} grows to {amount:d}")
def step_change(context: Any, resource: str, name: str, amount: int) -> None:
    world = context.world
    woken: list[None] = []
    world.scheduler.on_change = lambda: woken.append(None)
    if name == "the reserved worker":
        name = "w0"
    world.change(name, **{resource: amount})
    context.woken = bool(woken)


@then("nothing is stopped")
def step_nothing_stopped(context: Any) -> None:
    world = context.world
    world.report_all()
    world.tick(0.5)
    world.report_all()
    assert world.stops() == []
    assert len(world.sims["w0"].running) == len(context.runs)


@then("a subtask of {cpu:d}, {memory:d} and {gpu:d} waits until one of them has ended")
def step_waits(context: Any, cpu: int, memory: int, gpu: int) -> None:
    world = context.world
    assert _submit(context, 1, Resources(cpu, memory, gpu)) == []
    world.sims["w0"].end(context.runs[0].subtask.name, EndKind.DONE)
    assert world.run_all() == []
    world.report_all()
    assert len(world.run_all()) == 1
    assert world.used("w0").fits_in(world.capacities["w0"])


@then("a best-effort subtask of {cpu:d} and {memory:d} starts")
def step_filler_starts(context: Any, cpu: int, memory: int) -> None:
    assert len(_submit(context, 1, Resources(cpu, memory), filler=True)) == 1


@then("a best-effort subtask of {cpu:d} and {memory:d} waits")
def step_filler_waits(context: Any, cpu: int, memory: int) -> None:
    assert _submit(context, 1, Resources(cpu, memory), filler=True) == []


@then("no member of a gang of {count:d} subtasks of {cpu:d} starts")
def step_gang_waits(context: Any, count: int, cpu: int) -> None:
    assert _submit(context, count, Resources(cpu, 10), gang=True) == []


@then("all {count:d} members start with one run number")
def step_gang_starts(context: Any, count: int) -> None:
    runs = context.world.run_all()
    assert len(runs) == count
    assert len({run.number for run in runs}) == 1


@step("a subtask of {cpu:d}, {memory:d} and {gpu:d} is ready")
def step_ready(context: Any, cpu: int, memory: int, gpu: int) -> None:
    context.started = _submit(context, 1, Resources(cpu, memory, gpu))


@then("it waits, also {seconds:d} seconds later")
def step_waits_long(context: Any, seconds: int) -> None:
    assert context.started == []
    for _ in range(seconds):
        context.world.tick(1.0)
        context.world.report_all()
        assert context.world.run_all() == []


@then("the scheduler is woken by the entry alone and it starts on {name}")
def step_woken(context: Any, name: str) -> None:
    assert context.woken
    (run,) = context.world.run_all()
    assert run.worker.facts.worker_id == name


@given("a subtask of {cpu:d} has waited long enough for a reservation")
def step_reservation(context: Any, cpu: int) -> None:
    world = context.world
    assert _submit(context, 1, Resources(cpu, 10)) == []
    context.large = context.jobs
    world.now_s += RESERVATION_S
    world.report_all()
    assert _submit(context, 3, Resources(1000, 10)) == []
    # Room for the small subtasks on w0, which is reserved for the large one.
    on_w0 = next(run for run in context.runs if run.worker is world.worker("w0"))
    world.sims["w0"].end(on_w0.subtask.name, EndKind.DONE)
    world.report_all()
    assert world.run_all() == []


@then("a small subtask starts on it and the other worker is reserved")
def step_reserved_other(context: Any) -> None:
    world = context.world
    runs = world.run_all()
    assert [run.worker.facts.worker_id for run in runs] == ["w0", "w0"], runs
    # Also with room on it the other worker gets no small subtask.
    on_w1 = next(run for run in context.runs if run.worker is world.worker("w1"))
    world.sims["w1"].end(on_w1.subtask.name, EndKind.DONE)
    world.report_all()
    assert world.run_all() == []
    (name,) = [name for name in world.sims["w1"].running if name.step == 0]
    world.sims["w1"].end(name, EndKind.DONE)
    world.report_all()
    (run,) = world.run_all()
    assert run.subtask.name.job_id == f"{context.large:016x}"


@given("a start of {cpu:d}, {memory:d} and {gpu:d} gets no answer")
def step_unanswered(context: Any, cpu: int, memory: int, gpu: int) -> None:
    world = context.world
    context.jobs = 1
    world.submit_steps(1, Step(1, Resources(cpu, memory, gpu), ESTIMATE_MS))
    (run,) = world.dispatch()
    renew_lease(world.scheduler, run.worker, world.now_s)
    run.start_expires_s = run.worker.lease_expires_s
    run.mark_unanswered(world.now_s + 0.5)


@then("a subtask of {cpu:d}, {memory:d} and {gpu:d} does not start")
def step_does_not_start(context: Any, cpu: int, memory: int, gpu: int) -> None:
    assert _submit(context, 1, Resources(cpu, memory, gpu)) == []


@then("a subtask of {cpu:d}, {memory:d} and {gpu:d} starts")
def step_starts(context: Any, cpu: int, memory: int, gpu: int) -> None:
    assert len(_submit(context, 1, Resources(cpu, memory, gpu))) == 1


@when("a successor takes over and the worker lists its runs")
def step_successor(context: Any) -> None:
    context.world.fail_over(2)
    context.world.report_all()


@when("it restarts with {cpu:d} millicores and lists nothing before its entry is read")
def step_restart(context: Any, cpu: int) -> None:
    world = context.world
    world.sims["w0"].started_ms += 5
    world.capacities["w0"] = replace(world.initial, cpu_millicores=cpu)
    world.now_s += 0.3
    world.report("w0")


@then("it does not start once the entry of the new incarnation is read")
def step_entry_read(context: Any) -> None:
    context.world.change("w0")
    context.world.report("w0")
    assert context.world.run_all() == []


def _send_after(context: Any, count: int, need: Resources, change: Any) -> None:
    world = context.world

    async def run() -> None:
        # The links read the event loop's clock.
        world.now_s = loop_now_s()
        world.report_all()
        context.jobs = 1
        world.submit_steps(1, Step(count, need, ESTIMATE_MS))
        runs = world.dispatch()
        assert len(runs) == count
        context.subtasks = [run.subtask for run in runs]
        context.sent = await send_after(world, runs, change)

    asyncio.run(run())


@when(
    "{count:d} starts of {cpu:d}, {memory:d} and {gpu:d} wait while its {resource}"
    " shrinks to {amount:d}"
)
def step_wait_shrink(
    context: Any,
    count: int,
    cpu: int,
    memory: int,
    gpu: int,
    resource: str,
    amount: int,
) -> None:
    def shrink() -> None:
        context.world.change("w0", **{resource: amount})

    _send_after(context, count, Resources(cpu, memory, gpu), shrink)


@when(
    "{count:d} starts of {cpu:d}, {memory:d} and {gpu:d} wait while it restarts with"
    " {millicores:d} millicores"
)
def step_wait_restart(
    context: Any, count: int, cpu: int, memory: int, gpu: int, millicores: int
) -> None:
    need = Resources(cpu, memory, gpu)
    _send_after(context, count, need, lambda: step_restart(context, millicores))


@then("none of them is sent, and both subtasks are ready again without an attempt")
def step_none_sent(context: Any) -> None:
    assert context.sent == [], context.sent
    for subtask in context.subtasks:
        assert subtask.phase is SubtaskPhase.READY
        assert subtask.live_runs == []
        assert subtask.attempt_count == 0
    world = context.world
    assert world.worker("w0").used == Resources()
    assert world.stops() == []


@then("both are sent")
def step_both_sent(context: Any) -> None:
    assert len(context.sent) == 2, context.sent


@given("a pool of {count:d} machines with work for {busy:d} of them")
def step_pool(context: Any, count: int, busy: int) -> None:
    context.pools = BalanceWorld(count, 8, 0)
    need = Resources(CORES * 1000, 10)
    context.pools.run(context.pools.submit("a", Step(busy, need, 1000)))
    # A rise that has ended, so that the need is that of the running work.
    for _ in range(30):
        context.pools.needs()
        context.pools.now_s += 0.2


def _shrink_pool(context: Any, part: float, workers: slice) -> None:
    scheduler = context.pools.scheduler
    found = [w for w in scheduler.workers.values() if w.facts.pool == "a"]
    for worker in found[workers]:
        millicores = int(CORES * 1000 * part)
        capacity = replace(worker.facts.capacity, cpu_millicores=millicores)
        facts = replace(worker.facts, capacity=capacity)
        scheduler.update_worker(facts, context.pools.now_s)
    context.need = context.pools.needs()["a"].needed_count


@when("the first of its workers has no capacity left")
def step_first_empty(context: Any) -> None:
    _shrink_pool(context, 0.0, slice(0, 1))


@when("all of its workers but the first shrink to a quarter")
def step_rest_shrinks(context: Any) -> None:
    _shrink_pool(context, 0.25, slice(1, None))


@then("the pool needs at most {count:d} machines")
def step_at_most(context: Any, count: int) -> None:
    assert context.need <= count, context.need


@then("the pool needs more than {count:d} machines")
def step_more_than(context: Any, count: int) -> None:
    assert context.need > count, context.need


@then("a worker's entry is skipped if its capacity is malformed or missing")
def step_malformed(_context: Any) -> None:
    assert decode_worker("w", json.dumps(ENTRY).encode()) is not None
    for capacity in MALFORMED:
        entry = json.dumps(ENTRY | {"capacity": capacity}).encode()
        assert decode_worker("w", entry) is None, capacity
    missing = {name: value for name, value in ENTRY.items() if name != "capacity"}
    assert decode_worker("w", json.dumps(missing).encode()) is None


@then("random histories of shrinking and growing workers bring none over its capacity")
def step_random(_context: Any) -> None:
    start_count = over_count = 0
    for seed in SEEDS:
        history = CapacityHistory(seed)
        try:
            history.play(ACTION_COUNT)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        start_count += history.start_count
        over_count += history.over_count
    # The histories test nothing unless workers start much and are over at times.
    assert start_count > 1000, start_count
    assert over_count > 100, over_count
