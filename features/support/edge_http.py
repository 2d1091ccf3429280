"""Callers that send malformed requests, are slow, or exceed a limit."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from cicadatraild.network.http_server import HttpExchange, HttpLimits
from features.support.edge_caller import EdgeCaller, ask, request_bytes
from features.support.edge_http_checks import LONG_REPLY_BYTES, HttpResult
from features.support.edge_world import EdgeWorld

LIMITS = HttpLimits(
    header_limit_bytes=4096,
    body_limit_bytes=100_000,
    connection_limit_count=4,
    header_timeout_s=2.0,
    idle_timeout_s=3.0,
)
STEADY_INTERVAL_S = 1.0


class PlainWorker:
    """A worker that sends a 304 or a long chunked response, depending on the path."""

    async def __call__(self, exchange: HttpExchange) -> None:
        await exchange.read_body()
        if exchange.target.startswith("/304"):
            await exchange.respond(304, headers=((b"ETag", b'"1"'),))
            return
        await exchange.start(200, ((b"Transfer-Encoding", b"chunked"),))
        for _ in range(LONG_REPLY_BYTES // 50_000):
            await exchange.send(b"x" * 50_000)
        if not exchange.target.startswith("/cut"):
            await exchange.end()
        exchange.abort()


@asynccontextmanager
async def _edge_with_steady_caller(
    result: HttpResult, worker: str = ""
) -> AsyncIterator[EdgeWorld]:
    """Run an instance with a second caller, which must not be affected."""
    async with AsyncExitStack() as stack:
        world = EdgeWorld(stack)
        if worker:
            await world.serve_worker("w0", PlainWorker())
        else:
            await world.add_worker("w0")
        await world.add_instance(LIMITS)
        await world.settle({0: {"w0"}})
        asking = asyncio.get_running_loop().create_task(
            _ask_steadily(world, result, "/304" if worker else "/work")
        )
        await asyncio.sleep(STEADY_INTERVAL_S / 2)
        yield world
        await asyncio.sleep(2 * STEADY_INTERVAL_S)
        asking.cancel()
        await asyncio.sleep(20.0)
        result.charged_count = world.instances[0].charged()


async def _ask_steadily(world: EdgeWorld, result: HttpResult, target: str) -> None:
    """Send a request every ``STEADY_INTERVAL_S`` on one connection."""
    steady = await EdgeCaller.connect(world.instances[0].caller)
    while True:
        await steady.send(request_bytes(world.headers(), target=target))
        result.steady.append(await steady.read())
        await asyncio.sleep(STEADY_INTERVAL_S)


def _without_headers(headers: dict[str, str], *names: str) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name not in names}


_CHANGES: dict[str, dict[str, str]] = {
    "a size in words": {"Cicadatrail-Size": "cpu_millicores=much"},
    "a size that names a resource twice": {
        "Cicadatrail-Size": "memory_mib=1,memory_mib=2"
    },
    "a size that is beyond all": {"Cicadatrail-Size": "memory_mib=99999999999"},
    "a deadline of 0": {"Cicadatrail-Deadline-Ms": "0"},
    "a deadline of 1e9": {"Cicadatrail-Deadline-Ms": "1e9"},
    "an urgency that is none": {"Cicadatrail-Urgency": "soon"},
    "a doubtful repeatable": {"Cicadatrail-Repeatable": "maybe"},
    "a request id of version 4": {
        "Cicadatrail-Request-Id": "7b0f4c5e-3c53-4a53-8a52-0d1b6c3f6f10"
    },
    "a request id in braces": {
        "Cicadatrail-Request-Id": "{018bcff4-aa4a-7d8e-91b7-584a2265b1f5}"
    },
    "a misspelt own header": {"Cicadatrail-Dead-Line": "1"},
    "five faults": {
        "Cicadatrail-Service": "",
        "Cicadatrail-Queue": "",
        "Cicadatrail-Size": "x",
        "Cicadatrail-Urgency": "x",
        "Cicadatrail-Deadline-Ms": "x",
    },
    "a length and chunks": {"Transfer-Encoding": "chunked", "Content-Length": "5"},
    "a length below zero": {"Content-Length": "-1"},
    "an unknown transfer coding": {"Transfer-Encoding": "gzip"},
    "a space in a header's name": {"X Bad": "1"},
    "a head that is too long": {"X-Long": "x" * 9000},
}


def _malformed_request(world: EdgeWorld, fault: str) -> bytes:
    headers = world.headers()
    if fault in _CHANGES:
        changed = {**headers, **_CHANGES[fault]}
        return request_bytes({n: v for n, v in changed.items() if v}, b"")
    whole = request_bytes(headers)
    match fault:
        case "no service":
            return request_bytes(_without_headers(headers, "Cicadatrail-Service"))
        case "neither service nor queue":
            names = ("Cicadatrail-Service", "Cicadatrail-Queue")
            return request_bytes(_without_headers(headers, *names))
        case "two keys":
            return whole.replace(b"Host: edge", b"Host: edge\r\nCicadatrail-Key: x")
        case "the method CONNECT":
            return request_bytes(headers, b"", "CONNECT", "edge:80")
        case "no host":
            return request_bytes(_without_headers(headers, "Host"))
        case "two lengths":
            return whole.replace(b"Host: edge", b"Host: edge\r\nContent-Length: 6")
        case "a line that is no request":
            return b"GIVE ME\r\n\r\n"
        case "a head that stops":
            return whole[:60]
        case "a chunk without a size":
            chunked = {**headers, "Transfer-Encoding": "chunked"}
            return request_bytes(chunked, b"") + b"zz\r\norder\r\n"
        case "a body that stops":
            return whole[:-2]
        case "a body that is too long":
            return request_bytes(headers, b"x" * 100_001)
    raise AssertionError(fault)


async def send_fault(fault: str) -> HttpResult:
    result = HttpResult()
    async with _edge_with_steady_caller(result) as world:
        answer = await ask(world.instances[0].caller, _malformed_request(world, fault))
        result.answers.append(answer)
    return result


async def run_behaviour(behaviour: str) -> HttpResult:
    result = HttpResult()
    long_worker = "without length" in behaviour or "304" in behaviour
    worker = "plain" if long_worker or "is cut" in behaviour else ""
    async with _edge_with_steady_caller(result, worker) as world:
        began_s = asyncio.get_running_loop().time()
        await _BEHAVIOURS[behaviour](world, result)
        result.took_s = asyncio.get_running_loop().time() - began_s
    return result


async def _send_slowly(world: EdgeWorld, result: HttpResult) -> None:
    headers = world.headers(Cicadatrail_Deadline_Ms="5000")
    data = request_bytes(headers, b"x" * 50)
    caller = await EdgeCaller.connect(world.instances[0].caller)
    await caller.send(data[:-50])
    reading = asyncio.get_running_loop().create_task(caller.read())
    for _ in range(10):
        if reading.done():
            break
        await caller.send(b"x")
        await asyncio.sleep(1.0)
    result.answers.append(await reading)


async def _read_long_reply(
    world: EdgeWorld, result: HttpResult, wait_s: float, pause_s: float
) -> None:
    """Wait, then read a long response in parts with a pause before each."""
    target = f"/work?bytes={LONG_REPLY_BYTES}"
    caller = await EdgeCaller.connect(world.instances[0].caller)
    caller.pause_s = pause_s
    await caller.send(request_bytes(world.headers(), target=target))
    await asyncio.sleep(wait_s)
    reading = asyncio.get_running_loop().create_task(caller.read())
    while not reading.done():
        result.held_bytes = max(result.held_bytes, _held_bytes(world))
        await asyncio.wait((reading,), timeout=0.5)
    result.answers.append(await reading)


def _held_bytes(world: EdgeWorld) -> int:
    """Return the number of unsent bytes in the callers' connections."""
    port = world.instances[0].caller.port
    return sum(
        found.get_write_buffer_size()
        for found in gc.get_objects()
        if isinstance(found, asyncio.Transport)
        and (found.get_extra_info("sockname") or ("", 0))[1] == port
    )


