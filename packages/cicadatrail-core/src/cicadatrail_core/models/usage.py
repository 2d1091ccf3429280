"""Workers' usage reports about their tasks, which arrive with a lag."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Peak usage of one task since it started."""

    request_id: str
    used: Resources


@dataclass(frozen=True, slots=True)
class UsageReport:
    """One worker's report, valid as of ``measured_at_s``.

    The time is on the clock of the receiver's event loop: the receiver subtracts
    the age that the worker reports.
    """

    worker_id: str
    measured_at_s: float
    tasks: tuple[TaskUsage, ...]
