"""Urgency of steps: the order in which their subtasks start."""

from __future__ import annotations

from collections.abc import Iterable

from cicadatrail_core.jobs.models import JobDefinition, Queue
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState, StepState

LATE_FACTOR = 3
"""Multiple of its objective beyond which the platform gives a job no value."""

OVER_SHARE_FACTOR = 1.2
"""Multiple of its share above which a team counts as over it.

The tolerance is needed because one job of several subtasks takes a considerable
part of a small team's share.
"""


def remaining_critical_path_s(scheduler: Scheduler, steps: list[StepState]) -> float:
    """Return the expected duration of the unfinished steps' critical path."""
    ends: list[float] = []
    for step in steps:
        before = max((ends[k] for k in step.spec.after), default=0.0)
        own_ms = 0.0
        if not step.is_done:
            queue = step.job.definition.queue
            own_ms = scheduler.durations.expected_ms(queue, step.spec.estimate_ms)
        ends.append(before + own_ms / 1000)
    return max(ends, default=0.0)


def critical_path_s(scheduler: Scheduler, definition: JobDefinition) -> float:
    """Return the expected duration of the critical path of a whole occurrence."""
    ends_ms: list[float] = []
    for step in definition.steps:
        before = max((ends_ms[k] for k in step.after), default=0.0)
        own_ms = scheduler.durations.expected_ms(definition.queue, step.estimate_ms)
        ends_ms.append(before + own_ms)
    return max(ends_ms, default=0.0) / 1000


def objective_s(scheduler: Scheduler, job: JobState, queue: Queue) -> float:
    """Return the time in seconds within which a job should complete."""
    path_s = critical_path_s(scheduler, job.definition)
    return queue.stretch * path_s + queue.target_latency_ms / 1000


def start_order(
    scheduler: Scheduler,
    step: StepState,
    steps: list[StepState],
    queue: Queue,
    is_over_share: bool,
    now_s: float,
) -> tuple[float, ...]:
    """Return the sort key of a step; smaller keys start earlier.

    ``is_over_share`` is true if the step's team uses more than its share. The step
    then follows those of teams that use less, but precedes jobs that are already
    late. A late job whose turn it is precedes all of its priority.
    """
    job = step.job
    if step.spec.lasting:
        return (0, queue.priority, 0, 0, job.accepted_s)
    path_s = remaining_critical_path_s(scheduler, steps)
    limit_s = objective_s(scheduler, job, queue)
    expected_s = now_s + path_s - job.accepted_s
    lateness = 0
    if expected_s > limit_s:
        lateness = 1 if expected_s <= LATE_FACTOR * limit_s else 2
    if job.job_id in scheduler.standing.aged:
        lateness = -1
    urgency_s = path_s if lateness else job.accepted_s + limit_s
    return (1, queue.priority, lateness, is_over_share, urgency_s, job.accepted_s)


def teams_over_share(
    scheduler: Scheduler, ready: Iterable[tuple[StepState, list[StepState], Queue]]
) -> frozenset[str]:
    """Return the teams that use more than their share of the processors in use.

    Shares follow weighted fair sharing among the teams with running or ready
    subtasks.
    """
    teams = scheduler.configuration.teams
    used = {name: 0 for step, _, _ in ready if (name := step.job.definition.team)}
    for name, amount in scheduler.team_used.items():
        if amount.cpu_millicores:
            used[name] = amount.cpu_millicores
    used = {name: used[name] for name in used if name in teams}
    weight = sum(teams[name].weight for name in used)
    total = sum(used.values())
    return frozenset(
        name
        for name, millicores in used.items()
        if millicores * weight > OVER_SHARE_FACTOR * total * teams[name].weight
    )
