"""Subtasks that are suspected of having crashed their worker.

A run that started shortly before its worker was lost may be the cause, or may only
have shared the worker with it. Each such loss counts as a crash of the run's subtask.
``suspect_placement`` starts suspects apart from each other, so that only the cause
collects further crashes; its job is then given up.
"""

from __future__ import annotations

import logging
from collections.abc import Container, Iterable
from typing import TYPE_CHECKING

from cicadatrail_core.jobs.crash_evidence import (
    CRASH_WINDOW_S,
    has_crash_followed,
    is_loss_planned,
    is_prompt,
    is_recent,
)
from cicadatrail_core.jobs.models import JobPhase
from cicadatrail_core.jobs.scheduler_settings import RUNS_PER_EPOCH
from cicadatrail_core.jobs.shared_trouble import PoolTrouble
from cicadatrail_core.jobs.state import JobState, Run, Subtask, SubtaskPhase
from cicadatrail_core.jobs.worker_state import WorkerState

if TYPE_CHECKING:
    from cicadatrail_core.jobs.scheduler import Scheduler

logger = logging.getLogger("cicadatrail.scheduler")

ALONE_LIMIT_COUNT = 3
"""Crashes at which a job is given up if the last hardly has another cause.

It was then prompt, when no run of another job had started at that time.
"""

SHARED_LIMIT_COUNT = 4
"""Crashes at which a job is given up even if the last may have another cause."""

ONE_WORKER_LIMIT_COUNT = 8
"""Crashes at which a job is given up even if one worker may be the cause of all."""

STORE_WAIT_S = 0.4
"""Longest wait of a suspect with one crash for the crash to be stored."""

NOTED_START = 0
"""Stands among a subtask's unstored crashes for the note of its next start."""

LOGGED_LIMIT_COUNT = 20
"""Maximum number of subtasks named in one log line."""


def crash_count(subtask: Subtask) -> int:
    """Return the crashes of a subtask, or the most of any member of its gang."""
    return max(len(member.crashed_runs) for member in together(subtask))


def together(subtask: Subtask) -> list[Subtask]:
    """Return the members of a subtask's gang, or only the subtask."""
    step = subtask.step
    return step.subtasks if step.spec.gang else [subtask]


def lost_with(subtask: Subtask) -> set[str]:
    """Return the workers whose crashes count for a subtask, or for its gang.

    A presumed crash stands for another worker.
    """
    members = together(subtask)
    return {worker for member in members for worker in member.crashed_runs.values()}


# Counting


def lose_runs(
    scheduler: Scheduler,
    worker: WorkerState,
    lost: list[Run],
    reason: str,
    now_s: float,
    kept: Iterable[Run] = (),
    beside: Iterable[Run] = (),
) -> None:
    """Release the runs lost with a worker and count the crash.

    Without the lease they count for their teams until the worker answers. ``kept``
    holds runs that may be the cause of the crash, but may not be over, and ``beside``
    those that are lost by the same crash at another time.
    """
    other = [run for run in beside if is_recent(run) and is_prompt(run, now_s)]
    blamed = [run for run in (*lost, *kept) if is_recent(run)]
    is_planned = is_loss_planned(worker, now_s)
    trouble = scheduler.recent_losses.trouble(worker, scheduler.workers, now_s)
    _log_loss(worker, len(lost), blamed, reason, trouble, now_s)
    if is_planned:
        blamed = []
    else:
        scheduler.recent_losses.add(worker, now_s)
    shared = {run for run in blamed if trouble.is_shared(lost_with(run.subtask))}
    blamed = [run for run in blamed if run not in shared or has_crash_followed(run)]
    for run in blamed:
        _count_crash(scheduler, run)
    for run in lost:
        scheduler.release(run, now_s, reason)
    if lost and not scheduler.is_lease_valid():
        scheduler.unproven_runs.add(worker, lost)
    prompt = [run for run in blamed if is_prompt(run, now_s)]
    is_alone = len({run.subtask.step.job.job_id for run in (*prompt, *other)}) == 1
    for run in blamed:
        subtask = run.subtask
        is_cause = is_alone and run in prompt and run not in shared
        is_cause = is_cause and len(lost_with(subtask)) > 1
        if _has_too_many_crashes(subtask, run in prompt) or (
            is_cause and _seen_crash_count(subtask) >= ALONE_LIMIT_COUNT
        ):
            _give_up(scheduler, subtask, now_s)


