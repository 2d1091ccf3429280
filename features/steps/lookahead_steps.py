"""Steps about kept starts and the forecast behind them."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, step, then, when

from cicadatrail_core.jobs import dispatch as dispatch_module
from cicadatrail_core.jobs.durations import Durations
from cicadatrail_core.jobs.job_report import waiting_reason
from cicadatrail_core.jobs.lookahead import Forecast
from cicadatrail_core.jobs.models import EndKind, JobDefinition, Step
from cicadatrail_core.jobs.reservations import Reservation
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.jobs.team_limits import within_limit
from cicadatrail_core.models.resources import Resources
from features.support.job_world import JobWorld
from features.support.lookahead_load import (
    LARGE_FRACTION,
    Load,
    Waits,
    at,
    one_reservation,
)

LARGE = "00000000000000b1"
OTHER = "00000000000000c1"
RUNNING = "000000000000d1"
SEEDS = (11, 12, 13)


def _teach(durations: Durations, estimate_s: float, run_s: float) -> None:
    """Learn run times that lie close to the one given."""
    for number in range(40):
        factor = 1.02 if number % 2 else 0.98
        durations.learn("q", int(estimate_s * 1000), run_s * factor)


def _plan(count: int, cores: int, run_s: float = 1.0, **spec: Any) -> JobDefinition:
    step = Step(count, Resources(cores * 1000, 10), int(run_s * 1000), **spec)
    return JobDefinition("q", "", "spec", (step,))


def _submit(world: JobWorld, job_id: str, plan: JobDefinition, starts: int) -> JobState:
    job = world.submit(job_id, plan)
    assert len(world.run_all()) == starts
    return job


def _world(count: int) -> JobWorld:
    """Return a world whose queue has learned that estimates are good."""
    world = JobWorld(count)
    queue = replace(world.scheduler.queues["q"], target_latency_ms=60_000)
    world.scheduler.queues["q"] = queue
    for run_s in (0.2, 1.0, 3.0):
        _teach(world.scheduler.durations, run_s, run_s)
    world.report_all()
    return world


@when("a queue has learned run times whose estimates are off by two")
def step_learned(context: Any) -> None:
    context.durations = Durations()
    context.random = random.Random(1)
    for _ in range(200):
        _learn_off(context)


def _learn_off(context: Any) -> bool:
    """Learn one run time; return whether its bounds held it."""
    estimate_s = context.random.uniform(0.2, 5)
    run_s = estimate_s * 2 ** context.random.gauss(0, 1)
    time = context.durations.run_time("q", int(estimate_s * 1000))
    context.durations.learn("q", int(estimate_s * 1000), run_s)
    return time is not None and time.early_s <= run_s <= time.late_s


@then(
    "of the next {count:d} run times between {low:d} and {high:d} of 100 "
    "lie within the bounds"
)
def step_bounds(context: Any, count: int, low: int, high: int) -> None:
    held = sum(_learn_off(context) for _ in range(count))
    assert low * count <= 100 * held <= high * count, held


@step("the queue's subtasks have taken {seconds:d} second")
@step("the queue's subtasks have taken {seconds:d} seconds")
def step_taken(context: Any, seconds: int) -> None:
    _teach(context.world.scheduler.durations, 1.0, seconds)


@step(
    "a subtask of {cores:d} cores runs for 1 second and goes from "
    "{first:d} to {last:d} percent"
)
def step_progress(context: Any, cores: int, first: int, last: int) -> None:
    world = context.world
    _submit(world, RUNNING, _plan(1, cores), 1)
    world.sims["w0"].percent = first
    world.report_all()
    world.tick(1.0)
    world.sims["w0"].percent = last
    world.report_all()


@step("a subtask of {cores:d} cores runs that {fact}")
def step_fact(context: Any, cores: int, fact: str) -> None:
    world = context.world
    plan = _plan(1, cores, lasting=fact == "is long-running")
    job = _submit(world, RUNNING, plan, 1)
    (run,) = job.occurrences[0][0].subtasks[0].live_runs
    match fact:
        case "is slowed down":
            run.paced_percent = 30
        case "has taken three times as long":
            world.tick(3.0)
        case "is being stopped":
            world.scheduler.stop(run)


@then("its worker is expected to have {cores:d} cores free in {seconds:f} seconds")
def step_expected(context: Any, cores: int, seconds: float) -> None:
    start_s = _expected_s(context.world, "w0", cores)
    left_s = start_s - context.world.now_s
    assert abs(left_s - seconds) < 0.05, left_s


@then("its worker is not expected to have {cores:d} cores free")
def step_unexpected(context: Any, cores: int) -> None:
    assert _expected_s(context.world, "w0", cores) == math.inf


def _expected_s(world: JobWorld, name: str, cores: int) -> float:
    forecast = Forecast(world.scheduler, world.now_s)
    for from_s, free in forecast.free_from(world.worker(name)):
        if free.cpu_millicores >= cores * 1000:
            return from_s
    return math.inf


def _place(world: JobWorld, job_id: str, plan: JobDefinition, name: str) -> None:
    """Let a job's subtask run on a worker."""
    job = world.submit(job_id, plan)
    (subtask,) = job.occurrences[0][0].subtasks
    world.scheduler.place(subtask, world.worker(name), world.now_s)
    world.carry_out(*world.scheduler.starts)
    world.scheduler.starts = []


