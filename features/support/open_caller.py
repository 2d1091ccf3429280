"""A caller that keeps its connection open and notes how each request ended."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from features.support.platform_cluster import KEY, QUEUE_HOST, PlatformCluster

CLOSE_RACE_S = 0.2
"""Time after a request in which its connection may have been closed before it came."""


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a request ended; ``status`` is 0 if there was no answer."""

    target: str
    status: int
    duration_s: float

    @property
    def is_cut(self) -> bool:
        """Return whether the instance had the whole request and did not answer."""
        return self.status == 0 and self.duration_s > CLOSE_RACE_S


class OpenCaller:
    """Send requests one after another on a connection that is opened when needed."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.outcomes: list[CallOutcome] = []

    async def open(self, stack: AsyncExitStack) -> None:
        """Close the connection when ``stack`` closes."""
        stack.callback(self.disconnect)

    async def call(
        self, method: str, target: str, body: Any = None, deadline_s: float = 3.0
    ) -> CallOutcome | None:
        """Send a request and wait for its end; return None if nothing was sent."""
        if not await self._connect():
            return None
        began_s = asyncio.get_running_loop().time()
        status = await self._exchange(method, target, body, deadline_s)
        duration_s = asyncio.get_running_loop().time() - began_s
        outcome = CallOutcome(f"{method} {target}", status, duration_s)
        self.outcomes.append(outcome)
        return outcome

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        try:
            opened = await asyncio.open_connection(self._host, self._port)
        except OSError:
            return False
        self._reader, self._writer = opened
        return True

    async def _exchange(
        self, method: str, target: str, body: Any, deadline_s: float
    ) -> int:
        assert self._reader is not None
        assert self._writer is not None
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\nDeadline-Ms: {int(deadline_s * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + data)
            lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            await self._reader.readexactly(int(headers.get("content-length", "0")))
        except (OSError, asyncio.IncompleteReadError):
            self.disconnect()
            return 0
        if headers.get("connection") == "close":
            self.disconnect()
        return int(lines[0].split(" ")[1])

    def disconnect(self) -> None:
        """Close the connection; the next request opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def open_caller(cluster: PlatformCluster, name: str) -> OpenCaller:
    """Return a caller of one instance."""
    return OpenCaller(cluster.host(name), cluster.front_port)
