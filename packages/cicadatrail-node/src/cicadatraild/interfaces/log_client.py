"""HTTP client of the platform's log, with msgpack bodies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgpack
from returns.result import Failure, Result, Success

from cicadatrail_core.models.platform import LogPage, PlatformError
from cicadatraild.network.http_client import (
    Address,
    ClientError,
    ClientFault,
    ConnectionPool,
    WholeResponse,
)

PAGE_LIMIT_BYTES = 64 * 1024 * 1024
"""Largest accepted page of records."""


class HttpLogClient:
    """Implementation of ``models.platform.LogService`` over HTTP."""

    __slots__ = ("_address", "_pool", "_timeout_s")

    def __init__(
        self, pool: ConnectionPool, address: Address, timeout_s: float
    ) -> None:
        self._pool = pool
        self._address = address
        self._timeout_s = timeout_s

    async def append(self, payloads: Sequence[bytes]) -> Result[int, PlatformError]:
        """Append records in one call; return the offset of the first."""
        body: bytes = msgpack.packb(list(payloads), use_bin_type=True)
        answer = await self._fetch("POST", "/append", self._timeout_s, body)
        match answer:
            case Success({"first_offset": int(first_offset)}):
                return Success(first_offset)
            case Success(_):
                return Failure(PlatformError("the response is malformed", True))
        return Failure(answer.failure())

    async def read(
        self, from_offset: int, limit_count: int, wait_s: float
    ) -> Result[LogPage, PlatformError]:
        """Return records from an offset on, waiting up to ``wait_s`` for the first."""
        wait_ms = round(wait_s * 1000)
        target = f"/records?from={from_offset}&limit={limit_count}&wait_ms={wait_ms}"
        answer = await self._fetch("GET", target, self._timeout_s + wait_s)
        match answer:
            case Success(
                {
                    "from_offset": int(start),
                    "first_offset": int(first),
                    "next_offset": int(end),
                    "records": [*payloads],
                }
            ) if all(isinstance(payload, bytes) for payload in payloads):
                return Success(LogPage(start, tuple(payloads), first, end))
            case Success(_):
                return Failure(PlatformError("the response is malformed", False))
        return Failure(answer.failure())

    async def _fetch(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> Result[Any, PlatformError]:
        fetched = await self._pool.fetch(
            self._address,
            method,
            target,
            body=body,
            timeout_s=timeout_s,
            body_limit_bytes=PAGE_LIMIT_BYTES,
        )
        match fetched:
            case Success(response):
                return _read_answer(response)
        return Failure(_platform_error(fetched.failure()))


def _read_answer(response: WholeResponse) -> Result[Any, PlatformError]:
    if response.status != 200:
        maybe_done = response.status >= 500
        return Failure(PlatformError(f"status {response.status}", maybe_done))
    try:
        return Success(msgpack.unpackb(response.body, raw=False))
    except (ValueError, msgpack.exceptions.UnpackException):
        return Failure(PlatformError("the response is not msgpack", True))


def _platform_error(error: ClientError) -> PlatformError:
    return PlatformError(str(error), error.fault is not ClientFault.NOT_SENT)
