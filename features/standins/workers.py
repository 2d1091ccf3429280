"""The workers' stand-in: runs what it is given, reports late, can misbehave."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cicadatraild.network.http_server import HttpExchange


@dataclass(slots=True)
class Ledger:
    """Count what all workers of one process did, for tests to check."""

    executions: Counter[str] = field(default_factory=Counter)
    running: Counter[str] = field(default_factory=Counter)
    peak_running: dict[str, int] = field(default_factory=dict)
    completed: Counter[str] = field(default_factory=Counter)
    cut: Counter[str] = field(default_factory=Counter)
    peak_over_capacity: int = 0

    def begin(self, request_id: str, team: str) -> None:
        self.executions[request_id] += 1
        self.running[team] += 1
        peak = max(self.peak_running.get(team, 0), self.running[team])
        self.peak_running[team] = peak

    def end(self, team: str, completed: bool) -> None:
        self.running[team] -= 1
        counter = self.completed if completed else self.cut
        counter[team] += 1


@dataclass(slots=True)
class StandInTask:
    task_id: str
    holder: str
    used: dict[str, int]
    handler: asyncio.Task[None] | None


@dataclass(slots=True)
class WorkerFaults:
    """Say how a worker misbehaves."""

    fail_all: bool = False
    truncate: bool = False
    late_s: float = 0.0
    refuse: bool = False


class StandInWorker:
    """Run requests as tasks: ``/any?run_ms=..&bytes=..&cpu=..&memory=..``."""

    def __init__(self, worker_id: str, ledger: Ledger) -> None:
        self.worker_id = worker_id
        self.ledger = ledger
        self.faults = WorkerFaults()
        self.leaving = False
        self.tasks: dict[str, StandInTask] = {}

    async def __call__(self, exchange: HttpExchange) -> None:
        parts = urlsplit(exchange.target)
        match exchange.method, parts.path.split("/")[1:]:
            case "GET", ["_tasks"]:
                await exchange.respond(200, json.dumps(self.report()).encode())
            case "POST", ["_tasks", task_id, "stop"]:
                self._stop(task_id)
                await exchange.respond(204)
            case "POST", ["_tasks", _, "throttle" | "checkpoint" | "resume"]:
                await exchange.respond(204)
            case "GET", ["_ledger"]:
                await exchange.respond(200, json.dumps(self.ledger_map()).encode())
            case "POST", ["_faults"]:
                raw = json.loads(await exchange.read_body())
                self.leaving = raw.pop("leaving", self.leaving)
                self.faults = WorkerFaults(**raw)
                await exchange.respond(204)
            case _:
                query = {name: v[0] for name, v in parse_qs(parts.query).items()}
                await self._run(exchange, query)

    def report(self) -> dict[str, object]:
        tasks = [
            {"task_id": task.task_id, "holder": task.holder, "used": task.used}
            for task in self.tasks.values()
        ]
        return {
            "worker_id": self.worker_id,
            "age_s": 0.0,
            "leaving": self.leaving,
            "tasks": tasks,
        }

    def ledger_map(self) -> dict[str, object]:
        ledger = self.ledger
        return {
            "executions": ledger.executions,
            "peak_running": ledger.peak_running,
            "completed": ledger.completed,
            "cut": ledger.cut,
            "running": ledger.running,
        }

    def _stop(self, task_id: str) -> None:
        task = self.tasks.get(task_id)
        if task is not None and task.handler is not None:
            task.handler.cancel()

    async def _run(self, exchange: HttpExchange, query: dict[str, str]) -> None:
        task_id = _header(exchange, b"cicadatrail-task-id")
        team = _header(exchange, b"cicadatrail-team")
        holder = _header(exchange, b"cicadatrail-holder")
        used = {
            "cpu_millicores": int(query.get("cpu", "100")),
            "memory_mib": int(query.get("memory", "64")),
            "accelerator_count": int(query.get("accelerators", "0")),
        }
        request_id = _header(exchange, b"cicadatrail-request-id")
        self.ledger.begin(request_id, team)
        task = StandInTask(task_id, holder, used, asyncio.current_task())
        self.tasks[task_id] = task
        completed = False
        try:
            body = await exchange.read_body()
            await asyncio.sleep(int(query.get("run_ms", "0")) / 1000)
            await self._answer(exchange, query, body)
            completed = True
        finally:
            self.tasks.pop(task_id, None)
            self.ledger.end(team, completed)

    async def _answer(
        self, exchange: HttpExchange, query: dict[str, str], body: bytes
    ) -> None:
        if self.faults.fail_all:
            await exchange.respond(500, b"failed")
            return
        await asyncio.sleep(self.faults.late_s)
        request_id = _header(exchange, b"cicadatrail-request-id")
        size = int(query.get("bytes", "0"))
        answer = request_id.encode() + b"\n" + body + b"x" * size
        headers = ((b"X-Echo", request_id.encode()),)
        if not self.faults.truncate:
            await exchange.respond(200, answer, headers)
            return
        length = (b"Content-Length", str(len(answer) + 10).encode())
        await exchange.start(200, (length, *headers))
        await exchange.send(answer)
        raise ConnectionResetError("the stand-in cuts its answer")


def _header(exchange: HttpExchange, name: bytes) -> str:
    return next(iter(exchange.header_values(name)), "")
