"""Steps of peer_links.feature: requests that share a link."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any
from unittest.mock import patch

from behave import then, when

from cicadatraild.network.frames import FrameStream
from cicadatraild.network.listener import listen_for_streams
from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.messages import (
    AskCandidate,
    AskHolder,
    CandidateIs,
    ConfirmHolder,
    HolderIs,
    Reply,
    Request,
    encode_message,
)
from cicadatraild.scheduling.peers import PeerClient, PeerServer, PeerUnreachableError
from features.support.faulty_proxy import HOST
from features.support.paused_loop import run_paused
from features.support.recovery_world import KnownLeadership

# ruff: noqa: SLF001

SLOW = ConfirmHolder(1)
SLOW_S = 1.0
LIMIT_S = 5.0


class _Peer:
    """A peer that replies at once, after ``SLOW_S`` or never, by the request."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.hosts: list[str] = []
        self.server = PeerServer(self._answer, self.hosts.append)

    async def open(self, stack: AsyncExitStack) -> PeerClient:
        client = PeerClient(await self.server.listen(stack, HOST, 0))
        await client.open(stack)
        return client

    async def _answer(self, request: Request) -> Reply:
        self.requests.append(request)
        match request:
            case AskCandidate():
                await asyncio.sleep(LIMIT_S)
            case ConfirmHolder():
                await asyncio.sleep(SLOW_S)
        return HolderIs(1, "")


@when(
    "one request gets no reply in {timeout_s:g} s while another one takes 1 s on the "
    "same link"
)
def step_slow(context: Any, timeout_s: float) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            peer = context.peer = _Peer()
            client = await peer.open(stack)
            await client.call(HOST, AskHolder(), LIMIT_S)
            context.outcomes = await asyncio.gather(
                client.call(HOST, AskCandidate(), timeout_s),
                client.call(HOST, SLOW, LIMIT_S),
                return_exceptions=True,
            )
            await asyncio.sleep(0.1)
            context.stream_count = len(peer.server._streams)

    run_paused(scenario())


@then("the other one was replied to, and the peer got it once")
def step_replied(context: Any) -> None:
    lost, reply = context.outcomes
    assert isinstance(lost, PeerUnreachableError), lost
    assert reply == HolderIs(1, ""), reply
    assert context.peer.requests.count(SLOW) == 1, context.peer.requests


@then("the peer has no stream after the last reply")
def step_no_stream(context: Any) -> None:
    assert context.stream_count == 0, context.stream_count


@when(
    "a request gets no reply in {timeout_s:g} s while others are replied to each 0.1 s"
)
def step_others(context: Any, timeout_s: float) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            peer = context.peer = _Peer()
            client = await peer.open(stack)
            await client.call(HOST, AskHolder(), LIMIT_S)
            lost = asyncio.ensure_future(client.call(HOST, AskCandidate(), timeout_s))
            while not lost.done():
                await client.call(HOST, AskHolder(), LIMIT_S)
                await asyncio.sleep(0.1)
            assert isinstance(lost.exception(), PeerUnreachableError)
            await client.call(HOST, AskHolder(), LIMIT_S)

    run_paused(scenario())


@then("the peer got all of them on one stream")
def step_one_stream(context: Any) -> None:
    assert context.peer.hosts == [HOST], context.peer.hosts


@when("a request gets no reply in {timeout_s:g} s on a stream that has died")
def step_dead(context: Any, timeout_s: float) -> None:
    streams: list[FrameStream] = []
    answering: set[asyncio.Task[None]] = set()

    async def answer(stream: FrameStream) -> None:
        number, _ = await stream.read()
        stream.write([number, encode_message(HolderIs(1, ""))])

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        streams.append(FrameStream(reader, writer, 4096))
        if len(streams) > 1:
            answering.add(asyncio.create_task(answer(streams[-1])))

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        listener = listen_for_streams(accept)
        client = PeerClient(listener.listen(HOST, 0))
        async with AsyncExitStack() as stack:
            stack.push_async_callback(listener.close)
            await client.open(stack)
            began_s = loop.time()
            other = asyncio.ensure_future(client.call(HOST, SLOW, LIMIT_S))
            other.add_done_callback(
                lambda _: setattr(context, "failed_s", loop.time() - began_s)
            )
            while not client._links:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            try:
                await client.call(HOST, AskCandidate(), timeout_s)
            except PeerUnreachableError:
                context.reply = await client.call(HOST, AskHolder(), timeout_s)
            await asyncio.wait({other})
            context.other = other.exception()
        for stream in streams:
            stream.abort()

    run_paused(scenario())


@then("another one on this stream has failed {limit_s:g} s after it was sent")
def step_failed(context: Any, limit_s: float) -> None:
    assert isinstance(context.other, PeerUnreachableError), context.other
    assert context.other.may_have_run
    assert context.failed_s < limit_s, context.failed_s


@then("a request sent after the first has failed is replied to")
def step_next(context: Any) -> None:
    assert context.reply == HolderIs(1, ""), context.reply


@when("an instance must answer a request while {state}")
def step_must_answer(context: Any, state: str) -> None:
    connect = asyncio.open_connection

    async def open_connection(_host: str, port: int) -> Any:
        if state == "a connection for it is made":
            await asyncio.sleep(LIMIT_S)
        return await connect(HOST, port)

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            stack.enter_context(patch("asyncio.open_connection", open_connection))
            client = await _Peer().open(stack)
            leadership: Any = KnownLeadership()
            candidate = CandidateIs(False, False, 0.0)
            entry = Entry(
                leadership, client, "own", (), lambda: None, lambda: candidate
            )
            now_s = asyncio.get_running_loop().time()
            entry.limits.close_at(now_s + 0.2)
            context.reply = await entry.ask(SLOW, now_s + LIMIT_S)

    run_paused(scenario())


@then("its answer is {answer}")
def step_answer(context: Any, answer: str) -> None:
    assert type(context.reply).__name__ == answer, context.reply
