"""Queue of requests that wait for a placement by the dispatcher.

Adds waiting to the dispatcher, which does no I/O and reads no clock.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Protocol

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    Placed,
    Rejected,
    RejectReason,
    TaskEnd,
    Waiting,
)

EXPIRY_INTERVAL_S = 0.05
"""Time between checks for expired requests while any request waits."""

IDLE_EXPIRY_INTERVAL_S = 0.25
"""Time between checks while no request waits."""

Decision = Placed | Rejected


class SlotCharges(Protocol):
    """Charges each running task to one of its team's slots, owned or borrowed."""

    def start(self, request_id: str, team_id: str) -> bool:
        """Charge a task to a slot; return False if a borrowed slot has expired."""

    def end(self, request_id: str) -> None:
        """Free the slot of a task that has ended."""


class DispatchQueue:
    """Pass the dispatcher's decisions to the requests that wait for them.

    ``running_on`` counts the charged tasks by worker id; ``last_queue_full_s`` is
    the loop time of the last rejection because of a full queue.
    """

    __slots__ = (
        "_charges",
        "_decisions",
        "_placed_workers",
        "dispatcher",
        "last_queue_full_s",
        "running_on",
    )

    def __init__(self, dispatcher: Dispatcher, charges: SlotCharges) -> None:
        self.dispatcher = dispatcher
        self._charges = charges
        self._decisions: dict[str, asyncio.Future[Decision]] = {}
        self._placed_workers: dict[str, str] = {}
        self.running_on: Counter[str] = Counter()
        self.last_queue_full_s = -math.inf

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._decisions)

    def configure(
        self, state: State, workers: Collection[str], slots: Mapping[str, int]
    ) -> None:
        """Update the state, workers and team slots, then place what fits."""
        self.dispatcher.configure(state, workers, slots, _now_s())
        self.place_waiting()

    def submit(
        self, request: TaskRequest, tried_workers: Collection[str] = ()
    ) -> Decision | asyncio.Future[Decision]:
        """Return the decision, or a future for it if the request has to wait.

        Workers that were tried already are used only if no other has capacity.
        """
        answer = self.dispatcher.submit(request, _now_s(), tried_workers)
        if isinstance(answer, Placed) and not self._charge(answer):
            answer = self.dispatcher.submit(request, _now_s(), tried_workers)
            if isinstance(answer, Placed):
                self.dispatcher.finish(request.request_id, TaskEnd.CANCELLED, _now_s())
                return Rejected(request.request_id, RejectReason.QUEUE_FULL, 1.0)
        if isinstance(answer, Rejected) and answer.reason is RejectReason.QUEUE_FULL:
            self.last_queue_full_s = _now_s()
        if not isinstance(answer, Waiting):
            return answer
        decision: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._decisions[request.request_id] = decision
        return decision

    def reserve(self, request: TaskRequest) -> Placed | None:
        """Place a peer's request immediately, or return None; it never waits."""
        placed = self.dispatcher.try_place(request, _now_s())
        if placed is None or not self._charge(placed):
            return None
        return placed

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        if not self.dispatcher.cancel(request_id, _now_s()):
            # The decision was made or, if the deadline has passed, is about to be.
            return False
        self._decisions.pop(request_id, None)
        return True

    def finish(self, request_id: str, task_end: TaskEnd) -> None:
        """Free a task's placement and slot, then place waiting requests."""
        self._release(request_id)
        self.dispatcher.finish(request_id, task_end, _now_s())
        self.place_waiting()

    def place_waiting(self) -> None:
        """Place the waiting requests that fit now."""
        if not self._decisions:
            return
        for placed in self.dispatcher.next_placements(_now_s()):
            if self._charge(placed):
                self._resolve(placed.request.request_id, placed)
            else:
                self._resubmit(placed.request)

    def _resubmit(self, request: TaskRequest) -> None:
        """Submit a request again after its borrowed slot expired."""
        answer = self.dispatcher.submit(request, _now_s())
        if isinstance(answer, Placed):
            self.dispatcher.finish(request.request_id, TaskEnd.CANCELLED, _now_s())
            answer = Rejected(request.request_id, RejectReason.QUEUE_FULL, 1.0)
        if isinstance(answer, Rejected):
            self._resolve(request.request_id, answer)

    async def run(self) -> None:
        """Reject expired requests and place others, until cancelled."""
        while True:
            waiting = bool(self._decisions)
            await asyncio.sleep(
                EXPIRY_INTERVAL_S if waiting else IDLE_EXPIRY_INTERVAL_S
            )
            for rejected in self.dispatcher.expire(_now_s()):
                self._resolve(rejected.request_id, rejected)
            self.place_waiting()

    def _resolve(self, request_id: str, decision: Decision) -> None:
        future = self._decisions.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(decision)
            return
        if isinstance(decision, Placed):
            self._release(request_id)
            self.dispatcher.finish(request_id, TaskEnd.CANCELLED, _now_s())

    def _charge(self, placed: Placed) -> bool:
        """Charge a placed task to a slot, or undo the placement and return False."""
        request = placed.request
        if not self._charges.start(request.request_id, request.team_id):
            self.dispatcher.finish(request.request_id, TaskEnd.CANCELLED, _now_s())
            return False
        self._placed_workers[placed.request.request_id] = placed.worker_id
        self.running_on[placed.worker_id] += 1
        return True

    def _release(self, request_id: str) -> None:
        worker_id = self._placed_workers.pop(request_id, None)
        if worker_id is None:
            return
        self._charges.end(request_id)
        self.running_on[worker_id] -= 1
        if not self.running_on[worker_id]:
            del self.running_on[worker_id]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
