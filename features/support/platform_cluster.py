"""A cluster of platform instances in one event loop, with stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from returns.result import Success

from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.platform.settings import PlatformSettings, parse_platform_settings
from cicadatraild.scheduling.instance import PlatformInstance
from cicadatraild.utils.output import OutputHandler
from features.standins.platform_fleet import (
    Fleet,
    PlatformMachines,
    PlatformWorker,
)
from features.standins.platform_store import PlatformStore
from features.support.faulty_proxy import HOST, FaultyProxy

QUEUE_HOST = "jobs.example"
KEY = "key-of-florists"
MAINTENANCE_S = 0.5
HOST_COUNT = 6


def settings_table(**changes: Any) -> dict[str, Any]:
    table: dict[str, Any] = {
        "node": "edge-1",
        "ip": "127.0.0.11",
        "zone": "z1",
        "heartbeat-ms": 500,
        "internal-ports": [7000, 7015],
        "policies": ["base", "upkeep"],
        "listen": {"front": "127.0.0.11:8000", "readiness": "127.0.0.11:8001"},
        "platform": {"address": "127.0.0.1:9000"},
        "cloud": {"address": "127.0.0.1:9001"},
        "limits": {"cpu-share": 0.5, "cores": 2},
        "bounds": {
            "hold-max-ms": 6000,
            "lease-ms": 300,
            "grace-s": 3,
            "status_s": 120,
            "gang-timeout-ms": 3000,
            "pace-ms": 100,
            "harm-ms": 4000,
            "maintenance-s": 2,
            "move-s": 1.5,
        },
    }
    return table | changes


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    queue = {
        "name": "q",
        "host": QUEUE_HOST,
        "path-prefix": "/q/",
        "service": "pool",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "attempts": 3,
        "stretch": 1.6,
        "priority": 0,
    }
    team = {
        "name": "florists",
        "api-keys": [KEY],
        "weight": 1,
        "cap": {"cpu": 100_000, "mem-mb": 0, "gpu": 0},
    }
    return {
        "version": version,
        "routes": [queue],
        "services": [{"name": "pool"}],
        "tenants": [team],
    } | changes


def draw_ports(hosts: Collection[str], count: int, used: Collection[int]) -> list[int]:
    """Return different ports that are free at all hosts, none of them in ``used``."""
    ports: list[int] = []
    while len(ports) < count:
        port = _free_port()
        # The system may draw a port twice, and one that is used at another host.
        is_new = port not in ports and port not in used
        if is_new and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class PlatformCluster:
    """Platform instances and the stand-ins of store, workers and machine service.

    Each instance has its own loopback address; all share the port numbers.
    """

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.fleet = Fleet()
        self.workers: list[PlatformWorker] = []
        self.instances: dict[str, PlatformInstance] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.machines: PlatformMachines | None = None
        self.cores: dict[str, float] = {}
        self.limits: dict[str, int] = {}
        self.proxies: dict[str, FaultyProxy] = {}
        self._proxy_ports: dict[str, int] = {}
        hosts = [self.host(f"edge-{number}") for number in range(1, HOST_COUNT + 1)]
        self.ports = draw_ports(hosts, 4, ())
        self._store_port = 0
        self._machines_port = 0
        self._stack = AsyncExitStack()
        self._clients = ConnectionPool(0.5)

    async def open(self, worker_count: int = 3) -> None:
        self._store_port = await self.store.listen(self._stack, HOST)
        for number in range(worker_count):
            await self.add_worker(f"i-{number}")
        self.machines = PlatformMachines(self.workers, MAINTENANCE_S)
        self._machines_port = await self.machines.listen(self._stack, HOST)
        self.store.put_json("keyed.op", "config", configuration())
        await self._clients.open(self._stack)

    async def add_worker(self, worker_id: str) -> PlatformWorker:
        worker = PlatformWorker(self.store, self.fleet, worker_id, "pool")
        await worker.listen(self._stack, HOST)
        self.workers.append(worker)
        return worker

    async def add_proxy(self, name: str) -> FaultyProxy:
        """Add a proxy to the store for an instance that is yet to be started."""
        proxy = FaultyProxy(self._store_port)
        self._proxy_ports[name] = await proxy.listen(self._stack)
        self.proxies[name] = proxy
        return proxy

    @property
    def front_port(self) -> int:
        return self.ports[0]

    @property
    def operator_port(self) -> int:
        return self.ports[3]

    def host(self, name: str) -> str:
        """Return an instance's loopback address, which only this process uses."""
        number = int(name.rsplit("-", 1)[1])
        pid = os.getpid()
        return f"127.{1 + (pid >> 8) % 126}.{pid & 255}.{10 + number}"

    @property
    def store_port(self) -> int:
        return self._store_port

    def settings_text(
        self, name: str, store_port: int, peer_port: int | None = None
    ) -> str:
        """Return an instance's settings as TOML, with the store at ``store_port``."""
        table = self._settings_table(name)
        table["platform"] = {"address": f"{HOST}:{store_port}"}
        if peer_port is not None:
            table["internal-ports"] = [peer_port, self.operator_port]
        tables = {key: value for key, value in table.items() if isinstance(value, dict)}
        lines = [
            f"{key} = {json.dumps(value)}"
            for key, value in table.items()
            if key not in tables
        ]
        for key, entries in tables.items():
            lines.append(f"[{key}]")
            lines += [
                f"{name} = {json.dumps(value)}" for name, value in entries.items()
            ]
        return "\n".join(lines)

    def settings(self, name: str) -> PlatformSettings:
        parsed = parse_platform_settings(self._settings_table(name), "settings")
        assert isinstance(parsed, Success), parsed
        settings: PlatformSettings = parsed.unwrap()
        return settings

    def _settings_table(self, name: str) -> dict[str, Any]:
        host = self.host(name)
        front, ready, peer, metrics = self.ports
        store_port = self._proxy_ports.get(name, self._store_port)
        return settings_table(
            **{
                "node": name,
                "ip": host,
                "internal-ports": [peer, metrics],
                "limits": {"cpu-share": self.cores.get(name, 1.0), "cores": 1}
                | self.limits,
                "listen": {
                    "front": f"{host}:{front}",
                    "readiness": f"{host}:{ready}",
                },
                "seeds": [f"{self.host(f'edge-{n}')}:{peer}" for n in (1, 2, 3)],
                "platform": {"address": f"{HOST}:{store_port}"},
                "cloud": {"address": f"{HOST}:{self._machines_port}"},
            }
        )

    def start(self, name: str) -> None:
        output = OutputHandler.__new__(OutputHandler)
        output.dropped_count = 0
        instance = PlatformInstance(self.settings(name), Path("/nowhere"), output)
        self.instances[name] = instance
        self.tasks[name] = asyncio.create_task(instance.run())

    async def stop(self, name: str) -> None:
        """Stop an instance as SIGTERM does, and wait until it has ended."""
        self.instances[name].stop()
        task = self.tasks.pop(name)
        await task
        del self.instances[name]

    async def kill(self, name: str) -> None:
        """End an instance at once, without a hand-over, as SIGKILL does."""
        task = self.tasks.pop(name)
        del self.instances[name]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def leader(self) -> str | None:
        for name, instance in self.instances.items():
            if instance.is_leader:
                return name
        return None

    async def wait_until(self, done: Callable[[], Any], timeout_s: float = 8.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not done():  # noqa: ASYNC110 - the condition has no event
                await asyncio.sleep(0.02)

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        key: str = KEY,
        timeout_s: float = 4.0,
    ) -> tuple[int, Any]:
        headers = (
            (b"Authorization", f"Bearer {key}".encode()),
            (b"Deadline-Ms", str(int(timeout_s * 1000)).encode()),
        )
        data = json.dumps(body).encode() if body is not None else b""
        result = await self._clients.fetch(
            _QueueHostAddress(self.host(name), self.ports[0]),
            method,
            path,
            headers=headers,
            body=data,
            timeout_s=timeout_s,
        )
        if not isinstance(result, Success):
            return 0, str(result.failure())
        response = result.unwrap()
        return response.status, json.loads(response.body or b"null")

    async def state(self, name: str, job_id: str) -> str:
        status, body = await self.call(name, "GET", f"/q/{job_id}")
        return str(body["state"]) if status == 200 else str(status)

    async def wait_for_state(
        self, name: str, job_id: str, state: str, timeout_s: float = 10.0
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while await self.state(name, job_id) != state:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        for name in list(self.tasks):
            await self.kill(name)
        await self._stack.aclose()


class _QueueHostAddress(Address):
    """An address that sends the queue's host name in the Host header."""

    def __str__(self) -> str:
        return QUEUE_HOST


def run_scenario(
    scenario: Callable[[PlatformCluster], Awaitable[None]], worker_count: int = 3
) -> None:
    async def run() -> None:
        cluster = PlatformCluster()
        try:
            await cluster.open(worker_count)
            await scenario(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())


def job(ms: int = 50, steps: int = 1, count: int = 2, **step: Any) -> dict[str, Any]:
    entries = []
    for position in range(steps):
        entry: dict[str, Any] = {"count": count, "cpu": 1000, "mem-mb": 100} | step
        if position:
            entry["after"] = [position - 1]
        entries.append(entry)
    return {"spec": f"ms={ms}", "steps": entries}
