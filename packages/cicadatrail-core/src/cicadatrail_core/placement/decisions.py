"""Decisions of a dispatcher: what becomes of a submission, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources


class RejectReason(Enum):
    """Say why a request will not run."""

    FITS_NO_WORKER = "fits-no-worker"
    NEVER_RUNS = "never-runs"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TEAM = "unknown-team"
    DUPLICATE_ID = "duplicate-id"


class TaskEnd(Enum):
    """Tell how a task ended at its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Placed:
    """Grant a place on a worker and a team slot, both taken already.

    ``size`` is the estimate that is charged to the worker.
    """

    request: TaskRequest
    worker_id: str
    size: Resources


@dataclass(frozen=True, slots=True)
class Waiting:
    """State that a request waits for a place, at most until its deadline."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """State that a request will not run; it never left this dispatcher.

    ``retry_delay_s`` is the delay after which trying again makes sense, or None
    where it never does.
    """

    request_id: str
    reason: RejectReason
    retry_delay_s: float | None


Submission = Placed | Waiting | Rejected
