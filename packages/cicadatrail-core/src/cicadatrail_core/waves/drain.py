"""Decide how to handle tasks that still run on a draining worker.

No request is lost: a task is stopped only if it may be repeated and another run
can still meet the caller's deadline. All other tasks run to their end, and a
drain that exceeds its queue's deadline is reported to operators.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import DrainPolicy


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task on a draining worker.

    ``deadline_s`` is the caller's, on the event loop's clock. ``run_s`` estimates
    a whole run. ``can_checkpoint`` becomes false once a checkpoint has failed.
    """

    request_id: str
    policy: DrainPolicy
    drain_deadline_s: float
    deadline_s: float
    run_s: float
    repeatable: bool
    can_checkpoint: bool = False


class DrainAction(Enum):
    """Action to take on a task now."""

    WAIT = "wait"
    CHECKPOINT = "checkpoint"
    STOP_AND_REPEAT = "stop-and-repeat"


@dataclass(frozen=True, slots=True)
class TaskDecision:
    """The action for one task; ``overdue`` means that operators should know."""

    request_id: str
    action: DrainAction
    overdue: bool = False


def decide_drain(
    tasks: Iterable[RunningTask], drain_started_s: float, now_s: float
) -> tuple[TaskDecision, ...]:
    """Return one decision per task; without tasks the drain is complete."""
    return tuple(_decide(task, drain_started_s, now_s) for task in tasks)


def next_decision_s(
    tasks: Iterable[RunningTask], drain_started_s: float, now_s: float
) -> float | None:
    """Return when time alone next changes a decision, or None if it never does."""
    ends = (drain_started_s + task.drain_deadline_s for task in tasks)
    return min((end for end in ends if end > now_s), default=None)


def _decide(task: RunningTask, drain_started_s: float, now_s: float) -> TaskDecision:
    overdue = now_s >= drain_started_s + task.drain_deadline_s
    match task.policy:
        case DrainPolicy.NEVER_CUT:
            return TaskDecision(task.request_id, DrainAction.WAIT, overdue)
        case DrainPolicy.CHECKPOINT if task.can_checkpoint and not overdue:
            return TaskDecision(task.request_id, DrainAction.CHECKPOINT)
        case DrainPolicy.CHECKPOINT | DrainPolicy.WAIT:
            return _decide_waiting(task, overdue, now_s)


def _decide_waiting(task: RunningTask, overdue: bool, now_s: float) -> TaskDecision:
    if not overdue:
        return TaskDecision(task.request_id, DrainAction.WAIT)
    if task.repeatable and now_s + task.run_s <= task.deadline_s:
        return TaskDecision(task.request_id, DrainAction.STOP_AND_REPEAT)
    return TaskDecision(task.request_id, DrainAction.WAIT, overdue=True)
