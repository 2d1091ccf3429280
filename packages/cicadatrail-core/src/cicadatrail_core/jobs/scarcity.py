"""Service of teams and queues under scarcity, and late jobs that must not starve.

Answers lasting overload of one priority: work that can still be in time comes first and
never ceases, so that accepted jobs that are late would never start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

LATE_WAIT_LIMIT_S = 20.0
"""Age at which the oldest late job of a pool and priority precedes the others."""

LATE_TURN_S = 2.0
"""Interval between the turns of late jobs in a pool and priority."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Work of one job that ended lately or is late, and whether it was in time."""

    team: str
    queue: str
    core_s: float
    in_objective: bool


@dataclass(frozen=True, slots=True)
class LateJob:
    """A job that is late and of which nothing has started."""

    job_id: str
    pool: str
    priority: int
    accepted_s: float


@dataclass(frozen=True, slots=True)
class Turn:
    """The turn of a late job, which was accepted at ``accepted_s``."""

    job_id: str
    accepted_s: float
    since_s: float


@dataclass(frozen=True, slots=True)
class Standing:
    """Shares of recent work that was done in time, and the late jobs whose turn it is.

    Shares are by team and by queue. ``turns`` has the newest turn by pool and
    priority; the jobs in ``aged`` have it, and precede all others of their priority.
    """

    team_shares: Mapping[str, float] = field(default_factory=dict)
    queue_shares: Mapping[str, float] = field(default_factory=dict)
    turns: Mapping[tuple[str, int], Turn] = field(default_factory=dict)
    aged: frozenset[str] = frozenset()


def judge(
    claims: Iterable[Claim], late: Iterable[LateJob], previous: Standing, now_s: float
) -> Standing:
    """Return the standing of teams and queues by their claims.

    Late jobs take turns, the oldest first, so that the others keep most of the
    capacity.
    """
    teams: dict[str, list[Claim]] = {}
    queues: dict[str, list[Claim]] = {}
    for claim in claims:
        teams.setdefault(claim.team, []).append(claim)
        queues.setdefault(claim.queue, []).append(claim)
    waiting: dict[tuple[str, int], list[LateJob]] = {}
    for job in sorted(late, key=_age_order):
        if now_s - job.accepted_s > LATE_WAIT_LIMIT_S:
            waiting.setdefault((job.pool, job.priority), []).append(job)
    turns = {
        key: turn
        for key, turn in previous.turns.items()
        if key in waiting or now_s - turn.since_s < LATE_TURN_S
    }
    for key, jobs in waiting.items():
        turn = turns.get(key)
        if turn is None:
            turns[key] = Turn(jobs[0].job_id, jobs[0].accepted_s, now_s)
        elif now_s - turn.since_s >= LATE_TURN_S:
            # One that fits nowhere must not keep the turn from the others.
            younger = [job for job in jobs if _age_order(job) > _age_order(turn)]
            following = younger[0] if younger else jobs[0]
            turns[key] = Turn(following.job_id, following.accepted_s, now_s)
    has_turn = {turn.job_id for turn in turns.values()}
    aged = {job.job_id for jobs in waiting.values() for job in jobs} & has_turn
    return Standing(
        {name: _share(entries) for name, entries in teams.items()},
        {name: _share(entries) for name, entries in queues.items()},
        turns,
        frozenset(aged),
    )


def _age_order(job: LateJob | Turn) -> tuple[float, str]:
    """Return the sort key by age; jobs of an earlier leader may have the same age."""
    return (job.accepted_s, job.job_id)


def _share(claims: Iterable[Claim]) -> float:
    asked = in_time = 0.0
    for claim in claims:
        asked += claim.core_s
        in_time += claim.core_s if claim.in_objective else 0.0
    return in_time / asked if asked else 1.0
