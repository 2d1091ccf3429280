"""Stand-ins of the users' workers and machine service.

A subtask's spec says what it does, such as ``ms=300`` or ``fail``. Violations of
the platform's rules by the instances under test are recorded in
``Fleet.violations``.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from features.standins.platform_store import PlatformStore
from features.standins.worker_capacity import WorkerCapacity, WorkerRun, need_of
from features.standins.worker_clock import WorkerClock

HEARTBEAT_S = 0.5
RESTART_S = 0.3
STANDBY_POOL = "standby"


@dataclass
class Fleet:
    """Record what runs on which worker and report violations.

    A subtask that runs on two workers, or that starts after an acknowledged end as
    done, is a violation.
    """

    running: dict[str, set[str]] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    starts: Counter[str] = field(default_factory=Counter)
    last_start_s: dict[str, float] = field(default_factory=dict)
    worker_starts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def record_start(self, task: str, worker: str) -> None:
        now_s = asyncio.get_running_loop().time()
        workers_running = self.running.setdefault(task, set())
        if workers_running:
            others = ", ".join(sorted(workers_running))
            self.violations.append(
                f"{task} runs on {others} and {worker} at {now_s:.3f} s"
            )
        if task in self.done:
            self.violations.append(
                f"{task} starts on {worker} at {now_s:.3f} s after it was done"
            )
        workers_running.add(worker)
        self.worker_starts[worker] += 1
        self.starts[task] += 1
        self.last_start_s[task] = now_s

    def record_end(self, task: str, worker: str) -> None:
        self.running.get(task, set()).discard(worker)

    def acknowledge_done(self, task: str, ended_s: float) -> None:
        """Record an acknowledged end; the subtask may not have started since then."""
        if self.last_start_s[task] > ended_s:
            self.violations.append(f"{task} started after it had ended as done")
        self.done.add(task)


class PlatformWorker:
    """A worker with its HTTP server.

    ``unresponsive`` leaves every call unanswered while runs go on; ``late_starts_s``
    leaves starts unanswered and carries them out that much later, with
    ``passes_late_starts_on`` also if the worker has restarted in between, and
    ``loses_start_answers`` carries them out at once. ``is_unlisted`` writes no entries.
    """

    def __init__(
        self,
        store: PlatformStore,
        fleet: Fleet,
        worker_id: str,
        pool: str,
        cpu: int = 8000,
        memory: int = 16_000,
    ) -> None:
        self.worker_id = worker_id
        self.pool = pool
        self.room = WorkerCapacity(cpu, memory, HEARTBEAT_S)
        self.machine = f"m-{worker_id}"
        self.unresponsive = False
        self.is_unlisted = False
        self.loses_start_answers = False
        self.down_until_s = 0.0
        self.dark_until_s = 0.0
        self.clock = WorkerClock()
        self.late_starts_s = 0.0
        self.passes_late_starts_on = False
        self.late_answers: list[tuple[int, dict[str, Any]]] = []
        self.is_on_standby = False
        self.data_centre = "z1"
        self.started_ms = int(time.time() * 1000)
        self.token = 0
        self.runs: dict[str, WorkerRun] = {}
        self.ends: list[list[Any]] = []
        self.ended_runs: dict[str, int] = {}
        self.acknowledged_end = 0
        self.last_end_number = 0
        self.unacknowledged_done: dict[int, tuple[str, float]] = {}
        self.deadline_s = 0.0
        self.state = "ready"
        self._fleet = fleet
        self._store = store
        self._seq = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def listen(self, stack: AsyncExitStack, host: str) -> None:
        server = HttpServer("worker", self.handle, HttpLimits())
        port = await server.listen(stack, host, 0)
        self.address = f"{host}:{port}"
        heartbeats = asyncio.create_task(self._send_heartbeats())
        watch = asyncio.create_task(self._watch_lease())
        stack.callback(heartbeats.cancel)
        stack.callback(watch.cancel)

    async def _send_heartbeats(self) -> None:
        while True:
            self._seq += 1
            if not self.is_on_standby and not self.is_unlisted:
                self._store.put_json("keyed.servers", self.worker_id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, Any]:
        return {
            "service": self.pool,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "born": self.started_ms,
            "capacity": self.room.current,
            "labels": ["a", "r1"],
            "machine": self.machine,
            "clock-ms": self.clock.now_ms(),
            "seq": self._seq,
        }

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if asyncio.get_running_loop().time() > self.deadline_s:
                # An end that was not acknowledged before the lease expired is void.
                self.unacknowledged_done.clear()
                for worker_run in list(self.runs.values()):
                    self._end(worker_run, "lapsed")

    async def handle(self, exchange: HttpExchange) -> None:
        body = json.loads(await exchange.read_body() or b"{}")
        expected = exchange.header_values(b"expect-instance")
        if self.unresponsive or self.is_on_standby:
            await asyncio.sleep(3600)
        await self._wait_for_next_life()
        if asyncio.get_running_loop().time() < self.down_until_s:
            exchange.abort()
            return
        started_ms = self.started_ms
        if expected and expected[0] != self.worker_id:
            await exchange.respond(421)
            return
        call = exchange.target.rsplit("/", 1)[-1]
        if call == "run-start" and self.late_starts_s:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.late_starts_s, self._carry_out_late, body, self.started_ms
            )
            await asyncio.sleep(3600)
        if call == "hold":
            await self._wait_for_end(body)
        if self.started_ms != started_ms:
            # The process that accepted the call has ended.
            if self.is_unlisted:
                await asyncio.sleep(3600)
            exchange.abort()
            return
        status, answer = self._answer(call, body)
        if self.loses_start_answers and call == "run-start":
            await asyncio.sleep(3600)
        answer["clock-ms"] = self.clock.now_ms()
        answer["born"] = self.started_ms
        await exchange.respond(status, json.dumps(answer).encode())

    async def _wait_for_next_life(self) -> None:
        """Hold a call that comes while the worker is dark; its next life takes it."""
        dark_s = self.dark_until_s - asyncio.get_running_loop().time()
        if dark_s > 0:
            await asyncio.sleep(dark_s)

    def _carry_out_late(self, body: dict[str, Any], started_ms: int) -> None:
        if started_ms == self.started_ms or self.passes_late_starts_on:
            self.late_answers.append(self._answer("run-start", body))

    async def _wait_for_end(self, body: dict[str, Any]) -> None:
        self._renew_lease(body)
        wait_s = body.get("wait-ms", 0) / 1000
        if any(end[0] > body["last-seen"] for end in self.ends) or not wait_s:
            return
        event = self._changed
        try:
            await asyncio.wait_for(event.wait(), wait_s)
        except TimeoutError:
            return

    def _renew_lease(self, body: dict[str, Any]) -> None:
        if body["fencing-token"] < self.token or "deadline-ms" not in body:
            return
        end_s = self.clock.lease_end_s(body["deadline-ms"])
        self.deadline_s = max(self.deadline_s, end_s)

    def _answer(self, call: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body["fencing-token"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencing-token"]
        match call:
            case "hold":
                self.acknowledged_end = max(self.acknowledged_end, body["last-seen"])
                for number in [
                    n for n in self.unacknowledged_done if n <= body["last-seen"]
                ]:
                    self._fleet.acknowledge_done(*self.unacknowledged_done.pop(number))
                self.ends = [end for end in self.ends if end[0] > body["last-seen"]]
                now_s = asyncio.get_running_loop().time()
                running = [
                    [
                        worker_run.task,
                        worker_run.run,
                        "",
                        self._percent(worker_run, now_s),
                    ]
                    for worker_run in self.runs.values()
                ]
                return 200, {"running": running, "finished": self.ends[:500]}
            case "run-start":
                return self._start(body)
            case "run-stop":
                self.ended_runs[body["task"]] = max(
                    self.ended_runs.get(body["task"], 0), body["run"]
                )
                worker_run = self.runs.get(body["task"])
                if worker_run is not None and worker_run.run == body["run"]:
                    self._end(worker_run, "stopped")
                return 200, {}
        return 404, {}

    @staticmethod
    def _percent(worker_run: WorkerRun, now_s: float) -> int:
        if worker_run.is_long_running:
            return 100
        return min(99, int(100 * (now_s - worker_run.began_s) / worker_run.duration_s))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run"]
        now_s = asyncio.get_running_loop().time()
        if body["deadline-ms"] < self.clock.now_ms():
            return 409, {"reason": "late"}
        self._renew_lease(body)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return 200, {}
        if run <= self.ended_runs.get(task, 0):
            return 409, {"reason": "old"}
        options = dict(part.partition("=")[::2] for part in body["spec"].split())
        duration_s = int(options.get("ms", "50")) / 1000
        worker_run = WorkerRun(
            task,
            run,
            now_s,
            duration_s,
            "fail" in options,
            "lasts" in options,
            need_of(options),
        )
        self.runs[task] = worker_run
        self._fleet.record_start(task, self.worker_id)
        if excess := self.room.excess(self.runs.values(), now_s):
            self.record_violation(f"{self.worker_id} is over its capacity: {excess}")
        if not worker_run.is_long_running:
            loop = asyncio.get_running_loop()
            kind = "failed" if worker_run.fails else "done"
            worker_run.timer = loop.call_later(duration_s, self._end, worker_run, kind)
        return 200, {}

    def _end(self, worker_run: WorkerRun, kind: str) -> None:
        if self.runs.get(worker_run.task) is not worker_run:
            return
        del self.runs[worker_run.task]
        if worker_run.timer is not None:
            worker_run.timer.cancel()
        self._fleet.record_end(worker_run.task, self.worker_id)
        if kind == "done":
            now_s = asyncio.get_running_loop().time()
            self.unacknowledged_done[self.last_end_number + 1] = (
                worker_run.task,
                now_s,
            )
        self.ended_runs[worker_run.task] = max(
            self.ended_runs.get(worker_run.task, 0), worker_run.run
        )
        self.last_end_number += 1
        self.ends.append(
            [self.last_end_number, worker_run.task, worker_run.run, kind, ""]
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def record_violation(self, violation: str) -> None:
        self._fleet.violations.append(violation)

    def restart(self) -> None:
        """Lose every run, as in a crash, and start a new incarnation."""
        for worker_run in self.runs.values():
            if worker_run.timer is not None:
                worker_run.timer.cancel()
            self._fleet.record_end(worker_run.task, self.worker_id)
        self.runs.clear()
        self.ends.clear()
        self.unacknowledged_done.clear()
        self.ended_runs.clear()
        self.last_end_number = self.acknowledged_end = self.token = 0
        self.started_ms += 1000
        self.clock.restart()
        self.deadline_s = 0.0
        self.room.forget_earlier()
        self.down_until_s = asyncio.get_running_loop().time() + RESTART_S
        self._changed.set()
        self._changed = asyncio.Event()

    def restart_dark(self, dark_s: float) -> None:
        """Restart without a reset; calls that come until then wait for the new life.

        The store goes on listing the former life.
        """
        self.is_unlisted = True
        self.restart()
        self.down_until_s = 0.0
        self.dark_until_s = asyncio.get_running_loop().time() + dark_s

    def go_to_standby(self, pool: str) -> None:
        """Move to a standby pool: the machine is off and has no worker."""
        self.restart()
        self.is_on_standby = True
        self.pool = pool
        self._store.put("keyed.servers", self.worker_id, None)

    def join_pool(self, pool: str) -> None:
        """Serve a pool under a new worker id, as after a move of the machine."""
        self._store.put("keyed.servers", self.worker_id, None)
        self.worker_id = f"{self.worker_id}-moved"
        self.pool = pool
        self.is_on_standby = False
        self._store.put_json("keyed.servers", self.worker_id, self.entry())


class PlatformMachines:
    """The machine service; maintenance and moves take ``maintenance_s`` seconds.

    The next ``lost_answers`` moves are carried out but not answered.
    """

    def __init__(self, workers: list[PlatformWorker], maintenance_s: float) -> None:
        self.workers = {worker.machine: worker for worker in workers}
        self.maintained: list[str] = []
        self.down: set[str] = set()
        self.max_down_count = 0
        self.orders: list[tuple[str, str, int]] = []
        self._maintenance_s = maintenance_s
        self.moving: set[str] = set()
        self.lost_answers = 0

    async def listen(self, stack: AsyncExitStack, host: str) -> int:
        server = HttpServer("machines", self.handle, HttpLimits())
        return await server.listen(stack, host, 0)

    async def handle(self, exchange: HttpExchange) -> None:
        body = await exchange.read_body()
        if exchange.method == "GET":
            rows = [
                {
                    "machine": name,
                    "pool": worker.pool,
                    "state": self._state(name),
                    "zone": worker.data_centre,
                    "labels": ["a", "r1"],
                    "capacity": worker.room.current,
                    "id": worker.worker_id,
                }
                for name, worker in self.workers.items()
            ]
            answer = {"machines": rows, "next-token": None}
            await exchange.respond(200, json.dumps(answer).encode())
            return
        name = json.loads(body)["machine"]
        token = int(exchange.header_values(b"fencing-token")[0])
        leader = exchange.header_values(b"duty-holder")[0]
        self.orders.append((name, leader, token))
        if exchange.target.endswith("machine-move"):
            await self._move(exchange, name, json.loads(body)["pool"])
            return
        if name not in self.maintained:
            self.maintained.append(name)
            self.down.add(name)
            self.max_down_count = max(self.max_down_count, len(self.down))
            self.workers[name].restart()
            loop = asyncio.get_running_loop()
            loop.call_later(self._maintenance_s, self.down.discard, name)
        await exchange.respond(200, b"{}")

    def _state(self, name: str) -> str:
        if name in self.moving:
            return "moving"
        return "upkeep" if name in self.down else "up"

    async def _move(self, exchange: HttpExchange, name: str, pool: str) -> None:
        worker = self.workers[name]
        if worker.runs:
            worker.record_violation(f"{name} was moved while something ran on it")
        if name in self.moving:
            await exchange.respond(409, b'{"reason": "busy"}')
            return
        worker.go_to_standby(pool)
        self.moving.add(name)
        loop = asyncio.get_running_loop()
        loop.call_later(self._maintenance_s, self._complete_move, name, pool)
        if self.lost_answers:
            self.lost_answers -= 1
            exchange.abort()
            return
        await exchange.respond(200, b"{}")

    def _complete_move(self, name: str, pool: str) -> None:
        self.moving.discard(name)
        if pool != STANDBY_POOL:
            self.workers[name].join_pool(pool)
