"""Steps about occurrences that a new leader has not opened."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import EndKind, JobDefinition, Step, SubtaskName
from cicadatrail_core.jobs.records import apply_progress, encode_progress
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.jobs.takeover import inherit
from cicadatrail_core.models.resources import Resources
from features.support.job_world import LEASE_S, JobWorld

JOB = "00000000000000a1"
COUNT = 100


@given(
    "a job of 100 occurrences, of which the leader runs on while nothing is stored",
)
def step_run_on(context: Any) -> None:
    """End three out of four runs; the ends are read and not stored."""
    world = context.world
    plan = JobDefinition(
        "q",
        "team",
        "s",
        (Step(1, Resources(1000, 1)),),
        repeat_count=COUNT,
        first_due_unix_ms=world.now_ms - 10_000,
        interval_ms=10,
    )
    job = world.submit(JOB, plan)
    context.stored = encode_progress(job)
    context.starts = Counter()
    world.report_all()
    while sum(context.starts.values()) < COUNT:
        _start(context)
        _end_all(world)
        for name in world.sims:
            world.report(name, forget=False)
            # Only the store would let the worker forget its ends.
            world.worker(name).stored_end = 0
        world.tick(0.05)


def _start(context: Any) -> None:
    context.starts.update(run.subtask.name for run in context.world.run_all())


def _end_all(world: JobWorld) -> None:
    for sim in world.sims.values():
        for name in [*sim.running]:
            sim.end(name, EndKind.DONE)


def _fail_over(context: Any) -> None:
    """Replace the leader by one that knows only what was stored."""
    world = context.world
    plan = world.scheduler.jobs[JOB].definition
    restored = JobState(JOB, plan, world.now_s)
    apply_progress(restored, context.stored)
    world.scheduler = world.new_scheduler(2)
    for worker in world.scheduler.workers.values():
        worker.lease_expires_s = world.now_s + LEASE_S
    inherit(world.scheduler, [restored])
    world.scheduler.activate(restored, world.now_s, world.now_ms)


@when("a new leader takes over, reads the ends and runs the job to its end")
def step_new_leader(context: Any) -> None:
    world = context.world
    _fail_over(context)
    for _ in range(40):
        world.report_all()
        _start(context)
        _end_all(world)
        world.tick(0.05)
    world.report_all()


@then("each occurrence was started once, and the job is completed")
def step_once(context: Any) -> None:
    repeated = {str(name): n for name, n in context.starts.items() if n > 1}
    assert not repeated, repeated
    assert len(context.starts) == COUNT
    assert context.world.scheduler.jobs[JOB].is_final


@when("a new leader reads that the run of occurrence 80 has failed")
def step_failed_end(context: Any) -> None:
    world = context.world
    name = SubtaskName(JOB, 80, 0, 0)
    (sim,) = [sim for sim in world.sims.values() if name in sim.ended]
    sim.running[name] = sim.ended[name]
    sim.ends = []
    sim.end(name, EndKind.FAILED)
    _fail_over(context)
    world.report_all()


@then("the run counts as one of its attempts")
def step_attempt(context: Any) -> None:
    job = context.world.scheduler.jobs[JOB]
    subtask = job.subtask(SubtaskName(JOB, 80, 0, 0))
    assert subtask is not None
    assert len(subtask.failed_runs) == 1
