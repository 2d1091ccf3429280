"""Framing and authentication of peer connections.

A frame is a 32-bit big-endian length followed by a msgpack value.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
import struct
from typing import Any

import msgpack

PROTOCOL_VERSION = 1
"""Version of the protocol between entry instances."""

NONCE_BYTES = 16
"""Length of the random challenge that each side sends."""

_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """A frame is too long, truncated or not msgpack, or the handshake failed."""


class FrameStream:
    """Reader and writer of frames on one connection."""

    __slots__ = ("_limit_bytes", "_reader", "_writer")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit_bytes: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._limit_bytes = limit_bytes

    async def read(self) -> Any:
        """Return the value of the next frame. Raises FrameError."""
        try:
            head = await self._reader.readexactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(head)
            if length > self._limit_bytes:
                raise FrameError(f"a frame of {length} bytes exceeds the size limit")
            payload = await self._reader.readexactly(length)
            return msgpack.unpackb(payload, raw=False)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise FrameError("the connection was closed") from error
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise FrameError(f"a frame is not msgpack ({error})") from error

    def write(self, value: Any) -> int:
        """Queue a frame for sending; return its length in bytes."""
        payload: bytes = msgpack.packb(value, use_bin_type=True)
        self._writer.write(_LENGTH.pack(len(payload)) + payload)
        return len(payload) + _LENGTH.size

    async def drain(self) -> None:
        """Wait while the peer is slow. Raises FrameError when it has closed."""
        try:
            await self._writer.drain()
        except ConnectionError as error:
            raise FrameError("the connection was closed") from error

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes waiting to be sent."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def closing(self) -> bool:
        """Return whether the connection is closed or about to close."""
        return self._writer.is_closing() or self._reader.at_eof()

    def abort(self) -> None:
        """Drop the connection at once."""
        self._writer.transport.abort()


def _proof(cluster_key: bytes, role: bytes, *parts: bytes) -> bytes:
    message = b"\0".join((role, *parts))
    return hmac.new(cluster_key, message, hashlib.sha256).digest()


async def authenticate_as_client(
    stream: FrameStream, cluster_key: bytes, purpose: str, sender: str
) -> str:
    """Authenticate both sides by the cluster key; return the server's name.

    Each side proves that it knows the key by an HMAC of the other's nonce. Raises
    FrameError when the peer uses another protocol version or another key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    stream.write([PROTOCOL_VERSION, purpose, sender, nonce])
    await stream.drain()
    match await stream.read():
        case [int(version), str(server), bytes(server_nonce), bytes(proof)]:
            pass
        case _:
            raise FrameError("the answer to the handshake is malformed")
    if version != PROTOCOL_VERSION:
        raise FrameError(f"the peer uses protocol version {version}")
    expected = _proof(cluster_key, b"server", server.encode(), nonce, server_nonce)
    if not hmac.compare_digest(expected, proof):
        raise FrameError("the peer does not know the cluster key")
    answer = _proof(
        cluster_key, b"client", sender.encode(), purpose.encode(), server_nonce, nonce
    )
    stream.write(answer)
    await stream.drain()
    return server


async def authenticate_as_server(
    stream: FrameStream, cluster_key: bytes, name: str
) -> tuple[str, str]:
    """Answer a client's handshake; return its purpose and name.

    Raises FrameError as ``authenticate_as_client`` does.
    """
    match await stream.read():
        case [int(version), str(purpose), str(sender), bytes(nonce)]:
            pass
        case _:
            raise FrameError("the handshake is malformed")
    if version != PROTOCOL_VERSION:
        raise FrameError(f"the peer uses protocol version {version}")
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(cluster_key, b"server", name.encode(), nonce, own_nonce)
    stream.write([PROTOCOL_VERSION, name, own_nonce, proof])
    await stream.drain()
    expected = _proof(
        cluster_key, b"client", sender.encode(), purpose.encode(), own_nonce, nonce
    )
    answer = await stream.read()
    if not isinstance(answer, bytes) or not hmac.compare_digest(expected, answer):
        raise FrameError("the peer does not know the cluster key")
    return purpose, sender
