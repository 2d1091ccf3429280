"""Client of the control interface of workers: orders, and reports of runs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from returns.result import Success

from cicadatrail_core.jobs.models import WorkerFacts, WorkerReport
from cicadatraild.network.client_exchange import Address, ClientFault, WholeResponse
from cicadatraild.network.http_client import ConnectionPool
from cicadatraild.platform.refusals import decode_reason
from cicadatraild.platform.worker_reports import decode_clock, decode_report

CONNECT_TIMEOUT_S = 0.5
"""Time to open a connection to a worker; the network latency is about 1 ms."""

ORDER_TIMEOUT_S = 0.5
"""Time limit of an order; a healthy worker answers in 5 ms."""

LIST_TIMEOUT_S = 0.6
"""Time limit of a report, in addition to the time it may wait for a run to end."""

IDLE_LIMIT_S = 20.0
"""Time after which an idle connection is no longer used; new ones cost money."""

CONCURRENT_ORDER_LIMIT_COUNT = 2
"""Concurrent orders to one worker, limited so that few connections are opened."""


class OrderOutcome(Enum):
    """Outcome of an order to a worker."""

    DONE = "done"
    FENCED = "fenced"
    """A leader with a higher fencing token controls this worker."""

    OLD = "old"
    """The worker has already ended this run or a later one of the subtask."""

    LATE = "late"
    """The deadline for the start has passed on the worker's clock."""

    NO_CAPACITY = "no-room"
    """The worker has too little free capacity."""

    NO_TICKET = "no-ticket"
    """The worker requires a ticket of the advice service that it accepts."""

    BUSY = "busy"
    """The worker is not healthy and has not carried out the order."""

    INVALID = "invalid"
    WRONG_WORKER = "gone"
    """Another worker answers at the address."""

    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"
    """No answer; the worker may carry out the order, even seconds later."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Outcome of an order, and the worker's clock if the answer gave it.

    ``clock_ms`` tells which life of the worker has answered. An order that
    ``is_answered`` isn't carried out later, even if the answer can't be read.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class ListFailure:
    """Reason why a worker's report could not be read.

    ``is_broken`` tells that the connection broke or was refused, not by silence.
    """

    outcome: OrderOutcome
    is_broken: bool = False


_REASONS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_CAPACITY,
    "ticket": OrderOutcome.NO_TICKET,
}


class WorkerClient:
    """Client that sends orders to workers, fenced by one epoch.

    ``may_start`` returns whether the leadership lease still permits starts.
    """

    def __init__(self, epoch: int, may_start: Callable[[], bool]) -> None:
        self._epoch = epoch
        self._may_start = may_start
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, IDLE_LIMIT_S)
        self._order_slots: dict[str, asyncio.Semaphore] = {}

    async def start(
        self,
        worker: WorkerFacts,
        subtask: str,
        run: int,
        spec: str,
        checkpoint: str,
        ticket: str,
        deadline_ms: int,
        is_wanted: Callable[[], bool],
    ) -> OrderAnswer:
        """Start a run before ``deadline_ms`` on the worker's clock.

        The order is not sent if, right before its first byte would leave, this leader
        may no longer start runs or the run is no longer wanted.
        """
        body: dict[str, object] = {
            "task": subtask,
            "run": run,
            "spec": spec,
            "deadline-ms": deadline_ms,
            "fencing-token": self._epoch,
        }
        if checkpoint:
            body["last-checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        return await self._order(
            worker, "run-start", body, lambda: self._may_start() and is_wanted()
        )

    async def stop(self, worker: WorkerFacts, subtask: str, run: int) -> OrderOutcome:
        """Stop a run, or prevent it from starting."""
        body = {"task": subtask, "run": run, "fencing-token": self._epoch}
        return (await self._order(worker, "run-stop", body)).outcome

    async def set_pace(
        self, worker: WorkerFacts, subtask: str, run: int, percent: int
    ) -> OrderOutcome:
        """Limit a run to a percentage of its full speed, from 0 to 100."""
        body = {
            "task": subtask,
            "run": run,
            "percent": percent,
            "fencing-token": self._epoch,
        }
        return (await self._order(worker, "pace", body)).outcome

    async def read_lists(
        self,
        worker: WorkerFacts,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport | ListFailure:
        """Return a worker's running runs and those ended after ``acknowledged_end``.

        The worker may delete ended runs up to ``acknowledged_end``. ``deadline_ms``
        renews the leases of all its runs. Waits up to ``wait_ms`` milliseconds for a
        run to end.
        """
        body: dict[str, object] = {
            "fencing-token": self._epoch,
            "last-seen": acknowledged_end,
        }
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        timeout_s = LIST_TIMEOUT_S + wait_ms / 1000
        began_s = asyncio.get_running_loop().time()
        response = await self._call(worker, "hold", body, timeout_s)
        if isinstance(response, OrderOutcome):
            took_s = asyncio.get_running_loop().time() - began_s
            is_sent = response is not OrderOutcome.NOT_SENT
            limit_s = timeout_s if is_sent else CONNECT_TIMEOUT_S
            return ListFailure(response, is_broken=took_s < limit_s)
        if response.status != 200:
            return ListFailure(_outcome(response))
        report = decode_report(response.body)
        return report or ListFailure(OrderOutcome.UNKNOWN)

    async def _order(
        self,
        worker: WorkerFacts,
        call: str,
        body: dict[str, object],
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderAnswer:
        slots = self._order_slots.setdefault(
            worker.worker_id, asyncio.Semaphore(CONCURRENT_ORDER_LIMIT_COUNT)
        )
        async with slots:
            response = await self._call(worker, call, body, ORDER_TIMEOUT_S, may_send)
        if isinstance(response, OrderOutcome):
            return OrderAnswer(response)
        return OrderAnswer(_outcome(response), decode_clock(response.body), True)

    async def _call(
        self,
        worker: WorkerFacts,
        call: str,
        body: dict[str, object],
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> WholeResponse | OrderOutcome:
        result = await self.pool.fetch(
            Address(worker.host, worker.port),
            "POST",
            f"/cicadatrail/{call}",
            headers=(
                (b"Content-Type", b"application/json"),
                # Identifies the intended worker, as addresses are reused.
                (b"Expect-Instance", worker.worker_id.encode()),
            ),
            body=json.dumps(body, separators=(",", ":")).encode(),
            timeout_s=timeout_s,
            may_send=may_send,
        )
        if isinstance(result, Success):
            response: WholeResponse = result.unwrap()
            return response
        if result.failure().fault is ClientFault.NOT_SENT:
            return OrderOutcome.NOT_SENT
        return OrderOutcome.UNKNOWN


def _outcome(response: WholeResponse) -> OrderOutcome:
    match response.status:
        case 200:
            return OrderOutcome.DONE
        case 409:
            reason = decode_reason(response.body)
            return _REASONS.get(reason, OrderOutcome.UNKNOWN)
        case 421:
            return OrderOutcome.WRONG_WORKER
        case 429 | 503:
            return OrderOutcome.BUSY
        case 400:
            return OrderOutcome.INVALID
    return OrderOutcome.UNKNOWN
