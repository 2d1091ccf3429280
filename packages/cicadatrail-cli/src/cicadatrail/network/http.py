"""One HTTP/1.1 request over one connection, by h11 on asyncio streams."""

from __future__ import annotations

import asyncio
import os
from contextlib import AsyncExitStack
from dataclasses import dataclass

import h11
from returns.result import Failure, Result, Success

from cicadatrail.utils.access import Address

RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that is taken, in bytes."""

READ_BYTES = 65536
"""Most bytes that are read from the connection at a time."""


@dataclass(frozen=True, slots=True)
class Request:
    """Hold what is asked of an admin listener."""

    method: str
    target: str
    token: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NoResponse:
    """State why an address gave no whole answer.

    ``sent`` is false only if no byte of the request left.
    """

    address: Address
    fault: str
    sent: bool


async def exchange(
    address: Address, request: Request, timeout_s: float
) -> Result[Response, NoResponse]:
    """Send a request and return its whole answer, within ``timeout_s``."""
    sent = False
    try:
        async with asyncio.timeout(timeout_s), AsyncExitStack() as stack:
            reader, writer = await asyncio.open_connection(address.host, address.port)
            stack.callback(writer.close)
            connection = h11.Connection(h11.CLIENT)
            sent = True
            writer.write(_encode_request(connection, address, request))
            await writer.drain()
            return Success(await _read_response(connection, reader))
    except TimeoutError:
        return Failure(NoResponse(address, f"gave no answer in {timeout_s:g} s", sent))
    except OSError as error:
        fault = os.strerror(error.errno) if error.errno else str(error)
        return Failure(NoResponse(address, fault, sent))
    except (h11.RemoteProtocolError, ValueError) as error:
        return Failure(NoResponse(address, f"gave a broken answer ({error})", sent))


def _encode_request(
    connection: h11.Connection, address: Address, request: Request
) -> bytes:
    headers = [
        ("Host", str(address)),
        ("Authorization", f"Bearer {request.token}"),
        ("Content-Length", str(len(request.body))),
        ("Connection", "close"),
    ]
    if request.body:
        headers.append(("Content-Type", "application/json"))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    events = (head, h11.Data(data=request.body), h11.EndOfMessage())
    return b"".join(connection.send(event) or b"" for event in events)


async def _read_response(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Response:
    status = 0
    body = bytearray()
    while True:
        match connection.next_event():
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            case h11.Response(status_code=status):
                pass
            case h11.Data(data=data):
                body += data
                if len(body) > RESPONSE_LIMIT_BYTES:
                    raise ValueError(f"it is over {RESPONSE_LIMIT_BYTES} bytes long")
            case h11.EndOfMessage():
                return Response(status, bytes(body))
            case h11.ConnectionClosed() | h11.PAUSED:
                raise ValueError("it ended early")
