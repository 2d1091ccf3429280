"""Steps about inputs that must not take down leader after leader."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from typing import Any
from unittest.mock import patch

import msgpack
from behave import then, when

from cicadatrail_core.jobs import dispatch as dispatch_module
from cicadatrail_core.jobs import ejection, worker_conditions, worker_reports
from cicadatrail_core.jobs.models import (
    JobDefinition,
    Step,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.records import encode_definition
from cicadatrail_core.jobs.state import StepState, WorkerState
from cicadatrail_core.leadership.acting_right import LEASE_S as LEADERSHIP_LEASE_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.platform.advice import AdviceClient
from cicadatraild.platform.job_submissions import decode_job
from cicadatraild.platform.machines import MachineClient, MachineOutcome
from cicadatraild.platform.workers import ListFailure, OrderOutcome, WorkerClient
from cicadatraild.scheduling import leader as leader_module
from features.standins.platform_fleet import Fleet, PlatformWorker
from features.support.faulty_proxy import HOST
from features.support.job_world import JobWorld
from features.support.platform_actions import (
    JOB,
    finish_all,
    job_ids,
    run_on_cluster,
    start_instances,
    submit,
    submit_all,
)
from features.support.platform_cluster import PlatformCluster, job

DIGITS = "9" * 5000
FAR_OCCURRENCE = 10**29
DEEP = b"[" * 100_000

FAR_RUN = [f"{JOB}.{FAR_OCCURRENCE}.0.0", 5000, "c", 50]
FAR_END = [10**6, f"{JOB}.{FAR_OCCURRENCE}.0.0", 5000, "failed", "c"]
POLL_S = 1.3

# Status and body of the polls of one worker, one after the other.
ODD_POLLS: dict[str, tuple[tuple[int, dict[str, Any]], ...]] = {
    "a list as the reason of a refusal": ((409, {"reason": ["fence"]}),),
    "a subtask name of 5000 digits": (
        (200, {"running": [[f"{JOB}.0.0.{DIGITS}", 1, "", 50]]}),
    ),
    "an occurrence of 30 digits": (
        (200, {"running": [FAR_RUN]}),
        (200, {"running": [], "finished": [FAR_END]}),
    ),
}
ODD_REFUSALS = (b'{"reason": ["room"]}', b'{"reason": {}}', b"[]", DEEP)
ODD_ADVICE = (
    b'{"allowed": [], "valid-ms": Infinity}',
    b'{"allowed": [], "valid-ms": ' + b"9" * 400 + b"}",
    b'{"allowed": [], "valid-ms": null}',
    b'{"allowed": [5], "valid-ms": 5}',
    b'{"allowed": {"a": "b"}, "valid-ms": 5}',
    b'{"allowed": [["a"]], "valid-ms": 5}',
    b'"allowed"',
    DEEP,
)
ODD_MACHINES = (
    b'{"machines": [], "next-token": "\\ud800"}',
    b'{"machines": [], "next-token": true}',
    DEEP,
)


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.elected_epochs: list[int] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())
        if record.getMessage() == "leadership: elected.":
            self.elected_epochs.append(record.__dict__["epoch"])

    def count(self, text: str) -> int:
        return sum(text in line for line in self.lines)


def _run(context: Any, scenario: Callable[[PlatformCluster], Awaitable[None]]) -> None:
    """Run a scenario on a cluster; keep the log lines until it is over."""
    lines = _Lines()
    context.lines = lines
    logger = logging.getLogger("cicadatrail")
    level = logger.level
    logger.setLevel(logging.INFO)

    async def run(cluster: PlatformCluster) -> None:
        logger.addHandler(lines)
        try:
            await scenario(cluster)
        finally:
            logger.removeHandler(lines)
            logger.setLevel(level)

    run_on_cluster(context, run)


@contextmanager
def _spoil(
    worker: PlatformWorker, call: str, answer: tuple[int, dict[str, Any]]
) -> Iterator[None]:
    """Make a worker answer one of its calls oddly, at least once."""
    right = worker._answer
    given: list[str] = []

    def answer_oddly(made: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if made != call:
            return right(made, body)
        given.append(made)
        return answer[0], dict(answer[1])

    with patch.object(worker, "_answer", answer_oddly):
        yield
    assert given, "the worker was not asked"


async def _run_jobs(cluster: PlatformCluster) -> None:
    await start_instances(cluster, 3)
    name = cluster.leader()
    assert name is not None
    ids = job_ids(4)
    await submit_all(cluster, name, ids, job(ms=100))
    await finish_all(cluster, ids)


@when("a worker answers its polls with {answer} while jobs run")
def step_odd_polls(context: Any, answer: str) -> None:
    odd = ODD_POLLS[answer]

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        # The odd rows are about this job, which stays.
        assert await submit(cluster, leader, JOB, job(count=1, cpu=9000)) == 200
        for status, report in odd:
            with _spoil(cluster.workers[0], "hold", (status, report)):
                await asyncio.sleep(POLL_S)
                ids = job_ids(4)
                await submit_all(cluster, leader, ids, job(ms=100))
                await finish_all(cluster, ids)

    _run(context, scenario)


@then("the jobs are completed elsewhere under the same leader")
@then("the others are completed under the same leader")
@then("the run is stopped under the same leader")
def step_same_leader(context: Any) -> None:
    lines: _Lines = context.lines
    assert not lines.count("leadership: stepped down"), lines.lines
    assert lines.count("leadership: elected") == 1, lines.lines
    _check_never_twice(context.fleet)


def _check_never_twice(fleet: Fleet) -> None:
    assert not fleet.violations, fleet.violations


@when("a worker reports a run of occurrence 7 of a job that runs once")
def step_odd_occurrence(context: Any) -> None:
    name = f"{JOB}.7.0.0"
    report = {"running": [[name, 1, "", 50]], "finished": []}
    ended = {"running": [], "finished": [[10**6, name, 1, "done", ""]]}

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        assert await submit(cluster, leader, JOB, job(ms=60_000, count=1)) == 200
        await cluster.wait_for_state(leader, JOB, "running")
        idle = next(worker for worker in cluster.workers if not worker.runs)
        for odd in (report, ended):
            with _spoil(idle, "hold", (200, odd)):
                await asyncio.sleep(POLL_S)
        context.state = await cluster.state(leader, JOB)

    _run(context, scenario)


@then("nothing of occurrence 7 is started and the job is not shown as completed")
def step_no_occurrence(context: Any) -> None:
    assert set(context.fleet.starts) == {f"{JOB}.0.0.0"}, context.fleet.starts
    assert context.state == "running", context.state


@when("a worker refuses each {order} with a list as reason")
def step_odd_refusal(context: Any, order: str) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        if order == "stop":
            leader = await start_instances(cluster, 3)
            assert await submit(cluster, leader, JOB, job(ms=9000, count=3)) == 200
            await cluster.wait_for_state(leader, JOB, "running")
            refused = (409, {"reason": ["fence"]})
            with _spoil(cluster.workers[0], "run-stop", refused):
                assert (await cluster.call(leader, "DELETE", f"/q/{JOB}"))[0] == 200
                await asyncio.sleep(0.5)
            await _finish_jobs(cluster, leader)
            return
        with _spoil(cluster.workers[0], "run-start", (409, {"reason": ["room"]})):
            await _run_jobs(cluster)

    _run(context, scenario)


async def _finish_jobs(cluster: PlatformCluster, leader: str) -> None:
    ids = job_ids(4)
    await submit_all(cluster, leader, ids, job(ms=100))
    await finish_all(cluster, ids)


@when("the list has workers whose addresses no connection can be opened to")
def step_odd_addresses(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        entry = cluster.workers[0].entry()
        for number, host in enumerate(("a..b", "a" * 70, "*" * 300)):
            odd = entry | {"address": f"{host}:80", "machine": f"m-{number}"}
            cluster.store.put_json("keyed.servers", f"odd-{number}", odd)
        await _run_jobs(cluster)

    _run(context, scenario)


@when("the {service} gives each of its odd answers")
def step_odd_answers(context: Any, service: str) -> None:
    answers: list[tuple[int, bytes]] = []
    context.outcomes = []

    async def respond(exchange: HttpExchange) -> None:
        await exchange.read_body()
        await exchange.respond(*answers[0])

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("service", respond, HttpLimits())
            port = await server.listen(stack, HOST, 0)
            call = await _open_client(stack, service, port)
            statuses = [(409, body) for body in ODD_REFUSALS]
            if service == "machine service":
                statuses += [(200, body) for body in ODD_MACHINES]
            elif service == "advice service":
                statuses = [(200, body) for body in ODD_ADVICE]
            for answer in statuses:
                answers[:] = [answer]
                context.outcomes += await call()

    asyncio.run(scenario())


async def _open_client(
    stack: AsyncExitStack, service: str, port: int
) -> Callable[[], Awaitable[list[Any]]]:
    address = Address(HOST, port)
    match service:
        case "worker":
            client = WorkerClient(1, lambda: True)
            await client.pool.open(stack)
            facts = WorkerFacts("w", "pool", HOST, port, "z", Resources(1, 1))

            async def call_worker() -> list[Any]:
                return [
                    await client.stop(facts, "a.0.0.0", 1),
                    await client.read_lists(facts, 0, None, 0),
                ]

            return call_worker
        case "machine service":
            machines = MachineClient(address, "edge-1", 1)
            await machines.pool.open(stack)

            async def call_machines() -> list[Any]:
                # A page with an odd token is asked for by listing.
                return [
                    await machines.list_machines(),
                    await machines.maintain("m", 1, lambda: True),
                ]

            return call_machines
    advice = AdviceClient(address)
    await advice.pool.open(stack)

    async def call_advice() -> list[Any]:
        return [await advice.ask("a.0.0", ["w"])]

    return call_advice


@then("each of its calls returns an outcome that is not a success")
def step_outcomes(context: Any) -> None:
    allowed = (
        None,
        OrderOutcome.UNKNOWN,
        ListFailure(OrderOutcome.UNKNOWN),
        MachineOutcome.REFUSED,
        # The order's answer to a page of the list has status 200.
        MachineOutcome.DONE,
    )
    assert context.outcomes
    assert all(outcome in allowed for outcome in context.outcomes), context.outcomes


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
            await _run_jobs(cluster)
            await asyncio.sleep(2.0)

    _run(context, scenario)


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
            await _run_jobs(cluster)
        assert failures

    _run(context, scenario)


@then("the jobs are completed without a second start")
def step_no_second_start(context: Any) -> None:
    lines: _Lines = context.lines
    assert not lines.count("leadership: stepped down"), lines.lines
    _check_never_twice(context.fleet)
    assert set(context.fleet.starts.values()) == {1}, context.fleet.starts


@when("sending a start fails unexpectedly after the worker got it")
def step_failing_start(context: Any) -> None:
    failures: list[str] = []
    right = WorkerClient.start

    async def start(client: WorkerClient, *order: Any) -> OrderOutcome:
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

    _run(context, scenario)


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

    _run(context, scenario)


@when("placing one job fails unexpectedly while others are submitted")
def step_failing_job(context: Any) -> None:
    right = worker_conditions.can_run

    def can_run(step: StepState, worker: WorkerState) -> bool:
        if step.job.job_id == JOB:
            raise KeyError(JOB)
        return right(step, worker)

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        with patch.object(dispatch_module, "can_run", can_run):
            assert await submit(cluster, leader, JOB, job()) == 200
            await _finish_jobs(cluster, leader)
            context.state = await cluster.state(leader, JOB)
        await cluster.wait_for_state(leader, JOB, "completed")

    _run(context, scenario)


@then("the job that can't be placed is pending, and runs once it can be placed")
def step_pending(context: Any) -> None:
    assert context.state == "pending", context.state


UNREADABLE = {
    "list of workers": ("fleet", b"\xc1"),
    "list of orders": ("orders", msgpack.packb(5)),
    "wave": ("w/3", msgpack.packb([["m-1", 5, None], False])),
}


@when("an instance takes over with a {record} that can't be read")
def step_unreadable(context: Any, record: str) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        key, value = UNREADABLE[record]
        cluster.store.put("keyed.jobs", key, value)
        cluster.store.put_json(
            "keyed.op", "wave/3", {"wave": 3, "machines": ["m-i-0"], "cap": 1}
        )
        await _run_jobs(cluster)
        if record == "wave":
            machines = cluster.machines
            assert machines is not None
            await cluster.wait_until(lambda: "m-i-0" in machines.maintained)
            await asyncio.sleep(1.0)

    _run(context, scenario)


@then("it leads, and a new job is completed")
def step_leads(context: Any) -> None:
    assert not context.lines.count("leadership: stepped down"), context.lines.lines
    _check_never_twice(context.fleet)


def _definition() -> bytes:
    decoded = decode_job(json.dumps(job()).encode(), "q", "florists", 1)
    return encode_definition(decoded.unwrap())


def _stored(step: dict[str, Any], **fields: Any) -> bytes:
    plan = {"queue": "q", "team": "florists", "spec": "ms=50"} | fields
    packed: bytes = msgpack.packb([1, plan, [{"count": 2, "need": [1, 1, 0]} | step]])
    return packed


def _progress(step: list[Any]) -> bytes:
    packed: bytes = msgpack.packb([1, "pending", [[0, [step]]], []])
    return packed


@when("an instance takes over with a stored job with {fault}")
def step_bad_job(context: Any, fault: str) -> None:
    good = _definition()
    records = {
        "a definition of odd bytes": (b"\xc1", None),
        "a need that is text": (_stored({"need": ["1000", 1, 0]}), None),
        "a spec that is bytes": (_stored({}, spec=b"ms=50"), None),
        "a count over the limit": (_stored({"count": 100_001}), None),
        "progress without its fields": (good, msgpack.packb([1])),
        "progress with too few bits": (good, _progress([b"", {}, {}, 0])),
        "progress with odd checkpoints": (good, _progress([b"\0", {}, [], 0])),
    }
    definition, progress = records[fault]

    async def scenario(cluster: PlatformCluster) -> None:
        cluster.store.put("keyed.jobs", f"j/{JOB}", definition)
        if progress is not None:
            cluster.store.put("keyed.jobs", f"p/{JOB}", progress)
        await _run_jobs(cluster)
        name = cluster.leader()
        assert name is not None
        context.state, _ = await cluster.call(name, "GET", f"/q/{JOB}")
        context.cancelled, _ = await cluster.call(name, "DELETE", f"/q/{JOB}")
        context.again = await submit(cluster, name, JOB, job())
        await asyncio.sleep(0.3)
        context.kept = cluster.store.topic("keyed.jobs").newest[f"j/{JOB}"][1]
        context.definition = definition

    _run(context, scenario)


@then("the stored job is answered with 503, never 410, and is not started anew")
def step_not_denied(context: Any) -> None:
    assert context.state == 503, context.state
    assert context.cancelled == 503, context.cancelled
    # It was accepted before, so a repeat of its submission is answered so.
    assert context.again == 200, context.again
    assert not [name for name in context.fleet.starts if name.startswith(JOB)]
    assert context.kept == context.definition


@when("an instance takes over with an unreadable list of workers while a run goes on")
def step_unreadable_fleet(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 1)
        assert await submit(cluster, leader, JOB, job(ms=2500, count=1)) == 200
        await cluster.wait_until(lambda: cluster.fleet.starts)
        [worker] = [w for w in cluster.workers if w.runs]
        await cluster.kill(leader)
        # The worker runs on, but the list lacks it for a while.
        with patch.object(worker, "is_on_standby", False):
            worker.state = "gone"
            cluster.store.put("keyed.servers", worker.worker_id, None)
            cluster.store.put("keyed.jobs", "fleet", b"\xc1")
            cluster.start("edge-2")
            await cluster.wait_until(cluster.leader)
            await asyncio.sleep(1.0)
            worker.state = "ready"
            await finish_all(cluster, [JOB])

    _run(context, scenario)


@when("the leader fails at once in every term for 4 seconds")
def step_failing_terms(context: Any) -> None:
    async def fail(leader: leader_module.Leader) -> None:
        raise KeyError(leader.epoch)

    async def scenario(cluster: PlatformCluster) -> None:
        with patch.object(leader_module.Leader, "run", fail):
            for number in (1, 2, 3):
                cluster.start(f"edge-{number}")
            await asyncio.sleep(4.0)

    _run(context, scenario)


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
