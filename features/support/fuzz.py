"""Fuzzes every entry point: ``python -m features.support.fuzz``.

Valid requests and frames are mutated by Hypothesis. Each input must be
answered or its connection closed, without a logged exception, and memory must
not grow with the number of inputs.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import hashlib
import logging
import random
import struct
import sys
import tracemalloc
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import hypothesis
import msgpack
from hypothesis import strategies as st

from cicadatrail_core.models.peer_messages import (
    BodyChunk,
    BodyEnd,
    ControlMessage,
    ForwardGo,
    ForwardMessage,
    ForwardOpen,
    IdQuery,
)
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.utils import codec
from cicadatraild.network.frames import FrameError, FrameStream, authenticate_as_client
from cicadatraild.network.http_client import Address
from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.network.peer_server import CONTROL, FORWARD
from cicadatraild.serving.admin import AdminApi
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.replica import Replica
from features.standins.log_store import LogStore
from features.support.edge_caller import request_bytes
from features.support.edge_world import CLUSTER_KEY, HOST, QUEUE, SERVICE, EdgeWorld
from features.support.paused_loop import PausedLoop

ENTRY_POINTS = ("callers", "admin", "greeting", "control", "forward")
ANSWER_TIMEOUT_S = 30.0
"""Time of the paused clock after which an entry point counts as hung."""

MEMORY_LIMIT_BYTES = 3_000_000
"""Limit on the bytes by which memory may grow during the second half."""

ADMIN_TOKEN = "token"
LIMITS = HttpLimits(header_timeout_s=1.0, idle_timeout_s=1.0)


@dataclass(frozen=True, slots=True)
class Mutation:
    """Change of bytes at a position given as a fraction of the length."""

    kind: str
    at: float
    data: bytes

    def apply(self, whole: bytes) -> bytes:
        index = int(self.at * len(whole))
        match self.kind:
            case "insert":
                return whole[:index] + self.data + whole[index:]
            case "replace":
                return whole[:index] + self.data + whole[index + len(self.data) :]
            case "cut":
                return whole[:index]
            case "repeat":
                return whole[:index] + whole[max(0, index - 40) :]
            case _:
                return whole[:index] + whole[index + 1 + len(self.data) :]


MUTATIONS = st.lists(
    st.builds(
        Mutation,
        st.sampled_from(("insert", "replace", "cut", "repeat", "drop")),
        st.floats(0, 1, exclude_max=True),
        st.binary(max_size=12)
        | st.sampled_from((b"\r\n", b"\r\n\r\n", b"\0", b": ", b"\xff" * 4)),
    ),
    max_size=4,
)


class _ExceptionCollector(logging.Handler):
    """Collects logged exceptions, each of which is a fault of an entry point."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info or record.levelno >= logging.ERROR:
            self.messages.append(self.format(record))


@dataclass(slots=True)
class FuzzTarget:
    """One entry instance whose entry points are fuzzed."""

    loop: PausedLoop
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)
    addresses: dict[str, Address] = field(default_factory=dict)
    seeds: dict[str, tuple[bytes, ...]] = field(default_factory=dict)
    faults: _ExceptionCollector = field(default_factory=_ExceptionCollector)
    counts: Counter[str] = field(default_factory=Counter)

    async def start(self) -> None:
        world = EdgeWorld(self.stack)
        await world.add_worker("w0")
        instance = await world.add_instance(LIMITS)
        await world.settle({0: {"w0"}})
        self.addresses = dict.fromkeys(ENTRY_POINTS, instance.peer)
        self.addresses["callers"] = instance.caller
        self.addresses["admin"] = await self._start_admin()
        self.seeds = {
            "callers": _caller_seeds(world),
            "admin": _admin_seeds(),
            "greeting": (_frame([1, CONTROL, "x", bytes(16)]),),
            "control": _control_seeds(world),
            "forward": _forward_seeds(world),
        }
        logging.getLogger("cicadatrail").addHandler(self.faults)
        logging.getLogger("cicadatrail").propagate = False
        logging.getLogger("asyncio").addHandler(self.faults)

    async def _start_admin(self) -> Address:
        source = random.Random(1)
        log = LogStore()
        replica = Replica(log, source)
        appender = Appender(log, "x", 5.0, source)  # type: ignore[arg-type]
        token_hash = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
        api = AdminApi(
            replica, appender, token_hash, lambda _: True, _no_status, lambda: b""
        )
        server = HttpServer("admin", api.serve, LIMITS)
        return Address(HOST, await server.listen(self.stack, HOST, 0))

    async def stop(self) -> None:
        await self.stack.aclose()

    async def feed(self, entry_point: str, data: bytes) -> None:
        """Send bytes and wait for an answer or the end of the connection."""
        self.counts[entry_point] += 1
        address = self.addresses[entry_point]
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if entry_point in (CONTROL, FORWARD):
                    stream = FrameStream(reader, writer, 1 << 20)
                    await authenticate_as_client(
                        stream, CLUSTER_KEY, entry_point, "fuzz"
                    )
                writer.write(data)
                await asyncio.sleep(0.5)
                if entry_point == FORWARD:
                    writer.write_eof()
                while entry_point != CONTROL and await reader.read(65536):
                    pass
        except (ConnectionError, FrameError):
            pass
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.01)
        if self.faults.messages:
            raise AssertionError(self.faults.messages.pop())


