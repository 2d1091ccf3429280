"""Applies the steps that return capacity from tasks over their team's share."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cicadatrail_core.admission.preemption import PreemptionOrder, PreemptionStep
from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.platform import TaskControl
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.interfaces.worker_client import HttpWorkerControl

logger = logging.getLogger("cicadatrail.share")

INTERVAL_S = 0.25
"""Time between two checks for due orders."""


_CONTROLS = {
    PreemptionStep.THROTTLE: TaskControl.THROTTLE,
    PreemptionStep.CHECKPOINT: TaskControl.CHECKPOINT,
    PreemptionStep.STOP: TaskControl.STOP,
    PreemptionStep.RESUME: TaskControl.RESUME,
}


class ShareReturns:
    """Ask workers to throttle, checkpoint, stop or resume tasks over their share."""

    __slots__ = ("_control", "_dispatcher", "_worker", "order_count")

    def __init__(
        self,
        dispatcher: Dispatcher,
        control: HttpWorkerControl,
        worker: Callable[[str], Worker | None],
    ) -> None:
        self._dispatcher = dispatcher
        self._control = control
        self._worker = worker
        self.order_count = 0

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for order in self._dispatcher.next_preemptions(now_s):
                await self._carry_out(order)
            await asyncio.sleep(INTERVAL_S)

    async def _carry_out(self, order: PreemptionOrder) -> None:
        worker = self._worker(order.worker_id)
        if worker is None:
            return
        self.order_count += 1
        logger.info(
            "share: ordering %s for a task on %s.", order.step.value, order.worker_id
        )
        await self._control.control(worker, order.request_id, _CONTROLS[order.step])
