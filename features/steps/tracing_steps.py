"""Steps of tracing.feature: the spans of a request and their export."""

from __future__ import annotations

import asyncio
import json
import threading
from contextlib import AsyncExitStack
from typing import Any

from behave import then, when

from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.utils.tracing import Tracing
from features.standins.platform import SpanCollectorHandler

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


async def pass_hops(
    sample_ratio: float,
    collector: Address | None,
    traceparent: str = CALLER_TRACEPARENT,
) -> str:
    """Trace three nested hops, each with its own ``Tracing`` as in a process."""
    pool = ConnectionPool(0.5)
    entry, peer, worker = (
        Tracing(name, sample_ratio, collector, pool) for name in ("a", "b", "c")
    )
    with (
        entry.hop("entry", traceparent) as first,
        peer.hop("peer", first.traceparent) as second,
        worker.hop("worker", second.traceparent) as third,
    ):
        last = third.traceparent
    for tracing in (worker, peer, entry):
        exporting = asyncio.create_task(tracing.run())
        await asyncio.sleep(1.1)
        exporting.cancel()
    return last


async def run_collected(
    context: Any,
    traced: bool,
    sample_ratio: float = 1.0,
    traceparent: str = CALLER_TRACEPARENT,
) -> None:
    handler = SpanCollectorHandler()
    async with AsyncExitStack() as stack:
        server = HttpServer("collector", handler, HttpLimits())
        port = await server.listen(stack, "127.0.0.1", 0)
        address = Address("127.0.0.1", port) if traced else None
        context.last = await pass_hops(sample_ratio, address, traceparent)
    context.spans = handler.spans
    context.thread_count = threading.active_count()


@when("a traced request passes an entry instance, a peer and a worker")
def step_traced(context: Any) -> None:
    asyncio.run(run_collected(context, True))


@when("an untraced request passes an entry instance, a peer and a worker")
def step_untraced(context: Any) -> None:
    asyncio.run(run_collected(context, False))


@when("a traced request meets a collector that is down")
def step_collector_down(context: Any) -> None:
    context.last = asyncio.run(pass_hops(1.0, Address("127.0.0.1", 1)))


@then("the collector has one trace of three spans, each the parent of the next")
def step_one_trace(context: Any) -> None:
    spans = {span["name"]: span for span in context.spans}
    assert set(spans) == {"entry", "peer", "worker"}, json.dumps(context.spans)
    traces = {span["context"]["trace_id"] for span in context.spans}
    assert traces == {f"0x{CALLER_TRACEPARENT.split('-')[1]}"}, traces
    own = f"0x{CALLER_TRACEPARENT.split('-')[2]}"
    assert spans["entry"]["parent_id"] == own
    assert spans["peer"]["parent_id"] == spans["entry"]["context"]["span_id"]
    assert spans["worker"]["parent_id"] == spans["peer"]["context"]["span_id"]
    context.worker_span_id = spans["worker"]["context"]["span_id"]


@then("the last traceparent names the last span")
def step_last(context: Any) -> None:
    assert f"0x{context.last.split('-')[2]}" == context.worker_span_id


@then("tracing has started no thread")
def step_no_thread(context: Any) -> None:
    assert context.thread_count == 1, threading.enumerate()


@then("the collector has no span and the traceparent is the caller's own")
def step_passed_on(context: Any) -> None:
    assert not context.spans
    assert context.last == CALLER_TRACEPARENT


@then("its spans are dropped and its hops end as before")
def step_dropped(context: Any) -> None:
    assert context.last.startswith("00-")


@when("a request that is not sampled passes an entry instance, a peer and a worker")
def step_unsampled(context: Any) -> None:
    asyncio.run(run_collected(context, True, 0.0, ""))


@then("the collector has no span and the traceparent says not sampled")
def step_says_unsampled(context: Any) -> None:
    assert not context.spans
    version, trace_id, span_id, flags = context.last.split("-")
    assert (version, len(trace_id), len(span_id), flags) == ("00", 32, 16, "00")
