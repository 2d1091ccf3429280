"""Steps about odd answers of workers and services that must not end a leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

from behave import then, when

from cicadatrail_core.jobs.models import WorkerFacts
from cicadatrail_core.models.resources import Resources
from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.platform.advice import AdviceClient
from cicadatraild.platform.machines import MachineClient, MachineOutcome
from cicadatraild.platform.workers import ListFailure, OrderOutcome, WorkerClient
from features.support.containment_runs import (
    finish_jobs,
    run_jobs,
    run_with_lines,
    spoil_answer,
)
from features.support.faulty_proxy import HOST
from features.support.platform_actions import (
    JOB,
    finish_all,
    job_ids,
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


@when("a worker answers its polls with {answer} while jobs run")
def step_odd_polls(context: Any, answer: str) -> None:
    odd = ODD_POLLS[answer]

    async def scenario(cluster: PlatformCluster) -> None:
        leader = await start_instances(cluster, 3)
        # The odd rows are about this job, which stays.
        assert await submit(cluster, leader, JOB, job(count=1, cpu=9000)) == 200
        for status, report in odd:
            with spoil_answer(cluster.workers[0], "hold", (status, report)):
                await asyncio.sleep(POLL_S)
                ids = job_ids(4)
                await submit_all(cluster, leader, ids, job(ms=100))
                await finish_all(cluster, ids)

    run_with_lines(context, scenario)


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
            with spoil_answer(idle, "hold", (200, odd)):
                await asyncio.sleep(POLL_S)
        context.state = await cluster.state(leader, JOB)

    run_with_lines(context, scenario)


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
            with spoil_answer(cluster.workers[0], "run-stop", refused):
                assert (await cluster.call(leader, "DELETE", f"/q/{JOB}"))[0] == 200
                await asyncio.sleep(0.5)
            await finish_jobs(cluster, leader)
            return
        with spoil_answer(cluster.workers[0], "run-start", (409, {"reason": ["room"]})):
            await run_jobs(cluster)

    run_with_lines(context, scenario)


@when("the list has workers whose addresses no connection can be opened to")
def step_odd_addresses(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        entry = cluster.workers[0].entry()
        for number, host in enumerate(("a..b", "a" * 70, "*" * 300)):
            odd = entry | {"address": f"{host}:80", "machine": f"m-{number}"}
            cluster.store.put_json("keyed.servers", f"odd-{number}", odd)
        await run_jobs(cluster)

    run_with_lines(context, scenario)


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
