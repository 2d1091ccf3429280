"""Decoding of the workers' reports of running and ended runs."""

from __future__ import annotations

import logging
import re
from typing import Any

from cicadatrail_core.jobs.models import (
    EndKind,
    EndRow,
    RunningRow,
    SubtaskName,
    WorkerReport,
)
from cicadatraild.platform.json_values import (
    DecodeError,
    check_integer,
    check_row,
    check_table,
    check_text,
    parse_json,
    read_entries,
    read_integer,
    read_number,
)

logger = logging.getLogger("cicadatrail.platform")

ENDS_PAGE_COUNT = 500
"""Ended runs per response of a worker; a full page may be followed by more."""


def parse_subtask_name(text: str) -> SubtaskName | None:
    """Parse a subtask's name; return None if malformed or with over 15 digits."""
    match = re.fullmatch(r"([^.]*)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})", text)
    if match is None:
        return None
    return SubtaskName(match[1], int(match[2]), int(match[3]), int(match[4]))


_END_KINDS = {kind.value: kind for kind in EndKind}


def _subtask_name(value: Any) -> SubtaskName:
    name = parse_subtask_name(check_text("subtask", value))
    if name is None:
        raise DecodeError(f"subtask can't be {value!r}")
    return name


def _running_row(row: list[Any]) -> RunningRow:
    # The fifth entry is a tail latency or processor usage, depending on the image
    # that the run uses.
    measurement = (
        read_number({"measurement": row[4]}, "measurement", 0) if row[4:] else 0
    )
    return RunningRow(
        _subtask_name(row[0]),
        check_integer("run", row[1]),
        check_text("checkpoint", row[2] or ""),
        int(read_number({"percent": row[3]}, "percent", 0)),
        int(measurement),
    )


def _end_row(row: list[Any]) -> EndRow:
    how = row[3]
    if not isinstance(how, str) or how not in _END_KINDS:
        raise DecodeError(f"outcome of an ended run can't be {how!r}")
    return EndRow(
        check_integer("number", row[0]),
        _subtask_name(row[1]),
        check_integer("run", row[2]),
        _END_KINDS[how],
        check_text("checkpoint", row[4] or ""),
    )


def decode_clock(data: bytes) -> int | None:
    """Return the worker's clock in ms from any of its answers, or None without one."""
    try:
        return read_integer(check_table(parse_json(data)), "clock-ms")
    except DecodeError:
        return None


def decode_report(data: bytes) -> WorkerReport | None:
    """Return a worker's report of running and ended runs, or None if invalid."""
    try:
        table = check_table(parse_json(data))
        running = [
            _running_row(check_row(row, 4)) for row in read_entries(table, "running")
        ]
        ends = [_end_row(check_row(row, 5)) for row in read_entries(table, "finished")]
        return WorkerReport(
            clock_ms=read_integer(table, "clock-ms"),
            born_unix_ms=read_integer(table, "born", 0),
            running=tuple(running),
            ends=tuple(ends),
            is_complete=len(ends) < ENDS_PAGE_COUNT,
        )
    except DecodeError as error:
        logger.warning(
            "platform: worker report is invalid; ignored.", extra={"reason": str(error)}
        )
        return None
