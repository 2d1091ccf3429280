"""A small deployment on loopback: the project's programs, and stand-ins around them.

The programs run as separate processes with the command of the deploy file. The platform
kills a process whose memory exceeds that of its machine and starts it again
(DEPLOY.md), and so does this one. The store refuses records over ``record-bytes``.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.standins.platform_fleet import Fleet, PlatformMachines, PlatformWorker
from features.standins.platform_store import PlatformStore
from review.advice_2 import AdviceService

ROOT = Path(__file__).resolve().parents[1]
STORE_HOST = "127.0.0.1"
MEMORY_MB = 300
RECORD_BYTES = 262_144
MAINTENANCE_S = 2.0
RESTART_S = 1.5
WATCH_S = 0.05
FINISH_S = 14.0
"""Time after the end of the traffic at which jobs are asked for (``finish_s``)."""

IDLE_LIMIT_S = 3.0
"""Time for which a job may have nothing running though there is room (LOST)."""

JUDGED_S = 20.0
"""Time for which jobs are asked for and watched after that."""

KEY = "key-of-florists"
QUEUE_HOST = "jobs.example"
PREFIX = "/q/"
ADVISED_PREFIX = "/advised/"
CPU = 32_000
MEM = 65_536


class LimitedStore(PlatformStore):
    """The store, with the limit on a record that the pages state."""

    def __init__(self) -> None:
        super().__init__()
        self.refused_records: list[int] = []

    def _apply_append(
        self, topic: Any, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        position = 0
        while position < len(body):
            length = int.from_bytes(body[position : position + 4], "big")
            if length > RECORD_BYTES:
                self.refused_records.append(length)
                return 400, {"reason": "a record exceeds record-bytes"}
            position += 4 + length
        return super()._apply_append(topic, query, body)


@dataclass
class Machine:
    """A machine of the system and its process."""

    name: str
    host: str
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    peak_bytes: int = 0
    memory_ends: list[float] = field(default_factory=list)
    own_ends: list[float] = field(default_factory=list)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cicadatraild.main", "--platform"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CICADATRAIL_NODE_FILE": str(self.settings),
            },
            stdout=self.settings.with_suffix(".log").open("ab"),
            stderr=subprocess.STDOUT,
        )

    def resident_bytes(self) -> int:
        """Return the resident memory of the process, or 0 if it has ended."""
        if self.process is None:
            return 0
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0


class Deployment:
    """Machines of the system, the store, workers and the machine service."""

    def __init__(
        self,
        record: Path,
        machine_count: int = 3,
        worker_count: int = 4,
        memory_mb: int = MEMORY_MB,
        attempts: int = 4,
        worker_class: type[PlatformWorker] = PlatformWorker,
        advice: AdviceService | None = None,
    ) -> None:
        self.record = record.open("w")
        self.began_s = time.monotonic()
        self.store = LimitedStore()
        self.fleet = Fleet()
        self.workers: list[PlatformWorker] = []
        self.machines: dict[str, Machine] = {}
        self.memory_mb = memory_mb
        self._attempts = attempts
        self._worker_class = worker_class
        self._advice = advice
        self._machine_count = machine_count
        self._worker_count = worker_count
        self._stack = AsyncExitStack()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.front_port = 0
        self._done: set[str] = set()
        # Path prefixes of the jobs that are not of the usual queue.
        self.prefixes: dict[str, str] = {}

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{time.monotonic() - self.began_s:8.3f} {text}\n")
        self.record.flush()

    @property
    def done_tasks(self) -> set[str]:
        """Return the subtasks that have ended as done on a worker."""
        return self._done

    async def __aenter__(self) -> Deployment:
        store_port = await self.store.listen(self._stack, STORE_HOST)
        for number in range(self._worker_count):
            worker = self._worker_class(
                self.store, self.fleet, f"i-{number:02d}", "pool", CPU, MEM
            )
            worker._end = self._noting_end(worker)  # type: ignore[method-assign]
            await worker.listen(self._stack, STORE_HOST)
            self.workers.append(worker)
        service = PlatformMachines(self.workers, MAINTENANCE_S)
        service_port = await service.listen(self._stack, STORE_HOST)
        advice = ""
        if self._advice is not None:
            advice_port = await self._advice.listen(self._stack, STORE_HOST)
            advice = f"{STORE_HOST}:{advice_port}"
        self.store.put_json("keyed.op", "config", self.configuration(1))
        pid = os.getpid()
        net = f"127.{1 + (pid >> 8) % 126}.{pid & 255}"
        hosts = [f"{net}.{11 + n}" for n in range(self._machine_count)]
        front, ready, control, peer, metrics = _free_ports(hosts, 5)
        self.front_port = front
        seeds = [f"{host}:{control}" for host in hosts[:3]]
        for number, host in enumerate(hosts):
            name = f"edge-{number + 1}"
            path = self._folder / f"{name}.toml"
            path.write_text(
                _settings(
                    name,
                    host,
                    seeds,
                    (front, ready, control, peer, metrics),
                    store_port,
                    service_port,
                    self.memory_mb,
                    advice,
                )
            )
            self.machines[name] = Machine(name, host, path)
        for machine in self.machines.values():
            machine.start()
        self.log(f"started {len(hosts)} processes, memory-mb = {self.memory_mb}")
        watching = asyncio.create_task(self._watch())
        self._stack.callback(watching.cancel)
        return self

    async def __aexit__(self, *_: object) -> None:
        for machine in self.machines.values():
            if machine.process is not None:
                with suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)
        await self._stack.aclose()
        self.record.close()

    def _noting_end(self, worker: PlatformWorker) -> Any:
        """Return the worker's function that ends a run, which notes ends as done."""
        end = worker._end

        def noting(run: Any, kind: str) -> None:
            if kind == "done" and worker.runs.get(run.task) is run:
                self._done.add(run.task)
            end(run, kind)

        return noting

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration with one team, one queue, and one that is advised."""
        queue = {
            "name": "q",
            "host": QUEUE_HOST,
            "path-prefix": PREFIX,
            "service": "pool",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "attempts": self._attempts,
            "stretch": 2.0,
            "priority": 0,
        }
        queues = [queue]
        if self._advice is not None:
            terms = {"decide-ms": 20, "period-ms": 1, "valid-ms": 3000}
            other = {"name": "advised", "path-prefix": ADVISED_PREFIX, "advice": terms}
            queues.append(queue | other)
        tenant = {"name": "florists", "api-keys": [KEY], "weight": 1}
        return {
            "version": version,
            "routes": queues,
            "services": [{"name": "pool"}],
            "tenants": [tenant],
        }

    async def _watch(self) -> None:
        """Kill processes that exceed the memory of their machine; restart them."""
        while True:
            for machine in self.machines.values():
                process = machine.process
                if process is None:
                    continue
                if process.poll() is not None:
                    machine.own_ends.append(time.monotonic())
                    self.log(f"{machine.name} ended by itself: {process.returncode}")
                    asyncio.create_task(self._restart(machine))
                    continue
                used = machine.resident_bytes()
                machine.peak_bytes = max(machine.peak_bytes, used)
                if used > self.memory_mb * 1_048_576:
                    process.send_signal(signal.SIGKILL)
                    process.wait()
                    machine.memory_ends.append(time.monotonic())
                    self.log(
                        f"{machine.name} exceeded its memory "
                        f"({used >> 20} of {self.memory_mb} MB); the platform ends it"
                    )
                    asyncio.create_task(self._restart(machine))
            await asyncio.sleep(WATCH_S)

    async def _restart(self, machine: Machine) -> None:
        machine.process = None
        await asyncio.sleep(RESTART_S)
        machine.start()

    async def call(
        self,
        method: str,
        job_id: str,
        body: Any = None,
        timeout_s: float = 3.0,
        machine: str = "",
    ) -> tuple[int, Any]:
        """Make one call as a client; status 0 means no whole answer."""
        names = [machine] if machine else list(self.machines)
        host = self.machines[names[int(time.monotonic() * 1000) % len(names)]].host
        data = b"" if body is None else json.dumps(body).encode()
        lines = [
            f"{method} {self.prefixes.get(job_id, PREFIX)}{job_id} HTTP/1.1",
            f"Host: {QUEUE_HOST}",
            f"Authorization: Bearer {KEY}",
            f"Deadline-Ms: {int(timeout_s * 1000)}",
            "Content-Type: application/json",
            f"Content-Length: {len(data)}",
            "Connection: close",
        ]
        request = "\r\n".join([*lines, "", ""]).encode() + data
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, self.front_port)
                try:
                    writer.write(request)
                    answer = await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0, None
        head, _, content = answer.partition(b"\r\n\r\n")
        try:
            status = int(head.split()[1])
            return status, json.loads(content) if content else None
        except (IndexError, ValueError):
            return 0, None

    async def submit(
        self, job_id: str, body: Any, limit_s: float, machine: str = ""
    ) -> bool:
        """Hand a job in until it is accepted; return whether it was."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            status, _ = await self.call("POST", job_id, body, machine=machine)
            self.log(f"client: POST {job_id} -> {status or 'no answer'}")
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id: str) -> str:
        """Return the state of a job as a client sees it, or the status."""
        status, answer = await self.call("GET", job_id)
        if status == 200 and isinstance(answer, dict):
            return str(answer.get("state"))
        return str(status) if status else "no answer"

    async def wait_for_state(self, job_id: str, state: str, limit_s: float) -> str:
        """Ask for a job until it has a state; return the last answer."""
        until_s = time.monotonic() + limit_s
        answer = last = ""
        while time.monotonic() < until_s:
            answer = await self.state(job_id)
            if answer != last:
                self.log(f"client: GET {job_id} -> {answer}")
                last = answer
            if answer == state:
                break
            await asyncio.sleep(0.2)
        return answer


