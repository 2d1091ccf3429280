"""Failures of the dispatch that concern one job only."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from cicadatrail_core.jobs.state import JobState

T = TypeVar("T")


class PlacementError(Exception):
    """Placing the subtasks of one job failed unexpectedly."""

    def __init__(self, job: JobState) -> None:
        super().__init__(f"job {job.job_id} can't be placed")
        self.job = job


class Cursor(Generic[T]):
    """Iterate over values and remember the last one, at which a failure occurred."""

    def __init__(self, values: Iterable[T]) -> None:
        self._values = values
        self.last: T | None = None

    def __iter__(self) -> Iterator[T]:
        for value in self._values:
            self.last = value
            yield value
