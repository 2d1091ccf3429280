"""Steps about stored records that can't be read by the leader that takes over."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest.mock import patch

import msgpack
from behave import then, when

from cicadatrail_core.jobs.records import encode_definition
from cicadatraild.platform.job_submissions import decode_job
from features.support.containment_runs import (
    check_never_twice,
    run_jobs,
    run_with_lines,
)
from features.support.platform_actions import JOB, finish_all, start_instances, submit
from features.support.platform_cluster import PlatformCluster, job

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
        await run_jobs(cluster)
        if record == "wave":
            machines = cluster.machines
            assert machines is not None
            await cluster.wait_until(lambda: "m-i-0" in machines.maintained)
            await asyncio.sleep(1.0)

    run_with_lines(context, scenario)


@then("it leads, and a new job is completed")
def step_leads(context: Any) -> None:
    assert not context.lines.count("leadership: stepped down"), context.lines.lines
    check_never_twice(context.fleet)


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
        await run_jobs(cluster)
        name = cluster.leader()
        assert name is not None
        context.state, _ = await cluster.call(name, "GET", f"/q/{JOB}")
        context.cancelled, _ = await cluster.call(name, "DELETE", f"/q/{JOB}")
        context.again = await submit(cluster, name, JOB, job())
        await asyncio.sleep(0.3)
        context.kept = cluster.store.topic("keyed.jobs").newest[f"j/{JOB}"][1]
        context.definition = definition

    run_with_lines(context, scenario)


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

    run_with_lines(context, scenario)
