"""Limits on what clients may hold of a machine, derived from its size.

Answers clients that open connections or send bodies without end. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

MIB_BYTES = 1024 * 1024

CONNECTION_LIMIT_COUNT = 2500
"""Largest number of callers' connections on any machine."""

CONNECTION_BYTES = 64 * 1024
"""Memory of a connection: its buffers, a head, and a small body with its copies."""

BODY_COPIES_COUNT = 4
"""Copies of a body at most: received, joined, encoded, and in a frame to the leader."""

CONNECTION_SHARE = 1 / 3
BODY_SHARE = 1 / 8
PEER_SHARE = 1 / 16
"""Shares of the memory; the rest is left to the program and the leader's state."""

RESERVED_DESCRIPTORS_COUNT = 200
"""Descriptors that the platform reserves for files."""

FRONT_SHARE = 2 / 3
"""Share of the other descriptors for callers; the rest is left to links."""

LINGERING_SHARE = 1 / 20
"""Connections that stay open after a refusal, as a share of those that are served."""

INTERNAL_CONNECTIONS_COUNT = 250
"""Largest number of connections to each listener that callers don't reach."""

INTERNAL_SHARE = 1 / 10
"""Share of the descriptors for each of these listeners."""

PEER_RESERVE_SHARE = 1 / 4
"""Part of the bytes for peers' requests that large requests leave to small ones."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of one instance; ``body_bytes`` and ``peer_bytes`` bound sums."""

    connection_count: int
    lingering_count: int
    internal_connection_count: int
    body_bytes: int
    peer_bytes: int
    peer_reserve_bytes: int


def derive_client_limits(memory_mib: int, descriptor_count: int) -> ClientLimits:
    """Return the limits for a machine's memory and file descriptors."""
    memory_bytes = memory_mib * MIB_BYTES
    descriptor_count = max(0, descriptor_count - RESERVED_DESCRIPTORS_COUNT)
    connection_count = min(
        CONNECTION_LIMIT_COUNT,
        int(descriptor_count * FRONT_SHARE),
        int(memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES),
    )
    connection_count = max(1, connection_count)
    peer_bytes = int(memory_bytes * PEER_SHARE)
    return ClientLimits(
        connection_count=connection_count,
        lingering_count=int(connection_count * LINGERING_SHARE) + 1,
        internal_connection_count=min(
            INTERNAL_CONNECTIONS_COUNT, int(descriptor_count * INTERNAL_SHARE) + 1
        ),
        body_bytes=int(memory_bytes * BODY_SHARE / BODY_COPIES_COUNT),
        peer_bytes=peer_bytes,
        peer_reserve_bytes=int(peer_bytes * PEER_RESERVE_SHARE),
    )
