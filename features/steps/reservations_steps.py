"""Steps about the workers that are reserved for subtasks that fit nowhere."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

from behave import step, then, when

from cicadatrail_core.jobs.models import EndKind, JobDefinition, Step
from cicadatrail_core.jobs.state import JobState, Run, Subtask
from cicadatrail_core.models.resources import Resources
from features.support.job_world import JobWorld

BLOCKED = "00000000000000b1"
YOUNGER = "00000000000000c1"
RUNNING = "00000000000000d1"
ESTIMATE_MS = 60_000
SMALL_S = 1.0
STEP_S = 0.1
TICKET_S = 60.0
WATCHED_S = 20.0


def _plan(count: int, cores: int, **spec: Any) -> JobDefinition:
    """Return a job that is not late soon, so that older ones come first."""
    need = Resources(cores * 1000, 10)
    return JobDefinition("q", "team", "spec", (Step(count, need, ESTIMATE_MS, **spec),))


def _wait(world: JobWorld, seconds: float) -> list[Run]:
    """Let time pass while workers report; return the runs that start."""
    started: list[Run] = []
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        world.tick(STEP_S)
        world.report_all()
        started += world.run_all()
    return started


def _submit(world: JobWorld, job_id: str, plan: JobDefinition, starts: int) -> JobState:
    job = world.submit(job_id, plan)
    assert len(world.run_all()) == starts
    return job


def _submit_advised(world: JobWorld, plan: JobDefinition) -> JobState:
    """Submit the blocked job to a queue of the same pool that needs advice."""
    queue = replace(world.scheduler.queues["q"], name="advised", needs_advice=True)
    world.scheduler.queues["advised"] = queue
    return _submit(world, BLOCKED, replace(plan, queue="advised"), 0)


@step("a long-running step at its limit on every worker has waited for 2 seconds")
def step_lasting_limit(context: Any) -> None:
    plan = _plan(3, 1, lasting=True, spread_limit_count=1)
    _submit(context.world, BLOCKED, plan, 2)
    assert _wait(context.world, 2.0) == []


@step("a step at its limit on every worker has waited for 2 seconds")
def step_limit(context: Any) -> None:
    _submit(context.world, BLOCKED, _plan(3, 1, spread_limit_count=1), 2)
    assert _wait(context.world, 2.0) == []


@step("a step that finds no room beside long-running work has waited for 2 seconds")
def step_no_room(context: Any) -> None:
    world = context.world
    plan = _plan(2, 2, lasting=True, spread_limit_count=1)
    context.lasting = _submit(world, RUNNING, plan, 2)
    _submit(world, BLOCKED, _plan(1, 7), 0)
    assert _wait(world, 2.0) == []


@step("a step that needs advice and has no ticket has waited for 2 seconds")
def step_no_ticket(context: Any) -> None:
    _submit_advised(context.world, _plan(1, 1))
    assert _wait(context.world, 2.0) == []


@step("a step that needs advice and whose tickets are over has waited for 2 seconds")
def step_old_ticket(context: Any) -> None:
    world = context.world
    job = _submit_advised(world, _plan(1, 1))
    state = job.occurrences[0][0]
    state.tickets = {"w0": "ticket", "w1": "ticket"}
    state.tickets_expire_s = world.now_s
    assert _wait(world, 2.0) == []


@step(
    "a step of 8 cores has waited for 2 seconds with a ticket for a busy worker only",
)
def step_busy_ticket(context: Any) -> None:
    world = context.world
    job = world.submit(RUNNING, _plan(1, 4))
    (run,) = world.run_all()
    blocked = _submit_advised(world, _plan(1, 8))
    state = blocked.occurrences[0][0]
    state.tickets = {run.worker.facts.worker_id: "ticket"}
    state.tickets_expire_s = world.now_s + TICKET_S
    assert _wait(world, 2.0) == []
    assert job.has_runs


@step(
    "each worker runs a subtask of {cores:d} core and a subtask of 8 cores is blocked"
)
@step(
    "each worker runs a subtask of {cores:d} cores and a subtask of 8 cores is blocked"
)
def step_busy(context: Any, cores: int) -> None:
    world = context.world
    count = len(world.sims)
    _submit(world, RUNNING, _plan(count, cores, spread_limit_count=1), count)
    _submit(world, BLOCKED, _plan(1, 8), 0)
    assert _wait(world, 2.0) == []


@step(
    "each worker runs a subtask of {cores:d} cores "
    "and {count:d} subtasks of 8 cores are blocked in turn"
)
def step_busy_turns(context: Any, cores: int, count: int) -> None:
    world = context.world
    step_busy(context, cores)
    for number in range(1, count):
        _submit(world, f"{number:016x}", _plan(1, 8), 0)
        assert _wait(world, 1.0) == []


@then("the last one starts within {limit:f} seconds")
def step_last_starts(context: Any, limit: float) -> None:
    world = context.world
    woken: list[None] = []
    world.scheduler.on_change = lambda: woken.append(None)
    world.scheduler.tick(world.now_s, world.now_ms)
    assert woken, "the passing of time alone lets it start"
    (run,) = _wait(world, limit)
    assert run.subtask.name.job_id == YOUNGER


def _suspect(world: JobWorld, subtask: Subtask) -> None:
    subtask.crashed_runs.update({1: "x", 2: "y"})
    world.scheduler.suspects[subtask.name] = subtask


def _submit_suspect(world: JobWorld) -> None:
    job = world.submit(BLOCKED, _plan(1, 1))
    _suspect(world, job.occurrences[0][0].subtasks[0])
    assert world.run_all() == []


@step("a subtask is suspected of two crashes and each worker runs long-running work")
def step_suspect_lasting(context: Any) -> None:
    world = context.world
    count = len(world.sims)
    plan = _plan(count, 2, lasting=True, spread_limit_count=1)
    _submit(world, RUNNING, plan, count)
    _submit_suspect(world)


@step("a subtask is suspected of two crashes and each worker runs other work")
def step_suspect_other(context: Any) -> None:
    world = context.world
    count = len(world.sims)
    _submit(world, RUNNING, _plan(count, 2, spread_limit_count=1), count)
    _submit_suspect(world)


@step(
    "a subtask is suspected of two crashes and its step is at its limit on every worker"
)
def step_suspect_limit(context: Any) -> None:
    world = context.world
    count = len(world.sims)
    job = _submit(world, BLOCKED, _plan(count + 1, 1, spread_limit_count=1), count)
    (subtask,) = job.occurrences[0][0].ready.values()
    _suspect(world, subtask)
    assert world.run_all() == []


@step(
    "a subtask is suspected of two crashes "
    "and its queue needs advice and it has no ticket"
)
def step_suspect_ticket(context: Any) -> None:
    world = context.world
    job = _submit_advised(world, _plan(1, 1))
    _suspect(world, job.occurrences[0][0].subtasks[0])
    assert world.run_all() == []


@when("{count:d} younger subtasks of {cores:d} cores are ready")
def step_younger(context: Any, count: int, cores: int) -> None:
    context.count = count
    context.job = context.world.submit(YOUNGER, _plan(count, cores))
    context.runs = context.world.run_all()


@when("the long-running work on one worker is stopped")
def step_stop_lasting(context: Any) -> None:
    subtask = context.lasting.occurrences[0][0].subtasks[0]
    (run,) = subtask.live_runs
    context.world.scheduler.stop(run)


@when(
    "a subtask of 8 cores waits beside small ones that take 1 second and never cease",
)
def step_endless(context: Any) -> None:
    world = context.world
    # Nothing becomes late, so that older jobs come first all the while.
    queue = replace(world.scheduler.queues["q"], target_latency_ms=ESTIMATE_MS)
    world.scheduler.queues["q"] = queue
    numbers = itertools.count(1)
    ends: list[tuple[float, Run]] = []
    for _ in range(8):
        # Their ends are spread over the second.
        world.submit(f"{next(numbers):016x}", _plan(1, 2))
        ends += [(world.now_s + SMALL_S, run) for run in world.run_all()]
        world.tick(STEP_S)
        world.report_all()
    world.submit(BLOCKED, _plan(1, 8))
    begin_s = world.now_s
    context.started_s = None
    while context.started_s is None and world.now_s < begin_s + WATCHED_S:
        world.tick(STEP_S)
        for end_s, run in [end for end in ends if end[0] <= world.now_s]:
            ends.remove((end_s, run))
            sim = world.sims[run.worker.facts.worker_id]
            sim.end(run.subtask.name, EndKind.DONE)
            world.submit(f"{next(numbers):016x}", _plan(1, 2))
        world.report_all()
        for run in world.run_all():
            ends.append((world.now_s + SMALL_S, run))
            if run.subtask.step.job.job_id == BLOCKED:
                context.started_s = world.now_s - begin_s


@then("it starts within {limit:d} seconds")
def step_starts(context: Any, limit: int) -> None:
    assert context.started_s is not None
    assert context.started_s <= limit, context.started_s
