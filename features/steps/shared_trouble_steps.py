"""Steps about workers that are lost for another reason than what they run."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from behave import then, when

from cicadatrail_core.jobs.models import JobPhase, SubtaskName
from features.support.crashing_subtask import (
    DEADLY,
    deadly_subtask,
    lose_worker,
    wait_for_start,
)
from features.support.job_world import definition
from features.support.storm_world import (
    StormWorld,
    play_half_restarting,
    play_one_restarting,
)


@then(
    "in {count:d} histories with half of the workers restarting each 3 s and {share:g} "
    "of the calls unanswered, every harmless job completes"
)
def step_half_restarting(context: Any, count: int, share: float) -> None:
    for seed in range(count):
        with ExitStack() as stack:
            _check_harmless(play_half_restarting(stack, seed, share, False), seed)


@then(
    "in {count:d} such histories with {share:g} of the calls unanswered a deadly "
    "subtask is given up after at most {most:d} starts"
)
def step_half_and_deadly(context: Any, count: int, share: float, most: int) -> None:
    for seed in range(count):
        with ExitStack() as stack:
            world = play_half_restarting(stack, seed, share, True)
            _check_harmless(world, seed)
            _check_deadly(world, seed, most)


@then(
    "in {count:d} histories with a worker that restarts each {gap:g} s, every harmless "
    "job completes"
)
def step_one_restarting(context: Any, count: int, gap: float) -> None:
    for seed in range(count):
        with ExitStack() as stack:
            _check_harmless(play_one_restarting(stack, seed, gap, False), seed)


@then(
    "in {count:d} histories with a worker that restarts each {gap:g} s, a deadly "
    "subtask is given up after at most {most:d} starts"
)
def step_one_and_deadly(context: Any, count: int, gap: float, most: int) -> None:
    for seed in range(count):
        with ExitStack() as stack:
            world = play_one_restarting(stack, seed, gap, True)
            _check_harmless(world, seed)
            _check_deadly(world, seed, most)


def _check_harmless(world: StormWorld, seed: int) -> None:
    phases = {job_id: world.phase(job_id) for job_id in world.job_ids}
    wrong = {j: p for j, p in phases.items() if p is not JobPhase.COMPLETED}
    assert phases and not wrong, (seed, wrong)


def _check_deadly(world: StormWorld, seed: int, most: int) -> None:
    starts = world.starts[SubtaskName(DEADLY, 0, 0, 0)]
    assert world.phase(DEADLY) is JobPhase.FAILED, (seed, world.phase(DEADLY))
    assert 2 <= starts <= most, (seed, starts)


@when("a worker crashes {seconds:g} s after it left a start without an answer")
def step_unanswered(context: Any, seconds: float) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    (run,) = world.dispatch()
    context.lost_id = run.worker.facts.worker_id
    run.start_expires_s = float("inf")
    run.mark_unanswered(world.now_s)
    run.worker.mark_failed(world.now_s)
    began_s = world.now_s
    while world.now_s < began_s + seconds:
        world.report(context.lost_id)
        # The repeated start doesn't leave.
        world.scheduler.starts.clear()
        world.tick(0.05)
    run.mark_refused(began_s)
    lose_worker(world, context.lost_id)


@when("workers restart together after a connection to each broke {when} a start")
def step_broken_before(context: Any, when: str) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    for name in world.sims:
        world.worker(name).mark_failed(world.now_s, is_broken=True)
        world.report(name)
    world.tick(0.1)
    (run,) = world.dispatch()
    world.carry_out(run)
    world.tick(0.1)
    for name, sim in world.sims.items():
        is_noticed = when == "after" or name != run.worker.facts.worker_id
        if is_noticed:
            world.worker(name).mark_failed(world.now_s, is_broken=True)
        sim.running.clear()
        sim.started_ms += 1000
    world.report_all()


@then("{count:d} crashes of its subtask count")
def step_crash_count(context: Any, count: int) -> None:
    crashed = deadly_subtask(context.world).crashed_runs
    assert len(crashed) == count, crashed


@when("a subtask has been lost with a worker that is the emptiest since")
def step_lost_with_emptiest(context: Any) -> None:
    world = context.world
    world.durations_s[DEADLY] = 30.0
    world.submit(DEADLY, definition(1, 2))
    context.lost_id = wait_for_start(world)
    for other in world.sims.values():
        if other.worker_id != context.lost_id:
            job_id = f"{int(other.worker_id[1:]) + 1:016x}"
            world.durations_s[job_id] = 30.0
            world.submit(job_id, definition(1, 2))
    world.advance(0.3)
    world.crash(world.sims[context.lost_id])


@then("the subtask starts next on another worker")
def step_starts_elsewhere(context: Any) -> None:
    world = context.world
    starts = world.starts[SubtaskName(DEADLY, 0, 0, 0)]
    until_s = world.now_s + 5.0
    while world.starts[SubtaskName(DEADLY, 0, 0, 0)] == starts:
        world.advance_step()
        assert world.now_s < until_s, "the subtask does not start"
    assert context.lost_id in world.sims, "the worker is not back"
    assert wait_for_start(world) != context.lost_id
