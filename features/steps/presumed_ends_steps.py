"""Steps about runs that count as over though no worker has listed their end."""

from __future__ import annotations

from typing import Any

from behave import then, when

from cicadatrail_core.jobs.models import EndKind
from features.support.job_world import LEASE_S, definition

OTHER = "00000000000000b2"


def _lose_worker(context: Any, *others: str) -> None:
    """Let the leases of the worker with the runs and of some others expire."""
    world = context.world
    silent = (context.runs[0].worker.facts.worker_id, *others)
    for _ in range(int(LEASE_S) + 2):
        world.tick(1.0)
        for name in world.sims:
            if name not in silent:
                world.report(name)


@when("the leader has no lease, and their worker is silent until its lease has expired")
def step_silent(context: Any) -> None:
    context.world.scheduler.is_lease_valid = lambda: False
    _lose_worker(context)


def _restart_worker(context: Any) -> None:
    sim = context.world.sims[context.runs[0].worker.facts.worker_id]
    sim.running.clear()
    sim.ends.clear()
    sim.started_ms += 1000


@when("the leader has no lease, and their worker restarts")
def step_restarts(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    _restart_worker(context)
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


def _list_ends(context: Any, kind: str) -> None:
    """Have the first worker answer again and list how the runs ended."""
    world = context.world
    worker_id = context.runs[0].worker.facts.worker_id
    sim = world.sims[worker_id]
    sim.ends.clear()
    for run in context.runs:
        sim.running[run.subtask.name] = run.number
        sim.end(run.subtask.name, EndKind(kind))
    world.report(worker_id)


@when("the worker lists both as {kind} when it answers again")
def step_lists_ends(context: Any, kind: str) -> None:
    _list_ends(context, kind)


@when("both are repeated elsewhere and lost with that worker without the lease")
def step_lost_again(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    _lose_worker(context)
    world.scheduler.is_lease_valid = lambda: True
    repeats = world.run_all()
    assert {run.subtask for run in repeats} == {run.subtask for run in context.runs}
    (other,) = {run.worker.facts.worker_id for run in repeats}
    world.scheduler.is_lease_valid = lambda: False
    _lose_worker(context, other)


@when("the first worker lists both as lapsed when it answers again")
def step_first_lists_ends(context: Any) -> None:
    _list_ends(context, "lapsed")


@when("the starts are not sent")
def step_refuse_starts(context: Any) -> None:
    scheduler = context.world.scheduler
    for run in context.starts:
        run.is_start_pending = False
        scheduler.release_refused(run, context.world.now_s, "not-sent")


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


@when("the leader has no lease, and their worker's address belongs to another worker")
def step_replaced(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    worker_id = context.runs[0].worker.facts.worker_id
    world.scheduler.remove_worker(worker_id, world.now_s, "replaced")


@when("the leader has no lease, and their worker leaves the list and then says no more")
def step_unlisted(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: False
    context.runs[0].worker.is_listed = False
    _lose_worker(context)
    assert context.runs[0].worker.facts.worker_id not in world.scheduler.workers


def _submit_other(context: Any, cores: int) -> int:
    """Submit a subtask of the team; return the count of starts."""
    context.world.submit(OTHER, definition(1, cores))
    return len(context.world.run_all())


@then("no other 4 cores of the team run before the leader has its lease again")
def step_team_waits(context: Any) -> None:
    world = context.world
    assert _submit_other(context, 4) == 0
    world.scheduler.is_lease_valid = lambda: True
    world.tick(0.1)
    assert len(world.run_all()) == 2


@when("the worker still has them when it answers again")
def step_still_has(context: Any) -> None:
    world = context.world
    worker_id = context.runs[0].worker.facts.worker_id
    sim = world.sims[worker_id]
    # The leader's successor has renewed the worker's lease.
    sim.ends.clear()
    sim.running = {run.subtask.name: run.number for run in context.runs}
    world.report(worker_id)


@then("2 more cores of the team run, and no more")
def step_two_more(context: Any) -> None:
    world = context.world
    assert _submit_other(context, 2) == 1
    world.submit("00000000000000c3", definition(1, 1))
    assert world.run_all() == []


@when("the worker has restarted when it answers again")
def step_restarted(context: Any) -> None:
    _restart_worker(context)
    context.world.report(context.runs[0].worker.facts.worker_id)


@when("the leader has its lease for a moment, in which it starts nothing")
def step_lease_for_moment(context: Any) -> None:
    world = context.world
    world.scheduler.is_lease_valid = lambda: True
    world.tick(0.1)
    world.scheduler.is_lease_valid = lambda: False
