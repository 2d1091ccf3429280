"""Log of long-running subtasks that don't run for long, with what keeps them waiting.

Such a subtask may wait though a worker has room, for reasons that lie in different
parts: a takeover, a drain, an ejection, an order without an answer, a limit.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

from cicadatrail_core.jobs.late_starts import has_late_start
from cicadatrail_core.jobs.models import Queue
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import (
    Run,
    RunPhase,
    Subtask,
    SubtaskPhase,
)
from cicadatrail_core.jobs.takeover import unanswered_workers
from cicadatrail_core.jobs.team_limits import unseen_by_team, within_limit
from cicadatrail_core.jobs.worker_conditions import (
    can_run,
    turned_down_counts,
)
from cicadatrail_core.jobs.worker_leases import lease_end_s
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

logger = logging.getLogger("cicadatrail.scheduler")

LOGGED_AFTER_S = 2.0
"""Time without a run from which a subtask is logged."""

LOG_INTERVAL_S = 1.0
"""Interval between two lines about one job."""

LOGGED_JOB_COUNT = 20
"""Most jobs that are logged at once."""

NAMED_COUNT = 5
"""Most workers that are named in a line."""


def log_long_waits_if_due(scheduler: Scheduler, may_start: bool, now_s: float) -> None:
    """Log the long-running subtasks that have waited for long, one of each job.

    Of a job the one is named that has waited longest, as this leader has seen it.
    ``may_start`` tells whether the leader may start subtasks.
    """
    if now_s - scheduler.waits_logged_s < LOG_INTERVAL_S:
        return
    scheduler.waits_logged_s = now_s
    waiting = [*_longest_waits(scheduler, now_s)]
    if not waiting:
        return
    unseen = unseen_by_team(scheduler, now_s)
    waiting.sort(key=lambda entry: entry[0])
    for since_s, subtask, count in waiting[:LOGGED_JOB_COUNT]:
        logger.warning(
            "scheduler: long-running subtask has not run for long.",
            extra={
                "subtask": str(subtask.name),
                "queue": subtask.step.job.definition.queue,
                "epoch": scheduler.settings.epoch,
                "waited_s": round(now_s - since_s, 3),
                "waiting_count": count,
                "previous_end": subtask.previous_end,
                **explain_wait(scheduler, subtask, unseen, may_start, now_s),
            },
        )


def _longest_waits(
    scheduler: Scheduler, now_s: float
) -> Iterator[tuple[float, Subtask, int]]:
    """Yield a subtask of each job that waits, since when, and how many others do."""
    for job in scheduler.jobs.values():
        if job.is_final or not job.is_stored:
            continue
        if not any(step.lasting for step in job.definition.steps):
            continue
        found = [
            (since_s, subtask.index, subtask)
            for steps in job.occurrences.values()
            for step in steps
            if step.spec.lasting
            for subtask in step.subtasks
            if (since_s := _waiting_since_s(subtask)) is not None
            and now_s - since_s > LOGGED_AFTER_S
        ]
        if found:
            since_s, _, subtask = min(found, key=lambda entry: entry[:2])
            yield since_s, subtask, len(found)


def _waiting_since_s(subtask: Subtask) -> float | None:
    """Return since when a subtask is known not to run, or None if it may run."""
    if subtask.phase is SubtaskPhase.READY:
        return subtask.ready_s
    if subtask.phase is not SubtaskPhase.ACTIVE:
        return None
    times = [_unusable_since_s(run) for run in subtask.live_runs]
    known = [time_s for time_s in times if time_s is not None]
    return max(known) if known and len(known) == len(times) else None


def _unusable_since_s(run: Run) -> float | None:
    """Return since when a run may not be under way, or None if it is."""
    if run.phase is RunPhase.SENT:
        return run.sent_s if run.unanswered_s is None else run.unanswered_s
    return run.worker.failed_s if run.stop_acked_s is None else run.stop_acked_s


def explain_wait(
    scheduler: Scheduler,
    subtask: Subtask,
    unseen: Mapping[str, Resources],
    may_start: bool,
    now_s: float,
) -> dict[str, object]:
    """Return why a subtask does not run, with the numbers that decide it.

    ``unseen`` has what teams may run beside the runs that are known. ``room_count``
    counts the workers that would have room, whether or not they may get runs.
    """
    step = subtask.step
    queue = scheduler.queues.get(step.job.definition.queue)
    if queue is None:
        return {"reason": "the queue is not in the configuration"}
    reason, numbers = _reason(scheduler, subtask, queue, unseen, now_s)
    if not may_start and not subtask.live_runs:
        reason, numbers = "the leader may not start anything at present", {}
    room_count = sum(
        worker.is_listed
        and worker.facts.pool == queue.pool
        and not worker.facts.draining
        and can_run(step, worker)
        for worker in scheduler.workers.values()
    )
    return {"reason": reason, "room_count": room_count, **numbers}


def _reason(
    scheduler: Scheduler,
    subtask: Subtask,
    queue: Queue,
    unseen: Mapping[str, Resources],
    now_s: float,
) -> tuple[str, dict[str, object]]:
    """Return the first reason, in the order in which a scheduling pass asks."""
    step = subtask.step
    job = step.job
    if subtask.live_runs:
        return _run_reason(subtask.live_runs[-1], now_s)
    if now_s < job.held_until_s:
        left_s = min(job.held_until_s - now_s, 1e6)
        return "the job is held back", {"left_s": round(left_s, 3)}
    if queue.name in scheduler.queue_pools.unstored:
        return "the new pool of the queue is not stored yet", {}
    if job.inherited and (awaited := unanswered_workers(scheduler, queue, now_s)):
        left_s = max(worker.lease_expires_s for worker in awaited) - now_s
        return "a worker of the pool has not answered since the takeover", {
            "awaited_count": len(awaited),
            "workers": [worker.facts.worker_id for worker in awaited[:NAMED_COUNT]],
            "left_s": round(left_s, 3),
        }
    if has_late_start(scheduler, subtask, now_s):
        return "a worker may yet carry out a start of it", {
            "workers": [*subtask.late_starts][:NAMED_COUNT],
            "left_s": round(max(subtask.late_starts.values()) - now_s, 3),
        }
    if not scheduler.may_repeat(subtask):
        return "its last run may go on, as another leader may have been elected", {}
    count = step.spec.count if step.spec.gang else 1
    if not within_limit(scheduler, step, count, unseen):
        team = job.definition.team
        used = scheduler.team_used.get(team, NO_RESOURCES)
        return "the team is at its limit", {
            "used_millicores": used.cpu_millicores,
            "unseen_millicores": unseen.get(team, NO_RESOURCES).cpu_millicores,
            "limit_millicores": scheduler.configuration.teams[
                team
            ].limit.cpu_millicores,
        }
    if step.spec.gang and len(step.ready) < step.spec.count:
        return "a member of its gang is not ready", {"ready_count": len(step.ready)}
    turned_down = turned_down_counts(scheduler, step, queue.pool, now_s)
    numbers: dict[str, object] = {"turned_down": dict(turned_down.most_common())}
    if turned_down[""]:
        # Only what is suspected, or kept for a suspect, is left.
        numbers["able_count"] = turned_down.pop("")
        numbers["turned_down"] = dict(turned_down.most_common())
        numbers["crash_count"] = len(subtask.crashed_runs)
        if subtask.crashed_runs:
            return (
                "it may crash its worker, and waits for one or for the store",
                numbers,
            )
        return "workers are kept for a subtask that may crash them", numbers
    return "no worker of the pool may start it", numbers


def _run_reason(run: Run, now_s: float) -> tuple[str, dict[str, object]]:
    """Return why a run that may not be under way keeps its subtask from starting."""
    worker = run.worker
    numbers: dict[str, object] = {
        "run": run.number,
        "worker_id": worker.facts.worker_id,
        "left_s": round(lease_end_s(run) - now_s, 3),
    }
    match run.phase:
        case RunPhase.STOPPING if run.stop_acked_s is None:
            return "its last run has not answered a stop", numbers
        case RunPhase.STOPPING:
            return "its last run is stopping", numbers
        case RunPhase.SENT:
            return "the worker has not answered its start", numbers
        case RunPhase.RUNNING:
            return "the worker that runs it is silent", numbers
