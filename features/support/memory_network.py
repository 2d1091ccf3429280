"""Links in memory between machines that share a loop, in place of sockets.

The product's HTTP servers, HTTP clients and peer streams are replaced where bytes would
leave the process. Everything above them runs as it is.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from returns.result import Failure, Result, Success

from cicadatraild.network.client_exchange import (
    Address,
    ClientError,
    ClientFault,
    WholeResponse,
)
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.network.http_server import HttpServer
from cicadatraild.scheduling.messages import Reply, Request
from cicadatraild.scheduling.peers import PeerClient, PeerServer, PeerUnreachableError
from features.support.matrix_loop import OWNER, MachineLoop, machine_of

LATENCY_S = 0.001
CONNECT_S = 0.5
HTTP_OK = 200

Headers = tuple[tuple[bytes, bytes], ...]
Place = tuple[str, int]


class MemoryExchange:
    """One request as a server sees it, and the response to it."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        self.target = target
        self._headers = headers
        self._body = body
        self.answer: asyncio.Future[WholeResponse | None] = (
            asyncio.get_running_loop().create_future()
        )

    def header_values(self, name: bytes) -> list[str]:
        return [v.decode() for key, v in self._headers if key.lower() == name]

    async def read_body(self) -> bytes:
        return self._body

    async def respond(
        self, status: int, body: bytes = b"", headers: Headers = ()
    ) -> None:
        if not self.answer.done():
            self.answer.set_result(WholeResponse(status, headers, body))

    def abort(self) -> None:
        if not self.answer.done():
            self.answer.set_result(None)


class MemoryNetwork:
    """The servers by place, and what becomes of calls between machines.

    ``lost`` has the links, from one machine to another, on which everything gets lost.
    ``late_s`` returns by how much a call to a machine is carried out late, without an
    answer; it gets the machine and the last part of the call's target. ``life`` returns
    which life of a machine is present: a late call ends with the life to which it was
    sent, unless ``passes_late_calls_on`` is set. ``later_lives_calls`` counts the calls
    that a later life carried out instead, by the last part of their target.
    """

    passes_late_calls_on = False

    def __init__(self, loop: MachineLoop) -> None:
        self.lost: set[tuple[str, str]] = set()
        self.late_s: Callable[[str, str], float] = lambda _machine, _call: 0.0
        self.life: Callable[[str], int] = lambda _machine: 0
        self.later_lives_calls: Counter[str] = Counter()
        self._loop = loop
        self._servers: dict[Place, tuple[str, Any]] = {}
        self._peers: dict[Place, tuple[str, Any]] = {}
        self._ports = itertools.count(20_000)

    @contextmanager
    def in_place(self) -> Iterator[None]:
        """Replace the sockets of all that listens and calls meanwhile."""
        network = self

        async def listen(server: Any, _stack: object, host: str, port: int) -> int:
            place = (host, port or next(network._ports))
            network._servers[place] = (OWNER.get(), server._handler)
            return place[1]

        async def listen_to_peers(
            server: Any, _stack: object, host: str, port: int
        ) -> int:
            network._peers[host, port] = (OWNER.get(), server._answer)
            return port

        async def fetch(
            _pool: object, address: Address, *call: Any, **more: Any
        ) -> Any:
            return await network._fetch(address, *call, **more)

        async def call(client: Any, host: str, *request: Any) -> Reply:
            return await network._call_peer((host, client._port), *request)

        with ExitStack() as stack:
            for owner, name, value in (
                (HttpServer, "listen", listen),
                (PeerServer, "listen", listen_to_peers),
                (ConnectionPool, "fetch", fetch),
                (PeerClient, "call", call),
            ):
                stack.enter_context(patch.object(owner, name, value))
            yield

    def _is_lost(self, source: str, target: str) -> bool:
        return (machine_of(source), machine_of(target)) in self.lost

    async def _fetch(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
        **_: object,
    ) -> Result[WholeResponse, ClientError]:
        source = OWNER.get()
        owner, handler = self._servers.get((address.host, address.port), ("", None))
        if handler is None or owner in self._loop.dead:
            return Failure(ClientError(ClientFault.NOT_SENT, "refused"))
        await asyncio.sleep(LATENCY_S)
        if not may_send():
            return Failure(ClientError(ClientFault.NOT_SENT, "not permitted any more"))
        host = (b"Host", str(address).encode())
        # By this the store's stand-in tells hosts apart that it refuses.
        caller = (b"X-Caller", machine_of(source).encode())
        exchange = MemoryExchange(method, target, (host, caller, *headers), body)
        call = target.rsplit("/", 1)[-1]
        late_s = self.late_s(machine_of(owner), call)
        if not self._is_lost(source, owner):
            delivery = self._deliver(owner, handler, exchange, call, late_s)
            self._loop.run_as(owner, delivery)
        try:
            async with asyncio.timeout(timeout_s):
                response = await asyncio.shield(exchange.answer)
                await asyncio.sleep(LATENCY_S)
                if late_s or self._is_lost(owner, source):
                    await asyncio.sleep(timeout_s)
        except TimeoutError:
            return Failure(ClientError(ClientFault.NO_ANSWER, "no answer in time"))
        if response is None:
            return Failure(ClientError(ClientFault.TRUNCATED, "the connection ended"))
        return Success(response)

    async def _deliver(
        self, owner: str, handler: Any, exchange: Any, call: str, late_s: float
    ) -> None:
        life = self.life(machine_of(owner))
        await asyncio.sleep(LATENCY_S + late_s)
        is_same = self.life(machine_of(owner)) == life
        if is_same or not late_s or self.passes_late_calls_on:
            await handler(exchange)
            response = await exchange.answer
            is_carried_out = response is not None and response.status == HTTP_OK
            self.later_lives_calls[call] += is_carried_out and not is_same

    async def _call_peer(
        self,
        place: Place,
        request: Request,
        timeout_s: float,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Reply:
        source = OWNER.get()
        owner, answer = self._peers.get(place, ("", None))
        await asyncio.sleep(LATENCY_S)
        if answer is None or owner in self._loop.dead:
            raise PeerUnreachableError("refused", False, True)
        on_sent()
        try:
            async with asyncio.timeout(timeout_s):
                if self._is_lost(source, owner):
                    await asyncio.sleep(timeout_s)
                reply = await self._loop.run_as(owner, answer(request))
                await asyncio.sleep(LATENCY_S)
                if self._is_lost(owner, source):
                    await asyncio.sleep(timeout_s)
        except TimeoutError as error:
            raise PeerUnreachableError("no reply in time", True, False) from error
        return reply
