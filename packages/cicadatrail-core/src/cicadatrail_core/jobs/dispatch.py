"""Choice of the subtasks that start next and of their workers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cicadatrail_core.jobs.models import Queue, Step
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import (
    JobState,
    StepState,
    Subtask,
    SubtaskPhase,
    WorkerState,
)
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

LATE_FACTOR = 3
"""Times the objective after which a job earns nothing; the platform states it."""

RESERVE_AFTER_S = 1.5
"""Wait after which a blocked step keeps a worker free of other work."""

OVER_SHARE_FACTOR = 1.2
"""Times its share from which a team counts as over it; one job of several
subtasks is a visible part of a small team's share."""

COLD_PENALTY_MILLICORES = 16_000
"""Room by which a worker that still warms up counts as worse."""

RACK_PENALTY_MILLICORES = 2_000
"""Room by which a rack counts as worse for each lasting subtask of a step there."""

EMPTY_PENALTY_MILLICORES = 32_000
"""Room by which a worker without lasting work counts as worse for it."""

LONG_RUNNING_PER_WORKER_COUNT = 2
"""Lasting subtasks of a step on one worker, where the step does not say; its
evacuation then takes two turns."""

FAR_PENALTY_MILLICORES = 64_000
"""Room by which a worker away from a subtask's data counts as worse."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    order: tuple[float, ...]
    step: StepState
    queue: Queue


def remaining_critical_path_s(scheduler: Scheduler, steps: list[StepState]) -> float:
    """Return the longest chain of expected run times that is still to come."""
    ends: list[float] = []
    for step in steps:
        before = max((ends[k] for k in step.spec.after), default=0.0)
        own = 0.0
        if not step.is_done:
            queue = step.job.definition.queue
            own = scheduler.durations.expected_ms(queue, step.spec.estimate_ms)
        ends.append(before + own / 1000)
    return max(ends, default=0.0)


def objective_s(scheduler: Scheduler, job: JobState, queue: Queue) -> float:
    """Return the time in which a job should be completed."""
    lengths: list[float] = []
    for step in job.definition.steps:
        before = max((lengths[k] for k in step.after), default=0.0)
        own = scheduler.durations.expected_ms(queue.name, step.estimate_ms)
        lengths.append(before + own)
    chain_ms = max(lengths, default=0.0)
    return (queue.stretch * chain_ms + queue.target_latency_ms) / 1000


def dispatch(scheduler: Scheduler, now_s: float) -> None:
    """Place ready subtasks on workers, most urgent first."""
    ready = list(_ready_steps(scheduler))
    if not ready:
        return
    over_share = _teams_over_share(scheduler, ready)
    pools: dict[str, list[_Candidate]] = {}
    for step, steps, queue in ready:
        # A job that has begun is finished first, or all of them get late.
        is_over_share = not step.job.started and step.job.definition.team in over_share
        order = _order(scheduler, step, steps, queue, is_over_share, now_s)
        pools.setdefault(queue.pool, []).append(_Candidate(order, step, queue))
    unsettled = _unreconciled_by_team(scheduler, now_s)
    for pool, candidates in pools.items():
        settled = scheduler.is_pool_reconciled(pool, now_s)
        candidates.sort(key=lambda candidate: candidate.order)
        workers = _usable_workers(scheduler, pool, now_s)
        _place_candidates(scheduler, candidates, workers, settled, unsettled, now_s)


def _ready_steps(
    scheduler: Scheduler,
) -> Iterator[tuple[StepState, list[StepState], Queue]]:
    """Yield each step that has ready subtasks, its occurrence's steps, its queue."""
    for job in scheduler.jobs.values():
        if job.is_final or not job.is_stored:
            continue
        queue = scheduler.queues.get(job.definition.queue)
        if queue is None:
            continue
        for steps in job.occurrences.values():
            for step in steps:
                if step.ready:
                    yield step, steps, queue


def _order(
    scheduler: Scheduler,
    step: StepState,
    steps: list[StepState],
    queue: Queue,
    is_over_share: bool,
    now_s: float,
) -> tuple[float, ...]:
    """Return the sort key of a step; smaller starts earlier.

    ``is_over_share`` tells that the team has more than its share: it waits for teams
    that have less, but goes before jobs that are late already.
    """
    job = step.job
    if step.spec.lasting:
        return (0, queue.priority, 0, 0, job.accepted_s)
    chain_s = remaining_critical_path_s(scheduler, steps)
    limit_s = objective_s(scheduler, job, queue)
    expected_s = now_s + chain_s - job.accepted_s
    lateness = 0
    if expected_s > limit_s:
        lateness = 1 if expected_s <= LATE_FACTOR * limit_s else 2
    urgency_s = chain_s if lateness else job.accepted_s + limit_s
    return (1, queue.priority, lateness, is_over_share, urgency_s, job.accepted_s)


