"""Steps about polls of workers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from behave import given, then, when
from returns.result import Failure, Result, Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.maintenance import Condition
from cicadatrail_core.models.platform import PlatformError
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import Dispatcher, DispatcherSettings
from cicadatraild.interfaces.worker_client import WorkerReport
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.worker_watch import MIN_POLL_PERIOD_S, WorkerWatch
from features.support import fold_histories as histories
from features.support.paused_loop import run_paused

OWNER, PEER, _ = histories.MEMBERS
WORKER = "worker-0"


class PolledWorker:
    """Count polls and leave the first ``missed_count`` of them without an answer."""

    def __init__(self, missed_count: int) -> None:
        self.missed_count = missed_count
        self.poll_count = 0

    async def read_report(self, worker: Worker) -> Result[WorkerReport, PlatformError]:
        self.poll_count += 1
        if self.poll_count <= self.missed_count:
            return Failure(PlatformError("no answer", True))
        return Success(WorkerReport(worker.worker_id, 0.0, False, ()))


@given("an instance whose worker has missed {count:d} polls")
def step_missed(context: Any, count: int) -> None:
    context.missed_count = count


@when("the instance {meanwhile}, and the worker misses {count:d} poll more")
def step_poll(context: Any, meanwhile: str, count: int) -> None:
    polled = PolledWorker(context.missed_count + count)
    context.records = []
    run_paused(_poll(context, polled, meanwhile != "goes on owning it"))


async def _poll(context: Any, polled: PolledWorker, changes_owner: bool) -> None:
    state = State(
        workers={WORKER: histories.make_worker(WORKER)}, worker_holders={WORKER: OWNER}
    )
    replica = SimpleNamespace(state=state)
    watch = WorkerWatch(
        OWNER,
        cast(Any, replica),
        cast(Any, SimpleNamespace(add=context.records.append)),
        Holdings(OWNER),
        Dispatcher(DispatcherSettings()),
        cast(Any, polled),
        lambda *_: None,
    )
    running = asyncio.get_running_loop().create_task(watch.run())
    await asyncio.sleep((context.missed_count - 0.5) * MIN_POLL_PERIOD_S)
    assert polled.poll_count == context.missed_count
    if changes_owner:
        replica.state = replace(state, worker_holders={WORKER: PEER})
        await asyncio.sleep(3.0)
        replica.state = state
    await asyncio.sleep(5.0)
    assert polled.poll_count > polled.missed_count
    running.cancel()


@then("the worker is reported as {condition}")
def step_reported(context: Any, condition: str) -> None:
    found = [record.condition for record in context.records]
    assert (Condition.FAILED in found) == (condition == "failed"), found
