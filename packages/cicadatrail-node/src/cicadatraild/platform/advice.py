"""The client of the service that says which workers may run a step."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass

from returns.result import Success

from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_client import ConnectionPool

logger = logging.getLogger("cicadatrail.advice")

CALL_TIMEOUT_S = 3.0
"""Time for a call; its answer takes a time for each worker that is named."""

WORKER_LIMIT_COUNT = 100
"""Workers that one call may name; the platform states it."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold the tickets of the workers that may run a step, and how long for."""

    tickets: dict[str, str]
    valid_s: float


class AdviceClient:
    """Ask for one step at a time, as the service answers in turn."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self.pool = ConnectionPool(0.5, 20.0)

    async def ask(self, step: str, worker_ids: list[str]) -> Advice | None:
        """Return which of the workers may run a step, or None without an answer."""
        body = {"step": step, "workers": worker_ids[:WORKER_LIMIT_COUNT]}
        result = await self.pool.fetch(
            self._address,
            "POST",
            "/cicadatrail/advise",
            headers=((b"Content-Type", b"application/json"),),
            body=json.dumps(body).encode(),
            timeout_s=CALL_TIMEOUT_S,
        )
        if not isinstance(result, Success):
            logger.warning(
                "advice: no answer.", extra={"reason": str(result.failure())}
            )
            return None
        response = result.unwrap()
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            answer = json.loads(response.body)
            tickets = {str(row[0]): str(row[1]) for row in answer["allowed"]}
            return Advice(tickets, int(answer.get("valid-ms", 0)) / 1000)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            logger.warning("advice: unusable answer.", extra={"reason": repr(error)})
            return None
