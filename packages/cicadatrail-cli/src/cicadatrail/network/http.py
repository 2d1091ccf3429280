"""HTTP/1.1 client with one request per connection, on h11 and asyncio streams."""

from __future__ import annotations

import asyncio
import os
from contextlib import AsyncExitStack
from dataclasses import dataclass

import h11
from returns.result import Failure, Result, Success

from cicadatrail.utils.access import Address

RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024
"""Largest response body that is accepted, in bytes."""

READ_BYTES = 65536
"""Maximum bytes per read from the connection."""


@dataclass(frozen=True, slots=True)
class Request:
    """Request to an admin listener."""

    method: str
    target: str
    token: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """Complete HTTP response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NoResponse:
    """Reason why an address gave no complete response.

    ``sent`` is false only if no byte of the request was sent.
    """

    address: Address
    fault: str
    sent: bool


async def exchange(
    address: Address, request: Request, timeout_s: float
) -> Result[Response, NoResponse]:
    """Send a request and return the complete response within ``timeout_s`` seconds."""
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
        return Failure(
            NoResponse(address, f"sent no response in {timeout_s:g} s", sent)
        )
    except OSError as error:
        fault = os.strerror(error.errno) if error.errno else str(error)
        return Failure(NoResponse(address, fault, sent))
    except (h11.RemoteProtocolError, ValueError) as error:
        return Failure(NoResponse(address, f"sent an invalid response ({error})", sent))


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
                    raise ValueError(
                        f"the body is over {RESPONSE_LIMIT_BYTES} bytes long"
                    )
            case h11.EndOfMessage():
                return Response(status, bytes(body))
            case h11.ConnectionClosed() | h11.PAUSED:
                raise ValueError(
                    "the connection closed before the response was complete"
                )
