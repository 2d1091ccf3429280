"""Steps about tasks whose callers left and whose workers go on with them."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any

from behave import given, then, when

from cicadatraild.network.http_server import HttpExchange
from features.standins.workers import StandInWorker
from features.support.edge_caller import EdgeCaller, request_bytes
from features.support.edge_outcomes import BODY, LONG_BODY
from features.support.edge_world import EdgeWorld
from features.support.paused_loop import run_paused

STOP_S = 3.0
RENEWAL_DELAY_S = 1.8
REPORT_INTERVAL_S = 0.1
REPORT_COUNT = 20


class SlowToStopWorker(StandInWorker):
    """A worker that stops tasks late and whose reports may be old."""

    def _stop(self, task_id: str) -> None:
        asyncio.get_running_loop().call_later(STOP_S, super()._stop, task_id)


class LaggingWorker(SlowToStopWorker):
    """A worker whose reports are ``REPORT_COUNT * REPORT_INTERVAL_S`` seconds old."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._reports = [super().report()] * REPORT_COUNT

    async def keep_reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._reports = [*self._reports[1:], super().report()]

    def report(self) -> dict[str, object]:
        return {**self._reports[0], "age_s": REPORT_COUNT * REPORT_INTERVAL_S}


class CutOffWorker(StandInWorker):
    """A worker that is told nothing and whose reports can't be had."""

    def _stop(self, task_id: str) -> None:
        return

    def _renew(self, task_id: str, lease_ms: int) -> bool:
        return False

    def report(self) -> dict[str, object]:
        return {}


class SlowToRenewWorker(CutOffWorker):
    """A worker that gets renewals late, and nothing else."""

    async def __call__(self, exchange: HttpExchange) -> None:
        if "/renew?" in exchange.target:
            await asyncio.sleep(RENEWAL_DELAY_S)
        await super().__call__(exchange)

    def _renew(self, task_id: str, lease_ms: int) -> bool:
        return StandInWorker._renew(self, task_id, lease_ms)


class ReplacedWorker(SlowToStopWorker):
    """A worker that is cut off and whose address another worker has got."""

    def report(self) -> dict[str, object]:
        return {"worker_id": "w9", "age_s": 0.0, "leaving": False, "tasks": []}


WORKER_TYPES = {
    "was made when it was asked for": SlowToStopWorker,
    "was made 2 s before": LaggingWorker,
    "another worker at the same address made": ReplacedWorker,
}


@given(
    "an entry instance whose worker stops tasks after 3 s and sends a report that"
    " {report}"
)
def step_worker(context: Any, report: str) -> None:
    context.worker_type = WORKER_TYPES[report]


@given("an entry instance whose worker is cut off and goes on with its tasks")
def step_cut_off(context: Any) -> None:
    context.worker_type = CutOffWorker


@given("an entry instance whose worker gets renewals after 1.8 s and is cut off then")
def step_slow_renewals(context: Any) -> None:
    context.worker_type = SlowToRenewWorker


@when("a caller leaves {after_s:g} s after its task has started")
def step_leave(context: Any, after_s: float) -> None:
    context.charges = run_paused(_give_up(context.worker_type, 0.0, after_s))


@when(
    "a caller that sends its body for {body_s:g} s leaves {after_s:g} s after its task"
    " has started"
)
def step_leave_after_body(context: Any, body_s: float, after_s: float) -> None:
    context.charges = run_paused(_give_up(context.worker_type, body_s, after_s))


async def _give_up(
    worker_type: type[StandInWorker], body_s: float, after_s: float
) -> list[tuple[float, bool, int]]:
    """Return the time, whether the task runs and what is charged, in steps."""
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        world = EdgeWorld(stack)
        worker = worker_type("w0", world.ledger)
        await world.serve_worker("w0", worker)
        if isinstance(worker, LaggingWorker):
            stack.callback(loop.create_task(worker.keep_reports()).cancel)
        instance = await world.add_instance()
        await world.settle({0: {"w0"}})
        caller = await EdgeCaller.connect(instance.caller)
        headers = world.headers(Transfer_Encoding="chunked")
        await caller.send(request_bytes(headers, b"", target="/work?run_ms=30000"))
        body = LONG_BODY if body_s else BODY
        await caller.send(b"%x\r\n%s\r\n" % (len(body), body))
        await asyncio.sleep(body_s)
        await caller.send(b"0\r\n\r\n")
        await asyncio.sleep(after_s)
        caller.close()
        charges = []
        for _ in range(300):
            charges.append((loop.time(), bool(worker.tasks), instance.charged()))
            await asyncio.sleep(0.05)
        return charges


@then("the task stays charged until it has ended, and at most {limit_s:g} s longer")
def step_charged(context: Any, limit_s: float) -> None:
    charges = context.charges
    assert charges[0][1], "the task has not started"
    running_s = [at_s for at_s, runs, _ in charges if runs]
    charged_s = [at_s for at_s, _, count in charges if count]
    freed_early = [at_s for at_s, runs, count in charges if runs and not count]
    assert not freed_early, f"released {running_s[-1] - freed_early[0]:.2f} s early"
    assert charged_s[-1] <= running_s[-1] + limit_s, (charged_s[-1], running_s[-1])
