"""Stand-in for the log: an append-only list of records with injectable faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.models.platform import LogPage, PlatformError
from cicadatraild.network.http_server import HttpExchange


@dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults that the log injects.

    ``down`` fails every call and ``slow_s`` delays it. The next
    ``lost_answer_count`` appends are applied but reported as failed. Reads miss the
    newest ``stale_tail_count`` records.
    """

    down: bool = False
    slow_s: float = 0.0
    lost_answer_count: int = 0
    stale_tail_count: int = 0


class LogStore:
    """An in-memory ``LogService`` that keeps the last ``retention_count`` records."""

    def __init__(self, retention_count: int = 1_000_000) -> None:
        self.records: list[bytes] = []
        self.faults = LogFaults()
        self.append_call_count = 0
        self._first = 0
        self._retention_count = retention_count
        self._appended = asyncio.Event()

    @property
    def first_offset(self) -> int:
        return max(self._first, len(self.records) - self._retention_count)

    async def append(self, payloads: Sequence[bytes]) -> Result[int, PlatformError]:
        await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            return Failure(PlatformError("the log is down", False))
        self.append_call_count += 1
        first_offset = len(self.records)
        self.records.extend(payloads)
        self._appended.set()
        self._appended = asyncio.Event()
        if self.faults.lost_answer_count:
            left = self.faults.lost_answer_count - 1
            self.faults = replace(self.faults, lost_answer_count=left)
            return Failure(PlatformError("the answer was lost", True))
        return Success(first_offset)

    async def read(
        self, from_offset: int, limit_count: int, wait_s: float
    ) -> Result[LogPage, PlatformError]:
        await asyncio.sleep(self.faults.slow_s)
        if not self.faults.down and len(self.records) <= from_offset and wait_s:
            await self._wait_for_append(wait_s)
        if self.faults.down:
            return Failure(PlatformError("the log is down", False))
        end = len(self.records) - self.faults.stale_tail_count
        start = max(from_offset, self.first_offset)
        found = tuple(self.records[start : max(start, min(end, start + limit_count))])
        return Success(LogPage(start, found, self.first_offset, end))

    async def _wait_for_append(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._appended.wait()
        except TimeoutError:
            return


class LogHandler:
    """Serve a ``LogStore`` over the HTTP protocol of the node's log client."""

    def __init__(self, store: LogStore) -> None:
        self._store = store

    async def __call__(self, exchange: HttpExchange) -> None:
        parts = urlsplit(exchange.target)
        match exchange.method, parts.path:
            case "POST", "/append":
                payloads = msgpack.unpackb(await exchange.read_body())
                result = await self._store.append(payloads)
                answer: Result[Any, PlatformError] = result.map(_offset_map)
            case "GET", "/records":
                query = {name: int(v[0]) for name, v in parse_qs(parts.query).items()}
                page = await self._store.read(
                    query["from"], query["limit"], query["wait_ms"] / 1000
                )
                answer = page.map(_page_map)
            case "POST", "/faults":
                raw = json.loads(await exchange.read_body())
                self._store.faults = LogFaults(**raw)
                await exchange.respond(204)
                return
            case _:
                await exchange.respond(404)
                return
        match answer:
            case Success(value):
                await exchange.respond(200, msgpack.packb(value))
            case Failure(error):
                await exchange.respond(503 if error.maybe_done else 429)


def _offset_map(offset: int) -> dict[str, int]:
    return {"first_offset": offset}


def _page_map(page: LogPage) -> dict[str, object]:
    return {
        "from_offset": page.from_offset,
        "first_offset": page.first_offset,
        "next_offset": page.next_offset,
        "records": list(page.payloads),
    }
