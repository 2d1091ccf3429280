"""Admission: whether a new job can still be of use to its caller.

Answers lasting overload: more accepted work of the same or a higher urgency, or of one
team, than can be finished before a new job would be too late. Such a job is refused at
once, and its caller is told when the queue will have drained.

The forecast is optimistic, since a job that is refused wrongly is lost to its caller,
while one that is accepted wrongly only waits: nothing more of the same urgency arrives,
more urgent work comes at a quarter of its recent rate, processors are packed fully,
and machines of other pools join as soon as their runs have ended.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from cicadatrail_core.jobs.urgency import LATE_FACTOR

OPTIMISTIC_FRACTION = 0.5
"""Fraction of the expected work that the forecast counts; run times are uncertain."""

ARRIVAL_WINDOW_S = 4.0
"""Time over which the rate of more urgent work is measured."""

ARRIVAL_FRACTION = 0.25
"""Fraction of that rate at which more urgent work is assumed to go on arriving."""

LEAST_FRACTION = 0.05
"""Fraction of the processors that more urgent work is assumed to leave at least."""

WIDE_FRACTION = 0.25
"""Fraction of a pool that a job can use at once as far as its objective assumes."""

LIMIT_STEP_COUNT = 8
"""Steps to the time in which teams at their limits have left the cores for the rest."""

RETURN_LEAST_S = 1.0
RETURN_LIMIT_S = 30.0
"""Bounds of the time after which refused callers come back."""

RANK_COUNT = 3
"""Groups of refused callers that come back one after the other."""


@dataclass(frozen=True, slots=True)
class Work:
    """Work of one job that has not started; ``due_s`` is when its objective ends."""

    pool: str
    team: str
    priority: int
    due_s: float
    core_s: float


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Cores of a pool that don't serve long-running work, and work that runs there."""

    cores: float
    running_core_s: float


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """A team's weight, limit in cores (0: none) and running work in all pools."""

    weight: int
    limit_cores: float
    running_core_s: float


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """What is ahead of a new job.

    ``waiting`` is accepted work that can still be of use, ``returning`` that of refused
    callers that have been told to come back, and ``recent`` that accepted in the last
    ``ARRIVAL_WINDOW_S``. ``joining_cores`` are of machines that serve no pool yet.
    """

    pools: Mapping[str, PoolLoad]
    teams: Mapping[str, TeamLoad]
    waiting: tuple[Work, ...]
    returning: tuple[Work, ...] = ()
    recent: tuple[Work, ...] = ()
    joining_cores: float = 0.0


@dataclass(frozen=True, slots=True)
class NewJob:
    """A job that asks to be accepted; ``path_s`` is its expected critical path."""

    job_id: str
    work: Work
    path_s: float
    stretch: float
    target_latency_s: float


@dataclass(frozen=True, slots=True)
class Admit:
    """Decision that a job is accepted."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision that a job is refused, and what decided it.

    ``wait_s`` is the forecast of its wait and ``limit_s`` the time after which it would
    be of no use.
    """

    reason: str
    retry_after_s: float
    wait_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class Unjudged:
    """Decision that a job is accepted without a forecast, and why."""

    reason: str


FLEET_BUSY = "the work ahead takes too long"
TEAM_BUSY = "the team's own work ahead takes too long"


def decide(load: FleetLoad, job: NewJob, now_s: float) -> Admit | Reject:
    """Return whether a new job is accepted, or else when to send it again."""
    pool = load.pools.get(job.work.pool)
    if pool is None or pool.cores <= 0:
        return Admit()
    ahead = [work for work in load.waiting if _is_ahead(work, job.work)]
    fleet_s = _fleet_wait_s(load, job.work, ahead)
    team_s = _team_wait_s(load, job.work, ahead)
    wait_s = max(fleet_s, team_s)
    objective_s = _lenient_objective_s(load, pool, job)
    limit_s = LATE_FACTOR * objective_s
    if OPTIMISTIC_FRACTION * (wait_s + job.path_s) <= limit_s:
        return Admit()
    # Callers may as well find that more urgent work has ceased.
    calm = replace(load, recent=())
    ahead += [work for work in load.returning if work.priority <= job.work.priority]
    drained_s = max(
        _fleet_wait_s(calm, job.work, ahead), _team_wait_s(calm, job.work, ahead)
    )
    return Reject(
        TEAM_BUSY if team_s > fleet_s else FLEET_BUSY,
        _retry_after_s(load, job, drained_s - max(0.0, objective_s - job.path_s)),
        wait_s,
        limit_s,
    )


def _is_ahead(work: Work, own: Work) -> bool:
    if work.priority != own.priority:
        return work.priority < own.priority
    return work.due_s <= own.due_s


