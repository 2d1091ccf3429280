"""Copy-on-write changes of mappings."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def with_entry(mapping: Mapping[K, V], key: K, value: V) -> dict[K, V]:
    """Return a copy of ``mapping`` in which ``key`` has ``value``."""
    return {**mapping, key: value}


def without_entry(mapping: Mapping[K, V], key: K) -> dict[K, V]:
    """Return a copy of ``mapping`` without ``key``, which may be absent."""
    return {other: value for other, value in mapping.items() if other != key}
