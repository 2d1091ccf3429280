"""Steps about workers that restart under their id while nobody looks."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import then, when

from cicadatrail_core.jobs.models import RunningRow, WorkerReport
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.models.resources import Resources
from features.support.job_world import definition

OTHER = "00000000000000b9"


def _take_over(context: Any) -> RunningRow:
    """Have a new leader restore a worker that isn't listed; return what runs there."""
    world, sim = context.world, context.busy
    row = RunningRow(context.name, sim.running[context.name], "", 10)
    # The entry has expired, so that only the stored list of workers has it.
    del world.sims[sim.worker_id]
    world.fail_over(2)
    context.worker = world.worker(sim.worker_id)
    (other,) = world.sims
    world.report(other)
    return row


@when("that worker had restarted before, and the new leader reads all of its lists")
def step_all_lists(context: Any) -> None:
    world = context.world
    row = _take_over(context)
    report = WorkerReport(world.now_ms, context.busy.started_ms + 5, (row,), ())
    apply_report(world.scheduler, context.worker, report, world.now_s, world.now_s)
    context.run = context.worker.runs[context.name, row.run]
    # Ends may have to be stored before the next poll renews the lease.
    world.former_leases.update()
    world.tick(0.1)


@then("the subtask still counts as running there, and starts nowhere else")
def step_still_running(context: Any) -> None:
    assert context.run in context.run.subtask.live_runs
    assert context.name not in [run.subtask.name for run in context.world.dispatch()]


@when("their worker restarts, answers another start, and is then read as restarted")
def step_answers_start(context: Any) -> None:
    world = context.world
    worker = context.runs[0].worker
    sim = world.sims[worker.facts.worker_id]
    sim.running.clear()
    sim.started_ms += 1000
    for other in world.scheduler.workers.values():
        other.is_cordoned = other is not worker
    worker.facts = replace(worker.facts, capacity=Resources(16_000, 64_000))
    world.submit(OTHER, definition(1, 4))
    (context.run,) = world.run_all()
    world.now_s += 0.01
    row = RunningRow(context.run.subtask.name, context.run.number, "", 10)
    report = WorkerReport(world.now_ms, sim.started_ms, (row,), ())
    apply_report(world.scheduler, worker, report, world.now_s, world.now_s)


@then("that start still counts before the lease is renewed")
def step_start_counts(context: Any) -> None:
    context.world.tick(0.03)
    assert context.run in context.run.subtask.live_runs
