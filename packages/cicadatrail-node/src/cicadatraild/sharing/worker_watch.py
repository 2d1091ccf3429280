"""Polls owned workers for usage, leaving and failure, and reports ejections."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from returns.result import Failure, Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.maintenance import Condition
from cicadatrail_core.models.records import ConditionRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.interfaces.worker_client import (
    HttpWorkerControl,
    WorkerReport,
    usage_report,
)
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.worker")

POLL_INTERVAL_S = 0.1
"""Time between polls of two different workers; each poll costs one call."""

MIN_POLL_PERIOD_S = 1.0
"""Minimum time between two polls of the same worker."""

FAILED_POLL_LIMIT_COUNT = 3
"""Consecutive polls without an answer after which a worker counts as failed."""

REPORT_RETRY_S = 5.0
"""Time after which a condition that was not folded is reported again."""


class WorkerWatch:
    """Poll owned workers in turn and report changes of their condition."""

    __slots__ = (
        "_appender",
        "_control",
        "_dispatcher",
        "_holdings",
        "_incarnation",
        "_missed",
        "_on_leaving",
        "_replica",
        "_reported_s",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        replica: Replica,
        appender: Appender,
        holdings: Holdings,
        dispatcher: Dispatcher,
        control: HttpWorkerControl,
        on_leaving: Callable[[str, bool], None],
    ) -> None:
        self._incarnation = incarnation
        self._replica = replica
        self._appender = appender
        self._holdings = holdings
        self._dispatcher = dispatcher
        self._control = control
        self._on_leaving = on_leaving
        self._missed: Counter[str] = Counter()
        self._reported_s: dict[tuple[str, Condition], float] = {}

    async def run(self) -> None:
        """Poll the workers one at a time until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            held = self._holdings.held_workers(self._replica.state)
            for worker_id in self._missed.keys() - held:
                del self._missed[worker_id]
            for worker_id in sorted(held):
                worker = self._replica.state.workers.get(worker_id)
                if worker is not None:
                    await self._poll(worker)
                await asyncio.sleep(POLL_INTERVAL_S)
            self._report_ejections(self._replica.state)
            rest_s = began_s + MIN_POLL_PERIOD_S - loop.time()
            await asyncio.sleep(max(POLL_INTERVAL_S, rest_s))

    async def _poll(self, worker: Worker) -> None:
        match await self._control.read_report(worker):
            case Success(report):
                self._take_report(worker.worker_id, report)
            case Failure(_):
                self._missed[worker.worker_id] += 1
        if self._missed[worker.worker_id] >= FAILED_POLL_LIMIT_COUNT:
            self._report(worker.worker_id, Condition.FAILED)

    def _take_report(self, worker_id: str, report: WorkerReport) -> None:
        now_s = asyncio.get_running_loop().time()
        self._missed[worker_id] = 0
        self._dispatcher.report_usage(usage_report(report, now_s), now_s)
        self._on_leaving(worker_id, report.leaving)
        known = self._replica.state.conditions.get(worker_id)
        if report.leaving:
            self._report(worker_id, Condition.LEAVING)
        elif known in (Condition.FAILED, Condition.LEAVING):
            self._report(worker_id, Condition.SERVING)

    def _report_ejections(self, state: State) -> None:
        """Report the workers that this instance ejected or restored."""
        ejected = frozenset(self._dispatcher.ejected_workers)
        held = self._holdings.held_workers(state)
        for worker_id in ejected & held:
            if worker_id not in state.conditions:
                self._report(worker_id, Condition.EJECTED)
        for worker_id in held - ejected:
            if state.conditions.get(worker_id) is Condition.EJECTED:
                self._report(worker_id, Condition.SERVING)

    def _report(self, worker_id: str, condition: Condition) -> None:
        """Append a change of condition unless it is folded or was appended recently."""
        shown = self._replica.state.conditions.get(worker_id, Condition.SERVING)
        if shown is condition:
            return
        now_s = asyncio.get_running_loop().time()
        key = (worker_id, condition)
        if now_s < self._reported_s.get(key, 0.0) + REPORT_RETRY_S:
            return
        self._reported_s[key] = now_s
        logger.info("worker: reporting %s as %s.", worker_id, condition.value)
        self._appender.add(ConditionRecord(worker_id, condition, self._incarnation))
