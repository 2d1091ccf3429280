"""Limit of the subtasks of all open jobs together.

Answers small submissions that each ask for very many subtasks: their state lives in the
leader, and every successor restores it.
"""

from __future__ import annotations

from collections.abc import Mapping

from cicadatrail_core.jobs.models import JobDefinition
from cicadatrail_core.jobs.state import JobState

OPEN_SUBTASKS_LIMIT_COUNT = 120_000
"""Subtasks of all open jobs; each takes about 1 KB. It is the same on all machines, as
any of them may become the leader."""

TOO_MANY = "too many subtasks are open"

RECOUNT_PAUSE_S = 0.5
"""Shortest interval between two counts of all jobs."""


class OpenSubtasks:
    """Decide which new jobs the leader takes on, by the subtasks of its open jobs.

    Jobs are counted again only when those counted and accepted since reach the limit.
    """

    def __init__(self, jobs: Mapping[str, JobState]) -> None:
        self._jobs = jobs
        self._count: int | None = None
        self._counted_s = float("-inf")

    def admits(self, definition: JobDefinition, now_s: float) -> bool:
        """Return whether a job fits, and count it if it does."""
        added_count = count_subtasks(definition)
        if self._is_recount_due(added_count, now_s):
            self._counted_s = now_s
            self._count = self._count_open()
        total_count = (self._count or 0) + added_count
        if total_count > OPEN_SUBTASKS_LIMIT_COUNT:
            return False
        self._count = total_count
        return True

    def would_admit(self, definition: JobDefinition, now_s: float) -> bool:
        """Return whether a job fits, without counting it."""
        added_count = count_subtasks(definition)
        is_due = self._is_recount_due(added_count, now_s)
        open_count = self._count_open() if is_due else self._count or 0
        return open_count + added_count <= OPEN_SUBTASKS_LIMIT_COUNT

    def _is_recount_due(self, added_count: int, now_s: float) -> bool:
        is_over = (
            self._count is None or self._count + added_count > OPEN_SUBTASKS_LIMIT_COUNT
        )
        return is_over and now_s - self._counted_s >= RECOUNT_PAUSE_S

    def _count_open(self) -> int:
        return sum(
            count_subtasks(job.definition)
            for job in self._jobs.values()
            if not job.is_final
        )


def count_subtasks(definition: JobDefinition) -> int:
    """Return the number of subtasks of one occurrence of a job."""
    return sum(step.count for step in definition.steps)
