"""Client of the platform's machine service."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from enum import Enum
from urllib.parse import urlencode

from returns.result import Success

from cicadatrail_core.jobs.models import Machine
from cicadatraild.network.client_exchange import Address, ClientFault, WholeResponse
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.platform.machine_lists import decode_machines
from cicadatraild.platform.refusals import decode_reason

logger = logging.getLogger("cicadatrail.machines")

CALL_TIMEOUT_S = 1.0
"""Time limit of a call; the leadership lease must be valid when it is sent."""

PAGE_LIMIT_COUNT = 100
"""Maximum number of pages read for one list."""


class MachineOutcome(Enum):
    """Outcome of an order to a machine."""

    DONE = "done"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    FENCED = "fenced"
    UNKNOWN_MACHINE = "unknown-machine"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer; the order may have been carried out."""


_REASONS = {
    "busy": MachineOutcome.BUSY,
    "wave": MachineOutcome.NOT_IN_WAVE,
    "fence": MachineOutcome.FENCED,
}


class MachineClient:
    """Client that lists machines and sends orders fenced by the leader's epoch."""

    def __init__(self, address: Address, leader: str, epoch: int) -> None:
        self._address = address
        self._leader = leader
        self._epoch = epoch
        self.pool = ConnectionPool(0.5, 20.0)

    async def list_machines(self) -> list[Machine] | None:
        """Return every machine, or None if the list is not available.

        A list of more than PAGE_LIMIT_COUNT pages counts as not available.
        """
        machines: list[Machine] = []
        token = ""
        for _ in range(PAGE_LIMIT_COUNT):
            query = f"?{urlencode({'page-token': token})}" if token else ""
            response = await self._call("GET", f"machines{query}", b"")
            if isinstance(response, ClientFault) or response.status != 200:
                return None
            page = decode_machines(response.body)
            if page is None:
                return None
            machines += page[0]
            token = page[1]
            if not token:
                return machines
        return None

    async def maintain(
        self, machine: str, wave: int, may_send: Callable[[], bool]
    ) -> MachineOutcome:
        """Start maintenance of a machine; all runs on it end at once.

        ``may_send`` is called right before the order is sent.
        """
        body: dict[str, object] = {"machine": machine, "wave": wave}
        return await self._order("machine-upkeep", body, may_send)

    async def move(
        self, machine: str, pool: str, may_send: Callable[[], bool]
    ) -> MachineOutcome:
        """Start moving a machine to a pool; all runs on it end at once.

        ``may_send`` is called right before the order is sent.
        """
        body: dict[str, object] = {"machine": machine, "pool": pool}
        return await self._order("machine-move", body, may_send)

    async def _order(
        self, call: str, body: dict[str, object], may_send: Callable[[], bool]
    ) -> MachineOutcome:
        data = json.dumps(body).encode()
        response = await self._call("POST", call, data, may_send)
        if isinstance(response, ClientFault):
            if response is ClientFault.NOT_SENT:
                return MachineOutcome.REFUSED
            return MachineOutcome.UNKNOWN
        match response.status:
            case 200:
                return MachineOutcome.DONE
            case 409:
                return _refusal(response)
            case 400:
                return MachineOutcome.UNKNOWN_MACHINE
        return MachineOutcome.REFUSED

    async def _call(
        self,
        method: str,
        call: str,
        body: bytes,
        may_send: Callable[[], bool] = lambda: True,
    ) -> WholeResponse | ClientFault:
        headers = [(b"Content-Type", b"application/json")] if body else []
        if method == "POST":
            headers.append((b"Duty-Holder", self._leader.encode()))
            headers.append((b"Fencing-Token", str(self._epoch).encode()))
        result = await self.pool.fetch(
            self._address,
            method,
            f"/cicadatrail/{call}",
            headers=tuple(headers),
            body=body,
            timeout_s=CALL_TIMEOUT_S,
            may_send=may_send,
        )
        if isinstance(result, Success):
            response: WholeResponse = result.unwrap()
            return response
        logger.warning(
            "machines: request got no answer.",
            extra={"call": call, "reason": str(result.failure())},
        )
        fault: ClientFault = result.failure().fault
        return fault


def _refusal(response: WholeResponse) -> MachineOutcome:
    return _REASONS.get(decode_reason(response.body), MachineOutcome.REFUSED)
