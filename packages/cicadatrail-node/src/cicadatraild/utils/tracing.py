"""Distributed tracing with a span per hop, exported by the event loop."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
from opentelemetry.trace import Span, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from cicadatraild.network.http_client import Address, ConnectionPool

logger = logging.getLogger("cicadatrail.trace")

QUEUE_LIMIT_COUNT = 2_048
"""Ended spans waiting for export; the oldest are dropped beyond this number."""

EXPORT_INTERVAL_S = 1.0
EXPORT_TIMEOUT_S = 2.0

_TRACEPARENT = "traceparent"
_NOT_SAMPLED = "-00"


class SpanQueue(SpanProcessor):
    """Span processor that queues ended spans for export by the event loop.

    OpenTelemetry's own batch processor would need a thread.
    """

    def __init__(self) -> None:
        self.ended: deque[ReadableSpan] = deque(maxlen=QUEUE_LIMIT_COUNT)

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span that has ended; called by the tracer."""
        self.ended.append(span)


@dataclass(frozen=True, slots=True)
class Hop:
    """Trace context for the next hop, and the span of this one if it is recorded."""

    traceparent: str
    span: Span | None = None

    def set_attribute(self, name: str, value: str) -> None:
        """Set an attribute of the span, if it is recorded."""
        if self.span is not None:
            self.span.set_attribute(name, value)


class Tracing:
    """Tracer that records a span per hop of a sampled request.

    The entry instance that receives a request decides on sampling; later hops follow
    that decision. Without a collector, no spans are created and the caller's trace
    context is passed on unchanged.
    """

    __slots__ = (
        "_collector",
        "_pool",
        "_propagator",
        "_queue",
        "_random",
        "_sample_ratio",
        "_tracer",
    )

    def __init__(
        self,
        instance_id: str,
        sample_ratio: float,
        collector: Address | None,
        pool: ConnectionPool,
    ) -> None:
        self._collector = collector
        self._sample_ratio = sample_ratio
        self._random = random.Random()
        self._pool = pool
        self._queue = SpanQueue()
        self._propagator = TraceContextTextMapPropagator()
        provider = TracerProvider(
            sampler=ParentBased(ALWAYS_ON),
            resource=Resource({"service.name": instance_id}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._queue)
        self._tracer = provider.get_tracer("cicadatrail")

    @contextmanager
    def hop(self, name: str, traceparent: str) -> Iterator[Hop]:
        """Record a hop as a child of the span in ``traceparent`` inside the context."""
        if self._collector is None or traceparent.endswith(_NOT_SAMPLED):
            yield Hop(traceparent)
            return
        if not traceparent and self._random.random() >= self._sample_ratio:
            # No span is created; the decision is passed on with the request.
            yield Hop(_unsampled_traceparent())
            return
        parent = self._propagator.extract({_TRACEPARENT: traceparent}, Context())
        span = self._tracer.start_span(name, parent)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span, parent))
        try:
            yield Hop(carrier.get(_TRACEPARENT, ""), span)
        finally:
            span.end()

    async def run(self) -> None:
        """Export ended spans until cancelled."""
        while True:
            await asyncio.sleep(EXPORT_INTERVAL_S)
            if self._collector is not None:
                await self._export(self._collector)

    async def _export(self, collector: Address) -> None:
        """Send all ended spans; they are dropped if the collector is unavailable."""
        if not self._queue.ended:
            return
        spans = [span.to_json(indent=None) for span in self._queue.ended]
        self._queue.ended.clear()
        body = f"[{','.join(spans)}]".encode()
        headers = ((b"Content-Type", b"application/json"),)
        sent = await self._pool.fetch(
            collector,
            "POST",
            "/spans",
            headers=headers,
            body=body,
            timeout_s=EXPORT_TIMEOUT_S,
        )
        if sent.value_or(None) is None:
            logger.warning(
                "trace: dropped %d spans, as the collector did not accept them.",
                len(spans),
            )


def _unsampled_traceparent() -> str:
    """Return a new trace context that is marked as not sampled."""
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}{_NOT_SAMPLED}"
