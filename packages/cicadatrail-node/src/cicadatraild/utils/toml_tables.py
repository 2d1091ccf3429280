"""Reading of TOML tables into dataclasses, with all findings and their lines."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, fields, is_dataclass
from enum import Enum
from typing import Any, get_args, get_type_hints

from returns.result import Failure, Result, Success

from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

Check = Callable[[Any], str]
"""Function that returns what is wrong with a value, or an empty string.

It is set in the metadata of a field, under ``check``.
"""

SHOWN_LIMIT_CHARACTERS = 40
"""Longest part of an invalid value that a finding quotes."""

_SYNTAX_PLACE = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)$")
_TYPE_NAMES: dict[Any, str] = {
    int: "a whole number",
    float: "a finite number",
    str: "a text",
}


def parse_toml(content: bytes, file_name: str) -> Result[dict[str, Any], Findings]:
    """Return the tables of a file; a finding gives the line and column of an error."""
    try:
        return Success(tomllib.loads(content.decode()))
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return Failure((Finding(f"{file_name}:{line}", "is not UTF-8"),))
    except (ValueError, RecursionError) as error:
        return Failure((_syntax_finding(str(error), content, file_name),))


class TableReader:
    """Reader of tables key by key, so that one finding does not hide another."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        self.faults: list[Finding] = []

    def read_fields(
        self, raw: Mapping[str, Any], as_type: type[Any], place: str = ""
    ) -> dict[str, Any]:
        """Return the value of each field of ``as_type``, with None for invalid ones."""
        types = get_type_hints(as_type)
        known = {item.name: item for item in fields(as_type)}
        for name in sorted(raw.keys() - known.keys()):
            self._fault(_join(place, name), "is not a known key")
        return {
            name: self._read_field(raw, item, types[name], _join(place, name))
            for name, item in known.items()
        }

    def _read_field(
        self, raw: Mapping[str, Any], item: Field[Any], as_type: Any, place: str
    ) -> Any:
        if item.name not in raw and item.default is not MISSING:
            return item.default
        if is_dataclass(as_type):
            return self._read_table(raw.get(item.name, {}), as_type, place)
        if item.name in raw:
            return self._read_value(raw[item.name], item, as_type, place)
        self._fault(place, "is missing")
        return None

    def _read_table(self, raw: Any, as_type: Any, place: str) -> Any:
        if not isinstance(raw, Mapping):
            self._fault(place, "must be a table")
            return None
        fault_count = len(self.faults)
        values = self.read_fields(raw, as_type, place)
        return None if len(self.faults) > fault_count else as_type(**values)

    def _read_value(self, raw: Any, item: Field[Any], as_type: Any, place: str) -> Any:
        read = codec.from_map(raw, as_type)
        if isinstance(read, Failure):
            shown = f", not {repr(raw)[:SHOWN_LIMIT_CHARACTERS]}" if item.repr else ""
            self._fault(place, f"must be {_describe(as_type)}{shown}")
            return None
        value = read.unwrap()
        check: Check | None = item.metadata.get("check")
        fault = check(value) if check else ""
        if fault:
            self._fault(place, fault)
        return value

    def _fault(self, place: str, fault: str) -> None:
        self.faults.append(Finding(place, fault))


def _join(table: str, key: str) -> str:
    return f"{table}.{key}" if table else key


def _describe(as_type: Any) -> str:
    """Return a description of the type that a value must have."""
    plain = next(iter(get_args(as_type)), as_type)
    if issubclass(plain, Enum):
        return "one of " + ", ".join(member.value for member in plain)
    return _TYPE_NAMES.get(plain, str(plain.__name__))


def _syntax_finding(error: str, content: bytes, file_name: str) -> Finding:
    """Return a finding with the line and column of a TOML syntax error."""
    found = _SYNTAX_PLACE.search(error)
    if found is None:
        return Finding(file_name, f"is not TOML ({error})")
    line, column = found.group(1), found.group(2)
    if line is None:
        line = str(content.count(b"\n") + 1)
        column = str(len(content) - content.rfind(b"\n"))
    fault = f"is not TOML ({error[: found.start()]})"
    return Finding(f"{file_name}:{line}:{column}", fault)


def locate(fault: Finding, text: str, file_name: str) -> Finding:
    """Prefix the place ``table.key`` of a finding with the file and line."""
    table, _, key = fault.place.partition(".")
    line = _line_of(table, key, text.splitlines())
    where = f"{file_name}:{line}" if line else file_name
    return Finding(f"{where}: {fault.place}", fault.fault)


def _line_of(table: str, key: str, lines: list[str]) -> int:
    """Return the line of a key, else the line of its table, else 0."""
    header = re.compile(rf"\s*(?:\[\s*{re.escape(table)}\s*\]|{re.escape(table)}\s*=)")
    wanted = re.compile(rf"\s*{re.escape(key)}\s*=")
    table_line = 0
    for number, line in enumerate(lines, 1):
        if header.match(line):
            table_line = number
        elif table_line and line.lstrip().startswith("["):
            return table_line
        elif table_line and key and wanted.match(line):
            return number
    return table_line
