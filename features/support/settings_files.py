"""Settings files derived from an example by changing keys."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields
from pathlib import Path
from typing import Any, get_type_hints

from cicadatraild.utils.settings import Settings

EXAMPLES = Path("examples")

INVALID_FILES = {
    "a byte that is no UTF-8 in line 3": b"\n\n# \xff",
    "nothing at all": b"",
    "lists without end": b"a = " + b"[" * 100_000,
    "a number without end": b"a = " + b"1" * 5_000,
    "more than a megabyte": b"# " * 1_000_000,
}


def read_example(deployment: str) -> str:
    return (EXAMPLES / deployment / "settings.toml").read_text()


def with_key(text: str, place: str, value: str) -> str:
    """Return ``text`` with ``table.key`` set to the TOML ``value``, or without it.

    The value "absent" removes the key.
    """
    table, _, key = place.partition(".")
    if f"\n[{table}]\n" not in text:
        text += f"\n[{table}]\n"
    head, _, rest = text.partition(f"\n[{table}]\n")
    body, mark, tail = rest.partition("\n[")
    body = re.sub(rf"(?m)^{key} = .*\n?", "", body)
    if value != "absent":
        body = f"{key} = {value}\n{body}"
    return f"{head}\n[{table}]\n{body}{mark}{tail}"


def line_of(text: str, place: str) -> int:
    """Return the line number of a key, or of its table if the key is absent."""
    table, _, key = place.partition(".")
    lines = text.splitlines()
    start = lines.index(f"[{table}]")
    for number, line in enumerate(lines[start + 1 :], start + 2):
        if line.startswith("["):
            break
        if line.startswith(f"{key} ="):
            return number
    return start + 1


def settings_keys() -> Iterator[tuple[str, Any, Field[Any]]]:
    """Yield the dotted name, type and dataclass field of every key."""
    for table, as_type in get_type_hints(Settings).items():
        types = get_type_hints(as_type)
        for item in fields(as_type):
            yield f"{table}.{item.name}", types[item.name], item


def default_text(item: Field[Any]) -> str:
    """Return a default value as the operators' page shows it."""
    match item.default:
        case value if value is MISSING:
            return "required"
        case None:
            return "none"
        case float(value):
            return f"{value:g}"
        case int(value):
            return str(value)
        case member:
            return str(member.value)
