"""Crowds of clients beyond the limits, and what they do to a small machine."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cicadatrail_core.jobs.models import JobDefinition, Step
from cicadatrail_core.jobs.records import encode_definition
from cicadatrail_core.models.resources import Resources
from cicadatraild.network.client_exchange import Address
from cicadatraild.platform.store import JOBS_TOPIC
from cicadatraild.scheduling.messages import AskHolder, HolderIs, Submit
from cicadatraild.scheduling.peers import PeerClient, PeerUnreachableError
from features.support.daemon_process import Daemon
from features.support.faulty_proxy import FaultyProxy
from features.support.platform_cluster import KEY, QUEUE_HOST, PlatformCluster, job

MEMORY_MIB = 112
DESCRIPTORS_COUNT = 500
LARGE_CROWD_COUNT = 24
LARGE_BODY_BYTES = 12 * 1024 * 1024
CROWD_COUNT = 400
IDLE_CROWD_COUNT = 700
PART_BYTES = 300_000
LIMIT_BYTES = 262_144
HELD_S = 4.0
SAMPLE_S = 0.02
SERVED_LIMIT_S = 60.0
FRAMES_COUNT = 400
FRAME_BYTES = 261_000
PEERS_COUNT = 20
MANY_SUBTASKS_JOBS_COUNT = 5
PIPELINED_COUNT = 20_000
CHUNK = b" " * 65_536


@dataclass
class SmallMachine:
    """A process of the product with lowered limits, and what was seen of it."""

    cluster: PlatformCluster
    daemon: Daemon
    memory_mib: int
    pid: int = 0
    descriptors_count: int = 0
    peak_bytes: int = 0
    has_ended: bool = False
    served: list[str] = field(default_factory=list)

    @property
    def host(self) -> str:
        return self.cluster.host(self.daemon.name)

    def restart(self) -> None:
        """Kill the process and start another, which takes its place."""
        assert self.daemon.process is not None
        self.daemon.process.kill()
        self.daemon.process.wait()
        self.daemon.start()
        self.pid = self.daemon.process.pid

    def look(self) -> None:
        """Note the process's peak memory and its open descriptors."""
        assert self.daemon.process is not None
        self.has_ended = self.has_ended or self.daemon.process.poll() is not None
        with suppress(OSError, ValueError):
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.descriptors_count = max(self.descriptors_count, count)
            self.peak_bytes = read_peak_bytes(self.pid)

    async def watch(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(SAMPLE_S)


def read_peak_bytes(pid: int) -> int:
    """Return the peak of a process's resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"process {pid} has no memory")


@asynccontextmanager
async def small_machine(
    folder: Path, memory_mib: int = MEMORY_MIB
) -> AsyncIterator[SmallMachine]:
    """Run the stand-ins and one process, until it has answered a submission."""
    async with AsyncExitStack() as stack:
        cluster = PlatformCluster()
        cluster.limits = {"memory-mb": memory_mib, "max-fds": DESCRIPTORS_COUNT}
        stack.push_async_callback(cluster.close)
        await cluster.open()
        proxy = FaultyProxy(cluster.store_port)
        port = await proxy.listen(stack)
        path = folder / "edge-1.toml"
        path.write_text(cluster.settings_text("edge-1", port))
        daemon = Daemon("edge-1", 0, proxy, path)
        daemon.start()
        assert daemon.process is not None
        stack.callback(lambda: daemon.process.wait() if daemon.process else None)
        stack.callback(daemon.send, signal.SIGKILL)
        machine = SmallMachine(cluster, daemon, memory_mib, daemon.process.pid)
        await serve_ordinary(machine, 0xA0)
        watching = asyncio.create_task(machine.watch())
        stack.callback(watching.cancel)
        yield machine
        machine.look()


async def serve_ordinary(machine: SmallMachine, number: int) -> None:
    """Submit a job until it is accepted, and wait until it is completed."""
    cluster, name, job_id = machine.cluster, machine.daemon.name, f"{number:016x}"
    async with asyncio.timeout(SERVED_LIMIT_S):
        while True:
            status, _ = await cluster.call(name, "POST", f"/q/{job_id}", job())
            if status == 200:
                break
            await asyncio.sleep(0.2)
        while await cluster.state(name, job_id) != "completed":  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    machine.served.append(job_id)


def head(number: int, *fields: str) -> bytes:
    lines = [
        f"POST /q/{number:016x} HTTP/1.1",
        f"Host: {QUEUE_HOST}",
        f"Authorization: Bearer {KEY}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def announced(number: int, length_bytes: int) -> bytes:
    return head(number, f"Content-Length: {length_bytes}")


def chunked(number: int) -> bytes:
    return head(number, "Transfer-Encoding: chunked")


Sender = Callable[[int, asyncio.StreamWriter], Any]


async def _send(writer: asyncio.StreamWriter, length_bytes: int, chunks: bool) -> None:
    left_bytes = length_bytes
    while left_bytes:
        data = CHUNK[:left_bytes]
        left_bytes -= len(data)
        framed = b"%x\r\n%b\r\n" % (len(data), data) if chunks else data
        writer.write(framed)
        await writer.drain()


async def _announce_large(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(announced(number, LARGE_BODY_BYTES))
    await _send(writer, LARGE_BODY_BYTES, chunks=False)


async def _send_large(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(chunked(number))
    await _send(writer, LARGE_BODY_BYTES, chunks=True)


async def _announce_and_stop(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(announced(number, LARGE_BODY_BYTES))
    await _send(writer, PART_BYTES, chunks=False)


async def _never_finish(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(announced(number, LIMIT_BYTES))
    await _send(writer, LIMIT_BYTES - 1, chunks=False)


async def _never_finish_chunks(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(chunked(number))
    await _send(writer, LIMIT_BYTES - 1, chunks=True)


async def _send_nothing(number: int, writer: asyncio.StreamWriter) -> None:
    del number, writer


async def _send_part_of_head(number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(head(number, "X-Long: " + "x" * 15_000).removesuffix(b"\r\n"))
    await writer.drain()


async def _pipeline(number: int, writer: asyncio.StreamWriter) -> None:
    request = b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n" * 100
    for _ in range(PIPELINED_COUNT // 100):
        writer.write(request)
        await writer.drain()


CROWDS: dict[str, tuple[int, Sender]] = {
    "announce bodies far over the limit and send": (LARGE_CROWD_COUNT, _announce_large),
    "send bodies far over the limit in chunks": (LARGE_CROWD_COUNT, _send_large),
    "announce bodies far over the limit and stop": (CROWD_COUNT, _announce_and_stop),
    "never finish bodies just under the limit": (CROWD_COUNT, _never_finish),
    "never finish bodies just under it in chunks": (CROWD_COUNT, _never_finish_chunks),
    "open connections and send nothing": (IDLE_CROWD_COUNT, _send_nothing),
    "open connections and send heads only in part": (
        IDLE_CROWD_COUNT,
        _send_part_of_head,
    ),
    "pipeline requests and read no answer": (CROWD_COUNT, _pipeline),
}


async def run_crowd(machine: SmallMachine, behaviour: str) -> None:
    """Have all clients of a crowd send at once, and hold their connections."""
    count, sender = CROWDS[behaviour]
    await _hold_connections(machine.host, machine.cluster.front_port, count, sender)


async def send_long_heads(address: Address, count: int, length_bytes: int) -> None:
    """Have a crowd send heads that have no end, and hold its connections."""

    async def send_head(number: int, writer: asyncio.StreamWriter) -> None:
        writer.write(head(number, "X-Long: " + "x" * length_bytes)[:-2])
        await writer.drain()

    await _hold_connections(address.host, address.port, count, send_head)


async def _hold_connections(host: str, port: int, count: int, sender: Sender) -> None:
    async def run_client(number: int) -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(HELD_S):
                _, writer = await asyncio.open_connection(host, port, limit=1)
                try:
                    await sender(number, writer)
                    await asyncio.sleep(HELD_S)
                finally:
                    writer.transport.abort()

    await asyncio.gather(*[run_client(0xC000 + number) for number in range(count)])


async def pass_on_large_bodies(machine: SmallMachine) -> None:
    """Send submissions as other instances do to a leader that is taking over.

    Its takeover lasts as long as the store gives no jobs.
    """
    faults = machine.cluster.store.faults
    faults.unread_topics.add(JOBS_TOPIC)
    machine.restart()
    step = Step(1, Resources(1000, 100, 0), image="x" * FRAME_BYTES)
    definition = encode_definition(JobDefinition("q", "florists", "ms=50", (step,)))

    async def pass_on(peers: PeerClient, number: int) -> None:
        with suppress(PeerUnreachableError):
            request = Submit(f"{0xD000 + number:016x}", definition)
            await peers.call(machine.host, request, HELD_S)

    async with AsyncExitStack() as stack:
        instances = [PeerClient(machine.cluster.ports[2]) for _ in range(PEERS_COUNT)]
        for peers in instances:
            await peers.open(stack)
            await _wait_until_leading(machine, peers)
        calls = [
            pass_on(instances[number % PEERS_COUNT], number)
            for number in range(FRAMES_COUNT)
        ]
        await asyncio.gather(*calls)
    faults.unread_topics.clear()


async def _wait_until_leading(machine: SmallMachine, peers: PeerClient) -> None:
    async with asyncio.timeout(SERVED_LIMIT_S):
        while True:
            with suppress(PeerUnreachableError):
                reply = await peers.call(machine.host, AskHolder(), 1.0)
                if isinstance(reply, HolderIs) and reply.host == machine.host:
                    return
            await asyncio.sleep(0.1)


async def submit_many_subtasks(machine: SmallMachine, count: int) -> None:
    """Submit jobs of so many subtasks, until each is answered; then cancel them."""
    cluster, name = machine.cluster, machine.daemon.name
    paths = [f"/q/{0xE000 + number:016x}" for number in range(MANY_SUBTASKS_JOBS_COUNT)]
    for method in ("POST", "DELETE"):
        for path in paths:
            body = job(count=count) if method == "POST" else None
            await cluster.call(name, method, path, body, timeout_s=SERVED_LIMIT_S)


def padded_job(length_bytes: int) -> bytes:
    return json.dumps(job()).encode().ljust(length_bytes)


async def status_of(machine: SmallMachine, request: bytes) -> int:
    """Return the status of the response to one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(
        machine.host, machine.cluster.front_port
    )
    try:
        writer.write(request)
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    finally:
        writer.transport.abort()