def _fleet_wait_s(load: FleetLoad, own: Work, ahead: Iterable[Work]) -> float:
    """Return the time until the pool, at its largest, has finished the work ahead.

    Work of the same priority delays a team only as far as its weighted share requires.
    """
    urgent: dict[str, float] = {}
    by_team = {own.team: 0.0}
    for work in ahead:
        if work.pool != own.pool:
            continue
        if work.priority < own.priority:
            urgent[work.team] = urgent.get(work.team, 0.0) + work.core_s
        else:
            by_team[work.team] = by_team.get(work.team, 0.0) + work.core_s
    share = _weight(load, own.team) / sum(_weight(load, team) for team in by_team)
    equal = min(sum(by_team.values()), by_team[own.team] / share)
    pool = load.pools[own.pool]
    left = _left_cores(load, own, pool.cores)
    alone_s = _cleared_s(load, urgent, equal + pool.running_core_s, left)
    # Machines of other pools join once their runs have ended.
    running = sum(other.running_core_s for other in load.pools.values())
    cores = load.joining_cores + sum(other.cores for other in load.pools.values())
    left = _left_cores(load, own, cores)
    fleet_s = _cleared_s(load, urgent, equal + running, left)
    return min(alone_s, fleet_s)


def _cleared_s(
    load: FleetLoad, urgent: Mapping[str, float], other_core_s: float, cores: float
) -> float:
    """Return the time until cores have finished work, or as much as limits allow.

    ``urgent`` has more urgent work by team; what a team's limit holds back leaves
    its cores to others.
    """
    cleared_s = (sum(urgent.values()) + other_core_s) / cores
    for _ in range(LIMIT_STEP_COUNT):
        core_s = other_core_s
        for name, team_core_s in urgent.items():
            team = load.teams.get(name)
            if team is not None and team.limit_cores:
                team_core_s = min(team_core_s, team.limit_cores * cleared_s)
            core_s += team_core_s
        cleared_s = core_s / cores
    return cleared_s


def _left_cores(load: FleetLoad, own: Work, cores: float) -> float:
    """Return the cores that more urgent work leaves, if it goes on arriving."""
    arrived = sum(
        work.core_s
        for work in load.recent
        if work.pool == own.pool and work.priority < own.priority
    )
    taken = ARRIVAL_FRACTION * arrived / ARRIVAL_WINDOW_S
    return max(LEAST_FRACTION * cores, cores - taken)


def _team_wait_s(load: FleetLoad, own: Work, ahead: Iterable[Work]) -> float:
    """Return the time until the team, at its limit, has finished its work ahead."""
    team = load.teams.get(own.team)
    if team is None or not team.limit_cores:
        return 0.0
    core_s = sum(work.core_s for work in ahead if work.team == own.team)
    return (core_s + team.running_core_s) / team.limit_cores


def _weight(load: FleetLoad, team: str) -> int:
    entry = load.teams.get(team)
    return max(1, entry.weight) if entry is not None else 1


def _lenient_objective_s(load: FleetLoad, pool: PoolLoad, job: NewJob) -> float:
    """Return the objective, longer for a job that is wide for its pool or team."""
    path_s = max(job.path_s, job.work.core_s / (WIDE_FRACTION * pool.cores))
    team = load.teams.get(job.work.team)
    if team is not None and team.limit_cores:
        path_s = max(path_s, job.work.core_s / team.limit_cores)
    return job.stretch * path_s + job.target_latency_s


def _retry_after_s(load: FleetLoad, job: NewJob, drained_s: float) -> float:
    """Return when the caller comes back, spread so that not all do at one time.

    Urgent queues and teams that have less than their share of the waiting work come
    first.
    """
    least_s = min(max(RETURN_LEAST_S, drained_s), RETURN_LIMIT_S)
    spread_s = max(RANK_COUNT * RETURN_LEAST_S, least_s)
    digest = hashlib.blake2b(job.job_id.encode(), digest_size=4).digest()
    place = int.from_bytes(digest, "big") / 2**32
    return least_s + spread_s * (_return_rank(load, job) + place) / RANK_COUNT


def _return_rank(load: FleetLoad, job: NewJob) -> int:
    own = job.work
    work = [w for w in (*load.waiting, *load.returning) if w.pool == own.pool]
    is_urgent = own.priority <= min((w.priority for w in work), default=own.priority)
    by_team = {own.team: 0.0}
    for entry in work:
        by_team[entry.team] = by_team.get(entry.team, 0.0) + entry.core_s
    weight = sum(_weight(load, team) for team in by_team)
    has_share = by_team[own.team] * weight >= sum(by_team.values()) * _weight(
        load, own.team
    )
    return (not is_urgent) + has_share