@given("a large subtask that fits on none of 3 workers, of which w0 empties first")
def step_large(context: Any) -> None:
    world = context.world = _world(3)
    for name, run_s in (("w0", 1.0), ("w1", 3.0), ("w2", 3.0)):
        _place(world, f"{RUNNING}{name}", _plan(1, 3, run_s), name)
    context.large = _submit(world, LARGE, _plan(1, 7, 0.2), 0)


@given("a gang of 2 members of 7 cores that fits once w0 has emptied, and w1 after it")
def step_gang(context: Any) -> None:
    world = context.world = _world(4)
    for name, run_s in (("w0", 1.0), ("w1", 3.0), ("w2", 4.0)):
        _place(world, f"{RUNNING}{name}", _plan(1, 3, run_s), name)
    _place(world, f"{RUNNING}w3", _plan(1, 3, lasting=True), "w3")
    context.gang = _submit(world, LARGE, _plan(2, 7, gang=True), 0)


@then("both rooms are kept from the time when w1 has emptied")
def step_gang_rooms(context: Any) -> None:
    world = context.world
    kept = world.scheduler.kept_starts.get(context.gang.occurrences[0][0])
    assert sorted(room.worker_id for room in kept.rooms) == ["w0", "w1"], kept
    left_s = {round(room.start_s - world.now_s, 1) for room in kept.rooms}
    assert left_s == {3.0}, left_s


def _kept_workers(context: Any) -> list[str]:
    step = context.large.occurrences[0][0]
    kept = context.world.scheduler.kept_starts.get(step)
    return [room.worker_id for room in kept.rooms] if kept else []


@then("the room on w0 is kept for it, and its job's report says so")
def step_kept(context: Any) -> None:
    world = context.world
    assert _kept_workers(context) == ["w0"]
    large = context.large.occurrences[0][0]
    reason = waiting_reason(world.scheduler, large, world.now_s)
    assert reason.startswith("no worker has room; w0 is kept for a start in"), reason


@when("w0 has emptied")
def step_empties(context: Any) -> None:
    world = context.world
    for name in list(world.sims["w0"].running):
        world.sims["w0"].end(name, EndKind.DONE)
    world.report_all()


@then("it starts there, and the kept start counts as used")
def step_used(context: Any) -> None:
    (run,) = context.world.run_all()
    assert run.subtask.step.job is context.large
    assert run.worker.facts.worker_id == "w0"
    counts = context.world.scheduler.counts
    assert (counts["start-kept"], counts["start-kept-used"]) == (1, 1), counts


@when(
    "{count:d} subtasks of {cores:d} cores that take {seconds:f} seconds are ready, "
    "each for another worker"
)
def step_others(context: Any, count: int, cores: int, seconds: float) -> None:
    plan = _plan(count, cores, seconds, spread_limit_count=1)
    context.other = context.world.submit(OTHER, plan)
    context.runs = context.world.run_all()


@when(
    "{count:d} more urgent subtasks of {cores:d} cores that take {seconds:f} seconds "
    "are ready, each for another worker"
)
def step_urgent(context: Any, count: int, cores: int, seconds: float) -> None:
    queues = context.world.scheduler.queues
    queues["urgent"] = replace(queues["q"], name="urgent", priority=-1)
    plan = _plan(count, cores, seconds, spread_limit_count=1)
    plan = replace(plan, queue="urgent")
    context.other = context.world.submit(OTHER, plan)
    context.runs = context.world.run_all()


@then("{count:d} of them start")
def step_started(context: Any, count: int) -> None:
    started = [run.subtask.step.job for run in context.runs]
    assert started == [context.other] * count, started


@then("the last of them starts after {seconds:f} seconds though no worker has emptied")
def step_let_in(context: Any, seconds: float) -> None:
    world = context.world
    ready_s = world.now_s
    while not (runs := world.run_all()):
        world.tick(0.05)
        world.report_all()
        assert world.now_s < ready_s + 3
    assert [run.subtask.step.job for run in runs] == [context.other]
    assert seconds <= world.now_s - ready_s < seconds + 0.1


@when("w0 is lost")
def step_lost(context: Any) -> None:
    world = context.world
    world.scheduler.remove_worker("w0", world.now_s, "lease expired")
    world.run_all()
    # Its run is a suspect, which has a worker for itself for a moment.
    world.tick(0.3)
    world.report_all()
    world.run_all()


@then("room on another worker is kept for it")
def step_other_room(context: Any) -> None:
    (name,) = _kept_workers(context)
    assert name in {"w1", "w2"}