def _has_too_many_crashes(subtask: Subtask, is_last_prompt: bool = False) -> bool:
    """Return whether a subtask is given up even if the last crash has another cause.

    Late crashes of one worker, which may restart again and again, say little.
    """
    count = crash_count(subtask)
    if count < SHARED_LIMIT_COUNT:
        return False
    has_several_workers = len(lost_with(subtask)) > 1
    return is_last_prompt or has_several_workers or count >= ONE_WORKER_LIMIT_COUNT


def _seen_crash_count(subtask: Subtask) -> int:
    """Return the crashes that are not only presumed, as ``crash_count`` does."""
    return max(
        sum(number > 0 for number in member.crashed_runs)
        for member in together(subtask)
    )


def _count_crash(scheduler: Scheduler, run: Run) -> None:
    subtask = run.subtask
    job = subtask.step.job
    is_over = job.is_final or subtask.phase is SubtaskPhase.DONE
    if is_over or run.number in subtask.crashed_runs:
        return
    _add_crash(scheduler, subtask, run.number, run.worker.facts.worker_id)
    scheduler.suspects[subtask.name] = subtask
    scheduler.counts["crashed"] = scheduler.counts.get("crashed", 0) + 1


def _add_crash(
    scheduler: Scheduler, subtask: Subtask, run_number: int, worker_id: str
) -> None:
    subtask.crashed_runs[run_number] = worker_id
    subtask.unstored_crashes.add(run_number)
    scheduler.changed_jobs[subtask.step.job.job_id] = None


def _give_up(scheduler: Scheduler, subtask: Subtask, now_s: float) -> None:
    job = subtask.step.job
    if job.is_final:
        return
    logger.warning(
        "scheduler: giving up a subtask that crashes its workers.",
        extra={
            "subtask": str(subtask.name),
            "crash_count": crash_count(subtask),
            "workers": sorted(filter(None, subtask.crashed_runs.values())),
        },
    )
    scheduler.finish(job, JobPhase.FAILED, now_s)
    scheduler.stop_runs(job)


def give_up_inherited(scheduler: Scheduler, subtask: Subtask, now_s: float) -> bool:
    """Give up a suspect that may have crashed too many workers unseen.

    Call it once every worker has reported: presumed crashes would be taken back by
    then. Return whether the subtask is given up.
    """
    if not _has_too_many_crashes(subtask):
        return False
    _give_up(scheduler, subtask, now_s)
    return True


def _log_loss(
    worker: WorkerState,
    run_count: int,
    blamed: list[Run],
    reason: str,
    trouble: PoolTrouble,
    now_s: float,
) -> None:
    if not blamed:
        return
    answer_age_s = None if worker.answered_s is None else now_s - worker.answered_s
    logger.warning(
        "scheduler: worker lost with recently started runs.",
        extra={
            "worker_id": worker.facts.worker_id,
            "pool": worker.facts.pool,
            "reason": reason,
            "is_planned": is_loss_planned(worker, now_s),
            "is_shared": trouble.is_shared(),
            "answer_age_s": None if answer_age_s is None else round(answer_age_s, 3),
            "run_count": run_count,
            "recent_count": len(blamed),
            "subtasks": [str(run.subtask.name) for run in blamed[:LOGGED_LIMIT_COUNT]],
        },
    )


# Clearing


def withdraw_crashes(scheduler: Scheduler, worker: WorkerState) -> None:
    """Take back the crashes of a worker that answers again: it was only cut off."""
    for run in worker.unreported_runs:
        withdraw_crash(scheduler, run.subtask, run.number)


def check_survival(scheduler: Scheduler, run: Run, now_s: float) -> None:
    """Clear a run's subtask of suspicion if the run has outlived the crash window.

    Call it for each run that a worker lists as running.
    """
    if not run.subtask.crashed_runs:
        return
    withdraw_crash(scheduler, run.subtask, run.number)
    if run.answered_s is not None and now_s - run.answered_s > CRASH_WINDOW_S:
        clear_crashes(scheduler, run.subtask)


def withdraw_crash(scheduler: Scheduler, subtask: Subtask, run_number: int) -> None:
    """Take back the crash of a run that a worker has reported."""
    _discard_crash(scheduler, subtask, run_number)
    if run_number < scheduler.settings.epoch * RUNS_PER_EPOCH:
        _discard_crash(scheduler, subtask, _unseen_run_number(scheduler))


