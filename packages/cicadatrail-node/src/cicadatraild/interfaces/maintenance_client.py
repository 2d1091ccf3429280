"""HTTP client of the platform's maintenance service."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Result

from cicadatrail_core.models.maintenance import WaveAction
from cicadatrail_core.models.platform import MaintenanceStatus, PlatformError
from cicadatraild.interfaces.json_calls import call_json
from cicadatraild.network.http_client import Address, ConnectionPool

TIMEOUT_S = 2.0
"""Time limit of one call to the maintenance service."""


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Response of the service with the status of a maintenance job."""

    status: MaintenanceStatus


class HttpMaintenance:
    """Implementation of ``models.platform.Maintenance`` over HTTP."""

    __slots__ = ("_address", "_pool")

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self._pool = pool
        self._address = address

    async def begin(
        self, worker_id: str, action: WaveAction, job_id: str
    ) -> Result[None, PlatformError]:
        """Start an action; calls with the same ``job_id`` are idempotent."""
        target = f"/jobs/{worker_id}/{job_id}/{action.value}"
        return await call_json(
            self._pool, self._address, "POST", target, None, TIMEOUT_S
        )

    async def status(
        self, worker_id: str, job_id: str
    ) -> Result[MaintenanceStatus, PlatformError]:
        """Return the status of a maintenance job."""
        target = f"/jobs/{worker_id}/{job_id}"
        read: Result[JobStatus, PlatformError] = await call_json(
            self._pool, self._address, "GET", target, JobStatus, TIMEOUT_S
        )
        return read.map(lambda found: found.status)
