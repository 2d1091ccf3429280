"""Interfaces of the platform: protocols and their message types.

Only these guarantees are assumed: the log has no compare-and-swap, its answers
may be lost after a write took effect, and workers fence no instance.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.maintenance import WaveAction
from cicadatrail_core.models.usage import UsageReport


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed call; ``maybe_done`` means that it may have taken effect."""

    reason: str
    maybe_done: bool


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records from ``from_offset`` on.

    ``first_offset`` is the oldest offset that the log still retains and
    ``next_offset`` the offset of the next append, as far as the answering replica
    of the log knows.
    """

    from_offset: int
    payloads: tuple[bytes, ...]
    first_offset: int
    next_offset: int


class LogService(Protocol):
    """The platform's log."""

    async def append(self, payloads: Sequence[bytes]) -> Result[int, PlatformError]:
        """Append records together; return the offset of the first."""

    async def read(
        self, from_offset: int, limit_count: int, wait_s: float
    ) -> Result[LogPage, PlatformError]:
        """Return records from an offset, waiting ``wait_s`` for the first."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as the platform's instance list shows it."""

    instance_id: str
    host: str
    port: int
    leaving: bool


class InstanceList(Protocol):
    """The platform's list of running and leaving instances."""

    async def list_instances(
        self,
    ) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Return the list, which lags behind the actual state."""


class TaskControl(Enum):
    """What a worker can do to a running task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    RESUME = "resume"


class WorkerControl(Protocol):
    """Queries to and actions on one worker's tasks."""

    async def report(self, worker: Worker) -> Result[UsageReport, PlatformError]:
        """Return the worker's latest usage report, which lags."""

    async def control(
        self, worker: Worker, task_id: str, action: TaskControl
    ) -> Result[None, PlatformError]:
        """Apply an action to a task."""

    async def renew(
        self, worker: Worker, task_id: str, lease_ms: int
    ) -> Result[None, PlatformError]:
        """Extend a running task's lease to ``lease_ms`` from the request's arrival.

        Fails if no such task runs.
        """


class MaintenanceStatus(Enum):
    """Status of the platform's maintenance of an instance."""

    IDLE = "idle"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class Maintenance(Protocol):
    """The platform's service that reboots or replaces instances."""

    async def begin(
        self, worker_id: str, action: WaveAction, job_id: str
    ) -> Result[None, PlatformError]:
        """Begin an action; repeating the same ``job_id`` is idempotent."""

    async def status(
        self, worker_id: str, job_id: str
    ) -> Result[MaintenanceStatus, PlatformError]:
        """Return the status of a maintenance job."""
