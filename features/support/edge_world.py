"""Entry instances without a log or membership, in one process on loopback."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from typing import Any
from uuid import UUID

from cicadatrail_core.admission.retry_budget import RetryBudget, RetrySettings
from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.fleet import Place, Pool, Queue, Service, Team, Worker
from cicadatrail_core.models.peer_messages import (
    ControlMessage,
    Done,
    IdOutcome,
    IdQuery,
    PartitionHandover,
)
from cicadatrail_core.models.records import ClaimRecord
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    IncarnationId,
    PartitionRight,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import Dispatcher, DispatcherSettings
from cicadatrail_core.utils.keys import new_key
from cicadatraild.interfaces.worker_client import HttpWorkerControl
from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.http_server import Handler, HttpLimits, HttpServer
from cicadatraild.network.peer_client import LinkSettings, PeerDirectory, PeerLink
from cicadatraild.network.peer_server import PeerServer
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.attempt_runner import AttemptRunner
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.id_partitions import IdPartitions
from cicadatraild.serving.leases import LeaseRenewer
from cicadatraild.serving.peer_requests import PeerRequests
from cicadatraild.serving.placed_tasks import GivenUpTasks
from cicadatraild.serving.request_ids import RequestIds
from cicadatraild.serving.retries import RetryRunner
from cicadatraild.serving.router import Router
from cicadatraild.serving.upstream import Upstream
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.tracing import Tracing
from features.standins.workers import Ledger, StandInWorker

HOST = "127.0.0.1"
CLUSTER_KEY = bytes(16)
WALL_BEGIN_S = 1_700_000_000.0
TEAM, OTHER_TEAM = "team-1", "team-2"
SERVICE, QUEUE, POOL = "service-1", "queue-1", "pool-1"
CAPACITY = Resources(cpu_millicores=1000, memory_mib=4096)
LEASE_S = 10.0


class Identifiers:
    """Generate version 7 UUIDs from a seed and a wall clock."""

    def __init__(self, seed: int, wall_clock: Callable[[], float]) -> None:
        self._random = random.Random(seed)
        self._wall_clock = wall_clock

    def new(self) -> UUID:
        bits = self._random.getrandbits(74)
        value = int(self._wall_clock() * 1000) << 80 | 7 << 76
        return UUID(int=value | (bits >> 62) << 64 | 2 << 62 | bits & ((1 << 62) - 1))


class UnlimitedSlots:
    """Slots without a limit, as these tests don't cover the teams' limits."""

    def start(self, request_id: str, team_id: str) -> bool:
        return True

    def end(self, request_id: str) -> None:
        return


@dataclass(slots=True)
class EdgeInstance:
    """An entry instance with the request path assembled as in ``app``."""

    name: IncarnationId
    world: EdgeWorld
    stack: AsyncExitStack
    limits: HttpLimits = field(default_factory=HttpLimits)
    may_spend: bool = True
    frozen_after_checks: int | None = None
    caller: Address = field(default=Address(HOST, 0))
    peer: Address = field(default=Address(HOST, 0))
    peers: tuple[PeerLink, ...] | None = None
    parts: dict[str, Any] = field(default_factory=dict)

    async def start(self) -> None:
        pool = ConnectionPool(1.0)
        await pool.open(self.stack)
        directory = PeerDirectory(
            LinkSettings(self.name, CLUSTER_KEY, 1 << 20, ControlMessage),
            lambda *_: None,
        )
        await directory.open(self.stack)
        dispatch_queue = DispatchQueue(
            Dispatcher(DispatcherSettings()), UnlimitedSlots()
        )
        control = HttpWorkerControl(pool)
        given_up = GivenUpTasks(dispatch_queue, control)
        await given_up.open(self.stack)
        leases = LeaseRenewer(control, self._may_spend, LEASE_S)
        await leases.open(self.stack)
        new = self.world.identifiers.new
        admission = Admission(lambda _: True, new)
        partitions = IdPartitions(
            self.name,
            self.world.wall_clock,
            lambda _: self.may_spend,
            lambda: True,
            lambda taker, message: _send(directory, taker, message),
        )
        upstream = Upstream(pool, self.name, self._may_spend, lambda _: None)
        tracing = Tracing(self.name, 0.0, None, pool)
        attempt_runner = AttemptRunner(
            dispatch_queue,
            upstream,
            given_up,
            leases,
            lambda worker_id: self.world.state.workers.get(worker_id),
            lambda _: directory.links if self.peers is None else self.peers,
            tracing,
        )
        budget = RetryBudget(self.world.retries)
        retry_runner = RetryRunner(
            attempt_runner, budget, random.Random(self.world.seed), lambda: str(new())
        )
        ids = RequestIds(
            self.name,
            partitions,
            lambda: self.world.state,
            directory,
            self.world.wall_clock,
            lambda: str(new()),
        )
        in_flight = InFlightWork()
        router = Router(admission, retry_runner, ids, in_flight, tracing)
        requests = PeerRequests(
            admission, dispatch_queue, attempt_runner, in_flight, tracing
        )
        self.parts = {
            "pool": pool,
            "directory": directory,
            "desk": dispatch_queue,
            "leases": leases,
            "given_up": given_up,
            "admission": admission,
            "partitions": partitions,
            "attempts": retry_runner,
            "router": router,
        }
        await self._listen(requests, router, self.limits)
        expiry = asyncio.get_running_loop().create_task(dispatch_queue.run())
        self.stack.callback(expiry.cancel)

    def take_state(self, workers: frozenset[str], slot_count: int) -> None:
        state = self.world.state
        self.parts["admission"].state = state
        slots = {TEAM: slot_count, OTHER_TEAM: slot_count}
        self.parts["desk"].configure(state, workers, slots)
        self.parts["partitions"].take_state(state)

    def charged(self) -> int:
        dispatch_queue: DispatchQueue = self.parts["desk"]
        running = sum(dispatch_queue.running_on.values())
        return running + dispatch_queue.waiting_count + self.parts["given_up"].count

    async def _listen(
        self, requests: PeerRequests, router: Router, limits: HttpLimits
    ) -> None:
        server = PeerServer(
            self.name,
            CLUSTER_KEY,
            1 << 20,
            ControlMessage,
            self._serve_control,
            requests.serve,
        )
        self.peer = Address(HOST, await server.listen(self.stack, HOST, 0))
        self.parts["peer_server"] = server
        callers = HttpServer("caller", router.serve_caller, limits)
        self.parts["callers"] = callers
        self.caller = Address(HOST, await callers.listen(self.stack, HOST, 0))

    def _may_spend(self, _now_s: float) -> bool:
        return self.may_spend

    async def _serve_control(self, sender: IncarnationId, message: Any) -> Any:
        partitions: IdPartitions = self.parts["partitions"]
        fault = self.world.control_fault
        match message:
            case IdQuery():
                answer = partitions.answer(message)
                if fault == "query answer lost" and self.world.use_up_fault():
                    await asyncio.sleep(60.0)
                return answer
            case IdOutcome():
                if fault == "outcome lost":
                    await asyncio.sleep(60.0)
                partitions.record_outcome(message)
            case PartitionHandover():
                if fault != "handover lost":
                    partitions.receive_handover(sender, message)
        return Done()


@dataclass(slots=True)
class EdgeWorld:
    """A small fleet: its state, workers, entry instances and ledger."""

    stack: AsyncExitStack
    seed: int = 1
    retries: RetrySettings = field(default_factory=RetrySettings)
    ledger: Ledger = field(default_factory=Ledger)
    workers: dict[str, StandInWorker] = field(default_factory=dict)
    instances: list[EdgeInstance] = field(default_factory=list)
    state: State = field(default_factory=State)
    keys: dict[str, str] = field(default_factory=dict)
    control_fault: str = ""
    control_fault_count: int = 1
    identifiers: Identifiers = field(init=False)

    def __post_init__(self) -> None:
        self.identifiers = Identifiers(self.seed, self.wall_clock)
        source = random.Random(self.seed)
        teams = (TEAM, OTHER_TEAM)
        issued = [new_key(team, source.randbytes) for team in teams]
        self.keys = {key.entry.team_id: key.text for key in issued}
        self.state = State(
            pools={POOL: Pool(POOL)},
            services={SERVICE: Service(SERVICE, POOL, 1)},
            queues={QUEUE: Queue(QUEUE, SERVICE)},
            teams={team: Team(team, 1.0, 100) for team in teams},
            keys={key.entry.key_id: key.entry for key in issued},
        )

    def wall_clock(self) -> float:
        return WALL_BEGIN_S + asyncio.get_running_loop().time()

    def use_up_fault(self) -> bool:
        self.control_fault_count -= 1
        return self.control_fault_count >= 0

    async def add_worker(self, worker_id: str) -> StandInWorker:
        worker = StandInWorker(worker_id, self.ledger)
        self.workers[worker_id] = worker
        await self.serve_worker(worker_id, worker)
        return worker

    async def serve_worker(self, worker_id: str, handler: Handler) -> None:
        server = HttpServer(worker_id, handler, HttpLimits())
        self.register_worker(worker_id, await server.listen(self.stack, HOST, 0))

    def register_worker(self, worker_id: str, port: int) -> None:
        place = Place("home", "a", "rack-1")
        worker = Worker(worker_id, HOST, port, place, CAPACITY)
        self.state = replace(
            self.state,
            workers={**self.state.workers, worker_id: worker},
            pool_of={**self.state.pool_of, worker_id: POOL},
        )

    async def add_instance(self, limits: HttpLimits | None = None) -> EdgeInstance:
        name = IncarnationId(f"entry-{len(self.instances)}")
        instance = EdgeInstance(name, self, self.stack, limits or HttpLimits())
        await instance.start()
        self.instances.append(instance)
        return instance

    async def settle(self, workers: dict[int, set[str]], slot_count: int = 50) -> None:
        """Assign workers to instances, and all partitions to the first instance."""
        first = self.instances[0].name
        self.assign_partitions(first)
        members = {each.name: each.peer for each in self.instances}
        for number, instance in enumerate(self.instances):
            instance.parts["directory"].set_members(
                {name: peer for name, peer in members.items() if name != instance.name}
            )
            instance.take_state(frozenset(workers.get(number, ())), slot_count)
            rights = tuple(PartitionRight(p) for p in range(PARTITION_COUNT))
            claim = Envelope(first, 1, ClaimRecord(first, rights))
            instance.parts["partitions"].note_record(claim)
        await asyncio.sleep(0.01)

    def assign_partitions(self, owner: IncarnationId) -> None:
        owners = dict.fromkeys(range(PARTITION_COUNT), owner)
        self.state = replace(self.state, partition_holders=owners)

    def headers(self, *, repeatable: bool = False, **extra: str) -> dict[str, str]:
        return {
            "Host": "edge",
            "Cicadatrail-Key": self.keys[TEAM],
            "Cicadatrail-Service": SERVICE,
            "Cicadatrail-Queue": QUEUE,
            "Cicadatrail-Deadline-Ms": "15000",
            "Cicadatrail-Repeatable": "yes" if repeatable else "no",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }


def _send(directory: PeerDirectory, taker: IncarnationId, message: Any) -> None:
    link = directory.link(taker)
    if link is not None:
        directory.spawn(_call(link, message))


async def _call(link: PeerLink, message: Any) -> None:
    await link.call(message, 2.0)


def refusing_port(stack: AsyncExitStack) -> int:
    """Return a port that refuses connections and stays reserved for ``stack``."""
    bound = stack.enter_context(socket.socket())
    bound.bind((HOST, 0))
    port: int = bound.getsockname()[1]
    return port