def _no_status() -> Any:
    raise LookupError("the fuzzed admin API has no status")


def _caller_seeds(world: EdgeWorld) -> tuple[bytes, ...]:
    named = world.headers(Cicadatrail_Request_Id=str(world.identifiers.new()))
    chunked = {**world.headers(), "Transfer-Encoding": "chunked"}
    return (
        request_bytes(named),
        request_bytes(chunked, b"") + b"5\r\norder\r\n0\r\n\r\n",
        request_bytes(world.headers(), b"", "HEAD") * 2,
    )


def _admin_seeds() -> tuple[bytes, ...]:
    headers = {"Host": "edge", "Authorization": f"Bearer {ADMIN_TOKEN}"}
    patch = (
        b'{"patch_id": "p-1", "base_version": 0, "operator": "o", "operations":'
        b' [{"type": "put-pool", "pool": {"pool_id": "a", "spare": false}}]}'
    )
    return (
        request_bytes(headers, patch, "POST", "/patches"),
        request_bytes(headers, b"", "GET", "/config"),
        request_bytes(headers, b"", "GET", "/patches/p-1"),
        request_bytes(headers, b"", "GET", "/config/history"),
    )


def _frame(value: Any) -> bytes:
    payload: bytes = msgpack.packb(value, use_bin_type=True)
    return struct.pack(">I", len(payload)) + payload


def _control_seeds(world: EdgeWorld) -> tuple[bytes, ...]:
    query = IdQuery(str(world.identifiers.new()), 3, "a")
    return (_frame([7, codec.to_map(query, ControlMessage)]),)


def _forward_seeds(world: EdgeWorld) -> tuple[bytes, ...]:
    from cicadatrail_core.models.fleet import Urgency

    request = TaskRequest(
        str(world.identifiers.new()),
        "team-1",
        SERVICE,
        QUEUE,
        Resources(cpu_millicores=100, memory_mib=64),
        Urgency.NORMAL,
        0.0,
        repeatable=True,
    )
    caller_id = (b"Cicadatrail-Request-Id", b"x")
    messages = (
        ForwardOpen(request, 2.0),
        ForwardGo("POST", "/work", (caller_id,)),
        BodyChunk(0, b"order"),
        BodyEnd(1),
    )
    frames = (_frame(codec.to_map(each, ForwardMessage)) for each in messages)
    return (b"".join(frames),)


def run(seed: int, run_count: int) -> Counter[str]:
    """Send ``run_count`` inputs; raise on the first that fails."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, PausedLoop)
        target = FuzzTarget(loop)
        runner.run(target.start())
        seeds = [(name, each) for name in ENTRY_POINTS for each in target.seeds[name]]

        @hypothesis.seed(seed)
        @hypothesis.settings(
            max_examples=run_count // 2,
            deadline=None,
            database=None,
            derandomize=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(st.sampled_from(seeds), MUTATIONS)
        def feed(entry: tuple[str, bytes], mutations: list[Mutation]) -> None:
            entrance, data = entry
            for mutation in mutations:
                data = mutation.apply(data)
            runner.run(target.feed(entrance, data))

        feed()
        tracemalloc.start()
        before = _allocated_bytes()
        feed()
        grown = _allocated_bytes() - before
        tracemalloc.stop()
        runner.run(target.stop())
        if grown > MEMORY_LIMIT_BYTES:
            raise AssertionError(f"memory grew by {grown} bytes")
        return target.counts


def _allocated_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=random.SystemRandom().randrange(1 << 30)
    )
    parser.add_argument("--runs", type=int, default=2000)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}, {arguments.runs} runs")
    for entry_point, count in run(arguments.seed, arguments.runs).items():
        print(f"  {entry_point:10} {count} inputs, each answered or closed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
