"""State that a new leader takes over, and what it doesn't know of workers yet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cicadatrail_core.jobs.crash_suspicion import restore_suspects
from cicadatrail_core.jobs.models import Queue
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.jobs.worker_leases import (
    has_expired_granted_lease,
    has_expired_lease,
)
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from cicadatrail_core.jobs.scheduler import Scheduler


def inherit(scheduler: Scheduler, jobs: Iterable[JobState]) -> None:
    """Add jobs that an earlier leader stored.

    Their subtasks start only once each worker of every pool that their queue has had
    has reported, has been removed, or has no unexpired lease.
    """
    for job in jobs:
        job.inherited = True
        job.is_stored = True
        scheduler.jobs[job.job_id] = job
        restore_suspects(scheduler, job)


def is_queue_reconciled(
    scheduler: Scheduler, queue: Queue, now_s: float, for_lasting: bool = False
) -> bool:
    """Return whether every worker is known on which a queue's jobs may run.

    Long-running subtasks, for which ``for_lasting`` asks, don't wait for starts of
    which only a killed leader knew: those few that it had under way are stored, and
    each waits by itself (``Subtask.may_run_unseen``).
    """
    has_expired = has_expired_granted_lease if for_lasting else has_expired_lease
    pools = scheduler.queue_pools.of(queue)
    return all(
        worker.is_reconciled or has_expired(worker, now_s)
        for worker in scheduler.workers.values()
        if worker.facts.pool in pools
    )


def unanswered_workers(
    scheduler: Scheduler, queue: Queue, now_s: float
) -> list[WorkerState]:
    """Return the workers that are not known, for which a queue's jobs wait."""
    pools = scheduler.queue_pools.of(queue)
    return [
        worker
        for worker in scheduler.workers.values()
        if worker.facts.pool in pools
        and not worker.is_reconciled
        and not has_expired_lease(worker, now_s)
    ]


def may_have_unknown_runs(scheduler: Scheduler, now_s: float) -> bool:
    """Return whether a worker may run something that this leader doesn't know."""
    return not all(
        worker.is_reconciled or has_expired_lease(worker, now_s)
        for worker in scheduler.workers.values()
    )


def unreconciled_capacity(scheduler: Scheduler, now_s: float) -> Resources:
    """Return the total capacity of the workers whose runs are unknown."""
    total = NO_RESOURCES
    for worker in scheduler.workers.values():
        if not worker.is_reconciled and not has_expired_lease(worker, now_s):
            total = total + worker.facts.capacity
    return total
