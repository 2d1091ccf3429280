"""Steps about subtasks that crash the workers that start them."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import JobPhase, SubtaskName
from features.support.crash_world import STEP_S, CrashWorld, play_random_crashes
from features.support.crashing_subtask import DEADLY, LONG_S, SECOND, submit_others
from features.support.job_world import definition


@given("{count:d} workers of {cores:d} cores that return under {way} after {down:g} s")
@given("{count:d} worker of {cores:d} cores that return under {way} after {down:g} s")
def step_workers(context: Any, count: int, cores: int, way: str, down: float) -> None:
    context.world = CrashWorld(context.stack, count, cores, way, down)
    context.others = []


@when("a job whose only subtask crashes its workers runs for {seconds:d} seconds")
def step_alone(context: Any, seconds: int) -> None:
    context.world.submit_deadly(DEADLY, definition(1, 2))
    context.world.advance(seconds)
    submit_others(context, 6)


@then("that job is failed after at most {most:d} starts of the subtask")
def step_failed(context: Any, most: int) -> None:
    world = context.world
    world.advance(90.0)
    _check_given_up(world, DEADLY, most)


def _check_given_up(world: CrashWorld, job_id: str, most: int) -> None:
    (name,) = [name for name in world.deadly if name.job_id == job_id]
    starts = world.starts[name]
    assert world.phase(job_id) is JobPhase.FAILED, (world.phase(job_id), starts)
    assert 2 <= starts <= most, starts
    assert not any(
        name.job_id == job_id for sim in world.sims.values() for name in sim.running
    )


@then("every other job completes")
def step_others_complete(context: Any) -> None:
    world = context.world
    world.advance(5.0)
    phases = {job_id: world.phase(job_id) for job_id in context.others}
    assert set(phases.values()) <= {JobPhase.COMPLETED}, phases
    assert phases


@when("a subtask that crashes its workers starts together with {count:d} other jobs")
def step_together(context: Any, count: int) -> None:
    world = context.world
    submit_others(context, count // 2, 1.5)
    world.submit_deadly(DEADLY, definition(1, 2))
    submit_others(context, count - count // 2, 1.5)
    world.advance(40.0)


@then("each crash takes fewer neighbours than the one before, and the third none")
def step_fewer(context: Any) -> None:
    counts = [crash.neighbour_count for crash in context.world.crashes]
    assert counts[0] >= 5, counts
    assert counts[1] < counts[0] and not any(counts[2:]), counts


@when("a subtask that crashes its workers starts while other jobs keep arriving")
def step_load(context: Any) -> None:
    world = context.world
    for number in range(200):
        submit_others(context, 1, 1.2)
        if number == 40:
            world.submit_deadly(DEADLY, definition(1, 2))
        world.advance(0.1)


@then("the crashes after the first take at most {most:d} neighbours")
def step_few(context: Any, most: int) -> None:
    counts = [crash.neighbour_count for crash in context.world.crashes]
    assert sum(counts[1:]) <= most, counts


@when("two subtasks that crash their workers share one with {count:d} other jobs")
def step_two(context: Any, count: int) -> None:
    world = context.world
    for name in [*world.sims][1:]:
        world.worker(name).is_suspect = True
    world.submit_deadly(DEADLY, definition(1, 2))
    world.submit_deadly(SECOND, definition(1, 2))
    submit_others(context, count)
    for run in world.dispatch():
        world.start(run)
    assert len({crash.worker_id for crash in world.crashes}) <= 1
    world.advance(40.0)


@then("both their jobs are failed after at most {most:d} starts of each subtask")
def step_both_failed(context: Any, most: int) -> None:
    context.world.advance(60.0)
    _check_given_up(context.world, DEADLY, most)
    _check_given_up(context.world, SECOND, most)


@then(
    "in {count:d} random histories only the job whose subtask crashes workers is failed"
)
def step_random(context: Any, count: int) -> None:
    for seed in range(count):
        with ExitStack() as stack:
            world = play_random_crashes(stack, seed)
            (deadly,) = world.deadly
            assert world.starts[deadly] <= 5, (seed, world.starts[deadly])
            for job_id in world.scheduler.jobs:
                expected = JobPhase.COMPLETED
                if job_id == deadly.job_id:
                    expected = JobPhase.FAILED
                assert world.phase(job_id) is expected, (seed, job_id)


@when(
    "member {index:d} of a gang of {count:d} crashes its workers beside {others:d} jobs"
)
def step_gang(context: Any, index: int, count: int, others: int) -> None:
    submit_others(context, others)
    plan = definition(count, 4, gang=True, spread_limit_count=2)
    context.world.submit_deadly(DEADLY, plan, index)
    context.world.advance(40.0)


@when(
    "subtask {index:d} of {count:d} long-running ones is deadly beside {others:d} jobs"
)
def step_long_running(context: Any, index: int, count: int, others: int) -> None:
    submit_others(context, others)
    context.world.durations_s[DEADLY] = LONG_S
    plan = definition(count, 4, lasting=True, may_miss_count=1)
    context.world.submit_deadly(DEADLY, plan, index)
    context.world.advance(40.0)


@when("the store is away from the first crash of a subtask on")
def step_store_away(context: Any) -> None:
    world = context.world
    submit_others(context, 12, 1.0)
    world.submit_deadly(DEADLY, definition(1, 2))
    # Accepted before, but not to be started before the crash.
    context.late = "00000000000000ee"
    world.submit(context.late, definition(40, 2))
    world.durations_s[context.late] = 1.5
    while not world.crashes:
        world.advance_step()
    world.is_store_away = True


@then("the subtask starts once more before the store is back, and others start")
def step_waits(context: Any) -> None:
    world = context.world
    name = SubtaskName(DEADLY, 0, 0, 0)
    late_count = sum(c for n, c in world.starts.items() if n.job_id == context.late)
    world.advance(16.0)
    assert world.starts[name] == 2, world.starts[name]
    count = sum(c for n, c in world.starts.items() if n.job_id == context.late)
    assert count > late_count, count
    world.is_store_away = False


@then("no other subtask waits for {limit:d} seconds while the worker is up")
def step_no_standstill(context: Any, limit: int) -> None:
    world = context.world
    times = sorted(t for starts in world.start_times_s.values() for t in starts)
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    # A crash and the return of the worker take part of the gap.
    assert max(gaps) <= limit + world.down_s, max(gaps)


@when("every worker has a long run and a subtask crashes its workers")
def step_all_busy(context: Any) -> None:
    world = context.world
    for number in range(3):
        job_id = f"{number + 1:016x}"
        context.others.append(job_id)
        world.durations_s[job_id] = 25.0
        world.submit(job_id, definition(1, 9))
    world.advance(3.0)
    context.waits_s = []
    world.submit_deadly(DEADLY, definition(1, 2))
    waiting_s = 0.0
    for _ in range(int(60 / STEP_S)):
        world.advance_step()
        job = world.scheduler.jobs[DEADLY]
        step = job.occurrences[0][0] if job.occurrences else None
        is_ready = step is not None and bool(step.ready) and not job.is_final
        waiting_s = waiting_s + STEP_S if is_ready and len(world.sims) >= 2 else 0.0
        context.waits_s.append(waiting_s)


@then(
    "the subtask never waits for more than {limit:g} seconds while two workers are up"
)
def step_bounded_wait(context: Any, limit: float) -> None:
    assert max(context.waits_s) <= limit, max(context.waits_s)
