"""Requests to the advice service for queues whose policy restricts the workers.

The service answers with tickets for the workers that may run a step.
"""

from __future__ import annotations

import asyncio
import logging

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState
from cicadatraild.platform.advice import AdviceClient
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.advice")

CHECK_INTERVAL_S = 0.02
"""Interval between checks for steps that need advice."""

WORKERS_ASKED_COUNT = 30
"""Largest number of workers per request: more take longer and are seldom needed."""

RETRY_S = 0.2
"""Delay after a request without a usable answer."""

RENEW_MARGIN_S = 0.3
"""Time before the expiry of tickets at which new ones are requested."""


class Adviser:
    """Keep the tickets of ready steps valid, those of the oldest job first."""

    def __init__(self, scheduler: Scheduler, client: AdviceClient) -> None:
        self._scheduler = scheduler
        self._client = client

    async def run(self) -> None:
        """Request advice until cancelled."""
        while True:
            step = self._next_step()
            if step is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            await self._request_advice(step)

    def _next_step(self) -> StepState | None:
        now_s = loop_now_s()
        waiting = [
            step
            for job in self._scheduler.jobs.values()
            if not job.is_final and job.is_stored
            for steps in job.occurrences.values()
            for step in steps
            if step.ready
            and self._scheduler.needs_advice(step)
            and now_s > step.tickets_expire_s - RENEW_MARGIN_S
        ]
        return min(waiting, key=lambda step: step.job.accepted_s, default=None)

    async def _request_advice(self, step: StepState) -> None:
        queue = self._scheduler.queues[step.job.definition.queue]
        workers = [
            worker
            for worker in self._scheduler.workers.values()
            if worker.facts.pool == queue.pool
            and worker.is_listed
            and not worker.facts.draining
            and not is_evacuated(self._scheduler, worker)
        ]
        # Workers with a ticket come first, then those with the most free capacity.
        workers.sort(
            key=lambda worker: (
                worker.facts.worker_id not in step.tickets,
                -worker.free_capacity.cpu_millicores,
            )
        )
        name = f"{step.job.job_id}.{step.occurrence}.{step.position}"
        ids = [worker.facts.worker_id for worker in workers[:WORKERS_ASKED_COUNT]]
        asked_s = loop_now_s()
        advice = await self._client.ask(name, ids) if ids else None
        if advice is None:
            await asyncio.sleep(RETRY_S)
            return
        step.tickets = advice.tickets
        step.tickets_expire_s = asked_s + advice.valid_s
        logger.info(
            "advice: tickets received.",
            extra={
                "step": name,
                "asked_count": len(ids),
                "allowed_count": len(advice.tickets),
                "duration_s": round(loop_now_s() - asked_s, 3),
            },
        )
        self._scheduler.on_change()
