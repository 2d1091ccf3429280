"""Steps about the platform adapter's input checks and about log output."""

from __future__ import annotations

import json
import logging
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import strategies as st
from returns.result import Failure

from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.callers import Answer, Call, CallKind, check_call
from cicadatraild.platform.configuration import decode_configuration
from cicadatraild.platform.job_submissions import decode_job
from cicadatraild.platform.machine_lists import decode_machines
from cicadatraild.platform.settings import parse_platform_settings
from cicadatraild.platform.waves import decode_wave
from cicadatraild.platform.worker_entries import decode_worker
from cicadatraild.platform.worker_reports import decode_report
from cicadatraild.utils.output import LINES_LIMIT_PER_S, OutputHandler
from features.support.platform_cluster import (
    KEY,
    QUEUE_HOST,
    PlatformCluster,
    configuration,
    job,
    run_scenario,
    settings_table,
)

ROOT = Path(__file__).resolve().parents[2]
SOURCES = ":".join(
    str(ROOT / "packages" / name / "src")
    for name in ("cicadatrail-core", "cicadatrail-node")
)


@when("settings lack a store, have a bad address and a string for a number")
def step_bad_settings(context: Any) -> None:
    table = settings_table(platform={}, cloud={"address": "nowhere"})
    table["bounds"]["grace-s"] = "six"
    context.result = parse_platform_settings(table, "local.toml")
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write('node = "n"\n')
        file.flush()
        context.check = subprocess.run(
            [sys.executable, "-m", "cicadatraild.main", "--platform", "--check"],
            env={
                **os.environ,
                "PYTHONPATH": SOURCES,
                "CICADATRAIL_NODE_FILE": file.name,
            },
            capture_output=True,
            text=True,
        )


@then("the check reports all three with their place and starts nothing")
def step_findings(context: Any) -> None:
    assert isinstance(context.result, Failure)
    places = {finding.place for finding in context.result.failure()}
    assert places == {
        "local.toml: platform.address",
        "local.toml: cloud.address",
        "local.toml: bounds.grace-s",
    }, places
    assert context.check.returncode == 2, context.check
    assert "listen.front: is missing" in context.check.stderr
    assert "bounds.hold-max-ms: is missing" in context.check.stderr


_WORDS = st.sampled_from(
    ["service", "address", "state", "zone", "capacity", "born", "steps", "count"]
    + ["routes", "tenants", "running", "finished", "clock-ms", "version", "wave"]
    + ["machines", "cpu", "spec", "name", "labels", "after", "api-keys", "cap"]
)
_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "10.0.0.1:80", "a.0.0.1", "done"]),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(_WORDS, inner),
    max_leaves=20,
)


@then("random entries, configurations, waves and lists decode or are rejected")
def step_random(context: Any) -> None:
    @any_of(st.binary(max_size=60) | _VALUES.map(lambda v: json.dumps(v).encode()))
    def harmless(data: bytes) -> None:
        decode_worker("i-1", data)
        decode_configuration(data)
        decode_wave(data)
        decode_machines(data)
        decode_report(data)
        decode_job(data, "q", "t", 0)

    harmless()


@then("a draining worker's entry gives its pool, capacity, rack and time left")
def step_worker_entry(context: Any) -> None:
    entry = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "draining",
        "remaining-ms": 900,
        "born": 5,
        "capacity": {"cpu": 8000, "mem-mb": 64, "gpu": 1},
        "labels": ["a", "r1-3"],
        "machine": "m-1",
    }
    facts = decode_worker("i-1", json.dumps(entry).encode())
    assert facts is not None
    assert facts.draining and facts.remaining_ms == 900
    assert facts.capacity == Resources(8000, 64, 1)
    assert (facts.pool, facts.rack, facts.machine) == ("pool", "r1-3", "m-1")
    assert decode_worker("i-1", b'{"service":"pool"}') is None
    strange = json.dumps(entry | {"state": "asleep"}).encode()
    assert decode_worker("i-1", strange) is None


