"""Decoding and validation of the platform's JSON documents.

Entries may come from other writers, so an entry that can't be decoded is logged and
skipped; it never raises an exception.
"""

from __future__ import annotations

import json
import logging
import re
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.jobs.models import (
    EndKind,
    EndRow,
    FleetConfiguration,
    JobDefinition,
    Machine,
    MachineState,
    Pool,
    Queue,
    RunningRow,
    Step,
    SubtaskName,
    Team,
    Wave,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.platform.settings import parse_address

logger = logging.getLogger("cicadatrail.platform")

ENDS_PAGE_COUNT = 500
"""Ended runs per response of a worker; a full page may be followed by more."""

SPEC_LIMIT_BYTES = 4000
"""Longest accepted specification of a job."""

STEP_LIMIT_COUNT = 1000
SUBTASK_LIMIT_COUNT = 100_000
"""Largest accepted job, so that one request body can't exhaust the memory."""

INTEGER_LIMIT = 2**53
"""Bound of the numbers in a document; larger ones can't be stored exactly by all."""


class _DecodeError(Exception):
    """A document does not have the format that the platform specifies."""


def _table(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _DecodeError(f"{value!r} is no table")
    return value


def _entries(table: dict[str, Any], name: str) -> list[Any]:
    value = table.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise _DecodeError(f"{name} can't be {value!r}")
    return value


def _row(value: Any, least_count: int) -> list[Any]:
    if not isinstance(value, list) or len(value) < least_count:
        raise _DecodeError(f"{value!r} is no row of {least_count} entries")
    return value


def _check_text(name: str, value: Any) -> str:
    if not isinstance(value, str):
        raise _DecodeError(f"{name} can't be {value!r}")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise _DecodeError(f"{name} is no valid Unicode: {error}") from error
    return value


def _text(table: dict[str, Any], name: str, default: str | None = None) -> str:
    return _check_text(name, table.get(name, default))


def _check_integer(name: str, value: Any) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or abs(value) > INTEGER_LIMIT:
        raise _DecodeError(f"{name} can't be {value!r}")
    return int(value)


def _integer(table: dict[str, Any], name: str, default: int | None = None) -> int:
    return _check_integer(name, table.get(name, default))


def _count(table: dict[str, Any], name: str, default: int | None = None) -> int:
    value = _integer(table, name, default)
    if value < 0:
        raise _DecodeError(f"{name} can't be {value!r}")
    return value


def _number(table: dict[str, Any], name: str, default: float) -> float:
    """Return a finite number that isn't negative."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _DecodeError(f"{name} can't be {value!r}")
    if not 0 <= value <= INTEGER_LIMIT:
        raise _DecodeError(f"{name} can't be {value!r}")
    return float(value)


def _flag(table: dict[str, Any], name: str) -> bool:
    return table.get(name, False) is True


def _resources(table: dict[str, Any], default: int | None = 0) -> Resources:
    return Resources(
        _count(table, "cpu", default),
        _count(table, "mem-mb", default),
        _count(table, "gpu", 0),
    )


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise _DecodeError(f"no JSON: {error}") from error


def decode_configuration(data: bytes) -> FleetConfiguration | None:
    """Return the operators' configuration, or None if it is invalid."""
    try:
        table = _table(_parse_json(data))
        limits = _table(table.get("limits", {}))
        return FleetConfiguration(
            version=_integer(table, "version"),
            queues=tuple(_queue(_table(entry)) for entry in _entries(table, "routes")),
            pools={
                pool.name: pool
                for pool in (_pool(_table(e)) for e in _entries(table, "services"))
            },
            teams={
                team.name: team
                for team in (_team(_table(e)) for e in _entries(table, "tenants"))
            },
            body_limit_bytes=_integer(limits, "max-body-bytes", 262_144),
            header_limit_bytes=_integer(limits, "max-header-bytes", 16_384),
        )
    except _DecodeError as error:
        logger.warning(
            "platform: configuration is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def _queue(table: dict[str, Any]) -> Queue:
    return Queue(
        name=_text(table, "name"),
        host=_text(table, "host", "").lower(),
        path_prefix=_text(table, "path-prefix"),
        pool=_text(table, "service"),
        priority=_integer(table, "priority", 0),
        attempt_limit_count=_integer(table, "attempts", 1),
        stretch=_number(table, "stretch", 1.0),
        target_latency_ms=_integer(table, "target-latency-ms", 0),
        timeout_ms=_integer(table, "timeout-ms", 0),
        public=_flag(table, "public"),
        needs_advice=bool(table.get("advice")),
    )


def _pool(table: dict[str, Any]) -> Pool:
    return Pool(
        name=_text(table, "name"),
        guards_capacity=_flag(table, "admission-check"),
        standby=_flag(table, "standby"),
    )


def _team(table: dict[str, Any]) -> Team:
    keys = _entries(table, "api-keys")
    return Team(
        name=_text(table, "name"),
        keys=tuple(key for key in keys if isinstance(key, str)),
        weight=_count(table, "weight", 1),
        limit=_resources(_table(table.get("cap", {}))),
    )


_WORKER_STATES = ("ready", "draining")


def decode_worker(worker_id: str, data: bytes) -> WorkerFacts | None:
    """Return the facts in a worker's entry, or None if the entry is invalid."""
    try:
        table = _table(_parse_json(data))
        address = parse_address(_text(table, "address"))
        state = _text(table, "state")
        if address is None or state not in _WORKER_STATES:
            raise _DecodeError(f"address or state is invalid in {table!r}")
        labels = _entries(table, "labels")
        return WorkerFacts(
            worker_id=_check_text("worker id", worker_id),
            pool=_text(table, "service"),
            host=address.host,
            port=address.port,
            zone=_text(table, "zone"),
            capacity=_resources(_table(table.get("capacity")), None),
            labels=tuple(label for label in labels if isinstance(label, str)),
            draining=state == "draining",
            remaining_ms=_integer(table, "remaining-ms", 0),
            # "born" is the start time of the worker's present incarnation.
            born_unix_ms=_integer(table, "born", 0),
            clock_ms=_integer(table, "clock-ms", 0),
            machine=_text(table, "machine", ""),
            cold_ms=_integer(table, "cold-remaining-ms", 0),
        )
    except _DecodeError as error:
        logger.warning(
            "platform: worker entry is invalid; skipped.",
            extra={"worker_id": worker_id, "reason": str(error)},
        )
        return None


def decode_wave(data: bytes) -> Wave | None:
    """Return a maintenance wave, or None if it is invalid."""
    try:
        table = _table(_parse_json(data))
        machines = _entries(table, "machines")
        return Wave(
            number=_integer(table, "wave"),
            machines=tuple(name for name in machines if isinstance(name, str)),
            duration_s=_number(table, "duration-s", 0),
            limit_count=max(1, _integer(table, "cap", 1)),
        )
    except _DecodeError as error:
        logger.warning(
            "platform: wave is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def encode_wave_state(number: int, is_completed: bool) -> bytes:
    """Return the state of a wave as published to the operators."""
    state = "completed" if is_completed else "running"
    return json.dumps({"wave": number, "state": state}).encode()


_MACHINE_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}


def decode_machines(data: bytes) -> tuple[list[Machine], str] | None:
    """Return a page of machines and the token of the next page, or None if invalid.

    The token of the last page is empty.
    """
    try:
        table = _table(_parse_json(data))
        machines = []
        for entry in _entries(table, "machines"):
            row = _table(entry)
            labels = _entries(row, "labels")
            state = _MACHINE_STATES.get(_text(row, "state"), MachineState.UNKNOWN)
            machines.append(
                Machine(
                    name=_text(row, "machine"),
                    pool=_text(row, "pool"),
                    state=state,
                    worker_id=_text(row, "id", ""),
                    # The first label is the kind of machine, the second its rack.
                    kind=_check_text("labels", labels[0]) if labels else "",
                )
            )
        token = table.get("next-token")
        if token is None:
            return machines, ""
        if isinstance(token, bool) or not isinstance(token, str | int):
            raise _DecodeError(f"next-token can't be {token!r}")
        return machines, _check_text("next-token", str(token))
    except _DecodeError as error:
        logger.warning(
            "platform: machine list is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def parse_subtask_name(text: str) -> SubtaskName | None:
    """Parse a subtask's name; return None if malformed or with over 15 digits."""
    match = re.fullmatch(r"([^.]*)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})", text)
    if match is None:
        return None
    return SubtaskName(match[1], int(match[2]), int(match[3]), int(match[4]))


_END_KINDS = {kind.value: kind for kind in EndKind}


def _subtask_name(value: Any) -> SubtaskName:
    name = parse_subtask_name(_check_text("subtask", value))
    if name is None:
        raise _DecodeError(f"subtask can't be {value!r}")
    return name


def _running_row(row: list[Any]) -> RunningRow:
    # The fifth entry is a tail latency or processor usage, depending on the image
    # that the run uses.
    measurement = _number({"measurement": row[4]}, "measurement", 0) if row[4:] else 0
    return RunningRow(
        _subtask_name(row[0]),
        _check_integer("run", row[1]),
        _check_text("checkpoint", row[2] or ""),
        int(_number({"percent": row[3]}, "percent", 0)),
        int(measurement),
    )


def _end_row(row: list[Any]) -> EndRow:
    how = row[3]
    if not isinstance(how, str) or how not in _END_KINDS:
        raise _DecodeError(f"outcome of an ended run can't be {how!r}")
    return EndRow(
        _check_integer("number", row[0]),
        _subtask_name(row[1]),
        _check_integer("run", row[2]),
        _END_KINDS[how],
        _check_text("checkpoint", row[4] or ""),
    )


def decode_report(data: bytes) -> WorkerReport | None:
    """Return a worker's report of running and ended runs, or None if invalid."""
    try:
        table = _table(_parse_json(data))
        running = [_running_row(_row(row, 4)) for row in _entries(table, "running")]
        ends = [_end_row(_row(row, 5)) for row in _entries(table, "finished")]
        return WorkerReport(
            clock_ms=_integer(table, "clock-ms"),
            born_unix_ms=_integer(table, "born", 0),
            running=tuple(running),
            ends=tuple(ends),
            is_complete=len(ends) < ENDS_PAGE_COUNT,
        )
    except _DecodeError as error:
        logger.warning(
            "platform: worker report is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def decode_job(
    data: bytes, queue: str, team: str, now_unix_ms: int
) -> Result[JobDefinition, Findings]:
    """Return a submitted job, or all findings in its body."""
    try:
        table = _table(_parse_json(data))
    except _DecodeError as error:
        return Failure((Finding("body", str(error)),))
    findings: list[Finding] = []
    steps: list[Step] = []
    entries = table.get("steps")
    if not isinstance(entries, list) or not 0 < len(entries) <= STEP_LIMIT_COUNT:
        findings.append(Finding("steps", "must be a list that is not empty"))
        entries = []
    for position, entry in enumerate(entries):
        try:
            steps.append(_step(_table(entry), position))
        except _DecodeError as error:
            findings.append(Finding(f"steps[{position}]", str(error)))
    try:
        spec = _text(table, "spec", "")
        if len(spec.encode()) > SPEC_LIMIT_BYTES:
            findings.append(Finding("spec", f"is over {SPEC_LIMIT_BYTES} bytes"))
        repeat_count = _integer(table, "repeat-count", 0)
        first_due_ms = _integer(table, "first-run-ms", 0)
        interval_ms = _integer(table, "interval-ms", 0)
        if repeat_count < 0 or interval_ms < 0:
            findings.append(Finding("repeat-count", "or interval-ms is negative"))
    except _DecodeError as error:
        findings.append(Finding("body", str(error)))
    if sum(step.count for step in steps) > SUBTASK_LIMIT_COUNT:
        findings.append(Finding("steps", f"have over {SUBTASK_LIMIT_COUNT} subtasks"))
    if findings:
        return Failure(tuple(findings))
    return Success(
        JobDefinition(
            queue=queue,
            team=team,
            spec=spec,
            steps=tuple(steps),
            repeat_count=repeat_count,
            first_due_unix_ms=first_due_ms,
            interval_ms=interval_ms,
            submitted_unix_ms=now_unix_ms,
        )
    )


def _step(table: dict[str, Any], position: int) -> Step:
    after = [_check_integer("after", k) for k in _entries(table, "after")]
    if not all(0 <= k < position for k in after):
        raise _DecodeError(f"after can't be {after!r}")
    count = _count(table, "count")
    if count < 1:
        raise _DecodeError("count must be at least 1")
    return Step(
        count=count,
        need=_resources(table),
        estimate_ms=_count(table, "est-duration-ms", 0),
        after=tuple(after),
        saves_progress=_flag(table, "saves-progress"),
        gang=_flag(table, "gang"),
        same_rack=_flag(table, "same-rack"),
        required_label=_text(table, "requires", ""),
        data_rack=_text(table, "affinity", ""),
        spread_limit_count=_count(table, "anti-affinity", 0),
        copies_allowed=_flag(table, "speculative"),
        lasting=_flag(table, "long-running"),
        image=_text(table, "image", ""),
        target_tail_ms=_count(table, "target-ms", 0),
        filler=_flag(table, "fills"),
        may_miss_count=_count(table, "may-miss", 0),
    )
