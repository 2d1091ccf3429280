"""Steps about explanations of where a job would go."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import tempfile
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from cicadatrail.main import OperatorApplication
from cicadatrail_core.jobs import trial_copy
from cicadatrail_core.jobs.explanation import AdmissionForecast, Explanation, explain
from cicadatrail_core.jobs.job_admission import Reject, Unjudged
from cicadatrail_core.jobs.models import JobDefinition, Machine, MachineState
from cicadatrail_core.models.resources import Resources
from cicadatraild.scheduling.admission import AdmissionControl
from cicadatraild.scheduling.messages import Refused
from features.support.explain_worlds import BUSY, STATES, Lines, dump
from features.support.job_world import JobWorld, configuration, definition
from features.support.platform_actions import (
    JOB,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import PlatformCluster, job

ACCEPTED = AdmissionForecast(True, "")
KINDS: dict[str, dict[str, Any]] = {
    "job": {},
    "gang": {"gang": True},
    "spread job": {"spread_limit_count": 1},
}


def ask(world: JobWorld, plan: JobDefinition) -> Explanation:
    return explain(world.scheduler, plan, ACCEPTED, True, world.now_s, world.now_ms)


@given("3 workers to explain, {state}")
def step_world(context: Any, state: str) -> None:
    context.world = JobWorld(3)
    context.world.report_all()
    STATES[state](context.world)


@when("a {kind} of {count:d} x {cores:d} is explained and then handed in")
def step_explain(context: Any, kind: str, count: int, cores: int) -> None:
    world = context.world
    plan = definition(count, cores, **KINDS[kind])
    handler = Lines()
    logger = logging.getLogger("cicadatrail")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    before = dump(world.scheduler, {})
    context.explanation = ask(world, plan)
    context.is_same = dump(world.scheduler, {}) == before
    logger.removeHandler(handler)
    logger.setLevel(level)
    context.lines = handler.records
    world.submit(JOB, plan)
    runs = [run for run in world.run_all() if run.subtask.name.job_id == JOB]
    context.started = [run.worker.facts.worker_id for run in runs]


@then("{count:d} subtasks start on the workers that were named")
def step_named(context: Any, count: int) -> None:
    (step,) = context.explanation.steps
    assert len(context.started) == step.start_count == count, (context.started, step)
    assert list(step.workers) == context.started, (context.started, step)


@then("{count:d} ready steps come before")
def step_ahead(context: Any, count: int) -> None:
    (step,) = context.explanation.steps
    assert step.ahead_count == count, step


@then('the rest waits because of "{reason}"')
@then('the rest waits because of ""')
def step_rest(context: Any, reason: str = "") -> None:
    (step,) = context.explanation.steps
    reasons = {entry.reason for entry in step.turned_down} | {step.reason}
    if not reason:
        assert step.reason == "" and step.start_count == step.count, step
        return
    assert reason in reasons, step
    is_limit = reason == "the team is at its limit"
    assert is_limit or step.able_count == 0, step


@then("asking has changed nothing and left no line in the log")
def step_unchanged(context: Any) -> None:
    assert context.is_same
    assert not context.lines, context.lines


@when("a job is explained to workers that each have one hindrance")
def step_hindrances(context: Any) -> None:
    world = context.world = JobWorld(13)
    world.report_all()
    worker = world.worker
    for state in world.scheduler.workers.values():
        state.facts = replace(state.facts, labels=("fast", "r1"))
    worker("w1").facts = replace(worker("w1").facts, zone="x")
    world.scheduler.evacuated_data_centres = frozenset({"x"})
    worker("w2").facts = replace(worker("w2").facts, draining=True)
    worker("w3").is_cordoned = True
    worker("w4").is_suspect = True
    worker("w5").is_reconciled = False
    worker("w6").lease_expires_s = 0.0
    worker("w7").ejected_until_s = inf
    worker("w8").facts = replace(worker("w8").facts, capacity=Resources(2000, 5))
    worker("w9").used = Resources(0, 63_995)
    worker("w10").facts = replace(worker("w10").facts, labels=("slow", "r1"))
    worker("w11").is_listed = False
    worker("w12").facts = replace(worker("w12").facts, pool="other")
    context.explanation = ask(world, definition(1, 3, required_label="fast"))


@then("each is turned down for it, and the job would start on the one that has none")
def step_each(context: Any) -> None:
    (step,) = context.explanation.steps
    assert {entry.reason: entry.workers for entry in step.turned_down} == {
        "data centre evacuated": ("w1",),
        "draining": ("w2",),
        "cordoned": ("w3",),
        "silent since a call": ("w4",),
        "not reported yet": ("w5",),
        "lease expired": ("w6",),
        "ejected after failed runs": ("w7",),
        "too small: cpu, memory": ("w8",),
        "no room: memory": ("w9",),
        "without the label fast": ("w10",),
        "no longer listed": ("w11",),
    }, step
    assert (step.considered_count, step.able_count) == (12, 1), step
    assert step.workers == ("w0",), step


@then("its start is expected in 2 s, and isn't foreseen with run times unknown")
def step_expected(context: Any) -> None:
    (step,) = context.explanation.steps
    assert step.expected is not None and 1.9 < step.expected.expected_s <= 2.0, step
    world = JobWorld(3)
    world.report_all()
    world.submit(BUSY, definition(3, 8))
    world.run_all()
    (step,) = ask(world, definition(1, 8)).steps
    assert step.expected is None and step.start_count == 0, step


@when("a job is explained to a scheduler with too much to copy")
def step_large(context: Any) -> None:
    world = JobWorld(3)
    with patch.object(trial_copy, "COPIED_LIMIT_COUNT", 2):
        context.explanation = ask(world, definition(1, 3))


@then("no step is foreseen, and the reason is told")
def step_told(context: Any) -> None:
    assert context.explanation.steps == ()
    assert "too much" in context.explanation.note, context.explanation


@when("a late job is foreseen by the admission and then handed in")
def step_admission(context: Any) -> None:
    world = context.world = JobWorld(1)
    world.report_all()
    queue = replace(world.scheduler.queues["q"], target_latency_ms=100)
    world.scheduler.configure(replace(configuration(), version=2, queues=(queue,)))
    for number in range(40):
        world.submit(f"{number:016x}", definition(4, 8))
    machines = {"m": Machine("m", "pool", MachineState.UP, "w0")}
    context.control = control = AdmissionControl(world.scheduler, lambda: machines)
    plan = definition(1, 8)
    before = dump(control, {})
    context.foreseen = control.foresee(JOB, plan, world.now_s)
    context.is_same = dump(control, {}) == before
    context.decided = control.consider(JOB, plan, world.now_s)


@then("both decisions are the same refusal, and the first one left no trace")
def step_same(context: Any) -> None:
    foreseen, decided = context.foreseen, context.decided
    assert isinstance(foreseen, Reject) and isinstance(decided, Refused), foreseen
    assert decided == Refused(foreseen.reason, foreseen.retry_after_s)
    assert context.is_same


@then("a queue that asks for none, or an unknown fleet, is told")
def step_blind(context: Any) -> None:
    world, plan = context.world, definition(1, 8)
    blind = AdmissionControl(world.scheduler, dict).foresee(JOB, plan, world.now_s)
    assert isinstance(blind, Unjudged) and "too little" in blind.reason, blind
    lasting = definition(1, 8, lasting=True)
    unasked = context.control.foresee(JOB, lasting, world.now_s)
    assert isinstance(unasked, Unjudged) and "asks" in unasked.reason, unasked


def run_command(
    addresses: str, body: bytes, queue: str, team: str, *more: str
) -> tuple[int, str]:
    output = BufferedOutput()
    with tempfile.NamedTemporaryFile() as file:
        file.write(body)
        file.flush()
        words = ["--queue", queue, "--team", team, *more]
        for address in addresses.split():
            words += ["--instance", address]
        words = ["cicadatrail", "job", "explain", file.name, *words]
        with patch.dict(os.environ, {"CICADATRAIL_TOKEN": "token"}):
            code = OperatorApplication(asyncio.run).run(
                ArgvInput(words), output, BufferedOutput()
            )
    shown = output.fetch()
    sample = os.environ.get("EXPLAIN_SAMPLE")
    if sample:
        with Path(sample).open("a") as out:
            out.write(shown + "\n")
    return code, shown


@when("operators explain jobs on the command line of a cluster")
def step_command(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster)
        names = (other_instance(cluster, leader), leader)
        addresses = " ".join(
            f"{cluster.host(name)}:{cluster.operator_port}" for name in names
        )

        async def show(
            body: bytes, queue: str = "q", team: str = "florists", *more: str
        ) -> tuple[int, str]:
            return await asyncio.to_thread(
                run_command, addresses, body, queue, team, *more
            )

        small = job(ms=3000, count=1)
        leading = cluster.instances[leader]._leader
        assert leading is not None
        workers = leading.scheduler.workers
        await cluster.wait_until(lambda: all(w.is_known for w in workers.values()))
        body = json.dumps(small).encode()
        context.shown = await show(body)
        context.json = await show(body, "q", "florists", "--json")
        context.large = await show(json.dumps(job(cpu=9000)).encode())
        context.unknown = await show(body, "nowhere", "nobody")
        context.malformed = await show(b'{"steps": [{"count": 0}]}')
        context.too_large = await show(b" " * 262_145)
        assert not leading.scheduler.jobs and not leading.admission.refused_counts
        assert await submit(cluster, leader, JOB, small) == 200
        running = cluster.fleet.running
        await cluster.wait_until(lambda: any(running.values()))
        context.running = [name for names in running.values() for name in names]

    run_on_cluster(context, scenario)


@then("the job that is handed in runs where the command said")
def step_runs(context: Any) -> None:
    code, text = context.shown
    assert code == 0 and "admission: accepted" in text, text
    document = json.loads(context.json[1])
    (step,) = document["steps"]
    (worker,) = step["workers"]
    assert f"starts now: 1 of 1, on {worker}" in text, text
    assert context.running == [worker], context.running


@then("what is impossible, unknown, malformed or too large is told plainly")
def step_wrong(context: Any) -> None:
    code, text = context.large
    assert code == 0 and "no worker of the pool is large enough" in text, text
    assert "too small: cpu" in text and "not foreseen" in text, text
    code, text = context.unknown
    assert code == 2 and "queue: 'nowhere' is none of: q" in text, text
    assert "team: 'nobody' is none of: florists" in text, text
    code, text = context.malformed
    assert code == 2 and "steps[0]: count must be at least 1" in text, text
    code, text = context.too_large
    assert code == 2 and "body: is too large" in text, text