def clear_crashes(scheduler: Scheduler, subtask: Subtask) -> None:
    """Forget the crashes of a subtask that is not their cause."""
    for run_number in list(subtask.crashed_runs):
        _discard_crash(scheduler, subtask, run_number)


def _discard_crash(scheduler: Scheduler, subtask: Subtask, run_number: int) -> None:
    if subtask.crashed_runs.pop(run_number, None) is None:
        return
    subtask.unstored_crashes.discard(run_number)
    scheduler.changed_jobs[subtask.step.job.job_id] = None
    if not subtask.crashed_runs:
        subtask.unstored_crashes.clear()
        scheduler.suspects.pop(subtask.name, None)


def drop_ended_suspects(scheduler: Scheduler) -> None:
    """Drop suspects that don't start any more."""
    for name, subtask in list(scheduler.suspects.items()):
        is_done = subtask.phase is SubtaskPhase.DONE
        if is_done or subtask.step.job.is_final:
            del scheduler.suspects[name]


# Storage


def note_start(scheduler: Scheduler, subtask: Subtask, now_s: float) -> bool:
    """Return whether a successor would know that a suspect may have been started.

    Otherwise it is stored, and the suspect can start after that. Without the store,
    a suspect with one crash starts all the same, as accepted work goes on. Call it
    only if a worker could start the suspect now: each leader that finds the note
    presumes one more crash.
    """
    if scheduler.is_handing_over:
        return False
    for member in together(subtask):
        if member.crashed_runs and member.start_noted_s is None:
            member.start_noted_s = now_s
            member.unstored_crashes.add(NOTED_START)
            scheduler.changed_jobs[member.step.job.job_id] = None
            scheduler.on_change()
    if not any(member.unstored_crashes for member in together(subtask)):
        return True
    return crash_count(subtask) == 1 and now_s - subtask.ready_s > STORE_WAIT_S


def is_start_note_new(subtask: Subtask, now_s: float) -> bool:
    """Return whether the note of a start is likely to be stored soon."""
    return any(
        member.start_noted_s is not None and now_s - member.start_noted_s < STORE_WAIT_S
        for member in together(subtask)
    )


def withdraw_start_notes(scheduler: Scheduler, subtask: Subtask) -> None:
    """Let successors know that no run of a suspect, or of its gang, is under way."""
    for member in together(subtask):
        if member.start_noted_s is None or member.live_runs:
            continue
        member.start_noted_s = None
        member.unstored_crashes.discard(NOTED_START)
        scheduler.changed_jobs[member.step.job.job_id] = None


def withdraw_all_start_notes(scheduler: Scheduler) -> None:
    """Let the successor know which suspects have no run, and start none any more."""
    scheduler.is_handing_over = True
    for subtask in scheduler.suspects.values():
        withdraw_start_notes(scheduler, subtask)


def restore_suspects(scheduler: Scheduler, job: JobState) -> None:
    """Add the suspects of a job that an earlier leader stored.

    If the earlier leader may have started a suspect once more, that run is presumed
    to have crashed its worker until a worker reports it.
    """
    for steps in job.occurrences.values():
        for step in steps:
            for subtask in step.subtasks:
                if not subtask.crashed_runs:
                    continue
                scheduler.suspects[subtask.name] = subtask
                if subtask.start_noted_s is not None:
                    subtask.start_noted_s = None
                    _add_crash(scheduler, subtask, _unseen_run_number(scheduler), "")


def _unseen_run_number(scheduler: Scheduler) -> int:
    """Return what stands for the number of a run that an earlier leader started."""
    return -scheduler.settings.epoch


def collect_unstored(
    scheduler: Scheduler, job_ids: Container[str]
) -> list[tuple[Subtask, frozenset[int]]]:
    """Return the crashes of some jobs that are about to be stored."""
    return [
        (subtask, frozenset(subtask.unstored_crashes))
        for subtask in scheduler.suspects.values()
        if subtask.unstored_crashes and subtask.step.job.job_id in job_ids
    ]


def mark_stored(
    scheduler: Scheduler, crashes: list[tuple[Subtask, frozenset[int]]]
) -> None:
    """Let suspects start again whose crashes have been stored."""
    for subtask, runs in crashes:
        subtask.unstored_crashes -= runs
    if crashes:
        scheduler.on_change()
