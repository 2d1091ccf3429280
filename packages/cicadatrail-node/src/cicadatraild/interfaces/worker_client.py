"""HTTP client of the control interface of workers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from returns.result import Result

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.platform import PlatformError, TaskControl
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.usage import TaskUsage, UsageReport
from cicadatraild.interfaces.json_calls import call_json
from cicadatraild.network.http_client import Address, ConnectionPool

TIMEOUT_S = 2.0
"""Time limit of one call to a worker's control interface."""


@dataclass(frozen=True, slots=True)
class ReportedTask:
    """Running task in a worker's report; ``holder`` is the incarnation that owns it."""

    task_id: str
    holder: str
    used: Resources


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Report of a worker, which was ``age_s`` old when it was sent."""

    worker_id: str
    age_s: float
    leaving: bool
    tasks: tuple[ReportedTask, ...]


class HttpWorkerControl:
    """Implementation of ``models.platform.WorkerControl`` over HTTP."""

    __slots__ = ("_pool",)

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def read_report(self, worker: Worker) -> Result[WorkerReport, PlatformError]:
        """Return the latest report of a worker, with the owners of its tasks."""
        return await call_json(
            self._pool,
            Address(worker.host, worker.port),
            "GET",
            "/_tasks",
            WorkerReport,
            TIMEOUT_S,
        )

    async def report(self, worker: Worker) -> Result[UsageReport, PlatformError]:
        """Return the latest usage report of a worker, which may be out of date."""
        read = await self.read_report(worker)
        now_s = asyncio.get_running_loop().time()
        return read.map(lambda found: usage_report(found, now_s))

    async def control(
        self, worker: Worker, task_id: str, action: TaskControl
    ) -> Result[None, PlatformError]:
        """Throttle, checkpoint or stop a task."""
        target = f"/_tasks/{task_id}/{action.value}"
        address = Address(worker.host, worker.port)
        return await call_json(self._pool, address, "POST", target, None, TIMEOUT_S)

    async def renew(
        self, worker: Worker, task_id: str, lease_ms: int
    ) -> Result[None, PlatformError]:
        """Extend a running task's lease to ``lease_ms`` from receipt of the call."""
        target = f"/_tasks/{task_id}/renew?lease_ms={lease_ms}"
        address = Address(worker.host, worker.port)
        return await call_json(self._pool, address, "POST", target, None, TIMEOUT_S)


def usage_report(found: WorkerReport, now_s: float) -> UsageReport:
    """Convert a worker's report to a usage report timed by the event loop's clock."""
    tasks = tuple(TaskUsage(task.task_id, task.used) for task in found.tasks)
    return UsageReport(found.worker_id, now_s - found.age_s, tasks)
