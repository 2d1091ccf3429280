"""HTTP client that sends raw bytes and accepts incomplete responses."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import h11

from cicadatraild.network.http_client import Address


@dataclass(slots=True)
class CallerAnswer:
    """A response; ``whole`` is False if its end never arrived."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    trailers: dict[str, str] = field(default_factory=dict)
    whole: bool = False

    @property
    def outcome(self) -> str:
        name = "cicadatrail-outcome"
        found = self.headers.get(name) or self.trailers.get(name)
        return (found or "none") if self.whole else "cut"

    @property
    def reason(self) -> str:
        return self.headers.get("cicadatrail-reason", "")

    @property
    def findings(self) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = json.loads(self.body)["findings"]
        return found


def head(method: str, target: str, headers: dict[str, str], version: str) -> bytes:
    lines = [f"{method} {target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_bytes(
    headers: dict[str, str],
    body: bytes = b"order",
    method: str = "POST",
    target: str = "/work",
    version: str = "1.1",
) -> bytes:
    length = {"Content-Length": str(len(body))} if body else {}
    return head(method, target, {**headers, **length}, version) + body


class EdgeCaller:
    """One connection of a caller."""

    def __init__(self) -> None:
        self.pause_s = 0.0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: Address) -> EdgeCaller:
        caller = cls()
        caller.reader, caller.writer = await asyncio.open_connection(
            address.host, address.port, limit=2**16
        )
        return caller

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def half_close(self) -> None:
        self.writer.write_eof()

    def close(self) -> None:
        self.writer.transport.abort()

    async def read(self, method: str = "POST") -> CallerAnswer:
        """Read one response; it isn't ``whole`` if the connection ends early."""
        answer = CallerAnswer()
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        request = h11.Request(method=method, target="/", headers=[("Host", "edge")])
        self._http.send(request)
        self._http.send(h11.EndOfMessage())
        body = bytearray()
        try:
            while not answer.whole:
                self._apply_event(answer, body, await self._next_event())
        except (h11.RemoteProtocolError, ConnectionError, EOFError):
            pass
        answer.body = bytes(body)
        return answer

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await asyncio.sleep(self.pause_s)
            self._http.receive_data(await self.reader.read(65536))

    @staticmethod
    def _apply_event(answer: CallerAnswer, body: bytearray, event: Any) -> None:
        match event:
            case h11.Response():
                answer.status = event.status_code
                answer.headers = _decode_headers(event.headers)
            case h11.Data():
                body.extend(event.data)
            case h11.EndOfMessage():
                answer.trailers = _decode_headers(event.headers)
                answer.whole = True
            case h11.ConnectionClosed():
                raise EOFError


def _decode_headers(headers: Any) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in headers}


async def ask(address: Address, data: bytes, method: str = "POST") -> CallerAnswer:
    """Send one request on a new connection and return the response."""
    caller = await EdgeCaller.connect(address)
    sending = asyncio.get_running_loop().create_task(caller.send(data))
    try:
        return await caller.read(method)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        caller.close()
