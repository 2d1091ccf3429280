"""Reconciliation of the scheduler's state with the lists that workers report.

A report lists the runs that a worker has and those that have ended. ``sent_s`` is
when the request for the report was sent: a run that the report lacks is known to
be missing only if its order was answered before then.
"""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.crash_suspicion import (
    check_survival,
    clear_crashes,
    lose_runs,
    withdraw_crash,
    withdraw_crashes,
)
from cicadatrail_core.jobs.ejection import record_outcome
from cicadatrail_core.jobs.late_starts import hold_end
from cicadatrail_core.jobs.log_fields import worker_fields
from cicadatrail_core.jobs.models import (
    EndKind,
    EndRow,
    JobPhase,
    RunningRow,
    SubtaskName,
    WorkerReport,
)
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.start_retries import may_keep_lost, may_retry, retry_start
from cicadatrail_core.jobs.state import (
    JobState,
    Run,
    RunPhase,
    StepState,
    Subtask,
    SubtaskPhase,
)
from cicadatrail_core.jobs.worker_leases import count_earlier_calls
from cicadatrail_core.jobs.worker_state import WorkerState

logger = logging.getLogger("cicadatrail.scheduler")


def apply_report(
    scheduler: Scheduler,
    worker: WorkerState,
    report: WorkerReport,
    sent_s: float,
    now_s: float,
) -> bool:
    """Apply a worker's report; return whether it lists ends that must be stored.

    ``sent_s`` is when the request for the report was sent. A report of an
    earlier incarnation of the worker is ignored.
    """
    if report.born_unix_ms < worker.born_unix_ms:
        return False
    if report.born_unix_ms > worker.born_unix_ms:
        _start_new_incarnation(scheduler, worker, report, sent_s, now_s)
    else:
        withdraw_crashes(scheduler, worker)
        if worker.may_hold_former_lease:
            count_earlier_calls(scheduler, worker, report.clock_ms, now_s)
    worker.answered_s = now_s
    worker.is_suspect = False
    worker.failed_s = None
    worker.clock_ms = report.clock_ms
    worker.clock_asked_s = sent_s
    worker.clock_at_s = now_s
    worker.drop_held_ends(now_s)
    has_ends = False
    for row in report.ends:
        if row.number > worker.processed_end:
            worker.processed_end = row.number
            _apply_end(scheduler, worker, row, now_s)
            has_ends = True
    listed = set()
    unknown_run_count = 0
    for running in report.running:
        listed.add((running.name, running.run))
        if not _apply_running(scheduler, worker, running, now_s):
            unknown_run_count += 1
    if worker.unknown_run_count and not unknown_run_count:
        scheduler.on_change()
    worker.unknown_run_count = unknown_run_count
    if report.is_complete:
        worker.clear_unreported_runs()
        scheduler.confirm_unproven_runs(worker, report.clock_ms / 1000)
        _reconcile_missing_runs(scheduler, worker, listed, sent_s, now_s)
        if not worker.is_reconciled:
            worker.is_reconciled = True
            worker.may_hold_former_lease = False
            worker.may_hold_granted_lease = False
            scheduler.on_change()
    return has_ends


def _apply_running(
    scheduler: Scheduler, worker: WorkerState, row: RunningRow, now_s: float
) -> bool:
    """Apply one running run; return False if its job isn't known."""
    run = worker.runs.get((row.name, row.run))
    if run is None:
        run = _adopt(scheduler, worker, row, now_s)
    if run is None:
        return False
    if run.phase is RunPhase.SENT:
        run.phase = RunPhase.RUNNING
        run.mark_listed(now_s)
    run.is_proved = True
    _settle_inherited(scheduler, run)
    if run.first_progress is None:
        run.first_progress = (now_s, row.percent)
    if row.percent != run.percent:
        run.percent = row.percent
        run.progress_s = now_s
    run.measurement = row.measurement
    run.subtask.confirm_ends_up_to(row.run)
    check_survival(scheduler, run, now_s)
    if row.checkpoint and row.checkpoint != run.subtask.checkpoint:
        run.subtask.checkpoint = row.checkpoint
    return True


def _settle_inherited(scheduler: Scheduler, run: Run) -> None:
    """Let an earlier leader's run count as available once no stop can end it.

    Since its first answer to this leader the worker has refused that leader's stops,
    but it may have taken one before, and lists the run until it has ended.
    """
    if run.inherited_clock_ms is None:
        return
    listed_ms = run.worker.clock_ms - run.inherited_clock_ms
    if listed_ms > scheduler.settings.stop_limit_s * 1000:
        run.inherited_clock_ms = None


