"""Limits of what a team runs at once."""

from __future__ import annotations

from collections.abc import Mapping

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, SubtaskPhase
from cicadatrail_core.jobs.takeover import unreconciled_capacity
from cicadatrail_core.models.resources import NO_RESOURCES, Resources


def unseen_by_team(scheduler: Scheduler, now_s: float) -> dict[str, Resources]:
    """Return what each team may be running beside the runs that are known.

    That is on workers that have not reported yet, and on lost ones whose runs are only
    presumed to be over.
    """
    totals = _unreconciled_by_team(scheduler, now_s)
    if not scheduler.unproven_runs or scheduler.is_lease_valid():
        return totals
    for run in scheduler.unproven_runs:
        step = run.subtask.step
        team = step.job.definition.team
        totals[team] = totals.get(team, NO_RESOURCES) + step.spec.need
    return totals


def _unreconciled_by_team(scheduler: Scheduler, now_s: float) -> dict[str, Resources]:
    """Return what each team may be running on workers that have not reported yet."""
    capacity = unreconciled_capacity(scheduler, now_s)
    if capacity == NO_RESOURCES:
        return {}
    totals: dict[str, Resources] = {}
    for job in scheduler.jobs.values():
        if not job.inherited or job.is_final or not job.definition.team:
            continue
        for steps in job.occurrences.values():
            for step in steps:
                for subtask in step.subtasks:
                    if subtask.phase is SubtaskPhase.DONE or subtask.live_runs:
                        continue
                    previous = totals.get(job.definition.team, NO_RESOURCES)
                    totals[job.definition.team] = previous + step.spec.need
    return {team: total.at_most(capacity) for team, total in totals.items()}


def within_limit(
    scheduler: Scheduler,
    step: StepState,
    count: int,
    unseen: Mapping[str, Resources],
) -> bool:
    """Return whether ``count`` more subtasks stay within the team's limit."""
    team = scheduler.configuration.teams.get(step.job.definition.team)
    if team is None:
        return True
    used = scheduler.team_used.get(team.name, NO_RESOURCES)
    used = used + unseen.get(team.name, NO_RESOURCES) + step.spec.need.times(count)
    limit = team.limit
    return (
        (not limit.cpu_millicores or used.cpu_millicores <= limit.cpu_millicores)
        and (not limit.memory_mib or used.memory_mib <= limit.memory_mib)
        and (
            not limit.accelerator_count
            or used.accelerator_count <= limit.accelerator_count
        )
    )
