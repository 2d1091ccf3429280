"""Workers and peers that fail at one step of a request."""

from __future__ import annotations

import asyncio
import json
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import msgpack

from cicadatrail_core.models.peer_messages import (
    BodyChunk,
    BodyEnd,
    ForwardGo,
    ForwardMessage,
    ForwardOpen,
    ReplyHead,
    ReplyUnknown,
    Reserved,
)
from cicadatrail_core.utils import codec
from cicadatraild.network.frames import FrameError, FrameStream, authenticate_as_server
from features.standins.workers import Ledger
from features.support.edge_world import CLUSTER_KEY, HOST

OTHER_ID = "018bcff4-aa4a-7d8e-91b7-000000000000"

Bytes = bytes
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"

REPLIES: dict[str, Callable[[bytes], bytes]] = {
    "dies before its reply": lambda body: b"",
    "dies in its reply's head": lambda body: b"HTTP/1.1 200 OK\r\nContent-Le",
    "dies in its reply's body": lambda body: _WHOLE % (len(body) + 9, body),
    "dies in a chunk": lambda body: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + body
    ),
    "dies before the last chunk": lambda body: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
        % (len(body), body)
    ),
    "states no length": lambda body: b"HTTP/1.1 200 OK\r\n\r\n" + body,
    "replies in no known form": lambda body: b"\x00\x01 nonsense\r\n\r\n" + body,
    "replies 500": lambda body: b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
    "replies 503": lambda body: b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
    "replies 204": lambda body: b"HTTP/1.1 204 Empty\r\n\r\n",
    "replies after a 103": lambda body: (
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + _WHOLE % (len(body), body)
    ),
    "replies twice": lambda body: _WHOLE % (len(body), body) + _WHOLE % (7, b"crossed"),
    "replies and closes": lambda body: _WHOLE % (len(body), body),
    "replies before the body came": lambda body: (
        b"HTTP/1.1 413 Long\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlong"
    ),
}
"""The bytes that a faulty worker sends before it closes the connection."""

KEEPS_OPEN = frozenset({"replies twice", "replies 204", "replies after a 103"})


class FaultyWorker:
    """A worker with one fault."""

    def __init__(self, worker_id: str, fault: str, ledger: Ledger) -> None:
        self.worker_id = worker_id
        self.fault = fault
        self.server: asyncio.Server | None = None
        self._ledger = ledger

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(http, reader, writer):
                http.start_next_cycle()
        except (h11.ProtocolError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: Any
    ) -> bool:
        request = await _next_event(http, reader)
        if not isinstance(request, h11.Request):
            return False
        if request.target.startswith(b"/_tasks"):
            report = {"worker_id": self.worker_id, "age_s": 0.0, "leaving": False}
            body = json.dumps({**report, "tasks": []}).encode()
            await _reply(http, reader, writer, body)
            return True
        request_id = dict(request.headers)[b"cicadatrail-request-id"].decode()
        team = dict(request.headers)[b"cicadatrail-team"].decode()
        if self.fault == "replies before the body came":
            writer.write(REPLIES[self.fault](b""))
            await asyncio.sleep(1.0)
            return False
        body = await _read_body(http, reader)
        self._ledger.begin(request_id, team)
        if self.fault == "never replies":
            await asyncio.sleep(3600.0)
        self._ledger.end(team, True)
        if self.fault == "dies for good before its reply" and self.server:
            self.server.close()
            return False
        if self.fault == "closes the idle connection":
            await _reply(http, reader, writer, request_id.encode() + b"\n" + body)
            await asyncio.sleep(0.1)
            return False
        writer.write(REPLIES[self.fault](request_id.encode() + b"\n" + body))
        if self.fault not in KEEPS_OPEN:
            return False
        http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        return True


async def _next_event(http: h11.Connection, reader: asyncio.StreamReader) -> Any:
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await reader.read(65536))
    return event


async def _read_body(http: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    body = b""
    while isinstance(event := await _next_event(http, reader), h11.Data):
        body += bytes(event.data)
    return body


async def _reply(
    http: h11.Connection, reader: asyncio.StreamReader, writer: Any, body: bytes
) -> None:
    if http.their_state is not h11.DONE:
        await _read_body(http, reader)
    length = [("Content-Length", str(len(body)))]
    writer.write(http.send(h11.Response(status_code=200, headers=length)))
    writer.write(http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage()))


class FakePeer:
    """A peer that follows the forward protocol except for one fault."""

    def __init__(self, name: str, fault: str, ledger: Ledger) -> None:
        self.name = name
        self.fault = fault
        self.port = 0
        self._ledger = ledger

    async def listen(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, 1 << 20)
        try:
            await authenticate_as_server(stream, CLUSTER_KEY, self.name)
            while await self._serve_one(stream, writer):
                pass
            await stream.drain()
        except FrameError:
            pass
        finally:
            writer.close()

    async def _serve_one(self, stream: FrameStream, writer: Any) -> bool:
        opened = _decode(await stream.read())
        if not isinstance(opened, ForwardOpen):
            return False
        request = opened.request
        if self.fault == "dies before it reserves":
            return False
        wrong = self.fault == "reserves for another request"
        _write(stream, Reserved(OTHER_ID if wrong else request.request_id, "p1"))
        if self.fault == "dies after it reserved":
            return False
        if self.fault == "reserves twice":
            _write(stream, Reserved(request.request_id, "p1"))
        go = _decode(await stream.read())
        if not isinstance(go, ForwardGo):
            return True
        headers = dict(go.headers)
        body = b""
        while isinstance(part := _decode(await stream.read()), BodyChunk):
            body += part.data
        caller_id = headers[b"cicadatrail-request-id".title()].decode()
        self._ledger.begin(caller_id, request.team_id)
        self._ledger.end(request.team_id, True)
        answer = caller_id.encode() + b"\n" + body
        return await self._reply(stream, writer, request.request_id, answer)

    async def _reply(
        self, stream: FrameStream, writer: Any, task_id: str, answer: bytes
    ) -> bool:
        good = [ReplyHead(task_id, 200, ()), BodyChunk(0, answer), BodyEnd(1)]
        match self.fault:
            case "dies after the request came":
                return False
            case "replies with a head that is none":
                good[0] = ReplyHead(task_id, 200, ((b"a\r\nb", b"c"),))
            case "replies for another request":
                good[0] = ReplyHead(OTHER_ID, 200, ())
            case "dies in its reply":
                _write(stream, good[0])
                _write(stream, good[1])
                return False
            case "repeats a part of its reply":
                good.insert(1, good[1])
            case "drops a part of its reply":
                good[2] = BodyEnd(2)
            case "sends its reply's parts out of turn":
                good[1] = BodyChunk(1, answer)
            case "cuts a frame":
                payload = msgpack.packb(codec.to_map(good[0], ForwardMessage))
                writer.write(struct.pack(">I", len(payload)) + payload[:-3])
                return False
            case "sends a frame that is too long":
                writer.write(struct.pack(">I", 1 << 30))
            case "sends no msgpack":
                writer.write(struct.pack(">I", 3) + b"\xc1\xc1\xc1")
            case "replies late":
                await asyncio.sleep(20.0)
            case "replies twice":
                good += [*good]
            case "replies and then says unknown":
                good.append(ReplyUnknown(task_id, "late"))
        for message in good:
            _write(stream, message)
        return True


def _decode(frame: Any) -> Any:
    return codec.from_map(frame, ForwardMessage).value_or(None)


def _write(stream: FrameStream, message: Any) -> None:
    stream.write(codec.to_map(message, ForwardMessage))


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