def _adopt(
    scheduler: Scheduler, worker: WorkerState, row: RunningRow, now_s: float
) -> Run | None:
    """Add a run that an earlier leader started, and stop it if it isn't wanted.

    Returns None for a run of an unknown job: nothing starts beside it, as its need is
    not known.
    """
    job = scheduler.jobs.get(row.name.job_id)
    if job is not None:
        _open_inherited_occurrence(scheduler, job, row.name.occurrence, now_s)
    subtask = job.subtask(row.name) if job is not None else None
    if job is None or subtask is None:
        scheduler.counts["stray"] = scheduler.counts.get("stray", 0) + 1
        logger.warning(
            "scheduler: worker reported a run of an unknown job; ignoring it.",
            extra={
                **worker_fields(worker),
                "subtask": str(row.name),
                "run": row.run,
            },
        )
        return None
    run = Run(subtask, row.run, worker, now_s)
    run.phase = RunPhase.RUNNING
    run.answered_s = now_s
    run.start_expires_s = now_s
    # What an earlier leader has stored of a start is of this one.
    subtask.late_starts.pop(worker.facts.worker_id, None)
    if subtask.step.spec.lasting:
        run.inherited_clock_ms = worker.clock_ms
    has_other = bool(subtask.live_runs) and not subtask.step.spec.copies_allowed
    scheduler.attach(run)
    if job.is_final or subtask.phase is SubtaskPhase.DONE or has_other:
        scheduler.stop(run)
    return run


def _is_over(job: JobState, occurrence: int) -> bool:
    return job.is_final or occurrence in job.done_occurrences


def _open_inherited_occurrence(
    scheduler: Scheduler, job: JobState, occurrence: int, now_s: float
) -> None:
    """Open an occurrence that an earlier leader had opened, unless it is open.

    An earlier leader may have been ahead: it goes on while its ends can't be stored,
    and its clock may differ.
    """
    if occurrence in job.occurrences or occurrence >= job.definition.occurrence_count:
        return
    job.occurrences[occurrence] = [
        StepState(job, occurrence, position)
        for position in range(len(job.definition.steps))
    ]
    if _is_over(job, occurrence):
        for step in job.occurrences[occurrence]:
            step.mark_done()
        return
    scheduler.make_steps_ready(job, occurrence, now_s)


def _apply_end(
    scheduler: Scheduler, worker: WorkerState, row: EndRow, now_s: float
) -> None:
    run = worker.runs.get((row.name, row.run))
    job = scheduler.jobs.get(row.name.job_id)
    if job is not None and not _is_over(job, row.name.occurrence):
        # The worker forgets the end once it is acknowledged, so it must count now.
        _open_inherited_occurrence(scheduler, job, row.name.occurrence, now_s)
    subtask = job.subtask(row.name) if job is not None else None
    if run is not None:
        subtask = run.subtask
        run.mark_listed(now_s)
        scheduler.detach(run, row.kind.value)
    if subtask is not None:
        subtask.confirm_ends_up_to(row.run)
    if job is None or subtask is None:
        return
    if row.checkpoint:
        subtask.checkpoint = row.checkpoint
    logger.info(
        "scheduler: run ended.",
        extra={
            **worker_fields(worker),
            "subtask": str(row.name),
            "run": row.run,
            "outcome": row.kind.value,
            "age_s": round(now_s - run.sent_s, 3) if run else None,
        },
    )
    withdraw_crash(scheduler, subtask, row.run)
    _count_end(scheduler, row.kind)
    scheduler.changed_jobs[job.job_id] = None
    match row.kind:
        case EndKind.DONE:
            record_outcome(worker, True, now_s, scheduler.workers)
            if run is not None and run.answered_s is not None:
                scheduler.durations.learn(
                    job.definition.queue,
                    subtask.step.spec.estimate_ms,
                    now_s - run.answered_s,
                )
            hold_end(scheduler, worker, row, subtask, now_s)
            _apply_done(scheduler, subtask, now_s)
            clear_crashes(scheduler, subtask)
        case EndKind.FAILED if row.run not in subtask.failed_runs:
            hold_end(scheduler, worker, row, subtask, now_s)
            _apply_failure(scheduler, worker, subtask, row.run, now_s)
        case _:
            pass
    unfinished = subtask.phase is not SubtaskPhase.DONE and not job.is_final
    if unfinished and not subtask.live_runs and run is not None:
        scheduler.make_ready(subtask, now_s)
    scheduler.on_change()


def _count_end(scheduler: Scheduler, kind: EndKind) -> None:
    name = f"end-{kind.value}"
    scheduler.counts[name] = scheduler.counts.get(name, 0) + 1


def _apply_done(scheduler: Scheduler, subtask: Subtask, now_s: float) -> None:
    step = subtask.step
    job = step.job
    if step.spec.lasting or job.is_final:
        return
    members = step.subtasks if step.spec.gang else [subtask]
    for member in members:
        if member.phase is SubtaskPhase.DONE:
            continue
        member.phase = SubtaskPhase.DONE
        member.checkpoint = ""
        step.ready.pop(member.index, None)
        step.done_count += 1
    for run in list(subtask.live_runs):
        scheduler.stop(run)
    if step.is_done:
        scheduler.make_steps_ready(job, step.occurrence, now_s)
        scheduler.check_completed(job, now_s)


