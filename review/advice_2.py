"""The advice service, which alone knows the worker that may run a queue's steps."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from typing import Any

from cicadatraild.network.http_server import HttpExchange, HttpLimits, HttpServer
from features.standins.platform_fleet import PlatformWorker

DECIDE_S = 0.02
PERIOD_S = 0.001
VALID_MS = 3000


class AdviceService:
    """Answer calls one after another; ``allowed`` is the worker that may run a step."""

    def __init__(self) -> None:
        self.allowed = ""
        self.asked: list[list[str]] = []
        self._turn = asyncio.Lock()

    def ticket(self, step: str) -> str:
        """Return the ticket of a step for the worker that may run it."""
        return f"ticket-{step}-{self.allowed}"

    async def listen(self, stack: AsyncExitStack, host: str) -> int:
        """Listen until ``stack`` closes; return the port."""
        return await HttpServer("advice", self._handle, HttpLimits()).listen(
            stack, host, 0
        )

    async def _handle(self, exchange: HttpExchange) -> None:
        call = json.loads(await exchange.read_body())
        async with self._turn:
            await asyncio.sleep(DECIDE_S + PERIOD_S * len(call["workers"]))
        self.asked.append(call["workers"])
        is_named = self.allowed in call["workers"]
        rows = [[self.allowed, self.ticket(call["step"])]] if is_named else []
        answer = {"allowed": rows, "valid-ms": VALID_MS}
        await exchange.respond(200, json.dumps(answer).encode())


class AdvisedWorker(PlatformWorker):
    """A worker that wants a ticket for the subtasks of some jobs."""

    service: AdviceService
    advised_job = ""

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        step = body["task"].rpartition(".")[0]
        if step.startswith(self.advised_job):
            is_valid = body.get("ticket") == self.service.ticket(step)
            if not is_valid or self.worker_id != self.service.allowed:
                return 409, {"reason": "ticket"}
        return super()._start(body)
