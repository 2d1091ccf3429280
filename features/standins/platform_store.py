"""A stand-in of the users' store: keyed topics, fenced appends and long polling."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer

RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
KEPT_ANSWER_COUNT = 5

Rewrite = Callable[[bytes], bytes]


@dataclass
class Topic:
    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    last_sequences: dict[str, int] = field(default_factory=dict)
    answers: dict[str, dict[int, Any]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return len(self.records)


@dataclass
class StoreFaults:
    """Faults that the store injects.

    ``down`` answers every call with 503, and ``refused_hosts`` only those of these
    hosts; ``unresponsive`` leaves every call unanswered; the next ``lost_answers``
    appends are applied but not answered; reads of ``unread_topics`` get 503.
    """

    down: bool = False
    unresponsive: bool = False
    lost_answers: int = 0
    refused_hosts: set[str] = field(default_factory=set)
    unread_topics: set[str] = field(default_factory=set)


class PlatformStore:
    """The store with its HTTP server, its records and its faults."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.faults = StoreFaults()
        self.append_count = 0
        self._appended = asyncio.Event()

    async def listen(
        self, stack: AsyncExitStack, host: str, rewrite: Rewrite = bytes
    ) -> int:
        """Listen until ``stack`` closes; readers get records through ``rewrite``."""
        handle = partial(self.handle, rewrite=rewrite)
        server = HttpServer("store", handle, HttpLimits())
        return await server.listen(stack, host, 0)

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b"")
        self._add(self.topic(topic), content)

    def put_json(self, topic: str, key: str, value: Any) -> None:
        self.put(topic, key, json.dumps(value).encode())

    def truncate_history(self, topic: str) -> None:
        self.topic(topic).first_offset = self.topic(topic).end

    def _add(self, topic: Topic, content: bytes) -> None:
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            topic.newest[key] = (topic.end, value)
        else:
            topic.newest.pop(key, None)
        topic.records.append(content)
        self._appended.set()
        self._appended = asyncio.Event()

    async def handle(self, exchange: HttpExchange, rewrite: Rewrite = bytes) -> None:
        body = await exchange.read_body()
        host = exchange.header_values(b"x-caller")
        if self.faults.unresponsive:
            await asyncio.sleep(3600)
        refused = host and host[0] in self.faults.refused_hosts
        if self.faults.down or refused:
            await exchange.respond(503)
            return
        url = urlsplit(exchange.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query.get("topic", ""))
        is_append = url.path.endswith("log-append")
        if query.get("topic") in self.faults.unread_topics and not is_append:
            await exchange.respond(503)
            return
        match url.path.rsplit("/", 1)[-1]:
            case "log-append":
                await self._append(exchange, topic, query, body)
            case "log-read":
                await self._read(exchange, topic, query, rewrite)
            case "log-newest":
                await self._newest(exchange, topic, query, rewrite)
            case _:
                await exchange.respond(404)

    async def _append(
        self, exchange: HttpExchange, topic: Topic, query: dict[str, str], body: bytes
    ) -> None:
        status, answer = self._apply_append(topic, query, body)
        if status == 200 and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            exchange.abort()
            return
        await exchange.respond(status, json.dumps(answer).encode())

    def _apply_append(
        self, topic: Topic, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        self.append_count += 1
        if "at" in query and int(query["at"]) != topic.end:
            return 412, {"end": topic.end}
        name = query.get("producer")
        if name is not None:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known_epoch = topic.epochs.get(name, -1)
            if epoch < known_epoch:
                return 409, {"reason": "fenced", "epoch": known_epoch}
            answers = topic.answers.setdefault(name, {})
            if epoch > known_epoch:
                answers.clear()
            elif sequence in answers:
                return 200, answers[sequence]
            elif sequence != topic.last_sequences[name] + 1:
                return 409, {"reason": "seq", "seq": topic.last_sequences[name] + 1}
            topic.epochs[name] = epoch
            topic.last_sequences[name] = sequence
        offset = topic.end
        position = 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            self._add(topic, body[position : position + length])
            position += length
        answer = {"offset": offset, "end": topic.end}
        if name is not None:
            answers[sequence] = answer
            for old in [n for n in answers if n <= sequence - KEPT_ANSWER_COUNT]:
                del answers[old]
        return 200, answer

    async def _read(
        self,
        exchange: HttpExchange,
        topic: Topic,
        query: dict[str, str],
        rewrite: Rewrite,
    ) -> None:
        offset = int(query["from"])
        until = asyncio.get_running_loop().time() + int(query.get("wait-ms", 0)) / 1000
        while offset >= topic.end:
            remaining_s = until - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._appended.wait(), remaining_s)
            except TimeoutError:
                break
        if offset < topic.first_offset:
            await exchange.respond(
                410, json.dumps({"first": topic.first_offset}).encode()
            )
            return
        found = [rewrite(record) for record in topic.records[offset:]]
        body = OFFSETS.pack(topic.end, topic.first_offset)
        body += b"".join(RECORD_LENGTH.pack(len(r)) + r for r in found)
        await exchange.respond(200, body)

    async def _newest(
        self,
        exchange: HttpExchange,
        topic: Topic,
        query: dict[str, str],
        rewrite: Rewrite,
    ) -> None:
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(rewrite(topic.newest[key][1])).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        answer = {"items": items, "more": len(keys) > 500, "end": topic.end}
        await exchange.respond(200, json.dumps(answer).encode())
