"""HTTP interface for operators: metrics, and the state or explanation of a job."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict

from returns.result import Failure, Success

from cicadatrail_core.jobs.job_report import report_job
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.network.server_exchange import (
    BodyIncompleteError,
    BodyTooLargeError,
    HttpExchange,
)
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.explanations import explain_submission
from cicadatraild.scheduling.leader import Leader

METRICS_PATH = "/metrics"
JOBS_PATH = "/jobs/"
EXPLANATIONS_PATH = "/explanations"

SHOWN_FINDINGS_COUNT = 50
"""Largest number of findings in a response."""


class OperatorInterface:
    """Request handler of the listener that only the fleet's own network reaches."""

    def __init__(
        self, expose_metrics: Callable[[], bytes], leader: Callable[[], Leader | None]
    ) -> None:
        self._expose_metrics = expose_metrics
        self._leader = leader

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        if exchange.target.startswith(JOBS_PATH):
            await self._answer_job(exchange, exchange.target.removeprefix(JOBS_PATH))
            return
        if exchange.target.partition("?")[0] == EXPLANATIONS_PATH:
            await self._answer_explanation(exchange)
            return
        if exchange.target != METRICS_PATH:
            await exchange.respond(404)
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await exchange.respond(200, self._expose_metrics(), headers)

    async def _answer_job(self, exchange: HttpExchange, job_id: str) -> None:
        """Answer with the state of a job, or 503 unless this instance is the leader."""
        leader = self._ready_leader()
        if leader is None:
            await exchange.respond(503)
            return
        report = report_job(leader.scheduler, job_id, loop_now_s())
        if report is None:
            await exchange.respond(404)
            return
        await _respond(exchange, 200, asdict(report))

    async def _answer_explanation(self, exchange: HttpExchange) -> None:
        """Answer where the job in the body would go, or 503 unless this one leads."""
        if exchange.method != "POST":
            await exchange.respond(405)
            return
        leader = self._ready_leader()
        if leader is None:
            await exchange.respond(503)
            return
        limit_bytes = leader.scheduler.configuration.body_limit_bytes
        try:
            body = await _read_body(exchange, limit_bytes)
        except BodyTooLargeError:
            await exchange.respond(413)
            return
        except BodyIncompleteError:
            await _respond(exchange, 400, _listed((Finding("body", "is incomplete"),)))
            return
        leader = self._ready_leader()
        if leader is None:
            await exchange.respond(503)
            return
        match explain_submission(leader, exchange.target, body):
            case Success(explanation):
                await _respond(exchange, 200, asdict(explanation))
            case Failure(findings):
                await _respond(exchange, 400, _listed(findings))

    def _ready_leader(self) -> Leader | None:
        leader = self._leader()
        return leader if leader is not None and leader.ready.is_set() else None


async def _read_body(exchange: HttpExchange, limit_bytes: int) -> bytes:
    """Return the body; raises BodyTooLargeError and BodyIncompleteError."""
    body = bytearray()
    async for chunk in exchange.body():
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError
    return bytes(body)


def _listed(findings: Findings) -> dict[str, object]:
    shown = findings[:SHOWN_FINDINGS_COUNT]
    return {"findings": [asdict(finding) for finding in shown]}


async def _respond(exchange: HttpExchange, status: int, document: object) -> None:
    headers = ((b"Content-Type", b"application/json"),)
    await exchange.respond(status, json.dumps(document).encode(), headers)
