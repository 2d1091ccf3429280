"""Undoing of a worker's report that failed while it was applied."""

from __future__ import annotations

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, SubtaskPhase
from cicadatrail_core.jobs.worker_state import WorkerState


class ReportRollback:
    """What a report may remove from a worker, kept until the report is applied.

    A report is applied row by row. After a failure the runs that it had removed count
    again and its ends are unread, so that the next report repeats all of it. Every row
    may be repeated: a subtask that is done stays so, and a failed run counts once.
    """

    def __init__(self, worker: WorkerState) -> None:
        self._worker = worker
        self._runs: tuple[Run, ...] = tuple(worker.runs.values())
        self._born_unix_ms = worker.born_unix_ms
        self._processed_end = worker.processed_end
        self._lease_expires_s = worker.lease_expires_s

    def undo(self, scheduler: Scheduler) -> None:
        """Account for all earlier runs again, and leave ends and a restart unread."""
        worker = self._worker
        worker.born_unix_ms = self._born_unix_ms
        worker.processed_end = self._processed_end
        worker.lease_expires_s = max(worker.lease_expires_s, self._lease_expires_s)
        for run in self._runs:
            subtask = run.subtask
            if run in subtask.live_runs:
                continue
            scheduler.attach(run)
            if subtask.phase is SubtaskPhase.DONE or subtask.step.job.is_final:
                scheduler.stop(run)
