"""Steps of clients_over_limits.feature: crowds against a process on a small machine."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.support.client_crowd import (
    DESCRIPTORS_COUNT,
    MEMORY_MIB,
    SmallMachine,
    announced,
    chunked,
    head,
    padded_job,
    pass_on_large_bodies,
    read_peak_bytes,
    run_crowd,
    send_long_heads,
    serve_ordinary,
    small_machine,
    status_of,
    submit_many_subtasks,
)
from features.support.cluster import Cluster, loopback_host
from features.support.demo import worker_names
from features.support.platform_cluster import configuration

BODY_LIMIT_BYTES = 100_000
HEADER_LIMIT_BYTES = 4096


def _use(context: Any) -> SmallMachine:
    machine: SmallMachine = context.machine
    return machine


@given("an instance on a small machine")
def step_start(context: Any) -> None:
    step_start_with(context, MEMORY_MIB)


@given("an instance on a machine of {memory_mib:d} MB")
def step_start_with(context: Any, memory_mib: int) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    runner = context.stack.enter_context(asyncio.Runner())
    opened = small_machine(Path(folder), memory_mib)
    context.runner = runner
    context.machine = runner.run(opened.__aenter__())
    context.stack.callback(lambda: runner.run(opened.__aexit__(None, None, None)))


@when("a crowd of clients would {behaviour}")
def step_crowd(context: Any, behaviour: str) -> None:
    context.runner.run(run_crowd(_use(context), behaviour))


@when("other instances pass on large bodies during its takeover")
def step_pass_on(context: Any) -> None:
    context.runner.run(pass_on_large_bodies(_use(context)))


@when("clients submit jobs of {count:d} subtasks each, and cancel them")
def step_subtasks(context: Any, count: int) -> None:
    context.runner.run(submit_many_subtasks(_use(context), count))


@then("each process still runs")
def step_runs(context: Any) -> None:
    machine = _use(context)
    machine.look()
    assert not machine.has_ended, "the process has ended"


@then("its peak memory stayed within the machine's")
def step_memory(context: Any) -> None:
    machine = _use(context)
    peak_mib = machine.peak_bytes / 2**20
    assert peak_mib < machine.memory_mib, f"{peak_mib:.0f} of {machine.memory_mib} MiB"


@then("its open descriptors stayed within the machine's")
def step_descriptors(context: Any) -> None:
    count = _use(context).descriptors_count
    assert count < DESCRIPTORS_COUNT, f"{count} of {DESCRIPTORS_COUNT}"


@then("an ordinary submission is accepted and its job completed")
def step_ordinary(context: Any) -> None:
    machine = _use(context)
    context.runner.run(serve_ordinary(machine, 0xB0))
    machine.look()
    assert not machine.has_ended, "the process has ended"


@when("bodies and heads of the configured limits are sent in calm, and longer ones")
def step_exact(context: Any) -> None:
    _configure(context, 2, BODY_LIMIT_BYTES)
    context.runner.run(_wait_for_status(context, BODY_LIMIT_BYTES + 1, 413))
    context.statuses = context.runner.run(_exact_statuses(_use(context)))


async def _exact_statuses(machine: SmallMachine) -> dict[str, int]:
    limit = BODY_LIMIT_BYTES
    body, longer = padded_job(limit), padded_job(limit + 1)
    short = padded_job(200)
    length = f"Content-Length: {len(short)}"
    filler = "X-Filler: " + "x" * HEADER_LIMIT_BYTES
    space = len(head(5, length, filler)) - HEADER_LIMIT_BYTES
    requests = {
        "announced": announced(1, limit) + body,
        "announced, longer": announced(2, limit + 1) + longer,
        "in chunks": chunked(3) + b"%x\r\n%b\r\n0\r\n\r\n" % (limit, body),
        "in chunks, longer": chunked(4) + b"%x\r\n%b\r\n" % (limit + 1, longer),
        "head": head(5, length, filler[:-space]) + short,
        "head, longer": head(6, length, filler + "x" * 1024) + short,
    }
    return {kind: await status_of(machine, sent) for kind, sent in requests.items()}


@then("the longer ones get 413 and 431, and the others 200")
def step_exact_statuses(context: Any) -> None:
    expected = {
        "announced": 200,
        "announced, longer": 413,
        "in chunks": 200,
        "in chunks, longer": 413,
        "head": 200,
        "head, longer": 431,
    }
    assert context.statuses == expected, context.statuses


@then("a newer configuration's limits take effect")
def step_newer(context: Any) -> None:
    _configure(context, 3, BODY_LIMIT_BYTES * 2)
    context.runner.run(_wait_for_status(context, BODY_LIMIT_BYTES + 1, 200))


def _configure(context: Any, version: int, body_limit_bytes: int) -> None:
    limits = {
        "max-body-bytes": body_limit_bytes,
        "max-header-bytes": HEADER_LIMIT_BYTES,
    }
    store = _use(context).cluster.store
    store.put_json("keyed.op", "config", configuration(version, limits=limits))


async def _wait_for_status(context: Any, length_bytes: int, status: int) -> None:
    machine = _use(context)
    request = announced(9, length_bytes) + padded_job(length_bytes)
    async with asyncio.timeout(10):
        while await status_of(machine, request) != status:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


@given("the product's daemon as a process")
def step_daemon(context: Any) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    cluster = Cluster(Path(folder), context.stack, worker_names())
    cluster.start_platform()
    context.instance = cluster.start_instance("entry-a", "a", loopback_host(2))
    cluster.wait_until_served()
    context.start_bytes = read_peak_bytes(context.instance.process.pid)


@when("{count:d} connections each send a head of {length:d} bytes that has no end")
def step_long_heads(context: Any, count: int, length: int) -> None:
    context.connection_count = count
    asyncio.run(send_long_heads(context.instance.caller, count, length))


@then("the daemon still runs")
def step_daemon_runs(context: Any) -> None:
    assert context.instance.process.poll() is None, "the daemon has ended"


@then("its peak memory grew by less than {limit:d} KiB for each connection")
def step_growth(context: Any, limit: int) -> None:
    grown_bytes = read_peak_bytes(context.instance.process.pid) - context.start_bytes
    grown_kib = grown_bytes / 1024 / context.connection_count
    assert grown_kib < limit, f"{grown_kib:.0f} KiB for each connection"
