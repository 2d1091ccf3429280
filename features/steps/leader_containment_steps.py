"""Steps about inputs that must not take down leader after leader."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest.mock import patch

from behave import then, when

from cicadatrail_core.jobs import (
    ejection,
    worker_choice,
    worker_conditions,
    worker_reports,
)
from cicadatrail_core.jobs.models import JobDefinition, Step, WorkerReport
from cicadatrail_core.jobs.state import StepState
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.leadership.acting_right import LEADERSHIP_LEASE_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.workers import OrderAnswer, OrderOutcome, WorkerClient
from cicadatraild.scheduling import leader as leader_module
from features.support.containment_runs import (
    LogLines,
    check_never_twice,
    finish_jobs,
    run_jobs,
    run_with_lines,
)
from features.support.job_world import JobWorld
from features.support.platform_actions import (
    JOB,
    finish_all,
    job_ids,
    start_instances,
    submit,
    submit_all,
)
from features.support.platform_cluster import PlatformCluster, job


@then("the jobs are completed elsewhere under the same leader")
@then("the others are completed under the same leader")
@then("the run is stopped under the same leader")
def step_same_leader(context: Any) -> None:
    lines: LogLines = context.lines
    assert not lines.count("leadership: stepped down"), lines.lines
    assert lines.count("leadership: elected") == 1, lines.lines
    check_never_twice(context.fleet)


@when("handling the answers of a worker always fails")
def step_failing_worker(context: Any) -> None:
    right = worker_reports.apply_report

    def apply(
        scheduler: Any, worker: WorkerState, report: WorkerReport, *times: float
    ) -> bool:
        done = right(scheduler, worker, report, *times)
        if worker.facts.worker_id == "i-0" and (worker.runs or report.ends):
            raise KeyError("i-0")
        return done

    async def scenario(cluster: PlatformCluster) -> None:
        with patch("cicadatraild.scheduling.worker_links.apply_report", apply):
            await run_jobs(cluster)
            await asyncio.sleep(2.0)

    run_with_lines(context, scenario)


@then("the failure is logged at least once and at most 5 times")
def step_bounded_log(context: Any) -> None:
    count = context.lines.count("worker: answer can't be handled")
    assert 1 <= count <= 5, count


@when("applying the end of a run fails once after the run was released")
def step_half_applied(context: Any) -> None:
    failures: list[str] = []
    right = ejection.record_outcome

    def record(worker: WorkerState, *rest: Any) -> None:
        if not failures:
            failures.append(worker.facts.worker_id)
            raise KeyError(worker.facts.worker_id)
        right(worker, *rest)

    async def scenario(cluster: PlatformCluster) -> None:
        with patch.object(worker_reports, "record_outcome", record):
            await run_jobs(cluster)
        assert failures

    run_with_lines(context, scenario)


@then("the jobs are completed without a second start")
def step_no_second_start(context: Any) -> None:
    lines: LogLines = context.lines
    assert not lines.count("leadership: stepped down"), lines.lines
    check_never_twice(context.fleet)
    assert set(context.fleet.starts.values()) == {1}, context.fleet.starts


@when("sending a start fails unexpectedly after the worker got it")
def step_failing_start(context: Any) -> None:
    failures: list[str] = []
    right = WorkerClient.start

    async def start(client: WorkerClient, *order: Any) -> OrderAnswer:
        outcome = await right(client, *order)
        if not failures:
            failures.append(order[1])
            raise KeyError(order[1])
        return outcome

    async def scenario(cluster: PlatformCluster) -> None:
        with patch.object(WorkerClient, "start", start):
            await start_instances(cluster, 3)
            name = cluster.leader()
            assert name is not None
            ids = job_ids(3)
            await submit_all(cluster, name, ids, job(ms=1500))
            await finish_all(cluster, ids)
        assert failures

    run_with_lines(context, scenario)


@when("sending a stop fails unexpectedly and the job is cancelled")
def step_failing_stop(context: Any) -> None:
    failures: list[str] = []
    right = WorkerClient.stop

    async def stop(client: WorkerClient, *order: Any) -> OrderOutcome:
        if len(failures) < 2:
            failures.append(order[1])
            raise KeyError(order[1])
        return await right(client, *order)

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        assert await submit(cluster, leader, JOB, job(ms=60_000)) == 200
        await cluster.wait_until(lambda: len(cluster.fleet.starts) == 2)
        with patch.object(WorkerClient, "stop", stop):
            assert (await cluster.call(leader, "DELETE", f"/q/{JOB}"))[0] == 200
            await cluster.wait_until(lambda: not any(cluster.fleet.running.values()))
        assert failures

    run_with_lines(context, scenario)


@when("placing one job fails unexpectedly while others are submitted")
def step_failing_job(context: Any) -> None:
    right = worker_conditions.can_run

    def can_run(step: StepState, worker: WorkerState) -> bool:
        if step.job.job_id == JOB:
            raise KeyError(JOB)
        return right(step, worker)

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        with patch.object(worker_choice, "can_run", can_run):
            assert await submit(cluster, leader, JOB, job()) == 200
            await finish_jobs(cluster, leader)
            context.state = await cluster.state(leader, JOB)
        await cluster.wait_for_state(leader, JOB, "completed")

    run_with_lines(context, scenario)


@then("the job that can't be placed is pending, and runs once it can be placed")
def step_pending(context: Any) -> None:
    assert context.state == "pending", context.state


@when("the leader fails at once in every term for 4 seconds")
def step_failing_terms(context: Any) -> None:
    async def fail(leader: leader_module.Leader) -> None:
        raise KeyError(leader.epoch)

    async def scenario(cluster: PlatformCluster) -> None:
        with patch.object(leader_module.Leader, "run", fail):
            for number in (1, 2, 3):
                cluster.start(f"edge-{number}")
            await asyncio.sleep(4.0)

    run_with_lines(context, scenario)


@then("there were at most 4 terms, each with an epoch of its own")
def step_terms(context: Any) -> None:
    epochs = context.lines.elected_epochs
    assert 1 <= len(epochs) <= 4, epochs
    assert len(set(epochs)) == len(epochs), epochs


@when("a job of 20000 subtasks is submitted that is due 64 times at once")
def step_large_repeated(context: Any) -> None:
    context.world = JobWorld(1)
    step = Step(20_000, Resources(1000, 1))
    plan = JobDefinition("q", "team", "", (step,), 64, 1, 0)
    context.job = context.world.submit("a", plan)


@then("at most 100000 of its subtasks are open, and the next opens as one ends")
def step_open(context: Any) -> None:
    job_state, world = context.job, context.world
    assert set(job_state.occurrences) == {0, 1, 2, 3, 4}, len(job_state.occurrences)
    for steps in job_state.occurrences[0]:
        steps.mark_done()
    world.scheduler.check_completed(job_state, world.now_s)
    world.tick(0.1)
    assert set(job_state.occurrences) == {1, 2, 3, 4, 5}


@when("a long-running step of 500 subtasks is placed on 150 idle workers")
def step_large_lasting(context: Any) -> None:
    world = JobWorld(150)
    world.report_all()
    step = Step(500, Resources(1000, 1), lasting=True)
    world.submit("a", JobDefinition("q", "team", "", (step,)))
    began_s = time.process_time()
    assert len(world.dispatch()) == 500
    context.taken_s = time.process_time() - began_s


@then("placing them takes less processor time than the leadership lease")
def step_placed_soon(context: Any) -> None:
    assert context.taken_s < LEADERSHIP_LEASE_S, context.taken_s
