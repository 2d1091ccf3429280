"""Stand-in for a worker: runs tasks under leases and can inject faults."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cicadatraild.network.http_server import HttpExchange
from cicadatraild.network.http_transport import ConnectionEndedError


@dataclass(slots=True)
class Ledger:
    """Counts of the tasks that all workers of a process ran, for tests to check."""

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
    """A task, which outlives its connection and ends when its lease expires."""

    task_id: str
    holder: str
    used: dict[str, int]
    work: asyncio.Task[None]
    lease: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class WorkerFaults:
    """Faults that a worker injects.

    ``status`` is the status of every response if it isn't 0; ``early`` rejects a
    request before its body was read.
    """

    fail_all: bool = False
    truncate: bool = False
    late_s: float = 0.0
    drop_before_head: bool = False
    status: int = 0
    early: bool = False


class StandInWorker:
    """Run a task per request to ``/any?run_ms=..&bytes=..&cpu=..&memory=..``."""

    def __init__(self, worker_id: str, ledger: Ledger) -> None:
        self.worker_id = worker_id
        self.ledger = ledger
        self.faults = WorkerFaults()
        self.leaving = False
        self.tasks: dict[str, StandInTask] = {}
        self.renewal_count = 0
        self.expired_lease_count = 0

    async def __call__(self, exchange: HttpExchange) -> None:
        parts = urlsplit(exchange.target)
        match exchange.method, parts.path.split("/")[1:]:
            case "GET", ["_tasks"]:
                await exchange.respond(200, json.dumps(self.report()).encode())
            case "POST", ["_tasks", task_id, "stop"]:
                self._stop(task_id)
                await exchange.respond(204)
            case "POST", ["_tasks", task_id, "renew"]:
                lease_ms = int(parse_qs(parts.query)["lease_ms"][0])
                renewed = self._renew(task_id, lease_ms)
                await exchange.respond(204 if renewed else 404)
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
        if task is not None:
            task.work.cancel()

    def _renew(self, task_id: str, lease_ms: int) -> bool:
        self.renewal_count += 1
        task = self.tasks.get(task_id)
        if task is None:
            return False
        self._begin_lease(task, lease_ms)
        return True

    def _begin_lease(self, task: StandInTask, lease_ms: int) -> None:
        if task.lease is not None:
            task.lease.cancel()
        loop = asyncio.get_running_loop()
        task.lease = loop.call_later(lease_ms / 1000, self._expire_lease, task)

    def _expire_lease(self, task: StandInTask) -> None:
        self.expired_lease_count += 1
        task.work.cancel()

    async def _run(self, exchange: HttpExchange, query: dict[str, str]) -> None:
        if self.faults.early:
            await exchange.respond(413, b"too long", ((b"Connection", b"close"),))
            return
        body = await exchange.read_body()
        work = self._begin(exchange, query)
        # The task continues when its connection is lost.
        await asyncio.shield(work)
        await self._answer(exchange, query, body)

    def _begin(
        self, exchange: HttpExchange, query: dict[str, str]
    ) -> asyncio.Task[None]:
        task_id = _header(exchange, b"cicadatrail-task-id")
        team = _header(exchange, b"cicadatrail-team")
        used = {
            "cpu_millicores": int(query.get("cpu", "100")),
            "memory_mib": int(query.get("memory", "64")),
            "accelerator_count": int(query.get("accelerators", "0")),
        }
        self.ledger.begin(_header(exchange, b"cicadatrail-request-id"), team)
        run_s = int(query.get("run_ms", "0")) / 1000
        work = asyncio.get_running_loop().create_task(asyncio.sleep(run_s))
        holder = _header(exchange, b"cicadatrail-holder")
        task = StandInTask(task_id, holder, used, work)
        self.tasks[task_id] = task
        work.add_done_callback(lambda _: self._end(task, team))
        self._begin_lease(task, int(_header(exchange, b"cicadatrail-lease-ms")))
        return work

    def _end(self, task: StandInTask, team: str) -> None:
        if task.lease is not None:
            task.lease.cancel()
        self.tasks.pop(task.task_id, None)
        self.ledger.end(team, not task.work.cancelled())

    async def _answer(
        self, exchange: HttpExchange, query: dict[str, str], body: bytes
    ) -> None:
        faults = self.faults
        if faults.fail_all or faults.status:
            await exchange.respond(faults.status or 500, b"failed")
            return
        await asyncio.sleep(faults.late_s)
        if faults.drop_before_head:
            raise ConnectionEndedError
        request_id = _header(exchange, b"cicadatrail-request-id")
        size = int(query.get("bytes", "0"))
        answer = request_id.encode() + b"\n" + body + b"x" * size
        headers = ((b"X-Echo", request_id.encode()),)
        status = int(query.get("status", "200"))
        if not faults.truncate:
            await exchange.respond(status, answer, headers)
            return
        length = (b"Content-Length", str(len(answer) + 10).encode())
        await exchange.start(status, (length, *headers))
        await exchange.send(answer)
        raise ConnectionEndedError


def _header(exchange: HttpExchange, name: bytes) -> str:
    return next(iter(exchange.header_values(name)), "")
