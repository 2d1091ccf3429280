"""Client of the advice service, which decides which workers may run a step."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass

from returns.result import Success

from cicadatraild.network.client_exchange import Address
from cicadatraild.network.http_client import ConnectionPool

logger = logging.getLogger("cicadatrail.advice")

CALL_TIMEOUT_S = 3.0
"""Time limit of a call; the service takes time for each worker in the request."""

WORKER_LIMIT_COUNT = 100
"""Workers per call, as limited by the platform."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of the workers that may run a step, by worker id, and their validity."""

    tickets: dict[str, str]
    valid_s: float


class AdviceClient:
    """Client for one step per call; the service answers calls one after another."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self.pool = ConnectionPool(0.5, 20.0)

    async def ask(self, step: str, worker_ids: list[str]) -> Advice | None:
        """Return the workers that may run a step, or None if there is no usable answer.

        Only the first WORKER_LIMIT_COUNT workers are sent.
        """
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
                "advice: request got no answer.",
                extra={"reason": str(result.failure())},
            )
            return None
        response = result.unwrap()
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            answer = json.loads(response.body)
            tickets = {str(row[0]): str(row[1]) for row in answer["allowed"]}
            return Advice(tickets, int(answer.get("valid-ms", 0)) / 1000)
        except (
            ArithmeticError,
            LookupError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            logger.warning("advice: answer is invalid.", extra={"reason": repr(error)})
            return None
