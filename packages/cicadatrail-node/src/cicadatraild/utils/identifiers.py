"""Generation of time-ordered identifiers (UUID version 7)."""

from __future__ import annotations

import secrets
import time
from uuid import UUID

_RANDOM_BITS = 74
_RAND_A_BITS = 12


def new_uuid7() -> UUID:
    """Return a new version 7 UUID, as specified in RFC 9562, section 5.7.

    Uses the wall clock rather than a monotonic one, as the time in an id is compared
    between machines.
    """
    unix_ms = time.time_ns() // 1_000_000
    random_bits = secrets.randbits(_RANDOM_BITS)
    rand_b_bits = _RANDOM_BITS - _RAND_A_BITS
    rand_a = random_bits >> rand_b_bits
    rand_b = random_bits & ((1 << rand_b_bits) - 1)
    value = (unix_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76
    value |= rand_a << 64
    value |= 0b10 << 62
    value |= rand_b
    return UUID(int=value)
