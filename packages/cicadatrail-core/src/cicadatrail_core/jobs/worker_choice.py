"""Choice of the workers that subtasks and gangs start on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

from cicadatrail_core.jobs.backfill import NEAR_SCORE_MILLICORES, Backfill
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.team_limits import within_limit
from cicadatrail_core.jobs.worker_conditions import advised_workers, can_run
from cicadatrail_core.jobs.worker_scores import count_by_rack, placement_score
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import Resources


def best_worker(
    scheduler: Scheduler,
    subtask: Subtask,
    workers: list[WorkerState],
    reserved: Set[str],
    backfill: Backfill | None,
    now_s: float,
) -> WorkerState | None:
    """Return the allowed worker with the lowest score, or None.

    While ``backfill`` keeps room, it chooses among those with nearly that score.
    """
    spec = subtask.step.spec
    advised = advised_workers(scheduler, subtask.step, now_s)
    # Only the scores of long-running and best-effort work depend on it.
    on_racks = count_by_rack(subtask.step) if spec.lasting or spec.filler else Counter()
    best: WorkerState | None = None
    best_score = 0
    scored: list[tuple[int, WorkerState]] = []
    for worker in workers:
        if worker.facts.worker_id in reserved:
            continue
        if advised is not None and worker.facts.worker_id not in advised:
            continue
        if not can_run(subtask.step, worker):
            continue
        score = placement_score(scheduler, subtask, worker, on_racks)
        scored.append((score, worker))
        if best is None or score < best_score:
            best, best_score = worker, score
    if best is None or backfill is None or not backfill.is_active or spec.lasting:
        return best
    limit = best_score + NEAR_SCORE_MILLICORES
    return backfill.choose([worker for score, worker in scored if score <= limit])


def may_start_gang(
    scheduler: Scheduler, step: StepState, unseen: dict[str, Resources]
) -> bool:
    """Return whether all members of a gang may start at once, room aside."""
    members = step.subtasks
    if len(step.ready) < len(members):
        return False
    if not all(scheduler.may_repeat(member) for member in members):
        return False
    if any(member.may_run_unseen for member in members):
        return False
    # The members of a run share its number; one that ended unreported may have failed.
    unreported = {number for member in members for number in member.expired_runs}
    attempt_count = step.gang_failures + len(unreported)
    if not step.spec.lasting and attempt_count >= scheduler.attempt_limit(step.job):
        return False
    return within_limit(scheduler, step, len(members), unseen)


def choose_gang_workers(
    scheduler: Scheduler,
    step: StepState,
    workers: list[WorkerState],
    reserved: Set[str],
    now_s: float,
) -> list[WorkerState] | None:
    """Return a worker for each subtask of a gang, or None if they don't fit."""
    advised = advised_workers(scheduler, step, now_s)
    if advised is not None:
        workers = [w for w in workers if w.facts.worker_id in advised]
    groups = [workers]
    if step.spec.same_rack:
        racks: dict[str, list[WorkerState]] = {}
        for worker in workers:
            racks.setdefault(worker.facts.rack, []).append(worker)
        # Spanning racks is slower, but better than not starting at all.
        groups = [*racks.values(), workers]
    for group in groups:
        chosen = _fit_gang(step, group, reserved)
        if chosen is not None:
            return chosen
    return None


def _fit_gang(
    step: StepState, workers: list[WorkerState], reserved: Set[str]
) -> list[WorkerState] | None:
    """Return a worker for each subtask of a gang, or None if not all fit."""
    spec = step.spec
    chosen: list[WorkerState] = []
    for worker in sorted(workers, key=lambda w: -w.free_capacity.cpu_millicores):
        if worker.facts.worker_id in reserved or not can_run(step, worker):
            continue
        free = worker.free_capacity
        placed_count = 0
        while len(chosen) < spec.count and spec.reserved.fits_in(free):
            if spec.spread_limit_count and placed_count >= spec.spread_limit_count:
                break
            free = free - spec.reserved
            placed_count += 1
            chosen.append(worker)
        if len(chosen) == spec.count:
            return chosen
    return None
