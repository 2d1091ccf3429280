"""HTTP client of the platform's instance list."""

from __future__ import annotations

from returns.result import Result

from cicadatrail_core.models.platform import ListedInstance, PlatformError
from cicadatraild.interfaces.json_calls import call_json
from cicadatraild.network.http_client import Address, ConnectionPool

TIMEOUT_S = 2.0
"""Time limit of one poll of the list."""


class HttpInstanceList:
    """Implementation of ``models.platform.InstanceList`` over HTTP."""

    __slots__ = ("_address", "_pool")

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self._pool = pool
        self._address = address

    async def list_instances(
        self,
    ) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Return the listed instances; the list lags behind their actual state."""
        return await call_json(
            self._pool,
            self._address,
            "GET",
            "/instances",
            tuple[ListedInstance, ...],
            TIMEOUT_S,
        )