def _apply_failure(
    scheduler: Scheduler, worker: WorkerState, subtask: Subtask, run: int, now_s: float
) -> None:
    step = subtask.step
    job = step.job
    if not subtask.failed_runs:
        record_outcome(worker, False, now_s, scheduler.workers)
    subtask.failed_runs.add(run)
    subtask.avoided_worker = worker.facts.worker_id
    if step.spec.lasting or job.is_final:
        return
    failures = len(subtask.failed_runs)
    if step.spec.gang:
        step.gang_failures += 1
        failures = step.gang_failures
    if failures >= scheduler.attempt_limit(job):
        scheduler.finish(job, JobPhase.FAILED, now_s)
        scheduler.stop_runs(job)


def _reconcile_missing_runs(
    scheduler: Scheduler,
    worker: WorkerState,
    listed: set[tuple[SubtaskName, int]],
    sent_s: float,
    now_s: float,
) -> None:
    """Release or stop runs that the worker lists neither as running nor as ended."""
    for key, run in list(worker.runs.items()):
        if key in listed or run.is_start_pending:
            continue
        if run.stop_acked_s is not None and run.stop_acked_s < sent_s:
            scheduler.release(run, now_s, "stopped")
        elif run.answered_s is not None and run.answered_s < sent_s:
            scheduler.counts["vanished"] = scheduler.counts.get("vanished", 0) + 1
            scheduler.stop(run)
        elif may_retry(scheduler, run, sent_s):
            retry_start(scheduler, run, now_s)
        elif run.start_expires_s < sent_s:
            # The worker refuses a start order that arrives after its deadline.
            scheduler.release(run, now_s, "not listed")
        elif run.unanswered_s is not None and run.unanswered_s < sent_s:
            scheduler.stop(run)


def _start_new_incarnation(
    scheduler: Scheduler,
    worker: WorkerState,
    report: WorkerReport,
    sent_s: float,
    now_s: float,
) -> None:
    """Reset a restarted worker; release the runs that were lost with the old one.

    A run whose start order was not answered before the report was requested is kept:
    the new incarnation may have received the order, or may yet.
    """
    born_unix_ms = report.born_unix_ms
    logger.info(
        "scheduler: worker restarted; releasing the runs it no longer lists.",
        extra={
            **worker_fields(worker),
            "born_unix_ms": born_unix_ms,
            "clock_ms": report.clock_ms,
            "former_clock_ms": worker.clock_ms,
            "running_count": len(report.running),
            "order_count": sum(run.answered_s is None for run in worker.runs.values()),
        },
    )
    worker.clear_unreported_runs()
    worker.processed_end = 0
    worker.held_ends.clear()
    worker.stored_end = 0
    worker.confirmed_end = 0
    # Calls with a deadline of an earlier life's clock, such as the poll that has been
    # answered, may have given this life a lease up to the limit. It never shortens, and
    # what starts next holds it as well.
    limit_s = now_s + scheduler.settings.longest_lease_s
    worker.lease_expires_s = max(worker.lease_expires_s, limit_s)
    worker.clock_at_s = None
    worker.end_outcomes.clear()
    listed = {(row.name, row.run) for row in report.running}
    listed |= {(end.name, end.run) for end in report.ends}
    lost: list[Run] = []
    kept: list[Run] = []
    for key, run in worker.runs.items():
        is_answered = run.answered_s is not None and run.answered_s < sent_s
        if not is_answered:
            # The order's deadline was on the clock of the previous incarnation, so the
            # new one may accept it late.
            run.start_expires_s = float("inf")
            if run.stop_acked_s is not None:
                # What bars the run ended with the life that was told to stop it.
                run.stop_acked_s = None
                scheduler.stops.append(run)
        if key in listed:
            if run.inherited_clock_ms is not None:
                # The clock of the new incarnation starts anew.
                run.inherited_clock_ms = report.clock_ms
            continue
        if is_answered and may_keep_lost(scheduler, run, now_s):
            run.mark_lost(sent_s)
        elif is_answered:
            lost.append(run)
        elif run.answered_s is None:
            kept.append(run)
    lose_runs(scheduler, worker, lost, "restarted", now_s, kept)
    worker.born_unix_ms = born_unix_ms
    # Its clock began with this life, and runs slow if at all.
    scheduler.confirm_unproven_runs(worker, report.clock_ms / 1000)
    worker.draining_until_s = None
    # What bars a run ends with the life that was told to stop it.
    for name, number in worker.recent_unanswered_starts(now_s):
        if (name, number) not in worker.runs:
            scheduler.bars.append((worker, name, number))
    # A successor has to know of a longer lease.
    scheduler.on_change()
