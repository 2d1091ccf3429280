"""Stand-ins of workers and of the machine service, written after the users' pages.

The store is the project's own stand-in. A job's spec is a JSON object that says what
its subtasks do: ``ms`` holds the duration for each step, ``gang`` the members of each
step that is a gang, ``saves`` the steps that checkpoint, ``lasts`` those that last.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from features.standins.platform_store import PlatformStore

HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
LEASE_LIMIT_S = 6.0
STOP_S = 0.05
CHECKPOINT_S = 1.0
RESTORE_S = 0.25
CRASH_S = 4.5
MAINTENANCE_S = 2.0


@dataclass
class Run:
    """One run of a subtask on one worker, with the times on the test's clock."""

    task: str
    number: int
    worker: str
    token: int
    started_s: float
    checkpoint: str
    ended_s: float | None = None
    how: str = ""
    noted_s: float | None = None
    work_s: float = 0.0
    saved: str = ""
    timer: asyncio.TimerHandle | None = None

    @property
    def job_id(self) -> str:
        """Return the id of the run's job."""
        return self.task.split(".", 1)[0]

    @property
    def step(self) -> int:
        """Return the position of the run's step."""
        return int(self.task.split(".")[2])


@dataclass
class Ledger:
    """Every run that a worker has begun, in order, and a log of what happened."""

    note: Callable[[str], None]
    runs: list[Run] = field(default_factory=list)
    specs: dict[str, dict[str, Any]] = field(default_factory=dict)
    # The processor time that each job's steps ask for, as it was handed in.
    cpu: dict[str, list[int]] = field(default_factory=dict)

    def of(self, job_id: str) -> list[Run]:
        """Return the runs of a job."""
        return [run for run in self.runs if run.job_id == job_id]

    def find_twice(self) -> list[str]:
        """Return what breaks the rule TWICE.

        Two runs of a subtask at the same time, or a start after a run has ended as
        done whose end is taken note of then or later.
        """
        found = []
        for position, run in enumerate(self.runs):
            for earlier in self.runs[:position]:
                if earlier.task != run.task:
                    continue
                if earlier.ended_s is None or earlier.ended_s > run.started_s:
                    found.append(
                        f"{run.task}: run {run.number} starts on {run.worker} at "
                        f"{run.started_s:.2f} while run {earlier.number} is at work "
                        f"on {earlier.worker}"
                    )
                elif earlier.how == "done" and earlier.noted_s is not None:
                    found.append(
                        f"{run.task}: run {run.number} starts on {run.worker} at "
                        f"{run.started_s:.2f} after run {earlier.number} has ended as "
                        f"done at {earlier.ended_s:.2f}, which was taken note of at "
                        f"{earlier.noted_s:.2f}"
                    )
        return found


