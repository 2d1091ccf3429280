"""Stand-ins for the instance list, the span collector and maintenance."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from cicadatraild.network.http_server import HttpExchange


@dataclass(slots=True)
class InstanceListHandler:
    """Serve the list of instances that a test sets."""

    instances: list[dict[str, Any]] = field(default_factory=list)

    async def __call__(self, exchange: HttpExchange) -> None:
        if exchange.method == "POST":
            self.instances = json.loads(await exchange.read_body())
        await exchange.respond(200, json.dumps(self.instances).encode())


@dataclass(slots=True)
class SpanCollectorHandler:
    """Collect the spans that instances export."""

    spans: list[dict[str, Any]] = field(default_factory=list)

    async def __call__(self, exchange: HttpExchange) -> None:
        if exchange.method == "POST":
            self.spans += json.loads(await exchange.read_body())
        await exchange.respond(200, json.dumps(self.spans).encode())


class MaintenanceHandler:
    """Run jobs of ``duration_s`` each; a repeated job id doesn't start another."""

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self.failing_workers: set[str] = set()
        self._ends_s: dict[str, float] = {}

    async def __call__(self, exchange: HttpExchange) -> None:
        now_s = asyncio.get_running_loop().time()
        match exchange.method, exchange.target.split("/")[1:]:
            case "POST", ["jobs", _, job_id, _]:
                self._ends_s.setdefault(job_id, now_s + self.duration_s)
                await exchange.respond(204)
            case "GET", ["jobs", worker_id, job_id]:
                status = self._status(worker_id, job_id, now_s)
                await exchange.respond(200, json.dumps({"status": status}).encode())
            case _:
                await exchange.respond(404)

    def _status(self, worker_id: str, job_id: str, now_s: float) -> str:
        if job_id not in self._ends_s:
            return "idle"
        if now_s < self._ends_s[job_id]:
            return "running"
        return "failed" if worker_id in self.failing_workers else "done"
