"""Repeated starts: an order without an answer is sent to its worker again.

The worker runs a number once, whichever order comes first.
"""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.crash_evidence import PROMPT_S
from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.late_starts import may_start_late
from cicadatrail_core.jobs.log_fields import worker_fields
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_conditions import has_label, unusable_reason

logger = logging.getLogger("cicadatrail.scheduler")


def may_retry(scheduler: Scheduler, run: Run, sent_s: float) -> bool:
    """Return whether a run that its worker doesn't list is to be started there again.

    ``sent_s`` is when the list was asked for. A worker that has restarted since the
    order may have been crashed by it, so that its later lives get it once more only.
    """
    if not run.is_start_unknown or (run.unanswered_s or 0.0) >= sent_s:
        return False
    if not may_start_late(scheduler, run, sent_s):
        return False
    return not (run.is_of_former_life and run.has_moved_life)


def may_keep_lost(scheduler: Scheduler, run: Run, now_s: float) -> bool:
    """Return whether a run that a restarted worker has lost is to be started there."""
    if run.phase is RunPhase.STOPPING or run.has_moved_life:
        return False
    return may_start_late(scheduler, run, now_s)


def retry_start(scheduler: Scheduler, run: Run, now_s: float) -> None:
    """Send a start again if its worker may take it now; give it up if it never may."""
    worker = run.worker
    if not _may_take(scheduler, run):
        scheduler.stop(run)
        return
    if unusable_reason(scheduler, worker, now_s) or worker.is_over_capacity:
        return
    if len(run.subtask.live_runs) > 1 and not run.subtask.step.spec.copies_allowed:
        # An earlier one is being stopped there.
        return
    logger.info(
        "scheduler: start without an answer is sent again.",
        extra={
            **worker_fields(worker),
            "subtask": str(run.subtask.name),
            "run": run.number,
            "unanswered_count": run.unanswered_count,
        },
    )
    scheduler.counts["start-retried"] = scheduler.counts.get("start-retried", 0) + 1
    if run.is_of_former_life:
        run.has_moved_life = True
        # Its crash may be repeated, and the worker runs nothing else yet.
        run.apart_until_s = now_s + PROMPT_S
    run.unanswered_s = None
    run.is_start_pending = True
    scheduler.starts.append(run)
    scheduler.on_change()


def _may_take(scheduler: Scheduler, run: Run) -> bool:
    """Return whether a worker, which may have changed, may run a subtask at all."""
    worker, step = run.worker, run.subtask.step
    if worker.facts.draining or worker.is_cordoned or is_evacuated(scheduler, worker):
        return False
    queue = scheduler.queues.get(step.job.definition.queue)
    is_in_pool = queue is not None and queue.pool == worker.facts.pool
    return is_in_pool and has_label(step, worker)