def _teams_over_share(
    scheduler: Scheduler, ready: Iterable[tuple[StepState, list[StepState], Queue]]
) -> frozenset[str]:
    """Return the teams that run more than their weights give them.

    Shares are those of the teams that run something or wait to.
    Source: weighted fair sharing of the processors in use.
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


def _unreconciled_by_team(scheduler: Scheduler, now_s: float) -> dict[str, Resources]:
    """Return what each team may have running where nobody has answered yet."""
    room = scheduler.unreconciled_capacity(now_s)
    if room == NO_RESOURCES:
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
                    held = totals.get(job.definition.team, NO_RESOURCES)
                    totals[job.definition.team] = held + step.spec.need
    return {team: total.at_most(room) for team, total in totals.items()}


def _usable_workers(scheduler: Scheduler, pool: str, now_s: float) -> list[WorkerState]:
    usable = [
        worker
        for worker in scheduler.workers.values()
        if worker.facts.pool == pool
        and worker.is_listed
        and worker.is_reconciled
        and not worker.is_suspect
        and not worker.is_cordoned
        and not worker.facts.draining
        and worker.clock_at_s is not None
        and not scheduler.has_expired_lease(worker, now_s)
    ]
    healthy = [worker for worker in usable if worker.ejected_until_s <= now_s]
    return healthy or usable


def _place_candidates(
    scheduler: Scheduler,
    candidates: Iterable[_Candidate],
    workers: list[WorkerState],
    settled: bool,
    unsettled: dict[str, Resources],
    now_s: float,
) -> None:
    reserved: set[str] = set()
    has_reserved = False
    for candidate in candidates:
        step = candidate.step
        if step.job.inherited and not settled:
            continue
        if step.spec.gang:
            _place_gang(scheduler, step, workers, reserved, unsettled, now_s)
            continue
        blocked = False
        for subtask in list(step.ready.values()):
            if not _within_limit(scheduler, step, 1, unsettled):
                break
            limit = scheduler.attempt_limit(step.job)
            if not step.spec.lasting and subtask.attempt_count >= limit:
                # A run on a silent worker may have been its last attempt.
                continue
            worker = _best_worker(scheduler, subtask, workers, reserved, now_s)
            if worker is None:
                blocked = True
                break
            scheduler.place(subtask, worker, now_s)
        if blocked and not has_reserved and _may_reserve(step, now_s):
            kept = _worker_to_reserve(step.spec, workers)
            if kept is not None:
                reserved.add(kept)
                has_reserved = True


def _may_reserve(step: StepState, now_s: float) -> bool:
    if step.spec.lasting:
        return True
    oldest_s = min(subtask.ready_s for subtask in step.ready.values())
    return now_s - oldest_s > RESERVE_AFTER_S


def _worker_to_reserve(spec: Step, workers: list[WorkerState]) -> str | None:
    """Return the worker that is kept free until the step fits there."""
    able = [
        worker
        for worker in workers
        if spec.reserved.fits_in(worker.facts.capacity)
        and (not spec.required_label or spec.required_label in worker.facts.labels)
    ]
    if not able:
        return None
    best = max(able, key=lambda worker: worker.free_capacity.cpu_millicores)
    return best.facts.worker_id


def _within_limit(
    scheduler: Scheduler, step: StepState, count: int, unsettled: dict[str, Resources]
) -> bool:
    """Tell whether the team may have more subtasks running."""
    team = scheduler.configuration.teams.get(step.job.definition.team)
    if team is None:
        return True
    used = scheduler.team_used.get(team.name, NO_RESOURCES)
    used = used + unsettled.get(team.name, NO_RESOURCES)
    for _ in range(count):
        used = used + step.spec.need
    limit = team.limit
    return (
        (not limit.cpu_millicores or used.cpu_millicores <= limit.cpu_millicores)
        and (not limit.memory_mib or used.memory_mib <= limit.memory_mib)
        and (
            not limit.accelerator_count
            or used.accelerator_count <= limit.accelerator_count
        )
    )


def _best_worker(
    scheduler: Scheduler,
    subtask: Subtask,
    workers: list[WorkerState],
    reserved: set[str],
    now_s: float,
) -> WorkerState | None:
    spec = subtask.step.spec
    advised = scheduler.needs_advice(subtask.step)
    if advised and now_s >= subtask.step.tickets_expire_s:
        return None
    best: WorkerState | None = None
    best_score = 0
    for worker in workers:
        if worker.facts.worker_id in reserved and not spec.lasting:
            continue
        if not can_run(subtask.step, worker):
            continue
        if advised and worker.facts.worker_id not in subtask.step.tickets:
            continue
        score = _score(scheduler, subtask, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def can_run(step: StepState, worker: WorkerState) -> bool:
    """Tell whether a worker has room and the labels, and isn't over the spread."""
    spec = step.spec
    if not spec.reserved.fits_in(worker.free_capacity):
        return False
    if spec.required_label and spec.required_label not in worker.facts.labels:
        return False
    if not spec.spread_limit_count:
        return True
    beside = sum(1 for run in worker.runs.values() if run.subtask.step is step)
    return beside < spec.spread_limit_count