@then("the queue with the longest prefix takes a call and bad calls get their status")
def step_calls(context: Any) -> None:
    queue = configuration()["routes"][0]
    longer = queue | {"name": "longer", "path-prefix": "/q/deep/", "public": True}
    table = configuration(routes=[queue, longer])
    known = decode_configuration(json.dumps(table).encode())
    job_id = "0123456789abcdef"

    def check(method: str, path: str, key: str = KEY, host: str = QUEUE_HOST) -> Any:
        return check_call(known, method, path, host, f"Bearer {key}")

    call = check("POST", f"/q/deep/{job_id}", key="none")
    assert isinstance(call, Call) and call.queue.name == "longer" and call.team == ""
    call = check("DELETE", f"/q/{job_id}")
    assert isinstance(call, Call)
    assert (call.kind, call.team) == (CallKind.CANCEL, "florists")
    call = check("GET", "/q/", host=f"{QUEUE_HOST}:80")
    assert isinstance(call, Call) and call.kind is CallKind.COUNT
    for expected, answer in (
        (401, check("GET", "/q/", key="none")),
        (404, check("GET", "/other/")),
        (404, check("GET", "/q/", host="elsewhere")),
        (404, check("POST", "/q/not-an-id")),
        (405, check("PUT", f"/q/{job_id}")),
        (503, check_call(None, "GET", "/q/", QUEUE_HOST, "")),
    ):
        assert isinstance(answer, Answer) and answer.status == expected, answer


def _logger(handler: logging.Handler, name: str) -> logging.Logger:
    logger = logging.getLogger(name)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger


@when("nobody reads the output while {count:d} lines are logged")
def step_stalled(context: Any, count: int) -> None:
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    context.handler = OutputHandler(writer)
    loggers = [
        _logger(context.handler, f"test-stalled-{number}") for number in range(200)
    ]
    began_s = time.monotonic()
    for number in range(count):
        loggers[number % 200].info("line %d " + "x" * 100, number)
    context.took_s = time.monotonic() - began_s


@then("logging them took less than {limit_s:d} seconds and dropped lines are counted")
def step_not_slowed(context: Any, limit_s: int) -> None:
    assert context.took_s < limit_s, context.took_s
    assert context.handler.dropped_count > 10_000, context.handler.dropped_count


@when("{count:d} lines of one logger are logged within a second")
def step_burst(context: Any, count: int) -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    handler = OutputHandler(writer)
    logger = _logger(handler, "test-burst")
    lines = b""
    record = logger.makeRecord("test-burst", 20, "", 0, "refused", (), None)
    for number in range(count + 1):
        record.created = 1000.5 if number < count else 1001.5
        handler.emit(record)
        try:
            lines += os.read(reader, 1_000_000)
        except BlockingIOError:
            continue
    context.lines = [json.loads(line) for line in lines.splitlines()]
    context.burst_count = count


@then("at most {limit:d} lines a second are written and the next reports the rest")
def step_bounded(context: Any, limit: int) -> None:
    assert limit == LINES_LIMIT_PER_S
    burst = [line for line in context.lines if line.get("time_s") == 1000.5]
    assert len(burst) == limit, len(burst)
    (notice,) = [line for line in context.lines if "count" in line]
    assert int(notice["count"]) == context.burst_count - limit, notice


class _Collector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record.__dict__)


@when("a job is accepted, refused and run on the stand-ins")
def step_logged(context: Any) -> None:
    collector = _Collector()
    root = logging.getLogger("cicadatrail")
    level = root.level
    root.addHandler(collector)
    root.setLevel(logging.INFO)
    job_id = "00000000000000a1"

    async def scenario(cluster: PlatformCluster) -> None:
        cluster.start("edge-1")
        await cluster.wait_until(cluster.leader)
        await cluster.wait_until(lambda: cluster.instances["edge-1"].is_ready)
        await cluster.call("edge-1", "POST", f"/q/{job_id}", job())
        await cluster.wait_for_state("edge-1", job_id, "completed")
        await cluster.call("edge-1", "POST", f"/q/{job_id}", job(), key="none")

    try:
        run_scenario(scenario)
    finally:
        root.removeHandler(collector)
        root.setLevel(level)
    context.records = collector.records


@then("the lines of each carry its id, its inputs, their age and the outcome")
def step_lines(context: Any) -> None:
    def lines(message: str) -> list[dict[str, Any]]:
        found = [r for r in context.records if r["msg"] == message]
        assert found, message
        return found

    answers = lines("entry: answered.")
    assert {line["status"] for line in answers} >= {200, 401}
    for line in answers:
        assert line["configuration_version"] == 1
        assert {"request_id", "reason", "duration_s", "queue"} <= set(line)
    for line in lines("worker: start sent."):
        assert {"subtask", "worker_id", "answer_age_s", "waited_s"} <= set(line)
        assert line["outcome"] == "done"
    for line in lines("scheduler: run ended."):
        assert {"subtask", "run", "age_s", "outcome"} <= set(line)
    (ended,) = lines("scheduler: job ended.")
    assert ended["job_id"] == "00000000000000a1"
    assert ended["outcome"] == "completed"
