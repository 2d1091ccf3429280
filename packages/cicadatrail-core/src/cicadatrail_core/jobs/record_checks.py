"""Checks of jobs restored from records, whose fields may have any type."""

from __future__ import annotations

from dataclasses import MISSING, fields
from typing import Any

from cicadatrail_core.jobs.models import JobDefinition
from cicadatrail_core.jobs.state import JobState

SUBTASK_LIMIT_COUNT = 100_000
"""Most subtasks of a job, as for submitted ones."""

NUMBER_LIMIT = 2**53
"""Bound of the numbers of a job, as for submitted ones."""


def check_definition(plan: JobDefinition) -> None:
    """Raise ValueError if a field of a job has another type or range than it must."""
    _check_fields(plan, {"queue": "", "team": "", "spec": ""}, "steps")
    for position, step in enumerate(plan.steps):
        _check_fields(step, {"count": 0}, "need", "after")
        _check_fields(step.need, {})
        if not all(type(k) is int and 0 <= k < position for k in step.after):
            raise ValueError(f"after can't be {step.after!r}")
    if not 0 < sum(step.count for step in plan.steps) <= SUBTASK_LIMIT_COUNT:
        raise ValueError("the number of subtasks is out of range")


def _check_fields(value: Any, samples: dict[str, Any], *skipped: str) -> None:
    """Compare fields with their default value or with a sample of their type."""
    for entry in fields(value):
        if entry.name in skipped:
            continue
        current = getattr(value, entry.name)
        sample = entry.default if entry.default is not MISSING else samples[entry.name]
        is_signed = entry.name.endswith("unix_ms")
        least = -NUMBER_LIMIT if is_signed else 0
        is_in_range = type(current) is not int or least <= current <= NUMBER_LIMIT
        if type(current) is not type(sample) or not is_in_range:
            raise ValueError(f"{entry.name} can't be {current!r}")


def check_progress(job: JobState) -> None:
    """Raise ValueError if restored progress has another type than it must."""
    numbers = [*job.done_occurrences, *job.occurrences]
    texts: list[Any] = []
    for steps in job.occurrences.values():
        for step in steps:
            numbers.append(step.gang_failures)
            for subtask in step.subtasks:
                numbers += [*subtask.failed_runs, *subtask.crashed_runs]
                texts += [subtask.checkpoint, *subtask.crashed_runs.values()]
    if not all(type(number) is int for number in numbers):
        raise ValueError("a number of the progress has another type")
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("a text of the progress has another type")
    if not all(0 <= k < job.definition.occurrence_count for k in job.occurrences):
        raise ValueError("an occurrence is out of range")