async def _stop_reading(world: EdgeWorld, result: HttpResult) -> None:
    await _read_long_reply(world, result, 10.0, 0.0)


async def _read_slowly(world: EdgeWorld, result: HttpResult) -> None:
    await _read_long_reply(world, result, 0.0, 0.1)


async def _exceed_connection_limit(world: EdgeWorld, result: HttpResult) -> None:
    """Exceed the limit on connections; the steady caller uses one of them."""
    address = world.instances[0].caller
    crowd = [await EdgeCaller.connect(address) for _ in range(3)]
    for _ in range(2):
        result.answers.append(await ask(address, request_bytes(world.headers())))
    for caller in crowd:
        caller.close()
    await asyncio.sleep(0.1)
    result.answers.append(await ask(address, request_bytes(world.headers())))


async def _pipeline(world: EdgeWorld, result: HttpResult) -> None:
    caller = await EdgeCaller.connect(world.instances[0].caller)
    bodies = (b"first", b"second", b"third")
    await caller.send(b"".join(request_bytes(world.headers(), b) for b in bodies))
    for _ in bodies:
        result.answers.append(await caller.read())
    caller.close()


async def _half_close(world: EdgeWorld, result: HttpResult) -> None:
    caller = await EdgeCaller.connect(world.instances[0].caller)
    await caller.send(request_bytes(world.headers(), target="/work?run_ms=9000"))
    await asyncio.sleep(1.0)
    caller.half_close()
    result.answers.append(await caller.read())


