"""Steps about which losses of a worker count as crashes, also under new leaders."""

from __future__ import annotations

from typing import Any

import msgpack
from behave import then, when

from cicadatrail_core.jobs.crash_suspicion import clear_crashes, note_start
from cicadatrail_core.jobs.models import EndKind, JobPhase, SubtaskName
from cicadatrail_core.jobs.records import apply_progress, encode_progress
from cicadatrail_core.jobs.report_rollback import ReportRollback
from cicadatrail_core.jobs.state import JobState, StepState, SubtaskPhase
from cicadatrail_core.jobs.worker_leases import count_call, known_clock
from cicadatrail_core.jobs.worker_state import LATE_START_S
from features.support.crash_world import CrashWorld
from features.support.crashing_subtask import (
    DEADLY,
    LONG_S,
    deadly_subtask,
    lose_worker,
    submit_others,
    suspect,
    wait_for_start,
)
from features.support.job_world import LEASE_S, definition


@when("a new leader takes over after each crash of a subtask beside {count:d} others")
def step_new_leaders(context: Any, count: int) -> None:
    world = context.world
    submit_others(context, count)
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


@when("each worker that starts a subtask is cut off for {seconds:d} s, {times:d} times")
def step_cut_off(context: Any, seconds: int, times: int) -> None:
    world = context.world
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 2))
    for _ in range(times):
        name = wait_for_start(world)
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
    context.cut_off = wait_for_start(world)
    world.silent.add(context.cut_off)
    world.worker(context.cut_off).is_suspect = True
    until_s = world.now_s + 10.0
    while not deadly_subtask(world).crashed_runs and world.now_s < until_s:
        world.advance_step()
    assert len(deadly_subtask(world).crashed_runs) == 1


@then("no crash of the subtask counts {seconds:g} s after the worker answers again")
def step_taken_back(context: Any, seconds: float) -> None:
    world = context.world
    world.silent.discard(context.cut_off)
    world.advance(seconds)
    assert not deadly_subtask(world).crashed_runs, deadly_subtask(world).crashed_runs


@when("a worker with {count:d} runs crashes and the leader changes as it is noticed")
def step_takeover_at_crash(context: Any, count: int) -> None:
    world = context.world
    submit_others(context, count, LONG_S)
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
    context.ready_s = deadly_subtask(world).ready_s
    world.now_s += seconds
    (run,) = world.dispatch()
    world.scheduler.release_refused(run, world.now_s, "busy")


@then("the subtask still counts as ready since then")
def step_still_ready(context: Any) -> None:
    subtask = deadly_subtask(context.world)
    assert subtask.phase is SubtaskPhase.READY, subtask.phase
    assert subtask.ready_s == context.ready_s, subtask.ready_s


@when("the first report of a restarted worker is undone")
def step_undone_report(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    name = wait_for_start(world)
    sim = world.sims[name]
    worker = world.worker(name)
    world.report(name)
    sim.running.clear()
    sim.started_ms += 1000
    rollback = ReportRollback(worker)
    world.report(name)
    assert len(deadly_subtask(world).crashed_runs) == 1
    rollback.undo(world.scheduler)
    # The lease ends before the next report.
    worker.is_suspect = True
    world.now_s += LEASE_S * 2
    world.scheduler.tick(world.now_s, world.now_ms)
    world.report(name)


@then("the crash of its subtask still counts after its next report")
def step_crash_counts(context: Any) -> None:
    assert len(deadly_subtask(context.world).crashed_runs) == 1


@when("a member of a suspected gang is cleared while the note of its start is unstored")
def step_cleared_member(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(2, 2, gang=True))
    first = deadly_subtask(world)
    second = first.step.subtasks[1]
    suspect(world, first, {1: "w8"})
    suspect(world, second, {1: "w8", 2: "w9"})
    assert not note_start(world.scheduler, first, world.now_s)
    clear_crashes(world.scheduler, first)
    world.store()


@then("the gang may start once the other members' crashes are stored")
def step_gang_may_start(context: Any) -> None:
    world = context.world
    assert note_start(world.scheduler, deadly_subtask(world), world.now_s)


@when("a subtask with one seen and one presumed crash loses its worker")
def step_presumed(context: Any) -> None:
    world = context.world
    world.submit(DEADLY, definition(1, 2))
    suspect(world, deadly_subtask(world), {1: "w8", -3: ""})
    lose_worker(world, wait_for_start(world))


@then("its job is not failed")
def step_not_failed(context: Any) -> None:
    job = context.world.scheduler.jobs[DEADLY]
    assert job.phase is not JobPhase.FAILED, deadly_subtask(context.world).crashed_runs


@when("each leader ends right after it has started the suspected subtask again")
def step_unseen_crashes(context: Any) -> None:
    world = context.world
    world.submit_deadly(DEADLY, definition(1, 2))
    name = SubtaskName(DEADLY, 0, 0, 0)
    while not deadly_subtask(world).crashed_runs:
        world.advance_step()
    for _ in range(8):
        starts = world.starts[name]
        until_s = world.now_s + 15.0
        while world.starts[name] == starts and world.now_s < until_s:
            world.advance_step()
        # The worker crashes, and the leader ends before it has noticed that.
        world.advance_step()
        world.fail_over(world.epoch + 1)


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
        name = wait_for_start(world)
        world.scheduler.update_worker(
            world.facts(world.sims[name], draining=True), world.now_s
        )
        world.crash(world.sims[name])
        world.advance(4.0)


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
    worker_id = wait_for_start(world)
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
    name = wait_for_start(world)
    for number in range(1, len(world.sims)):
        job_id = f"{number:016x}"
        world.durations_s[job_id] = LONG_S
        world.submit(job_id, definition(1, 4))
    world.advance(0.3)
    lose_worker(world, name)


def _change_leaders(world: CrashWorld, count: int) -> None:
    for _ in range(count):
        world.advance(2.0)
        world.fail_over(world.epoch + 1)
    world.advance(5.0)


@then("one crash counts for the subtask, and its job is not failed")
def step_one_crash(context: Any) -> None:
    world = context.world
    assert world.phase(DEADLY) is not JobPhase.FAILED
    assert len(deadly_subtask(world).crashed_runs) == 1, deadly_subtask(
        world
    ).crashed_runs


@when(
    "a run that crashed twice is lost within {seconds:g} s beside another job's start"
)
def step_lost_beside(context: Any, seconds: float) -> None:
    world = context.world
    world.report_all()
    context.jobs = [world.submit(job_id, definition(1, 2)) for job_id in "ab"]
    answered, unanswered = world.dispatch()
    worker = answered.worker
    for run in (answered, unanswered):
        run.subtask.crashed_runs |= {1: "w8", 2: "w9"}
    world.carry_out(answered)
    answered.is_proved = True
    unanswered.mark_unanswered(world.now_s)
    worker.mark_failed(world.now_s + seconds)
    clock = known_clock(worker)
    assert clock is not None
    count_call(world.scheduler, worker, clock, None, world.now_s)
    world.tick(4.0)
    assert list(worker.runs.values()) == [unanswered]
    world.tick(LATE_START_S + world.scheduler.settings.longest_lease_s - 3.9)
    assert not worker.runs


@then("neither job is given up")
def step_not_given_up(context: Any) -> None:
    assert [job.phase for job in context.jobs] == [JobPhase.PENDING] * 2
