"""Send requests through entry instances with one fault and record the outcomes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from cicadatrail_core.admission.retry_budget import RetrySettings
from cicadatrail_core.models.rights import (
    IncarnationId,
)
from cicadatraild.network.http_client import Address
from features.support.edge_caller import CallerAnswer, EdgeCaller, ask, request_bytes
from features.support.edge_faults import FakePeer, FaultyWorker
from features.support.edge_world import (
    HOST,
    EdgeWorld,
    refusing_port,
)

SETTLE_S = 25.0
"""Time after which all leases have expired and nothing may be charged."""

POLL_S = 0.005
POLL_COUNT = 600

FULL_SIZE = "cpu_millicores=1000,memory_mib=64"
BODY = b"order"
LONG_BODY = b"o" * 200_000
ENDLESS_BODY = b"o" * 12_000_000
"""A body larger than all socket buffers on its way."""


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults of the workers and of the peer, and the number of instances."""

    worker_faults: tuple[str, ...] = ()
    peer_fault: str = ""
    instance_count: int = 1


@dataclass(slots=True)
class RequestResult:
    """Answers by request id, and the counts that the workers recorded."""

    answers: list[tuple[str, CallerAnswer]] = field(default_factory=list)
    repeatable: bool = False
    run_limit_count: int = 1
    expected_run_count: int | None = None
    retry_expected: bool = False
    retry_count: int = 0
    executions: Counter[str] = field(default_factory=Counter)
    charged_count: int = 0
    freed_s: float = 0.0
    still_running_count: int = 0
    renewal_count: int = 0
    expired_lease_count: int = 0
    started_without_rights: int = 0

    def problems(self) -> list[str]:
        """Return a description of each contradiction between answers and counts."""
        found = [f"{self.charged_count} remain charged"] if self.charged_count else []
        for request_id, answer in self.answers:
            found += self._problems_of(request_id, answer)
        for request_id, count in self.executions.items():
            if count > self.run_limit_count and not self.repeatable:
                found.append(f"{request_id} ran {count} times")
            if count != (self.expected_run_count or count):
                found.append(f"{request_id} ran only {count} times")
        if self.still_running_count:
            found.append(f"{self.still_running_count} still ran on released capacity")
        if self.retry_expected and not self.retry_count:
            found.append("no request was retried")
        return found

    def _problems_of(self, request_id: str, answer: CallerAnswer) -> list[str]:
        count = self.executions[request_id]
        outcomes = {a.outcome for name, a in self.answers if name == request_id}
        if outcomes == {"not-run"} and count:
            return [f"{request_id} ran but was reported not-run"]
        if answer.outcome != "complete" or answer.status != 200:
            return []
        own = f"{request_id}\n".encode()
        if not count or not answer.body.startswith(own):
            return [f"{request_id} got {answer.body[:60]!r}"]
        return []


@asynccontextmanager
async def faulty_edge(
    plan: FaultPlan,
    result: RequestResult,
    retries: RetrySettings = RetrySettings(extra_load_fraction=1.0),  # noqa: B008
) -> AsyncIterator[EdgeWorld]:
    """Start instances with the planned faults; fill ``result`` at the end."""
    async with AsyncExitStack() as stack:
        world = EdgeWorld(stack, retries=retries)
        rights = {0: set[str]()}
        for number, fault in enumerate(plan.worker_faults):
            await _add_worker(world, stack, f"w{number}", fault)
            rights[0].add(f"w{number}")
        if plan.instance_count > 1:
            for number in range(2):
                await world.add_worker(f"w{number}")
            rights = {0: {"w0"}, 1: {"w1"}}
        for _ in range(plan.instance_count):
            await world.add_instance()
        await world.settle(rights)
        if plan.peer_fault:
            await _add_peer(world, stack, plan.peer_fault)
        yield world
        await asyncio.sleep(SETTLE_S)
        result.executions = world.ledger.executions
        result.charged_count = sum(each.charged() for each in world.instances)
        result.retry_count = sum(
            each.parts["attempts"].retry_count for each in world.instances
        )
        workers = world.workers.values()
        result.renewal_count = sum(worker.renewal_count for worker in workers)
        result.expired_lease_count = sum(
            worker.expired_lease_count for worker in workers
        )