@dataclass
class Finish:
    """What was seen of a job after the end of the traffic."""

    answers: list[str] = field(default_factory=list)
    longest_idle_s: float = 0.0
    idle_since_s: float | None = None

    @property
    def has_answer(self) -> bool:
        """Return whether any GET had an answer that says what the job's state is."""
        return any(answer.isalpha() for answer in self.answers)

    @property
    def last(self) -> str:
        """Return the last answer."""
        return self.answers[-1] if self.answers else "not asked"


async def watch_finish(
    deployment: Deployment, subtask_counts: dict[str, int], need_millicores: int
) -> dict[str, Finish]:
    """Ask for jobs and watch them at the workers, ``finish_s`` after the traffic.

    ``subtask_counts`` has each accepted job's number of subtasks. A job is idle while
    nothing of it runs, some of its subtasks have not ended as done, and less than half
    of the workers' processors is in use, with room for ``need_millicores`` twice.
    """
    await asyncio.sleep(FINISH_S)
    deployment.log("judge: asking for the accepted jobs")
    seen = {job_id: Finish() for job_id in subtask_counts}
    until_s = time.monotonic() + JUDGED_S

    async def ask(job_id: str) -> None:
        while time.monotonic() < until_s:
            answer = await deployment.state(job_id)
            if answer != seen[job_id].last:
                deployment.log(f"client: GET {job_id} -> {answer}")
            seen[job_id].answers.append(answer)
            await asyncio.sleep(1.0)

    asking = [asyncio.create_task(ask(job_id)) for job_id in seen]
    while time.monotonic() < until_s:
        now_s = time.monotonic()
        running = [run for worker in deployment.workers for run in worker.runs.values()]
        used = sum(run.need["cpu"] for run in running)
        total = CPU * len(deployment.workers)
        has_room = used < total / 2 and total - used >= 2 * need_millicores
        for job_id, finish in seen.items():
            done = sum(t.startswith(job_id) for t in deployment.done_tasks)
            at_work = any(run.task.startswith(job_id) for run in running)
            if at_work or not has_room or done >= subtask_counts[job_id]:
                finish.idle_since_s = None
                continue
            if finish.idle_since_s is None:
                finish.idle_since_s = now_s
            idle_s = now_s - finish.idle_since_s
            finish.longest_idle_s = max(finish.longest_idle_s, idle_s)
        await asyncio.sleep(0.1)
    for task in asking:
        task.cancel()
    for job_id, finish in seen.items():
        deployment.log(
            f"judge: {job_id}: {len(finish.answers)} answers, last {finish.last!r}; "
            f"nothing of it ran for {finish.longest_idle_s:.1f} s though there was room"
        )
    return seen


