"""Steps of closed_links.feature: streams opened or returned after a close."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

from behave import then, when
from returns.result import Failure

from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.network import peer_server
from cicadatraild.network.client_exchange import Address
from cicadatraild.network.frames import FrameError, FrameStream
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from cicadatraild.network.peer_client import LinkSettings, PeerDirectory, PeerLink
from cicadatraild.scheduling import peers
from cicadatraild.scheduling.messages import AskHolder, HolderIs, Reply, Request
from features.support.faulty_proxy import HOST

SERVER = IncarnationId("server")
KEY = b"key"
LIMIT_BYTES = 1024

Close = Callable[[], Awaitable[None]]
Opening = tuple[Awaitable[Any], Close, Callable[[], int]]


async def _open_instance_peers(stack: AsyncExitStack) -> Opening:
    async def answer(request: Request) -> Reply:
        return HolderIs(0, "")

    server = peers.PeerServer(answer, lambda host: None)
    client = peers.PeerClient(await server.listen(stack, HOST, 0))
    owner = AsyncExitStack()
    await client.open(owner)
    return (
        client.call(HOST, AskHolder(), 1.0),
        owner.aclose,
        lambda: len(server._streams),
    )


async def _open_link(
    stack: AsyncExitStack,
) -> tuple[PeerLink, Close, Callable[[], int]]:
    async def echo(_sender: IncarnationId, message: Any) -> Any:
        return message

    async def forward(_sender: IncarnationId, stream: FrameStream) -> None:
        await stream.read()

    server = peer_server.PeerServer(SERVER, KEY, LIMIT_BYTES, int, echo, forward)
    port = await server.listen(stack, HOST, 0)
    settings = LinkSettings(IncarnationId("client"), KEY, LIMIT_BYTES, int)
    directory = PeerDirectory(settings, lambda name, fault: None)
    owner = AsyncExitStack()
    await directory.open(owner)
    directory.set_members({SERVER: Address(HOST, port)})
    link = directory.link(SERVER)
    assert link is not None
    return link, owner.aclose, lambda: len(server._tasks)


async def _open_control(stack: AsyncExitStack) -> Opening:
    link, close, count = await _open_link(stack)
    return link.call(1, 1.0), close, count


async def _open_forward(stack: AsyncExitStack) -> Opening:
    link, close, count = await _open_link(stack)
    return link.open_forward(), close, count


OWNERS: dict[str, Callable[[AsyncExitStack], Awaitable[Opening]]] = {
    "an instance's peers": _open_instance_peers,
    "a control link": _open_control,
    "a pool of forward streams": _open_forward,
}


@when("{kind} is closed while a stream is being opened")
def step_close_opening(context: Any, kind: str) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            call, close, count = await OWNERS[kind](stack)
            opening = asyncio.ensure_future(call)
            await asyncio.sleep(0)
            await close()
            outcomes = await asyncio.gather(opening, return_exceptions=True)
            context.outcome = outcomes[0]
            await asyncio.sleep(0.2)
            context.left_count = count()

    asyncio.run(scenario())


@then("the call that opens it fails")
def step_call_fails(context: Any) -> None:
    failures = Failure | FrameError | peers.PeerUnreachableError
    assert isinstance(context.outcome, failures), context.outcome


@then("its server has no stream after 0.2 s")
def step_none_left(context: Any) -> None:
    assert context.left_count == 0, context.left_count


@when("a forward stream is returned to a link that has closed")
def step_return_stream(context: Any) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            link, close, count = await _open_link(stack)
            stream = await link.open_forward()
            await close()
            link.release(stream)
            await asyncio.sleep(0.2)
            context.left_count = count()

    asyncio.run(scenario())


@when("an HTTP exchange ends after its pool has closed")
def step_return_connection(context: Any) -> None:
    async def answer(exchange: HttpExchange) -> None:
        await asyncio.sleep(0.1)
        await exchange.respond(200)

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            server = HttpServer("pooled", answer, HttpLimits())
            address = Address(HOST, await server.listen(stack, HOST, 0))
            pool = ConnectionPool(connect_timeout_s=1.0)
            owner = AsyncExitStack()
            await pool.open(owner)
            fetching = asyncio.create_task(
                pool.fetch(address, "GET", "/", timeout_s=1.0)
            )
            await asyncio.sleep(0.05)
            await owner.aclose()
            await fetching
            await asyncio.sleep(0.2)
            context.left_count = server.connection_count

    asyncio.run(scenario())
