"""Callers' API keys and their stored hashes.

A key has the form ``ct_<key id>_<secret>``, so that its entry can be looked up by
id before anything is hashed. Only a salt and ``sha256(salt + key)`` are stored;
the secret has 32 random bytes, so no slow hash is needed against guessing.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from cicadatrail_core.models.fleet import Key

SECRET_BYTES = 32
"""Length of a key's secret."""

SALT_BYTES = 16
"""Length of the salt that is hashed with a key."""

KEY_ID_BYTES = 8
"""Number of random bytes in a key id, which is written in hex."""

_KEY = re.compile(r"ct_([0-9a-zA-Z_-]{1,64})_([0-9a-f]{64})")


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A new key, to be shown only once, and the entry to store for it."""

    text: str = field(repr=False)
    entry: Key


def new_key(team_id: str, random_bytes: Callable[[int], bytes]) -> IssuedKey:
    """Return a new key; ``random_bytes`` must be cryptographically secure."""
    key_id = random_bytes(KEY_ID_BYTES).hex()
    text = f"ct_{key_id}_{random_bytes(SECRET_BYTES).hex()}"
    salt = random_bytes(SALT_BYTES)
    return IssuedKey(text, Key(key_id, team_id, salt.hex(), _hash_hex(salt, text)))


def key_id_of(key: str) -> str | None:
    """Return the id within a key, or None if the key is malformed."""
    found = _KEY.fullmatch(key)
    return found.group(1) if found else None


def key_matches(key: str, entry: Key) -> bool:
    """Return whether ``key`` matches ``entry``, compared in constant time.

    A withdrawn entry and one with an invalid salt match no key.
    """
    try:
        salt = bytes.fromhex(entry.salt_hex)
    except ValueError:
        return False
    same = hmac.compare_digest(
        _hash_hex(salt, key).encode(), entry.hash_hex.lower().encode()
    )
    return same and not entry.withdrawn


def token_matches(token: str, sha256_hex: str) -> bool:
    """Return whether ``token`` has the unsalted hash, compared in constant time.

    No salt is needed: operators' tokens are long and random. Their hashes are
    kept in the settings.
    """
    hashed = hashlib.sha256(token.encode(errors="surrogatepass")).hexdigest()
    return hmac.compare_digest(hashed.encode(), sha256_hex.lower().encode())


def _hash_hex(salt: bytes, key: str) -> str:
    return hashlib.sha256(salt + key.encode(errors="surrogatepass")).hexdigest()
