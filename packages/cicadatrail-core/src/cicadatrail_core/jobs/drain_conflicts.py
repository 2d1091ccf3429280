"""Long-running subtasks that wait for machines which are being drained.

Answers drains of many machines while workers are lost: a subtask of which a worker may
run only one may fit on no other machine than those, and they may not be drained before
it runs again.
"""

from __future__ import annotations

from collections.abc import Iterable

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.takeover import is_queue_reconciled
from cicadatrail_core.jobs.team_limits import unseen_by_team, within_limit
from cicadatrail_core.jobs.worker_conditions import (
    advised_workers,
    can_run,
    usable_workers,
)
from cicadatrail_core.jobs.worker_leases import has_expired_lease
from cicadatrail_core.jobs.worker_state import WorkerState

WAIT_LIMIT_S = 1.0
"""Wait of a long-running subtask from which a drain gives way to it."""


def workers_to_give_back(
    scheduler: Scheduler, drained: Iterable[WorkerState], now_s: float
) -> list[WorkerState]:
    """Return the drained workers that a subtask needs which fits nowhere else.

    One for each long-running step that waits, on which it could start at once. The one
    with the most runs is chosen, as it is the furthest from being drained.
    """
    left = {
        worker.facts.worker_id: worker
        for worker in drained
        if _may_take_runs(scheduler, worker, now_s)
    }
    found: list[WorkerState] = []
    steps = _waiting_steps(scheduler, now_s) if left else []
    if not steps:
        return found
    unseen = unseen_by_team(scheduler, now_s)
    for step in steps:
        queue = scheduler.queues.get(step.job.definition.queue)
        if queue is None or queue.name in scheduler.queue_pools.unstored:
            continue
        if not within_limit(scheduler, step, 1, unseen):
            continue
        if step.job.inherited and not is_queue_reconciled(scheduler, queue, now_s):
            continue
        usable = usable_workers(scheduler, queue.pool, now_s)
        if any(_can_start(scheduler, step, w, now_s) for w in (*usable, *found)):
            continue
        able = [
            worker
            for worker in left.values()
            if worker.facts.pool == queue.pool
            and _can_start(scheduler, step, worker, now_s)
        ]
        if able:
            worker = max(able, key=lambda worker: len(worker.runs))
            found.append(left.pop(worker.facts.worker_id))
    return found


def _may_take_runs(scheduler: Scheduler, worker: WorkerState, now_s: float) -> bool:
    """Return whether something could start on a worker that were not drained."""
    return (
        worker.is_listed
        and worker.is_known
        and not worker.unknown_run_count
        and not worker.is_suspect
        and not worker.facts.draining
        and not is_evacuated(scheduler, worker)
        and worker.ejected_until_s <= now_s
        and not has_expired_lease(worker, now_s)
    )


def _can_start(
    scheduler: Scheduler, step: StepState, worker: WorkerState, now_s: float
) -> bool:
    """Return whether a worker has room for a step, and its ticket if it needs one."""
    advised = advised_workers(scheduler, step, now_s)
    if advised is not None and worker.facts.worker_id not in advised:
        return False
    return can_run(step, worker)


def _waiting_steps(scheduler: Scheduler, now_s: float) -> list[StepState]:
    """Return the long-running steps of which a subtask has waited for too long."""
    return [
        step
        for job in scheduler.jobs.values()
        if job.is_stored and not job.is_final and now_s >= job.held_until_s
        for steps in job.occurrences.values()
        for step in steps
        if step.spec.lasting
        and not step.spec.gang
        and any(_has_waited(scheduler, s, now_s) for s in step.ready.values())
    ]


def _has_waited(scheduler: Scheduler, subtask: Subtask, now_s: float) -> bool:
    """Return whether a subtask has waited for too long, and could start with room."""
    return now_s - subtask.ready_s > WAIT_LIMIT_S and scheduler.may_repeat(subtask)
