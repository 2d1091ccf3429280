"""What the system asks of the platform: typed messages and small interfaces.

Nothing beyond the brief is assumed: the log has no compare-and-swap, its
answers may be lost after the write took effect, and workers fence nobody.
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
    """Report a failed call; ``maybe_done`` says that it may have had effect."""

    reason: str
    maybe_done: bool


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold consecutive records from ``from_offset`` on.

    ``first_offset`` is the oldest offset that the log still keeps and
    ``next_offset`` the one that the next append gets, as far as the answering
    replica of the log knows.
    """

    from_offset: int
    payloads: tuple[bytes, ...]
    first_offset: int
    next_offset: int


class LogService(Protocol):
    """Append to and read the platform's log."""

    async def append(self, payloads: Sequence[bytes]) -> Result[int, PlatformError]:
        """Append records together; return the offset of the first."""

    async def read(
        self, from_offset: int, limit_count: int, wait_s: float
    ) -> Result[LogPage, PlatformError]:
        """Return records from an offset, waiting ``wait_s`` for the first."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe an instance as the platform's lagging list shows it."""

    instance_id: str
    host: str
    port: int
    leaving: bool


class InstanceList(Protocol):
    """Ask the platform which instances live and which are leaving."""

    async def list_instances(
        self,
    ) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Return the list; it lags behind the truth."""


class TaskControl(Enum):
    """Name what a worker can do to a running task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    RESUME = "resume"


class WorkerControl(Protocol):
    """Ask one worker about its tasks, or act on one of them."""

    async def report(self, worker: Worker) -> Result[UsageReport, PlatformError]:
        """Return the worker's latest usage report; it lags."""

    async def control(
        self, worker: Worker, task_id: str, action: TaskControl
    ) -> Result[None, PlatformError]:
        """Throttle, checkpoint or stop a task."""

    async def renew(
        self, worker: Worker, task_id: str, lease_ms: int
    ) -> Result[None, PlatformError]:
        """Let a running task go on for ``lease_ms`` from its arrival.

        Fails when no such task runs.
        """


class MaintenanceStatus(Enum):
    """Tell how the platform's work on an instance went."""

    IDLE = "idle"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class Maintenance(Protocol):
    """Ask the platform to reboot or replace an instance."""

    async def begin(
        self, worker_id: str, action: WaveAction, job_id: str
    ) -> Result[None, PlatformError]:
        """Begin an action; repeating the same ``job_id`` is idempotent."""

    async def status(
        self, worker_id: str, job_id: str
    ) -> Result[MaintenanceStatus, PlatformError]:
        """Return how a job stands."""