def _score(scheduler: Scheduler, subtask: Subtask, worker: WorkerState) -> int:
    """Return how bad a worker is for a subtask; the least bad one is taken."""
    spec = subtask.step.spec
    score = worker.free_capacity.cpu_millicores
    if spec.lasting or spec.filler:
        score = _long_running_score(subtask, worker)
        if worker.facts.machine in scheduler.next_maintenance_machines:
            score += FAR_PENALTY_MILLICORES
    if spec.data_rack and spec.data_rack not in worker.facts.labels:
        score += FAR_PENALTY_MILLICORES
    if worker.facts.cold_ms > 0:
        score += COLD_PENALTY_MILLICORES
    if subtask.avoided_worker == worker.facts.worker_id:
        score += 2 * FAR_PENALTY_MILLICORES
    return score


def _long_running_score(subtask: Subtask, worker: WorkerState) -> int:
    """Return how bad a worker is for lasting work.

    Few machines hold all of it, so that the others can be moved; a step is spread
    over them and over racks, so that a failure or an evacuation costs little.
    """
    step = subtask.step
    on_worker = 0
    on_rack = 0
    for other in step.subtasks:
        for run in other.live_runs:
            on_worker += run.worker is worker
            on_rack += run.worker.facts.rack == worker.facts.rack
    has_long_running = any(
        run.subtask.step.spec.lasting for run in worker.runs.values()
    )
    score = RACK_PENALTY_MILLICORES * on_rack + worker.used.cpu_millicores
    if on_worker >= max(LONG_RUNNING_PER_WORKER_COUNT, step.spec.may_miss_count):
        score += FAR_PENALTY_MILLICORES
    return score if has_long_running else score + EMPTY_PENALTY_MILLICORES


def _place_gang(
    scheduler: Scheduler,
    step: StepState,
    workers: list[WorkerState],
    reserved: set[str],
    unsettled: dict[str, Resources],
    now_s: float,
) -> None:
    """Start all subtasks of a gang with one run number, or none."""
    members = step.subtasks
    if len(step.ready) < len(members):
        return
    if scheduler.needs_advice(step):
        if now_s >= step.tickets_expire_s:
            return
        workers = [w for w in workers if w.facts.worker_id in step.tickets]
    if not _within_limit(scheduler, step, len(members), unsettled):
        return
    groups = [workers]
    if step.spec.same_rack:
        racks: dict[str, list[WorkerState]] = {}
        for worker in workers:
            racks.setdefault(worker.facts.rack, []).append(worker)
        # Several racks are slower, but better than never.
        groups = [*racks.values(), workers]
    for group in groups:
        chosen = _fit_gang(step, group, reserved)
        if chosen is not None:
            break
    else:
        return
    number = max(member.last_run for member in members)
    for member, worker in zip(members, chosen, strict=True):
        member.last_run = number
        scheduler.place(member, worker, now_s)


def _fit_gang(
    step: StepState, workers: list[WorkerState], reserved: set[str]
) -> list[WorkerState] | None:
    spec = step.spec
    chosen: list[WorkerState] = []
    for worker in sorted(workers, key=lambda w: -w.free_capacity.cpu_millicores):
        if worker.facts.worker_id in reserved or not can_run(step, worker):
            continue
        room = worker.free_capacity
        taken = 0
        while len(chosen) < spec.count and spec.reserved.fits_in(room):
            if spec.spread_limit_count and taken >= spec.spread_limit_count:
                break
            room = room - spec.reserved
            taken += 1
            chosen.append(worker)
        if len(chosen) == spec.count:
            return chosen
    return None
