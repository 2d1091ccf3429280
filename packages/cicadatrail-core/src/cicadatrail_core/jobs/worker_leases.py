"""Leases of workers, after whose end a worker is known to run nothing more."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cicadatrail_core.jobs.crash_suspicion import lose_runs
from cicadatrail_core.jobs.late_starts import may_start_late
from cicadatrail_core.jobs.log_fields import worker_fields
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT, LEASE_MARGIN_S
from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_state import WorkerState

if TYPE_CHECKING:
    from cicadatrail_core.jobs.scheduler import Scheduler

logger = logging.getLogger("cicadatrail.scheduler")

UNNOTICED_LIMIT_S = 3.2
"""Age of a worker's life until which calls may still be meant for the one before: a
poll ends within 2.1 s, and a start within 1.1 s."""


@dataclass(frozen=True, slots=True)
class LifeClock:
    """The clock of one life of a worker, as it was read last.

    ``clock_ms`` was read after ``asked_s``, on the event loop's clock.
    """

    born_unix_ms: int
    clock_ms: int
    asked_s: float

    def is_continued_by(self, clock_ms: int | None, now_s: float) -> bool:
        """Return whether a clock that was read before now is of the same life.

        The clock of a later life began after this one was asked for.
        """
        if clock_ms is None or clock_ms < self.clock_ms:
            return False
        longest_age_s = (now_s - self.asked_s) / (1 - CLOCK_DRIFT)
        return clock_ms > longest_age_s * 1000

    def has_begun_anew(self, clock_ms: int | None) -> bool:
        """Return whether a clock that was read later shows that the worker restarted.

        A restart may have taken place without showing here.
        """
        return clock_ms is not None and clock_ms < self.clock_ms


def known_clock(worker: WorkerState) -> LifeClock | None:
    """Return the clock on which a worker's deadlines are counted, or None."""
    if worker.clock_at_s is None:
        return None
    return LifeClock(worker.born_unix_ms, worker.clock_ms, worker.clock_asked_s)


def renew_lease(scheduler: Scheduler, worker: WorkerState, now_s: float) -> int | None:
    """Extend a worker's lease from now; return its deadline in the worker's ms.

    Returns None before the worker's clock is known and while the worker is suspect: a
    call that gets no answer may still renew the lease, so that the lease could never
    be known to have expired.
    """
    if worker.clock_at_s is None or worker.is_suspect:
        return None
    # A slow clock may have advanced by less than the time that has passed.
    elapsed_s = (now_s - worker.clock_at_s) * (1 - CLOCK_DRIFT)
    lease_s = scheduler.settings.lease_s
    deadline = worker.clock_ms + int((elapsed_s + lease_s) * 1000)
    bound_s = (deadline - worker.clock_ms) / 1000 / (1 - CLOCK_DRIFT)
    expires_s = worker.clock_at_s + bound_s + LEASE_MARGIN_S
    worker.lease_expires_s = max(worker.lease_expires_s, expires_s)
    return deadline


def count_call(
    scheduler: Scheduler,
    worker: WorkerState,
    clock: LifeClock,
    answer_clock_ms: int | None,
    now_s: float,
) -> bool:
    """Count a call that has ended, whose deadline was on ``clock``.

    Return whether its answer proves that the life with that clock has taken it. If not,
    a later life may have. The deadline lies far ahead on the clock of that life, which
    cuts its lease down to the limit.
    """
    if clock.is_continued_by(answer_clock_ms, now_s):
        return True
    until_s = now_s + scheduler.settings.longest_lease_s
    worker.later_life_until_s = max(worker.later_life_until_s, until_s)
    if worker.born_unix_ms != clock.born_unix_ms:
        # That may have been the life that has been read since.
        worker.lease_expires_s = max(worker.lease_expires_s, until_s)
    # A successor has to know of it.
    scheduler.on_change()
    return False


def count_earlier_calls(
    scheduler: Scheduler, worker: WorkerState, clock_ms: int, now_s: float
) -> None:
    """Count the lease that a worker may have by the time of its first answer.

    An earlier leader may have taken a young life for the one before.
    """
    limit_s = scheduler.settings.longest_lease_s
    left_s = min(limit_s, UNNOTICED_LIMIT_S + limit_s - clock_ms / 1000)
    worker.lease_expires_s = max(worker.lease_expires_s, now_s + left_s)


def lease_end_s(run: Run) -> float:
    """Return when every lease that a run may hold is over.

    Only a start that a later life of the worker may have taken can hold one by calls
    that were meant for the known life: a life begins with no runs.
    """
    worker = run.worker
    if run.is_proved:
        return worker.lease_expires_s
    return max(worker.lease_expires_s, worker.later_life_until_s)


def has_expired_lease(worker: WorkerState, now_s: float) -> bool:
    """Return whether every lease of a worker's known life has expired."""
    return now_s > worker.lease_expires_s and not worker.may_hold_former_lease


def has_expired_granted_lease(worker: WorkerState, now_s: float) -> bool:
    """Return whether every lease has expired but those of starts nobody knows of."""
    return now_s > worker.lease_expires_s and not worker.may_hold_granted_lease


def expire_leases(scheduler: Scheduler, now_s: float) -> None:
    """Release the runs of workers whose lease has expired."""
    for worker in list(scheduler.workers.values()):
        if has_expired_lease(worker, now_s):
            _expire(scheduler, worker, now_s)


def _expire(scheduler: Scheduler, worker: WorkerState, now_s: float) -> None:
    over = [
        run
        for run in worker.runs.values()
        if now_s > lease_end_s(run)
        and not run.is_start_pending
        and not may_start_late(scheduler, run, now_s)
    ]
    has_kept = len(over) < len(worker.runs)
    if not worker.is_reconciled and not worker.is_listed and not has_kept:
        scheduler.remove_worker(worker.facts.worker_id, now_s, "lease expired")
        return
    if over:
        logger.warning(
            "scheduler: worker lease expired; releasing its runs.",
            extra={
                **worker_fields(worker),
                "run_count": len(over),
                "order_count": sum(run.answered_s is None for run in over),
                "kept_count": len(worker.runs) - len(over),
                "answer_age_s": round(now_s - (worker.answered_s or 0), 3),
            },
        )
        for run in over:
            if run.phase is not RunPhase.SENT or run.unanswered_s is not None:
                run.subtask.expired_runs.add(run.number)
                worker.unreported_runs.append(run)
        beside = [*worker.unreported_runs, *worker.runs.values()]
        lose_runs(scheduler, worker, over, "lease expired", now_s, beside=beside)
    if not worker.is_listed and not has_kept:
        scheduler.remove_worker(worker.facts.worker_id, now_s, "no longer listed")