async def _expect(world: EdgeWorld, result: HttpResult) -> None:
    caller = await EdgeCaller.connect(world.instances[0].caller)
    data = request_bytes({**world.headers(), "Expect": "100-continue"})
    await caller.send(data[:-5])
    result.raw = await caller.reader.readuntil(b"\r\n\r\n")
    await caller.send(data[-5:])
    result.answers.append(await caller.read())


async def _send_one(
    world: EdgeWorld,
    result: HttpResult,
    target: str,
    method: str = "POST",
    version: str = "1.1",
) -> None:
    body = b"" if method == "HEAD" else b"order"
    data = request_bytes(world.headers(), body, method, target, version)
    result.answers.append(await ask(world.instances[0].caller, data, method))


async def _send_refused(world: EdgeWorld, result: HttpResult) -> None:
    """Send the whole of a body that is rejected for its length, then read."""
    caller = await EdgeCaller.connect(world.instances[0].caller)
    data = request_bytes(world.headers(), b"x" * 3_000_000)
    await caller.send(data)
    result.answers.append(await caller.read())
    result.raw = await caller.reader.read()
    caller.close()


Behaviour = Callable[[EdgeWorld, HttpResult], Awaitable[None]]

_LONG = f"/work?bytes={LONG_REPLY_BYTES}"

_BEHAVIOURS: dict[str, Behaviour] = {
    "send a long body a byte at a time": _send_slowly,
    "stop reading a long reply": _stop_reading,
    "read a long reply slowly": _read_slowly,
    "open more connections than there may be": _exceed_connection_limit,
    "pipeline three requests": _pipeline,
    "close their sending side while it runs": _half_close,
    "expect 100-continue": _expect,
    "use HTTP/1.0 for a short reply": partial(_send_one, target="/work", version="1.0"),
    "use HTTP/1.0 for a long reply": partial(_send_one, target=_LONG, version="1.0"),
    "use HTTP/1.0 for a long reply without length": partial(
        _send_one, target="/long", version="1.0"
    ),
    "ask by HEAD": partial(_send_one, target="/work?bytes=50", method="HEAD"),
    "get a 204": partial(_send_one, target="/work?status=204"),
    "get a 304": partial(_send_one, target="/304"),
    "get a long reply": partial(_send_one, target=_LONG),
    "get a long reply that is cut": partial(_send_one, target="/cut"),
    "send a refused body to its end": _send_refused,
}