async def _add_worker(
    world: EdgeWorld, stack: AsyncExitStack, worker_id: str, fault: str
) -> None:
    if fault == "is well":
        await world.add_worker(worker_id)
        return
    if fault == "refuses connections":
        world.register_worker(worker_id, refusing_port(stack))
        return
    worker = FaultyWorker(worker_id, fault, world.ledger)
    server = worker.server = await asyncio.start_server(worker.serve, HOST, 0)
    stack.callback(server.close)
    world.register_worker(worker_id, server.sockets[0].getsockname()[1])


async def _add_peer(world: EdgeWorld, stack: AsyncExitStack, fault: str) -> None:
    peer = FakePeer("peer", fault, world.ledger)
    server = await peer.listen()
    stack.callback(server.close)
    directory = world.instances[0].parts["directory"]
    directory.set_members({IncarnationId("peer"): Address(HOST, peer.port)})
    # No instance owns this worker: it lets the request pass admission and wait
    # here, so that it is offered to the peer.
    world.register_worker("away", refusing_port(stack))
    world.instances[0].take_state(frozenset(), 50)


def build_request(world: EdgeWorld, kind: str, request_id: str, target: str) -> bytes:
    headers = world.headers(
        repeatable=kind == "repeatable", Cicadatrail_Request_Id=request_id
    )
    if kind != "streamed":
        return request_bytes(headers, BODY, target=target)
    headers["Transfer-Encoding"] = "chunked"
    start = request_bytes(headers, b"", target=target)
    return start + b"%x\r\n%s\r\n0\r\n\r\n" % (len(ENDLESS_BODY), ENDLESS_BODY)


async def send(plan: FaultPlan, kind: str) -> RequestResult:
    """Send two requests in turn, the second over the connections of the first."""
    wanted = kind == "repeatable" and len(plan.worker_faults) > 1
    result = RequestResult(repeatable=kind == "repeatable", retry_expected=wanted)
    async with faulty_edge(plan, result) as world:
        for _ in range(2):
            request_id = str(world.identifiers.new())
            data = build_request(world, kind, request_id, "/work")
            answer = await ask(world.instances[0].caller, data)
            result.answers.append((request_id, answer))
            await asyncio.sleep(0.2)
    return result


async def send_many(plan: FaultPlan, count: int) -> RequestResult:
    """Send repeatable requests in turn, under the default retry budget."""
    result = RequestResult(repeatable=True)
    async with faulty_edge(plan, result, RetrySettings()) as world:
        for _ in range(count):
            data = build_request(
                world, "repeatable", str(world.identifiers.new()), "/work"
            )
            await ask(world.instances[0].caller, data)
    return result


async def send_without_rights(plan: FaultPlan) -> RequestResult:
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        for instance in world.instances:
            instance.may_spend = False
        data = request_bytes(world.headers(), BODY)
        answer = await ask(world.instances[0].caller, data)
        result.answers.append((answer.headers["cicadatrail-request-id"], answer))
    return result


async def end_body_without_rights(plan: FaultPlan, without_s: float) -> RequestResult:
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        entry = world.instances[0]
        request_id = str(world.identifiers.new())
        headers = world.headers(
            Cicadatrail_Request_Id=request_id, Transfer_Encoding="chunked"
        )
        caller = await EdgeCaller.connect(entry.caller)
        await caller.send(request_bytes(headers, b""))
        await caller.send(b"%x\r\n%s\r\n" % (len(LONG_BODY), LONG_BODY))
        await asyncio.sleep(1.0)
        entry.may_spend = False
        await caller.send(b"0\r\n\r\n")
        await asyncio.sleep(without_s)
        result.started_without_rights = sum(world.ledger.executions.values())
        entry.may_spend = True
        result.answers.append((request_id, await caller.read()))
        caller.close()
    return result