@when("{count:d} long-running subtasks of {cores:d} cores fit nowhere either")
def step_lasting_waits(context: Any, count: int, cores: int) -> None:
    world = context.world
    assert _kept_workers(context) == ["w0"]
    world.submit(OTHER, _plan(count, cores, lasting=True))
    for _ in range(2):
        world.tick(0.1)
        world.report_all()
        assert not world.run_all()


@when("no run ends for {seconds:d} seconds")
def step_overstay(context: Any, seconds: int) -> None:
    world = context.world
    assert _kept_workers(context) == ["w0"]
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        world.tick(0.1)
        world.report_all()
        assert not world.run_all()


@then("no room is kept for it, and the kept start counts as not foreseen")
def step_not_foreseen(context: Any) -> None:
    assert _kept_workers(context) == []
    counts = context.world.scheduler.counts
    assert counts["start-kept-not-foreseen"] >= 1, counts


@when("a pass keeps room and needs no reservation")
def step_kept_instead(context: Any) -> None:
    world = context.world
    context.since_s = world.scheduler.reserved_since_s["pool"]
    Reservation(world.scheduler, "pool", [], world.now_s).end(keeps_room=True)


@then("the reservation's limit goes on, until a pass keeps nothing")
def step_limit_goes_on(context: Any) -> None:
    world = context.world
    assert world.scheduler.reserved_since_s == {"pool": context.since_s}
    Reservation(world.scheduler, "pool", [], world.now_s).end(keeps_room=False)
    assert not world.scheduler.reserved_since_s


@when("a load of {rate:d} small jobs a second is placed with and without look-ahead")
def step_small_load(context: Any, rate: int) -> None:
    _play(context, rate, 0.0)


@when("a load of {rate:d} jobs a second is placed with and without look-ahead")
def step_load(context: Any, rate: int) -> None:
    _play(context, rate, LARGE_FRACTION)


def _play(context: Any, rate: int, large_fraction: float) -> None:
    context.ahead, context.without = Waits(), Waits()
    context.starts = []
    for seed in SEEDS:
        ahead = Load(seed, rate, large_fraction)
        context.ahead.add(ahead.play())
        with one_reservation():
            without = Load(seed, rate, large_fraction)
            context.without.add(without.play())
        context.starts.append((ahead.starts, without.starts))
    print(f"with look-ahead: {context.ahead}\nwithout: {context.without}")


@then("each subtask has started on the same worker")
def step_same(context: Any) -> None:
    for ahead, without in context.starts:
        assert ahead
        assert ahead == without


@then("all jobs are completed both ways, and as many within their objective")
def step_completed(context: Any) -> None:
    _check_completed(context, 0.0)


@then(
    "all jobs are completed both ways, and as many within their objective "
    "but for 1 in {part:d}"
)
def step_completed_but(context: Any, part: int) -> None:
    _check_completed(context, 1 / part)


def _check_completed(context: Any, fraction: float) -> None:
    ahead, without = context.ahead, context.without
    assert ahead.completed_count == ahead.count == without.completed_count
    floor = without.within_objective_count - fraction * without.count
    assert ahead.within_objective_count >= floor


@then("the wait at 95 of 100 of the large ones is at most {factor:f} times as long")
def step_large_wait(context: Any, factor: float) -> None:
    limit_s = factor * at(context.without.large, 0.95)
    assert at(context.ahead.large, 0.95) <= limit_s


@then(
    "the wait at 95 of 100 of the small ones is at most {factor:f} times as long "
    "and {more:f} s more"
)
def step_small_wait(context: Any, factor: float, more: float) -> None:
    limit_s = factor * at(context.without.small, 0.95) + more
    assert at(context.ahead.small, 0.95) <= limit_s


@then("half of either start as soon")
def step_half(context: Any) -> None:
    for size in ("small", "large"):
        ahead, without = getattr(context.ahead, size), getattr(context.without, size)
        assert at(ahead, 0.5) <= at(without, 0.5)


@when("a step of {count:d} subtasks of a team without limits fits nowhere")
def step_wide(context: Any, count: int) -> None:
    world = context.world
    _submit(world, RUNNING, _plan(1, 8, lasting=True), 1)
    wide = replace(_plan(count, 3), team="team")
    world.submit(OTHER, wide)
    with (
        patch.object(dispatch_module, "within_limit", wraps=within_limit) as checks,
        patch.object(Resources, "__add__", _counted_add(context)),
    ):
        assert not world.run_all()
    context.checked_count = checks.call_count


def _counted_add(context: Any) -> Any:
    add = Resources.__add__
    context.add_count = 0

    def counted(self: Resources, other: Resources) -> Resources:
        context.add_count += 1
        return add(self, other)

    return counted


@then("the pass makes at most {count:d} checks of limits and {adds:d} sums")
def step_cheap(context: Any, count: int, adds: int) -> None:
    assert context.checked_count <= count, context.checked_count
    assert context.add_count <= adds, context.add_count
