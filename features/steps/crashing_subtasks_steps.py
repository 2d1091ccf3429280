"""Steps about subtasks that crash the workers that start them."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

import msgpack
from behave import given, then, when

from cicadatrail_core.jobs.crash_suspicion import clear_crashes, note_start
from cicadatrail_core.jobs.models import EndKind, JobPhase, SubtaskName
from cicadatrail_core.jobs.records import apply_progress, encode_progress
from cicadatrail_core.jobs.report_rollback import ReportRollback
from cicadatrail_core.jobs.state import JobState, StepState, Subtask, SubtaskPhase
from features.support.crash_world import (
    STEP_S,
    CrashWorld,
    play_random_crashes,
)
from features.support.job_world import LEASE_S, definition

DEADLY = "00000000000000dd"
SECOND = "00000000000000de"
LONG_S = 1000.0
SPREAD = {"spread_limit_count": 1}


@given("{count:d} workers of {cores:d} cores that return under {way} after {down:g} s")
@given("{count:d} worker of {cores:d} cores that return under {way} after {down:g} s")
def step_workers(context: Any, count: int, cores: int, way: str, down: float) -> None:
    context.world = CrashWorld(context.stack, count, cores, way, down)
    context.others = []


def _submit_others(context: Any, count: int, duration_s: float = 1.0) -> None:
    for _ in range(count):
        job_id = f"{len(context.others) + 1:016x}"
        context.others.append(job_id)
        context.world.durations_s[job_id] = duration_s
        context.world.submit(job_id, definition(1, 2))


@when("a job whose only subtask crashes its workers runs for {seconds:d} seconds")
def step_alone(context: Any, seconds: int) -> None:
    context.world.submit_deadly(DEADLY, definition(1, 2))
    context.world.advance(seconds)
    _submit_others(context, 6)


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
    _submit_others(context, count // 2, 1.5)
    world.submit_deadly(DEADLY, definition(1, 2))
    _submit_others(context, count - count // 2, 1.5)
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
        _submit_others(context, 1, 1.2)
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
    _submit_others(context, count)
    for run in world.dispatch():
        world.start(run)
    assert len({crash.worker_id for crash in world.crashes}) <= 1
    world.advance(40.0)


@then("both their jobs are failed after at most {most:d} starts of each subtask")
def step_both_failed(context: Any, most: int) -> None:
    context.world.advance(60.0)
    _check_given_up(context.world, DEADLY, most)
    _check_given_up(context.world, SECOND, most)


@when("a new leader takes over after each crash of a subtask beside {count:d} others")
def step_new_leaders(context: Any, count: int) -> None:
    world = context.world
    _submit_others(context, count)
    world.submit_deadly(DEADLY, definition(1, 2))
    name = SubtaskName(DEADLY, 0, 0, 0)
    for _ in range(8):
        starts = world.starts[name]
        until_s = world.now_s + 15.0
        while world.starts[name] == starts and world.now_s < until_s:
            world.advance_step()
        # The leader ends once it has released, and stored, what the crash ended.
        while not _is_ready(world, name) and world.now_s < until_s + 15.0:
            world.advance_step()
        world.store()
        world.fail_over(world.epoch + 1)


def _is_ready(world: CrashWorld, name: SubtaskName) -> bool:
    job = world.scheduler.jobs[name.job_id]
    subtask = job.subtask(name)
    return job.is_final or (subtask is not None and bool(subtask.step.ready))


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
    _submit_others(context, others)
    plan = definition(count, 4, gang=True, spread_limit_count=2)
    context.world.submit_deadly(DEADLY, plan, index)
    context.world.advance(40.0)


@when(
    "subtask {index:d} of {count:d} long-running ones is deadly beside {others:d} jobs"
)
def step_long_running(context: Any, index: int, count: int, others: int) -> None:
    _submit_others(context, others)
    context.world.durations_s[DEADLY] = LONG_S
    plan = definition(count, 4, lasting=True, may_miss_count=1)
    context.world.submit_deadly(DEADLY, plan, index)
    context.world.advance(40.0)


@when("each worker that starts a subtask is cut off for {seconds:d} s, {times:d} times")
def step_cut_off(context: Any, seconds: int, times: int) -> None:
    world = context.world
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 2))
    for _ in range(times):
        name = _wait_for_start(world)
        world.silent.add(name)
        world.worker(name).is_suspect = True
        world.advance(seconds)
        world.silent.discard(name)
        world.advance(0.2)


@when("the worker of a subtask is cut off until its loss counts as a crash")
def step_cut_once(context: Any) -> None:
    world = context.world
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 2))
    context.cut_off = _wait_for_start(world)
    world.silent.add(context.cut_off)
    world.worker(context.cut_off).is_suspect = True
    until_s = world.now_s + 10.0
    while not _subtask(world).crashed_runs and world.now_s < until_s:
        world.advance_step()
    assert len(_subtask(world).crashed_runs) == 1


def _subtask(world: CrashWorld) -> Subtask:
    subtask = world.scheduler.jobs[DEADLY].subtask(SubtaskName(DEADLY, 0, 0, 0))
    assert subtask is not None
    return subtask


@then("no crash of the subtask counts {seconds:g} s after the worker answers again")
def step_taken_back(context: Any, seconds: float) -> None:
    world = context.world
    world.silent.discard(context.cut_off)
    world.advance(seconds)
    assert not _subtask(world).crashed_runs, _subtask(world).crashed_runs


@when("a worker with {count:d} runs crashes and the leader changes as it is noticed")
def step_takeover_at_crash(context: Any, count: int) -> None:
    world = context.world
    _submit_others(context, count, LONG_S)
    world.advance(0.3)
    sim = max(world.sims.values(), key=lambda sim: len(sim.running))
    context.lost = [*sim.running]
    world.crash(sim)
    while not world.scheduler.suspects:
        context.began_s = world.now_s
        world.advance_step()
    world.store()
    world.fail_over(world.epoch + 1)
    world.advance(12.0)


@then("every lost subtask starts within {limit_s:g} s")
def step_all_start(context: Any, limit_s: float) -> None:
    waits_s = [
        min(
            at_s for at_s in context.world.start_times_s[name] if at_s > context.began_s
        )
        - context.began_s
        for name in context.lost
    ]
    assert waits_s, "nothing was lost"
    assert max(waits_s) < limit_s, sorted(waits_s)


@when("the worker refuses the start of a subtask that has waited for {seconds:d} s")
def step_refused(context: Any, seconds: int) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    context.ready_s = _subtask(world).ready_s
    world.now_s += seconds
    (run,) = world.dispatch()
    world.scheduler.release_refused(run, world.now_s, "busy")


@then("the subtask still counts as ready since then")
def step_still_ready(context: Any) -> None:
    subtask = _subtask(context.world)
    assert subtask.phase is SubtaskPhase.READY, subtask.phase
    assert subtask.ready_s == context.ready_s, subtask.ready_s


@when("the first report of a restarted worker is undone")
def step_undone_report(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    name = _wait_for_start(world)
    sim = world.sims[name]
    worker = world.worker(name)
    world.report(name)
    sim.running.clear()
    sim.started_ms += 1000
    rollback = ReportRollback(worker)
    world.report(name)
    assert len(_subtask(world).crashed_runs) == 1
    rollback.undo(world.scheduler)
    # The lease ends before the next report.
    worker.is_suspect = True
    world.now_s += LEASE_S * 2
    world.scheduler.tick(world.now_s, world.now_ms)
    world.report(name)


@then("the crash of its subtask still counts after its next report")
def step_crash_counts(context: Any) -> None:
    assert len(_subtask(context.world).crashed_runs) == 1


@when("a member of a suspected gang is cleared while the note of its start is unstored")
def step_cleared_member(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(2, 2, gang=True))
    first = _subtask(world)
    second = first.step.subtasks[1]
    _suspect(world, first, {1: "w8"})
    _suspect(world, second, {1: "w8", 2: "w9"})
    assert not note_start(world.scheduler, first, world.now_s)
    clear_crashes(world.scheduler, first)
    world.store()


@then("the gang may start once the other members' crashes are stored")
def step_gang_may_start(context: Any) -> None:
    world = context.world
    assert note_start(world.scheduler, _subtask(world), world.now_s)


def _suspect(world: CrashWorld, subtask: Subtask, crashes: dict[int, str]) -> None:
    subtask.crashed_runs.update(crashes)
    world.scheduler.suspects[subtask.name] = subtask


@when("a subtask with one seen and one presumed crash loses its worker")
def step_presumed(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    _suspect(world, _subtask(world), {1: "w8", -3: ""})
    _lose_worker(world, _wait_for_start(world))


def _lose_worker(world: CrashWorld, worker_id: str) -> None:
    """Crash a worker, and advance until its runs have been released."""
    world.crash(world.sims[worker_id])
    workers = world.scheduler.workers
    while worker_id in workers and workers[worker_id].runs:
        world.advance_step()


@then("its job is not failed")
def step_not_failed(context: Any) -> None:
    job = context.world.scheduler.jobs[DEADLY]
    assert job.phase is not JobPhase.FAILED, _subtask(context.world).crashed_runs


@when("each leader ends right after it has started the suspected subtask again")
def step_unseen_crashes(context: Any) -> None:
    world = context.world
    world.submit_deadly(DEADLY, definition(1, 2))
    name = SubtaskName(DEADLY, 0, 0, 0)
    while not _subtask(world).crashed_runs:
        world.advance_step()
    for _ in range(8):
        starts = world.starts[name]
        until_s = world.now_s + 15.0
        while world.starts[name] == starts and world.now_s < until_s:
            world.advance_step()
        # The worker crashes, and the leader ends before it has noticed that.
        world.advance_step()
        world.fail_over(world.epoch + 1)


def _wait_for_start(world: CrashWorld) -> str:
    """Return the worker on which the subtask has just started."""
    name = SubtaskName(DEADLY, 0, 0, 0)
    while True:
        starts = world.starts[name]
        running = [sim for sim in world.sims.values() if name in sim.running]
        if running and running[0].worker_id not in world.silent:
            return running[0].worker_id
        world.advance_step()
        assert world.starts[name] >= starts


@then("no crash is counted for the subtask, and its job is not failed")
def step_not_counted(context: Any) -> None:
    world = context.world
    world.advance(10.0)
    assert world.phase(DEADLY) is JobPhase.RUNNING
    subtask = world.scheduler.jobs[DEADLY].occurrences[0][0].subtasks[0]
    assert not subtask.crashed_runs, subtask.crashed_runs
    assert subtask.live_runs


@when("each worker that starts a subtask leaves as announced, {times:d} times")
def step_leaves(context: Any, times: int) -> None:
    world = context.world
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 2))
    for _ in range(times):
        name = _wait_for_start(world)
        world.scheduler.update_worker(
            world.facts(world.sims[name], draining=True), world.now_s
        )
        world.crash(world.sims[name])
        world.advance(4.0)


@when("the store is away from the first crash of a subtask on")
def step_store_away(context: Any) -> None:
    world = context.world
    _submit_others(context, 12, 1.0)
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


@then("crashes only add an entry at the end of a job's record")
def step_records(context: Any) -> None:
    plan = definition(3, 2)
    job = JobState(DEADLY, plan, 0.0)
    job.occurrences[0] = [StepState(job, 0, 0)]
    before = encode_progress(job)
    crashed = {1001: "w1", 2001: "w2"}
    assert len(msgpack.unpackb(before, strict_map_key=False)) == 4
    job.occurrences[0][0].subtasks[1].crashed_runs.update(crashed)
    value = msgpack.unpackb(encode_progress(job), strict_map_key=False)
    assert msgpack.packb(value[:4]) == before
    restored = JobState(DEADLY, plan, 0.0)
    apply_progress(restored, encode_progress(job))
    assert restored.occurrences[0][0].subtasks[1].crashed_runs == crashed
    assert encode_progress(restored) == encode_progress(job)
    unaware = JobState(DEADLY, plan, 0.0)
    apply_progress(unaware, before)
    assert not unaware.occurrences


@when("a suspect waits for capacity while {count:d} leaders take over in turn")
def step_suspect_waits(context: Any, count: int) -> None:
    world = context.world
    _crash_beside_full_workers(world)
    _change_leaders(world, count)


@when("a suspect fails on a worker, waits, and {count:d} leaders take over in turn")
def step_suspect_fails(context: Any, count: int) -> None:
    world = context.world
    _crash_beside_full_workers(world)
    worker_id = _wait_for_start(world)
    world.sims[worker_id].end(SubtaskName(DEADLY, 0, 0, 0), EndKind.FAILED)
    # The worker that has become free is lost as announced, so the subtask waits.
    lost = world.sims[worker_id]
    world.scheduler.update_worker(world.facts(lost, draining=True), world.now_s)
    world.advance_step()
    world.down_s = LONG_S
    world.crash(lost)
    _change_leaders(world, count)


def _crash_beside_full_workers(world: CrashWorld) -> None:
    """Let a worker crash just after it has started a subtask; the others are full."""
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 4))
    name = _wait_for_start(world)
    for number in range(1, len(world.sims)):
        job_id = f"{number:016x}"
        world.durations_s[job_id] = LONG_S
        world.submit(job_id, definition(1, 4))
    world.advance(0.3)
    _lose_worker(world, name)


def _change_leaders(world: CrashWorld, count: int) -> None:
    for _ in range(count):
        world.advance(2.0)
        world.fail_over(world.epoch + 1)
    world.advance(5.0)


@then("one crash counts for the subtask, and its job is not failed")
def step_one_crash(context: Any) -> None:
    world = context.world
    assert world.phase(DEADLY) is not JobPhase.FAILED
    assert len(_subtask(world).crashed_runs) == 1, _subtask(world).crashed_runs
