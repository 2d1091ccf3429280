"""Decoding and validation of submitted jobs."""

from __future__ import annotations

import reprlib
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.jobs.models import JobDefinition, Step
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.platform.json_values import (
    DecodeError,
    check_integer,
    check_table,
    parse_json,
    read_count,
    read_entries,
    read_flag,
    read_integer,
    read_resources,
    read_text,
)

SPEC_LIMIT_BYTES = 4000
"""Longest accepted specification of a job."""

STEP_LIMIT_COUNT = 1000
SUBTASK_LIMIT_COUNT = 100_000
"""Largest accepted job, so that one request body can't exhaust the memory."""


def decode_job(
    data: bytes, queue: str, team: str, now_unix_ms: int
) -> Result[JobDefinition, Findings]:
    """Return a submitted job, or all findings in its body."""
    try:
        table = check_table(parse_json(data))
    except DecodeError as error:
        return Failure((Finding("body", str(error)),))
    findings: list[Finding] = []
    steps: list[Step] = []
    entries = table.get("steps")
    if not isinstance(entries, list) or not 0 < len(entries) <= STEP_LIMIT_COUNT:
        findings.append(Finding("steps", "must be a list that is not empty"))
        entries = []
    for position, entry in enumerate(entries):
        try:
            steps.append(_step(check_table(entry), position))
        except DecodeError as error:
            findings.append(Finding(f"steps[{position}]", str(error)))
    try:
        spec = read_text(table, "spec", "")
        if len(spec.encode()) > SPEC_LIMIT_BYTES:
            findings.append(Finding("spec", f"is over {SPEC_LIMIT_BYTES} bytes"))
        repeat_count = read_integer(table, "repeat-count", 0)
        first_due_ms = read_integer(table, "first-run-ms", 0)
        interval_ms = read_integer(table, "interval-ms", 0)
        if repeat_count < 0 or interval_ms < 0:
            findings.append(Finding("repeat-count", "or interval-ms is negative"))
    except DecodeError as error:
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
    after = [check_integer("after", k) for k in read_entries(table, "after")]
    if not all(0 <= k < position for k in after):
        raise DecodeError(f"after can't be {reprlib.repr(after)}")
    count = read_count(table, "count")
    if count < 1:
        raise DecodeError("count must be at least 1")
    return Step(
        count=count,
        need=read_resources(table),
        estimate_ms=read_count(table, "est-duration-ms", 0),
        after=tuple(after),
        saves_progress=read_flag(table, "saves-progress"),
        gang=read_flag(table, "gang"),
        same_rack=read_flag(table, "same-rack"),
        required_label=read_text(table, "requires", ""),
        data_rack=read_text(table, "affinity", ""),
        spread_limit_count=read_count(table, "anti-affinity", 0),
        copies_allowed=read_flag(table, "speculative"),
        lasting=read_flag(table, "long-running"),
        image=read_text(table, "image", ""),
        target_tail_ms=read_count(table, "target-ms", 0),
        filler=read_flag(table, "fills"),
        may_miss_count=read_count(table, "may-miss", 0),
    )