class Worker:
    """A worker.

    ``is_cut`` leaves every call unanswered while runs go on; ``is_unhealthy`` answers
    starts with 503.
    """

    def __init__(
        self,
        store: PlatformStore,
        ledger: Ledger,
        now: Callable[[], float],
        worker_id: str,
        service: str,
        labels: tuple[str, str] = ("a", "r1"),
        cpu: int = 32_000,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.is_cut = False
        self.is_unhealthy = False
        self.is_down = False
        self.state = "ready"
        self.address = ""
        self.machine = f"m-{worker_id}"
        self._store = store
        self.ledger = ledger
        self._now = now
        self._seq = 0
        self._is_in_upkeep = False
        self._boot()

    def _boot(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.listed: dict[int, Run] = {}
        self.past_runs: dict[str, int] = {}
        self.end_count = 0
        self.deadline_s = 0.0
        self._began_s = time.monotonic()
        self._changed = asyncio.Event()

    async def listen(self, stack: AsyncExitStack) -> None:
        """Serve until ``stack`` closes."""
        server = HttpServer("worker", self.handle, HttpLimits())
        port = await server.listen(stack, HOST, 0)
        self.address = f"{HOST}:{port}"
        for loop in (self._send_heartbeats(), self._watch_lease()):
            stack.callback(asyncio.create_task(loop).cancel)

    def clock_s(self) -> float:
        """Return the worker's steady clock, which starts with it."""
        return time.monotonic() - self._began_s

    def crash(self, down_s: float = CRASH_S) -> None:
        """Lose everything, be down for a while, and start again under the same id."""
        self.ledger.note(f"worker {self.worker_id} is down")
        for run in list(self.runs.values()):
            self._close(run, "lost")
        self._changed.set()
        self.is_down = True
        asyncio.get_running_loop().call_later(down_s, self._restart)

    def maintain(self) -> list[Run]:
        """End everything at once; a new worker joins after the upkeep."""
        ended = list(self.runs.values())
        self._is_in_upkeep = True
        self.crash(MAINTENANCE_S)
        self._store.put("keyed.servers", self.worker_id, None)
        self.worker_id = f"{self.worker_id}-u"
        return ended

    def machine_state(self) -> str:
        """Return the state of the worker's machine."""
        if not self.is_down:
            return "up"
        return "upkeep" if self._is_in_upkeep else "down"

    def _restart(self) -> None:
        self._is_in_upkeep = False
        self._boot()
        self.is_down = False
        self.ledger.note(f"worker {self.worker_id} is back")

    async def _send_heartbeats(self) -> None:
        silent_s = 0.0
        while True:
            self._seq += 1
            silent_s = silent_s + HEARTBEAT_S if self.is_down else 0.0
            if self._store.faults.down:
                # What the store does not take is written with the next heartbeat.
                pass
            elif not self.is_down:
                self._store.put_json("keyed.servers", self.worker_id, self.entry())
            elif silent_s > 3 * HEARTBEAT_S:
                self._store.put("keyed.servers", self.worker_id, None)
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, Any]:
        """Return what the worker says of itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": 64_000, "gpu": 0},
            "labels": list(self.labels),
            "machine": self.machine,
            "clock-ms": int(self.clock_s() * 1000),
            "seq": self._seq,
        }

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.clock_s() <= self.deadline_s:
                continue
            # An end is void if the lease expires before it is taken note of.
            self.listed.clear()
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def used_cpu(self) -> int:
        """Return the processor time that the runs have reserved, in millicores."""
        total = 0
        for run in self.runs.values():
            total += self.ledger.cpu[run.job_id][run.step]
        return total

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one call."""
        body = json.loads(await exchange.read_body() or b"{}")
        if self.is_down:
            exchange.abort()
            return
        await self._wait_while_cut()
        expected = exchange.header_values(b"expect-instance")
        if expected and expected[0] != self.worker_id:
            await exchange.respond(421)
            return
        call = exchange.target.rsplit("/", 1)[-1]
        born_ms = self.born_ms
        if call == "hold" and body["fencing-token"] >= self.token:
            self._renew(body)
            await self._wait_for_end(body)
            # An answer that is ready while the worker is cut off doesn't arrive.
            await self._wait_while_cut()
        if self.is_down or self.born_ms != born_ms:
            exchange.abort()
            return
        status, answer = self._answer(call, body)
        answer |= {"clock-ms": int(self.clock_s() * 1000), "born": self.born_ms}
        await exchange.respond(status, json.dumps(answer).encode())

    async def _wait_while_cut(self) -> None:
        while self.is_cut:  # noqa: ASYNC110 - a test's switch
            await asyncio.sleep(0.02)

    def _renew(self, body: dict[str, Any]) -> None:
        if "deadline-ms" in body:
            limit_s = self.clock_s() + LEASE_LIMIT_S
            deadline_s = min(body["deadline-ms"] / 1000, limit_s)
            self.deadline_s = max(self.deadline_s, deadline_s)

    async def _wait_for_end(self, body: dict[str, Any]) -> None:
        wait_s = body.get("wait-ms", 0) / 1000
        if not wait_s or any(end[0] > body["last-seen"] for end in self.ends):
            return
        event = self._changed
        try:
            await asyncio.wait_for(event.wait(), wait_s)
        except TimeoutError:
            return

    def _answer(self, call: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body["fencing-token"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencing-token"]
        match call:
            case "hold":
                return 200, self._list(body["last-seen"])
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
            case "pace":
                return 200, {}
        return 404, {}

    def _list(self, last_seen: int) -> dict[str, Any]:
        for number in [n for n in self.listed if n <= last_seen]:
            self.listed.pop(number).noted_s = self._now()
        self.ends = [end for end in self.ends if end[0] > last_seen]
        running = []
        for run in self.runs.values():
            running.append([run.task, run.number, run.saved, self._percent(run), 0])
        return {"running": running, "finished": self.ends[:500]}

    def _percent(self, run: Run) -> int:
        spec = self.ledger.specs.get(run.job_id, {})
        if run.step in spec.get("lasts", []):
            return 100
        duration_s = max(0.001, run.work_s)
        return min(99, int(100 * (self._now() - run.started_s) / duration_s))

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task = body["task"]
        self.past_runs[task] = max(self.past_runs.get(task, 0), body["run"])
        run = self.runs.get(task)
        if run is not None and run.number <= body["run"]:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return 200, {}

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if self.is_unhealthy:
            self.ledger.note(f"{self.worker_id} answers 503 to a start of {task}")
            return 503, {}
        if body["deadline-ms"] / 1000 < self.clock_s():
            return 409, {"reason": "late"}
        self._renew(body)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {}
        if number <= self.past_runs.get(task, 0):
            return 409, {"reason": "old"}
        checkpoint = body.get("last-checkpoint", "")
        run = Run(task, number, self.worker_id, self.token, self._now(), checkpoint)
        self.ledger.specs.setdefault(run.job_id, json.loads(body["spec"]))
        self.ledger.runs.append(run)
        self.ledger.note(
            f"run {number} of {task} starts on {self.worker_id} "
            f"(fence {self.token}, checkpoint {checkpoint or 'none'})"
        )
        self.runs[task] = run
        self.begin(run)
        return 200, {}

    def begin(self, run: Run) -> None:
        """Let a run work."""
        spec = self.ledger.specs[run.job_id]
        if run.step not in spec.get("lasts", []):
            run.work_s = spec["ms"][run.step] / 1000
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.work_s, self._end, run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        self._close(run, how)
        self.end_count += 1
        self.listed[self.end_count] = run
        self.ends.append([self.end_count, run.task, run.number, how, run.saved])
        self._changed.set()
        self._changed = asyncio.Event()

    def _close(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        run.ended_s, run.how = self._now(), how
        self.past_runs[run.task] = max(self.past_runs.get(run.task, 0), run.number)
        self.ledger.note(
            f"run {run.number} of {run.task} ends as {how} on {self.worker_id}"
        )


class Machines:
    """The machine service.

    Each pool has machines of its own kind, so that every move is refused with 400.
    ``orders`` holds each upkeep: its time, its machine, and the runs that it ended;
    ``holders`` holds the instance that ordered each, with its fence number.
    """

    def __init__(self, workers: list[Worker], now: Callable[[], float]) -> None:
        self.orders: list[tuple[float, str, list[Run]]] = []
        self.holders: list[tuple[str, int]] = []
        self._workers = {f"m-{worker.worker_id}": worker for worker in workers}
        self._now = now
        for name, worker in self._workers.items():
            worker.machine = name

    async def listen(self, stack: AsyncExitStack) -> int:
        """Serve until ``stack`` closes; return the port."""
        return await HttpServer("machines", self.handle, HttpLimits()).listen(
            stack, HOST, 0
        )

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one call."""
        body = await exchange.read_body()
        if exchange.method == "GET":
            await exchange.respond(200, json.dumps(self._list()).encode())
        elif exchange.target.endswith("machine-upkeep"):
            name = exchange.header_values(b"duty-holder")[0]
            token = int(exchange.header_values(b"fencing-token")[0])
            status = self._maintain(json.loads(body)["machine"], (name, token))
            await exchange.respond(status, b"{}")
        else:
            await exchange.respond(400)

    def _maintain(self, name: str, holder: tuple[str, int]) -> int:
        worker = self._workers[name]
        if worker.is_down:
            return 409
        worker.ledger.note(f"{holder[0]} (fence {holder[1]}) begins upkeep of {name}")
        self.holders.append(holder)
        self.orders.append((self._now(), name, worker.maintain()))
        return 200

    def _list(self) -> dict[str, Any]:
        rows = [
            {
                "machine": name,
                "pool": worker.service,
                "state": worker.machine_state(),
                "zone": "z1",
                "labels": list(worker.labels),
                "capacity": {"cpu": worker.cpu, "mem-mb": 64_000, "gpu": 0},
                "id": worker.worker_id,
            }
            for name, worker in self._workers.items()
        ]
        return {"machines": rows, "next-token": None}
