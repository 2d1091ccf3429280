"""What teams and queues got within their objective lately, as the jobs show it."""

from __future__ import annotations

from cicadatrail_core.jobs.models import JobPhase
from cicadatrail_core.jobs.scarcity import Claim, LateJob, Standing, judge
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.jobs.urgency import objective_s

WINDOW_S = 10.0
"""Time over which service is judged; objectives are a few seconds."""

READING_AGE_S = 0.25
"""Shortest time for which a reading that visits every job is used."""

READING_AGE_PER_JOB_S = 0.0005
"""The same for each job, so that readings take a small part of the processor."""


def reading_age_s(job_count: int) -> float:
    """Return for how many seconds a reading that visits all jobs is used."""
    return max(READING_AGE_S, READING_AGE_PER_JOB_S * job_count)


def read_standing_if_due(scheduler: Scheduler, now_s: float) -> None:
    """Update the scheduler's standing of teams and queues if it is old."""
    if now_s - scheduler.standing_read_s >= reading_age_s(len(scheduler.jobs)):
        scheduler.standing = read_standing(scheduler, now_s)
        scheduler.standing_read_s = now_s


def read_standing(scheduler: Scheduler, now_s: float) -> Standing:
    """Return the standing by the jobs that ended in the window or are late by now.

    Only jobs of queues with a target latency count.
    """
    claims: list[Claim] = []
    late: list[LateJob] = []
    for job in scheduler.jobs.values():
        definition = job.definition
        queue = scheduler.queues.get(definition.queue)
        if queue is None or queue.target_latency_ms <= 0 or not _is_judged(job):
            continue
        if job.is_final and not _ended_lately(job, now_s):
            continue
        age_s = (job.ended_s if job.is_final else now_s) - job.accepted_s
        in_objective = age_s <= objective_s(scheduler, job, queue)
        if in_objective and not job.is_final:
            continue
        claims.append(
            Claim(definition.team, definition.queue, _core_s(job), in_objective)
        )
        if not job.is_final and not job.started:
            late.append(LateJob(job.job_id, queue.pool, queue.priority, job.accepted_s))
    return judge(claims, late, scheduler.standing, now_s)


def _ended_lately(job: JobState, now_s: float) -> bool:
    """Return whether a job was completed in the window.

    When a job of an earlier leader ended is not known.
    """
    if job.phase is not JobPhase.COMPLETED or job.inherited:
        return False
    return now_s - job.ended_s <= WINDOW_S


def _core_s(job: JobState) -> float:
    """Return the work of a job by its estimates."""
    return sum(
        step.count * step.reserved.cpu_millicores * step.estimate_ms / 1e6
        for step in job.definition.steps
    )


def _is_judged(job: JobState) -> bool:
    definition = job.definition
    if definition.repeat_count:
        return False
    return not any(step.lasting or step.filler for step in definition.steps)
