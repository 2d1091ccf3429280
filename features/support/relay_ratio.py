"""Benchmark of an entry instance against a bare relay, on loopback.

``python -m features.support.relay_ratio --seed N`` sends both in turn the same
requests for the same workers. Throughput is measured with a closed loop over
several connections, latency with random arrivals at a low mean rate.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from cicadatraild.network.http_client import Address
from features.support.cluster import Cluster, free_ports
from features.support.demo import set_up
from features.support.edge_caller import request_bytes

HOST = "127.0.0.1"
WORKER_COUNT = 6
CONNECTION_COUNT = 16
LATENCY_RATE_PER_S = 150.0
WARM_UP_S = 1.0
THROUGHPUT_TARGET = 0.7
ADDED_P99_TARGET = 2.0

REPORT = b'{"worker_id": "w", "age_s": 0.0, "leaving": false, "tasks": []}'
ANSWER = b"x" * 200


class QuickWorker(asyncio.Protocol):
    """A worker that responds at once, without an HTTP library to keep its cost low."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, rest = self._received.partition(b"\r\n\r\n")
        if not end or len(rest) < _length(head):
            return
        self._received = b""
        body = REPORT if head.startswith(b"GET /_tasks") else ANSWER
        start = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._transport.write(start + body)


def _length(head: bytes) -> int:
    _, found, rest = head.lower().partition(b"content-length: ")
    return int(rest.split(b"\r\n")[0]) if found else 0


@dataclass(slots=True)
class Measurement:
    """The totals of one side over all its turns."""

    count: int = 0
    took_s: float = 0.0
    faults: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def per_s(self) -> float:
        return self.count / self.took_s

    def quantile_s(self, part: float) -> float:
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class _Connection:
    """A connection that sends prepared bytes and reads responses by length."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def ask(self, data: bytes) -> bool:
        self._writer.write(data)
        head = await self._reader.readuntil(b"\r\n\r\n")
        body = await self._reader.readexactly(_length(head))
        return head.startswith(b"HTTP/1.1 200") and body == ANSWER

    def close(self) -> None:
        self._writer.close()


async def _connect(address: Address) -> _Connection:
    return _Connection(*await asyncio.open_connection(address.host, address.port))


async def saturate(address: Address, data: bytes, duration_s: float) -> Measurement:
    """Keep all connections busy for ``duration_s``."""
    measurement = Measurement()
    loop = asyncio.get_running_loop()
    connections = [await _connect(address) for _ in range(CONNECTION_COUNT)]
    began_s = loop.time()

    async def drive(connection: _Connection) -> None:
        while loop.time() - began_s < duration_s:
            measurement.faults += not await connection.ask(data)
            measurement.count += 1

    await asyncio.gather(*map(drive, connections))
    measurement.took_s = loop.time() - began_s
    for connection in connections:
        connection.close()
    return measurement


async def trickle(
    address: Address, data: bytes, duration_s: float, source: random.Random
) -> Measurement:
    """Send at exponential intervals at a low rate and time each response."""
    measurement = Measurement()
    loop = asyncio.get_running_loop()
    idle = [await _connect(address) for _ in range(CONNECTION_COUNT)]
    tasks: set[asyncio.Task[None]] = set()

    async def ask(connection: _Connection) -> None:
        began_s = loop.time()
        measurement.faults += not await connection.ask(data)
        measurement.latencies_s.append(loop.time() - began_s)
        idle.append(connection)

    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        await asyncio.sleep(source.expovariate(LATENCY_RATE_PER_S))
        if idle:
            task = loop.create_task(ask(idle.pop()))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    for connection in idle:
        connection.close()
    return measurement


async def compare(
    sides: dict[str, Address], data: bytes, turns: int, turn_s: float, seed: int
) -> dict[str, tuple[Measurement, Measurement]]:
    """Measure both sides in turn; return throughput and latency of each."""
    source = random.Random(seed)
    totals = {name: (Measurement(), Measurement()) for name in sides}
    for address in sides.values():
        await saturate(address, data, WARM_UP_S)
    for _ in range(turns):
        for name, address in sides.items():
            fast, timed = totals[name]
            measurement = await saturate(address, data, turn_s)
            fast.count += measurement.count
            fast.took_s += measurement.took_s
            fast.faults += measurement.faults
            measurement = await trickle(address, data, turn_s, source)
            timed.latencies_s += measurement.latencies_s
            timed.faults += measurement.faults
    return totals


def report(totals: dict[str, tuple[Measurement, Measurement]]) -> int:
    """Print both sides and the ratios; return the exit code."""
    for name, (fast, timed) in totals.items():
        faults = fast.faults + timed.faults
        print(
            f"{name:6} {fast.per_s:7.0f} requests/s of {fast.count},"
            f" p50 {timed.quantile_s(0.5) * 1e3:.2f} ms"
            f" p99 {timed.quantile_s(0.99) * 1e3:.2f} ms"
            f" of {len(timed.latencies_s)}, {faults} wrong responses"
        )
    relay, entry = totals["relay"], totals["entry"]
    ratio = entry[0].per_s / relay[0].per_s
    relay_p99_s = relay[1].quantile_s(0.99)
    added = (entry[1].quantile_s(0.99) - relay_p99_s) / relay_p99_s
    print(f"throughput ratio {ratio:.2f} (target at least {THROUGHPUT_TARGET})")
    print(f"added p99 {added:.2f} of the relay's (target at most {ADDED_P99_TARGET})")
    wrong = sum(measurement.faults for pair in totals.values() for measurement in pair)
    met = ratio >= THROUGHPUT_TARGET and added <= ADDED_P99_TARGET and not wrong
    return 0 if met else 1


async def measure(
    cluster: Cluster, ports: list[int], arguments: argparse.Namespace
) -> int:
    async with AsyncExitStack() as stack:
        loop = asyncio.get_running_loop()
        for port in ports[1:]:
            server = await loop.create_server(QuickWorker, HOST, port)
            stack.callback(server.close)
        entry = cluster.start_instance("entry-a", "a", "127.0.1.1")
        await asyncio.to_thread(cluster.wait_until_served)
        keys = await asyncio.to_thread(set_up, cluster)
        headers = {
            "Host": "edge",
            "Cicadatrail-Key": keys["weddings"],
            "Cicadatrail-Service": "bookings",
            "Cicadatrail-Queue": "bookings",
        }
        await asyncio.sleep(3.0)
        sides = {"relay": Address(HOST, ports[0]), "entry": entry.caller}
        data = request_bytes(headers, b"order")
        return report(
            await compare(
                sides, data, arguments.turns, arguments.turn_s, arguments.seed
            )
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--turns", type=int, default=4)
    parser.add_argument("--turn-s", type=float, default=2.0)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}, {arguments.turns} turns of {arguments.turn_s} s")
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        cluster = Cluster(Path(folder), stack, ())
        cluster.start_platform()
        ports = free_ports(HOST, 1 + WORKER_COUNT)
        for number, port in enumerate(ports[1:]):
            cluster.workers[f"bookings-{number}"] = Address(HOST, port)
        command = [sys.executable, "-m", "features.support.bare_relay", HOST]
        relay = subprocess.Popen([*command, *map(str, ports)])
        stack.callback(relay.wait)
        stack.callback(relay.kill)
        return asyncio.run(measure(cluster, ports, arguments))


if __name__ == "__main__":
    sys.exit(main())
