"""Encoding of jobs and their progress as records in the store."""

from __future__ import annotations

from dataclasses import MISSING, fields
from typing import Any

import msgpack

from cicadatrail_core.jobs.models import JobDefinition, JobPhase, Step
from cicadatrail_core.jobs.state import JobState, StepState, SubtaskPhase
from cicadatrail_core.models.resources import Resources

FORMAT = 1
"""Version of the record format."""


def _changed_fields(value: Any, skipped: tuple[str, ...]) -> dict[str, Any]:
    changed = {}
    for entry in fields(value):
        current = getattr(value, entry.name)
        if entry.name in skipped or (
            entry.default is not MISSING and current == entry.default
        ):
            continue
        changed[entry.name] = current
    return changed


def encode_definition(definition: JobDefinition) -> bytes:
    """Return the record of a job; fields with their default value are omitted."""
    steps = []
    for step in definition.steps:
        entry = _changed_fields(step, ("need",))
        need = step.need
        entry["need"] = [
            need.cpu_millicores,
            need.memory_mib,
            need.accelerator_count,
        ]
        steps.append(entry)
    job = _changed_fields(definition, ("steps",))
    packed: bytes = msgpack.packb([FORMAT, job, steps])
    return packed


def decode_definition(record: bytes) -> JobDefinition:
    """Return the job of a record.

    Raises ValueError if the record has another format.
    """
    record_format, job, steps = msgpack.unpackb(record, strict_map_key=False)
    if record_format != FORMAT:
        raise ValueError(f"job record has unsupported format {record_format}")
    return JobDefinition(
        steps=tuple(
            Step(
                **{
                    **step,
                    "need": Resources(*step["need"]),
                    "after": tuple(step.get("after", ())),
                }
            )
            for step in steps
        ),
        **job,
    )


def _encode_step(step: StepState) -> list[Any]:
    done = bytearray((step.spec.count + 7) // 8)
    attempts: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    for subtask in step.subtasks:
        if subtask.phase is SubtaskPhase.DONE:
            done[subtask.index // 8] |= 1 << subtask.index % 8
            continue
        if subtask.failed_runs:
            attempts[subtask.index] = sorted(subtask.failed_runs)
        if subtask.checkpoint:
            checkpoints[subtask.index] = subtask.checkpoint
    return [bytes(done), attempts, checkpoints, step.gang_failures]


def _encode_crashes(job: JobState) -> list[list[Any]]:
    return [
        [
            number,
            step.position,
            subtask.index,
            subtask.crashed_runs,
            subtask.start_noted_s is not None,
        ]
        for number, steps in job.occurrences.items()
        for step in steps
        for subtask in step.subtasks
        if subtask.crashed_runs and subtask.phase is not SubtaskPhase.DONE
    ]


def encode_progress(job: JobState) -> bytes:
    """Return the record of a job's progress."""
    occurrences = [
        [number, [_encode_step(step) for step in steps]]
        for number, steps in job.occurrences.items()
        if any(
            step.done_count
            or step.gang_failures
            or any(
                subtask.failed_runs or subtask.checkpoint for subtask in step.subtasks
            )
            for step in steps
        )
    ]
    value = [
        FORMAT,
        job.phase.value,
        occurrences if not job.is_final else [],
        sorted(job.done_occurrences) if not job.is_final else [],
    ]
    crashes = _encode_crashes(job)
    if crashes and not job.is_final:
        # At the end, where earlier versions don't look.
        value.append(crashes)
    packed: bytes = msgpack.packb(value)
    return packed


def apply_progress(job: JobState, record: bytes) -> None:
    """Restore the progress of a newly created job from a record.

    Raises ValueError if the record has another format.
    """
    value = msgpack.unpackb(record, strict_map_key=False)
    if value[0] != FORMAT:
        raise ValueError(f"progress record has unsupported format {value[0]}")
    job.phase = JobPhase(value[1])
    job.stored_phase = job.phase
    if job.is_final:
        return
    job.done_occurrences = set(value[3])
    for number, steps in value[2]:
        states = _new_steps(job, number)
        job.occurrences[number] = states
        for state, entry in zip(states, steps, strict=True):
            _apply_step(state, entry)
    _apply_crashes(job, value[4] if len(value) > 4 else [])


def _apply_crashes(job: JobState, entries: list[list[Any]]) -> None:
    for number, position, index, crashed_runs, is_start_noted in entries:
        if number not in job.occurrences:
            job.occurrences[number] = _new_steps(job, number)
        subtask = job.occurrences[number][position].subtasks[index]
        subtask.crashed_runs = dict(crashed_runs)
        subtask.start_noted_s = 0.0 if is_start_noted is True else None


def _new_steps(job: JobState, number: int) -> list[StepState]:
    return [
        StepState(job, number, position)
        for position in range(len(job.definition.steps))
    ]


def _apply_step(state: StepState, entry: list[Any]) -> None:
    done, attempts, checkpoints, gang_failures = entry
    state.gang_failures = gang_failures
    for subtask in state.subtasks:
        if done[subtask.index // 8] >> subtask.index % 8 & 1:
            subtask.phase = SubtaskPhase.DONE
            state.done_count += 1
        subtask.checkpoint = checkpoints.get(subtask.index, "")
        subtask.failed_runs = set(attempts.get(subtask.index, ()))