def is_lost(finish: Finish) -> bool:
    """Return whether a job is lost by the rule LOST."""
    return not finish.has_answer or finish.longest_idle_s > IDLE_LIMIT_S


def has_fault(deployment: Deployment) -> bool:
    """Return whether on two machines processes have ended three times (Fault)."""
    ends = [len(m.memory_ends) + len(m.own_ends) for m in deployment.machines.values()]
    return sum(count >= 3 for count in ends) >= 2


def ordinary_job() -> dict[str, object]:
    """Return a job of eight subtasks, as the sheets have them."""
    step = {"count": 8, "cpu": 1000, "mem-mb": 100, "est-duration-ms": 800}
    return {"spec": "ms=800 cpu=1000", "steps": [step]}


def main(run: Callable[[bool], Coroutine[Any, Any, int]]) -> None:
    """Run a case, without its disruption if TROUBLE is 0, and exit with its code."""
    sys.exit(asyncio.run(run(os.environ.get("TROUBLE") != "0")))


def _free_ports(hosts: list[str], count: int) -> list[int]:
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((STORE_HOST, 0))
            port = probe.getsockname()[1]
        if port in ports:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    return ports


def _settings(
    name: str,
    host: str,
    seeds: list[str],
    ports: tuple[int, int, int, int, int],
    store_port: int,
    service_port: int,
    memory_mb: int,
    advice: str,
) -> str:
    """Return a settings file like the one in DEPLOY.md, for one machine."""
    front, ready, control, peer, metrics = ports
    return f"""
node = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge", "control"]
ip = "{host}"
zone = "z1"
region = "r1"
internal-ports = [{peer}, {metrics}]
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
heartbeat-ms = 500
commands = "request"
advice = "{advice}"
policies = ["base", "drain", "config", "cost", "recover", "sched", "tenants"]
[zones]
z1 = "r1"
[listen]
front = "{host}:{front}"
readiness = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
[bounds]
contact-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
hold-max-ms = 6000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease-ms = 3000
move-s = 1.5
maintenance-s = 2
pace-ms = 100
harm-ms = 4000
[platform]
address = "{STORE_HOST}:{store_port}"
record-bytes = {RECORD_BYTES}
call-bytes = 2097152
[cloud]
address = "{STORE_HOST}:{service_port}"
rate-per-s = 64.0
duties-per-s = 64.0
"""
