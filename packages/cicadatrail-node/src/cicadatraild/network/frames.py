"""Frames of peer links: a length, then msgpack, with a size bound."""

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
    """Report a frame that is too long, cut, or no msgpack."""


class FrameStream:
    """Read and write frames on one authenticated or fresh connection."""

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
        """Return the next frame's value. Raises FrameError."""
        try:
            head = await self._reader.readexactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(head)
            if length > self._limit_bytes:
                raise FrameError(f"a frame of {length} bytes is too long")
            payload = await self._reader.readexactly(length)
            return msgpack.unpackb(payload, raw=False)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise FrameError("the link was closed") from error
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise FrameError(f"a frame is not msgpack ({error})") from error

    def write(self, value: Any) -> int:
        """Queue a frame for sending; return its length in bytes."""
        payload: bytes = msgpack.packb(value, use_bin_type=True)
        self._writer.write(_LENGTH.pack(len(payload)) + payload)
        return len(payload) + _LENGTH.size

    async def drain(self) -> None:
        """Wait while the other side is slow. Raises FrameError when it is gone."""
        try:
            await self._writer.drain()
        except ConnectionError as error:
            raise FrameError("the link was closed") from error

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def closing(self) -> bool:
        """Tell whether the link is closed or about to be."""
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
    """Prove knowledge of the cluster key both ways; return the server's name.

    Raises FrameError when the other side speaks another version or doesn't
    know the key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    stream.write([PROTOCOL_VERSION, purpose, sender, nonce])
    await stream.drain()
    match await stream.read():
        case [int(version), str(server), bytes(server_nonce), bytes(proof)]:
            pass
        case _:
            raise FrameError("the greeting's answer can't be read")
    if version != PROTOCOL_VERSION:
        raise FrameError(f"the other side speaks protocol version {version}")
    expected = _proof(cluster_key, b"server", server.encode(), nonce, server_nonce)
    if not hmac.compare_digest(expected, proof):
        raise FrameError("the other side doesn't know the cluster key")
    answer = _proof(
        cluster_key, b"client", sender.encode(), purpose.encode(), server_nonce, nonce
    )
    stream.write(answer)
    await stream.drain()
    return server


async def authenticate_as_server(
    stream: FrameStream, cluster_key: bytes, name: str
) -> tuple[str, str]:
    """Answer a client's greeting; return its purpose and name.

    Raises FrameError as ``authenticate_as_client`` does.
    """
    match await stream.read():
        case [int(version), str(purpose), str(sender), bytes(nonce)]:
            pass
        case _:
            raise FrameError("the greeting can't be read")
    if version != PROTOCOL_VERSION:
        raise FrameError(f"the other side speaks protocol version {version}")
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(cluster_key, b"server", name.encode(), nonce, own_nonce)
    stream.write([PROTOCOL_VERSION, name, own_nonce, proof])
    await stream.drain()
    expected = _proof(
        cluster_key, b"client", sender.encode(), purpose.encode(), own_nonce, nonce
    )
    answer = await stream.read()
    if not isinstance(answer, bytes) or not hmac.compare_digest(expected, answer):
        raise FrameError("the other side doesn't know the cluster key")
    return purpose, sender
