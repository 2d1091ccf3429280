"""Results of submissions and of tasks, as exchanged with the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources


class RejectReason(Enum):
    """Reason for which a request will not run."""

    FITS_NO_WORKER = "fits-no-worker"
    NEVER_RUNS = "never-runs"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TEAM = "unknown-team"
    DUPLICATE_ID = "duplicate-id"


class TaskEnd(Enum):
    """Result of a task on its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Placed:
    """Worker and team slot assigned to a request; both are already charged.

    ``size`` is the estimate that is charged to the worker.
    """

    request: TaskRequest
    worker_id: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Waiting:
    """Request that is queued until it can start or its deadline passes."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """Request that will not run; it was never sent to a worker.

    ``retry_delay_s`` is the delay after which a retry is useful, or None if it never
    is.
    """

    request_id: str
    reason: RejectReason
    retry_delay_s: float | None


Submission = Placed | Waiting | Rejected
