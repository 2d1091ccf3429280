"""Steps about malformed documents and messages, and about expired permissions."""

from __future__ import annotations

import asyncio
import json
import logging
from contextlib import AsyncExitStack
from typing import Any

from behave import then, when
from returns.result import Failure

from cicadatraild.network.client_exchange import Address, ClientFault
from cicadatraild.network.frames import FrameStream
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.platform.configuration import decode_configuration
from cicadatraild.platform.job_submissions import decode_job
from cicadatraild.platform.machine_lists import decode_machines
from cicadatraild.platform.waves import decode_wave
from cicadatraild.platform.worker_entries import decode_worker
from cicadatraild.platform.worker_reports import decode_report
from cicadatraild.scheduling.messages import (
    AskHolder,
    AskPhase,
    HolderIs,
    Reply,
    Request,
    Unsettled,
)
from cicadatraild.scheduling.peers import FRAME_LIMIT_BYTES, PeerClient, PeerServer
from features.support.faulty_proxy import HOST
from features.support.platform_cluster import configuration, job

WORKER = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem-mb": 64, "gpu": 1},
    "labels": ["a", "r1"],
}
REPORT = {"clock-ms": 5, "running": [["a.0.0.1", 1, "", 50, 7]], "finished": []}
MACHINE = {"machine": "m", "pool": "p", "state": "up", "labels": ["a"], "id": "w"}
LONE_SURROGATE = "\\ud800"
ROUTE = configuration()["routes"][0]
TEAM = configuration()["tenants"][0]

BAD_CONFIGURATIONS: tuple[dict[str, Any], ...] = (
    {"routes": 5},
    {"routes": {"q": {}}},
    {"services": True},
    {"tenants": "all"},
    {"routes": [ROUTE | {"stretch": "wide"}]},
    {"routes": [ROUTE | {"stretch": float("nan")}]},
    {"routes": [ROUTE | {"stretch": None}]},
    {"tenants": [TEAM | {"api-keys": 7}]},
    {"tenants": [TEAM | {"cap": {"cpu": -1}}]},
    {"version": 10**30},
)
BAD_REPORTS: tuple[dict[str, Any], ...] = (
    {"running": 3},
    {"running": [[5, 1, "", 50]]},
    {"running": [["a.0.0.1", "1", "", 50]]},
    {"running": [["a.0.0.1", 1, 9, 50]]},
    {"running": [["a.0.0.1", 1, "", float("inf")]]},
    {"running": [["a.0.0.\u00b2", 1, "", 50]]},
    {"finished": [["1", "a.0.0.1", 1, "done", ""]]},
    {"finished": [[1, None, 1, "done", ""]]},
    {"finished": [[1, "a.0.0.1", 1, ["done"], ""]]},
)
BAD_JOBS: tuple[dict[str, Any], ...] = (
    {"interval-ms": -1},
    {"repeat-count": 1, "interval-ms": -1},
    {"spec": LONE_SURROGATE},
    {"first-run-ms": 10**30},
    {"steps": [{"count": 1, "gpu": -1}]},
    {"steps": [{"count": 1, "est-duration-ms": -1}]},
    {"steps": [{"count": 1, "anti-affinity": -1}]},
    {"steps": [{"count": 1}, {"count": 1, "after": [False]}]},
)


def _encode(table: dict[str, Any]) -> bytes:
    # A lone surrogate can be written in JSON, but not as UTF-8.
    return json.dumps(table).replace("\\\\ud800", "\\ud800").encode()


@then("configurations, workers, waves, machines, reports and jobs with it are rejected")
def step_rejected(context: Any) -> None:
    for change in BAD_CONFIGURATIONS:
        data = _encode(configuration() | change)
        assert decode_configuration(data) is None, change
    for change in ({"labels": 5}, {"capacity": {"cpu": -1}}, {"zone": LONE_SURROGATE}):
        assert decode_worker("w", _encode(WORKER | change)) is None, change
    for change in ({"machines": 5}, {"duration-s": float("inf")}, {"cap": "two"}):
        assert decode_wave(_encode({"wave": 1} | change)) is None, change
    for row in (MACHINE | {"labels": 5}, MACHINE | {"labels": [5]}, 5):
        assert decode_machines(_encode({"machines": [row]})) is None, row
    assert decode_machines(b'{"machines": 5}') is None
    assert decode_machines(b'{"machines": [], "next-token": {}}') is None
    for change in BAD_REPORTS:
        assert decode_report(_encode(REPORT | change)) is None, change
    for change in BAD_JOBS:
        decoded = decode_job(_encode(job() | change), "q", "t", 0)
        assert isinstance(decoded, Failure), change
    # The documents themselves are valid.
    assert decode_configuration(_encode(configuration())) is not None
    assert decode_worker("w", _encode(WORKER)) is not None
    assert decode_machines(_encode({"machines": [MACHINE]})) is not None
    assert decode_report(_encode(REPORT)) is not None


@when("a permission expires while a connection is opened")
def step_permission(context: Any) -> None:
    async def scenario() -> None:
        received = bytearray()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.extend(await reader.read())
            writer.close()

        pool = ConnectionPool(0.5)
        checks: list[int] = []

        def may_send() -> bool:
            checks.append(1)
            return False

        async with AsyncExitStack() as stack:
            server = await asyncio.start_server(serve, HOST, 0)
            stack.callback(server.close)
            await pool.open(stack)
            address = Address(HOST, server.sockets[0].getsockname()[1])
            context.result = await pool.fetch(
                address, "POST", "/", body=b"order", timeout_s=1.0, may_send=may_send
            )
            await asyncio.sleep(0.05)
        context.received = bytes(received)
        context.check_count = len(checks)

    asyncio.run(scenario())


@then("the server gets nothing and the outcome is not-sent")
def step_nothing_sent(context: Any) -> None:
    assert context.check_count == 1
    assert context.received == b"", context.received
    assert context.result.failure().fault is ClientFault.NOT_SENT


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


@when("a peer sends an unknown message, and then a request that fails")
def step_bad_messages(context: Any) -> None:
    async def answer(request: Request) -> Reply:
        if isinstance(request, AskPhase):
            raise KeyError(request.job_id)
        return HolderIs(3, "10.0.0.1")

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = PeerServer(answer, lambda host: None)
            port = await server.listen(stack, HOST, 0)
            reader, writer = await asyncio.open_connection(HOST, port)
            stream = FrameStream(reader, writer, FRAME_LIMIT_BYTES)
            stream.write([1, ["Nonsense", 5]])
            await stream.drain()
            await asyncio.sleep(0.05)
            stream.abort()
            client = PeerClient(port)
            await client.open(stack)
            context.failed_reply = await client.call(HOST, AskPhase("a"), 1.0)
            context.reply = await client.call(HOST, AskHolder(), 1.0)

    lines = _Lines()
    logger = logging.getLogger("cicadatrail.peer")
    logger.addHandler(lines)
    try:
        asyncio.run(scenario())
    finally:
        logger.removeHandler(lines)
    context.lines = lines.lines


@then("each leaves a log line, and a valid request is answered after them")
def step_lines(context: Any) -> None:
    assert "peer: ignoring an invalid message." in context.lines, context.lines
    assert "peer: request failed." in context.lines, context.lines
    assert isinstance(context.failed_reply, Unsettled), context.failed_reply
    assert context.reply == HolderIs(3, "10.0.0.1"), context.reply
