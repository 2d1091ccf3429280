"""What workers report, with a lag, about the tasks that they run."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """State what one task used at its largest since it started."""

    request_id: str
    used: Resources


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Carry one worker's report; ``measured_at_s`` is when it was true.

    The time is of the receiving loop's clock: the receiver subtracts the age
    that the worker states.
    """

    worker_id: str
    measured_at_s: float
    tasks: tuple[TaskUsage, ...]
