"""Steps about runs that count as over though no worker has listed their end."""

from __future__ import annotations

from typing import Any

from behave import then, when

from cicadatrail_core.jobs.models import EndKind
from features.support.job_world import LEASE_S


def _lose_worker(context: Any) -> None:
    """Let the lease of the worker with the runs expire, while others answer."""
    world = context.world
    silent = context.runs[0].worker.facts.worker_id
    for _ in range(int(LEASE_S) + 2):
        world.tick(1.0)
        for name in world.sims:
            if name != silent:
                world.report(name)


@when("the leader has no lease, and their worker is silent until its lease has expired")
def step_silent(context: Any) -> None:
    context.world.scheduler.is_lease_valid = lambda: False
    _lose_worker(context)


@when("the leader has no lease, and their worker restarts")
def step_restarts(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    sim = world.sims[context.runs[0].worker.facts.worker_id]
    sim.running.clear()
    sim.ends.clear()
    sim.started_ms += 1000
    world.now_s += 1.0
    world.report_all()
    world.report_all()


@then("nothing is repeated before the leader has its lease again")
def step_not_repeated(context: Any) -> None:
    world = context.world
    assert all(not run.subtask.live_runs for run in context.runs)
    assert world.dispatch() == []
    world.scheduler.is_lease_valid = lambda: True
    assert len(world.dispatch()) == len(context.runs)


@then("both subtasks start again")
def step_both_start(context: Any) -> None:
    runs = context.world.dispatch()
    assert {run.subtask for run in runs} == {run.subtask for run in context.runs}


@when("the leader has no lease, and their worker lists one as failed")
def step_failed(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    run = context.runs[0]
    world.sims[run.worker.facts.worker_id].end(run.subtask.name, EndKind.FAILED)
    world.report_all()


@then("one subtask starts again")
def step_one_starts(context: Any) -> None:
    runs = context.world.dispatch()
    assert [run.subtask for run in runs] == [context.runs[0].subtask]


@when("their worker is lost without the lease, which ends again after the dispatch")
def step_queued(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    _lose_worker(context)
    world.scheduler.is_lease_valid = lambda: True
    context.starts = world.dispatch()
    assert len(context.starts) == len(context.runs)
    world.scheduler.is_lease_valid = lambda: False


@then("the starts may not be sent")
def step_not_sent(context: Any) -> None:
    scheduler = context.world.scheduler
    assert not any(scheduler.may_repeat(run.subtask) for run in context.starts)
