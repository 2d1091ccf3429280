"""Reading of values in the platform's JSON documents.

Entries may come from other writers, so an entry that can't be decoded is logged and
skipped; no function of this package that decodes a document raises an exception.
"""

from __future__ import annotations

import json
import reprlib
from typing import Any

from cicadatrail_core.models.resources import Resources

INTEGER_LIMIT = 2**53
"""Bound of the numbers in a document; larger ones can't be stored exactly by all."""


class DecodeError(Exception):
    """A document does not have the format that the platform specifies."""


def check_table(value: Any) -> dict[str, Any]:
    """Return a value that must be a table."""
    if not isinstance(value, dict):
        raise DecodeError(f"{reprlib.repr(value)} is no table")
    return value


def read_entries(table: dict[str, Any], name: str) -> list[Any]:
    """Return the list of that name, empty if the table has none."""
    value = table.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    return value


def check_row(value: Any, least_count: int) -> list[Any]:
    """Return a value that must be a list of at least that many entries."""
    if not isinstance(value, list) or len(value) < least_count:
        raise DecodeError(f"{reprlib.repr(value)} is no row of {least_count} entries")
    return value


def check_text(name: str, value: Any) -> str:
    """Return a value that must be text, in valid Unicode."""
    if not isinstance(value, str):
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise DecodeError(f"{name} is no valid Unicode: {error}") from error
    return value


def read_text(table: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return the text of that name, or the default if the table has none."""
    return check_text(name, table.get(name, default))


def check_integer(name: str, value: Any) -> int:
    """Return a value that must be an integer within the limit."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or abs(value) > INTEGER_LIMIT:
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    return int(value)


def read_integer(table: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return the integer of that name, or the default."""
    return check_integer(name, table.get(name, default))


def read_count(table: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return the integer of that name, which can't be negative."""
    value = read_integer(table, name, default)
    if value < 0:
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    return value


def read_number(table: dict[str, Any], name: str, default: float) -> float:
    """Return a finite number that isn't negative."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    if not 0 <= value <= INTEGER_LIMIT:
        raise DecodeError(f"{name} can't be {reprlib.repr(value)}")
    return float(value)


def read_flag(table: dict[str, Any], name: str) -> bool:
    """Return whether the value of that name is true."""
    return table.get(name, False) is True


def read_resources(table: dict[str, Any], default: int | None = 0) -> Resources:
    """Return the resources that a table states."""
    return Resources(
        read_count(table, "cpu", default),
        read_count(table, "mem-mb", default),
        read_count(table, "gpu", 0),
    )


def parse_json(data: bytes) -> Any:
    """Return the value that a document holds."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"no JSON: {error}") from error
