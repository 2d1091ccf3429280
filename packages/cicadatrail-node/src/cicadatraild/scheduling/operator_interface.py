"""HTTP interface for operators: metrics, and the state of a job."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict

from cicadatrail_core.jobs.job_report import report_job
from cicadatraild.network.server_exchange import HttpExchange
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader import Leader

METRICS_PATH = "/metrics"
JOBS_PATH = "/jobs/"


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
        if exchange.target != METRICS_PATH:
            await exchange.respond(404)
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await exchange.respond(200, self._expose_metrics(), headers)

    async def _answer_job(self, exchange: HttpExchange, job_id: str) -> None:
        """Answer with the state of a job, or 503 unless this instance is the leader."""
        leader = self._leader()
        if leader is None or not leader.ready.is_set():
            await exchange.respond(503)
            return
        report = report_job(leader.scheduler, job_id, loop_now_s())
        if report is None:
            await exchange.respond(404)
            return
        headers = ((b"Content-Type", b"application/json"),)
        await exchange.respond(200, json.dumps(asdict(report)).encode(), headers)
