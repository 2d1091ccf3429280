"""Copy of a scheduler, on which a scheduling pass can be tried.

Answers operators' questions beside full dispatch: a pass on the copy changes nothing
of the original. What no pass changes is shared, which bounds the time that it takes.
"""

from __future__ import annotations

from copy import copy
from typing import Any, TypeVar

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState, Subtask, SubtaskPhase

T = TypeVar("T")

_CONTAINERS = (list, dict, set)

COPIED_LIMIT_COUNT = 8_000
"""Most workers, runs and ready subtasks to copy, as it blocks the event loop."""


def copy_for_trial(scheduler: Scheduler) -> Scheduler | None:
    """Return a copy on which jobs may be accepted and placed.

    Returns None if too much would have to be copied.
    """
    jobs = _jobs_to_copy(scheduler)
    if _copied_count(scheduler, jobs) > COPIED_LIMIT_COUNT:
        return None
    copies = _Copies()
    for job in jobs:
        copies.add_job(job)
    for worker in scheduler.workers.values():
        copies.add(worker)
        for run in worker.runs.values():
            copies.add(run)
    for job in jobs:
        copies.link_job(job)
    of = copies.of
    for worker in scheduler.workers.values():
        of(worker).runs = {key: of(run) for key, run in worker.runs.items()}
        for run in worker.runs.values():
            of(run).subtask, of(run).worker = of(run.subtask), of(run.worker)
    trial = copy(scheduler)
    trial.jobs = {key: of(job) for key, job in scheduler.jobs.items()}
    trial.workers = {key: of(worker) for key, worker in scheduler.workers.items()}
    trial.suspects = {key: of(subtask) for key, subtask in scheduler.suspects.items()}
    trial.kept_starts = scheduler.kept_starts.copied(of)
    trial.team_used = {**scheduler.team_used}
    trial.reserved_since_s = {**scheduler.reserved_since_s}
    trial.changed_jobs, trial.counts = {}, {}
    trial.evicted_job_ids, trial.starts, trial.stops = [], [], []
    trial.on_change = lambda: None
    return trial


class _Copies:
    """The copies by their originals, which compare by identity."""

    def __init__(self) -> None:
        self._by_original: dict[object, Any] = {}

    def of(self, original: T) -> T:
        """Return the copy of an object, or the object if it is shared."""
        found: T = self._by_original.get(original, original)
        return found

    def add(self, original: Any) -> None:
        """Copy an object with the containers in its slots."""
        kind = type(original)
        made: Any = object.__new__(kind)
        for name in kind.__slots__:
            value = getattr(original, name)
            if type(value) in _CONTAINERS:
                value = value.copy()
            setattr(made, name, value)
        self._by_original[original] = made

    def add_job(self, job: JobState) -> None:
        """Copy a job, its steps and the subtasks that a pass may change."""
        self.add(job)
        for steps in job.occurrences.values():
            for step in steps:
                self.add(step)
                for subtask in filter(_may_change, step.subtasks):
                    self.add(subtask)

    def link_job(self, job: JobState) -> None:
        """Let the copies refer to each other."""
        of = self.of
        of(job).occurrences = {
            number: [of(step) for step in steps]
            for number, steps in job.occurrences.items()
        }
        for steps in job.occurrences.values():
            for step in steps:
                made = of(step)
                made.job = of(job)
                made.subtasks = [of(subtask) for subtask in step.subtasks]
                made.ready = {index: of(s) for index, s in step.ready.items()}
                for subtask in filter(_may_change, step.subtasks):
                    of(subtask).step = made
                    of(subtask).live_runs = [of(run) for run in subtask.live_runs]


def _may_change(subtask: Subtask) -> bool:
    is_ready = subtask.phase is SubtaskPhase.READY
    return is_ready or bool(subtask.live_runs or subtask.crashed_runs)


def _jobs_to_copy(scheduler: Scheduler) -> list[JobState]:
    """Return the jobs with ready subtasks, runs or suspects."""
    jobs = {
        job
        for job in scheduler.jobs.values()
        if any(step.ready for steps in job.occurrences.values() for step in steps)
    }
    for worker in scheduler.workers.values():
        jobs.update(run.subtask.step.job for run in worker.runs.values())
    jobs.update(subtask.step.job for subtask in scheduler.suspects.values())
    return [*jobs]


def _copied_count(scheduler: Scheduler, jobs: list[JobState]) -> int:
    run_count = sum(1 + len(worker.runs) for worker in scheduler.workers.values())
    return run_count + sum(
        len(step.ready)
        for job in jobs
        for steps in job.occurrences.values()
        for step in steps
    )