async def disconnect_at(plan: FaultPlan, step: str) -> RequestResult:
    """Close a caller's connection at a step; time the release of its capacity."""
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        entry = world.instances[0]
        others = await _prepare_step(world, step)
        target = "/work?run_ms=0&bytes=8000000"
        if step != "gets its reply":
            target = "/work?run_ms=9000"
        headers = world.headers(Cicadatrail_Size=FULL_SIZE)
        data = request_bytes(headers, BODY, target=target)
        if step == "sends its body":
            headers["Transfer-Encoding"] = "chunked"
            part = b"%x\r\n%s\r\n" % (len(LONG_BODY), LONG_BODY)
            data = request_bytes(headers, b"", target=target) + part
        caller = await EdgeCaller.connect(entry.caller)
        await caller.send(data)
        await asyncio.sleep(1.0)
        assert _held_count(world, step), "the request is not at this step"
        caller.close()
        result.freed_s = await _measure_release_delay(world, step)
        if step != "waits":
            workers = world.workers.values()
            result.still_running_count = sum(len(worker.tasks) for worker in workers)
        for other in others:
            other.close()
    return result


async def _prepare_step(world: EdgeWorld, step: str) -> list[EdgeCaller]:
    if step == "runs at the peer":
        world.instances[0].take_state(frozenset(), 50)
    if step != "waits":
        return []
    others = []
    for instance in world.instances:
        other = await EdgeCaller.connect(instance.caller)
        headers = world.headers(Cicadatrail_Size=FULL_SIZE)
        await other.send(request_bytes(headers, BODY, target="/work?run_ms=9000"))
        others.append(other)
    await asyncio.sleep(0.1)
    return others


def _held_count(world: EdgeWorld, step: str) -> int:
    dispatch_queues = [instance.parts["desk"] for instance in world.instances]
    if step == "waits":
        return sum(dispatch_queue.waiting_count for dispatch_queue in dispatch_queues)
    if step == "runs at the peer":
        return dispatch_queues[1].running_on["w1"]
    return sum(instance.charged() for instance in world.instances)


async def wait_beside_frozen(plan: FaultPlan) -> RequestResult:
    """Time the gap between a task that fills the worker and the next task."""
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        entry = world.instances[0]
        frozen = await asyncio.start_server(_freeze, HOST, 0)
        peer = Address(HOST, frozen.sockets[0].getsockname()[1])
        entry.parts["directory"].set_members({IncarnationId("peer"): peer})
        headers = world.headers(Cicadatrail_Size=FULL_SIZE)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        first = request_bytes(headers, BODY, target="/work?run_ms=1000")
        second = request_bytes(headers, BODY, target="/work?run_ms=0")
        await asyncio.gather(ask(entry.caller, first), ask(entry.caller, second))
        result.freed_s = loop.time() - began_s - 1.0
        frozen.close()
    return result


async def _freeze(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(SETTLE_S)
    writer.close()


async def _measure_release_delay(world: EdgeWorld, step: str) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    for _ in range(POLL_COUNT):
        if not _held_count(world, step):
            break
        await asyncio.sleep(POLL_S)
    return loop.time() - began_s


async def run_leased(plan: FaultPlan, run_s: float, spend_s: float) -> RequestResult:
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        entry = world.instances[0]
        loop = asyncio.get_running_loop()
        loop.call_later(spend_s, setattr, entry, "may_spend", False)
        request_id = str(world.identifiers.new())
        headers = world.headers(
            Cicadatrail_Request_Id=request_id, Cicadatrail_Deadline_Ms="90000"
        )
        target = f"/work?run_ms={int(run_s * 1000)}"
        answer = await ask(entry.caller, request_bytes(headers, BODY, target=target))
        result.answers.append((request_id, answer))
    return result
