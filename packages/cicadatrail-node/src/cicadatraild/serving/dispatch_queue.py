"""Lets requests wait for their place, on top of the pure dispatcher."""

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
"""Time between two looks for requests whose deadline passed."""

IDLE_INTERVAL_S = 0.25
"""Time between two looks while no request waits."""

Decision = Placed | Rejected


class SlotCharges(Protocol):
    """Charge each running task to a slot of its team, own or borrowed."""

    def start(self, request_id: str, team_id: str) -> bool:
        """Charge a task; False when the slot it counted on has lapsed."""

    def end(self, request_id: str) -> None:
        """Free the slot of a task that has ended."""


class DispatchQueue:
    """Hand each request its decision as soon as the dispatcher makes it."""

    __slots__ = (
        "_charges",
        "_decisions",
        "_placed",
        "dispatcher",
        "last_queue_full_s",
        "running_on",
    )

    def __init__(self, dispatcher: Dispatcher, charges: SlotCharges) -> None:
        self.dispatcher = dispatcher
        self._charges = charges
        self._decisions: dict[str, asyncio.Future[Decision]] = {}
        self._placed: dict[str, str] = {}
        self.running_on: Counter[str] = Counter()
        self.last_queue_full_s = -math.inf

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait here."""
        return len(self._decisions)

    def configure(
        self, state: State, workers: Collection[str], slots: Mapping[str, int]
    ) -> None:
        """Set what may be spent, and place what fits now."""
        self.dispatcher.configure(state, workers, slots, _now_s())
        self.place_waiting()

    def submit(
        self, request: TaskRequest, tried_workers: Collection[str] = ()
    ) -> Decision | asyncio.Future[Decision]:
        """Return the decision, or a future of it while the request waits.

        Workers that were tried already are passed over if another has room.
        """
        answer = self.dispatcher.submit(request, _now_s(), tried_workers)
        if isinstance(answer, Placed) and not self._note_start(answer):
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
        """Place a peer's request at once or not at all."""
        placed = self.dispatcher.try_place(request, _now_s())
        if placed is None or not self._note_start(placed):
            return None
        return placed

    def withdraw(self, request_id: str) -> bool:
        """Take a waiting request out; tell whether it still waited."""
        if not self.dispatcher.cancel(request_id, _now_s()):
            # Its decision is made or, where its deadline passed, still comes.
            return False
        self._decisions.pop(request_id, None)
        return True

    def finish(self, request_id: str, ended: TaskEnd) -> None:
        """Free a task's place and slot, and place what fits now."""
        self._note_end(request_id)
        self.dispatcher.finish(request_id, ended, _now_s())
        self.place_waiting()

    def place_waiting(self) -> None:
        """Place waiting requests that fit now."""
        if not self._decisions:
            return
        for placed in self.dispatcher.next_placements(_now_s()):
            if self._note_start(placed):
                self._decide(placed.request.request_id, placed)
            else:
                self._submit_again(placed.request)

    def _submit_again(self, request: TaskRequest) -> None:
        """Let a request wait again whose borrowed slot had lapsed."""
        answer = self.dispatcher.submit(request, _now_s())
        if isinstance(answer, Placed):
            self.dispatcher.finish(request.request_id, TaskEnd.CANCELLED, _now_s())
            answer = Rejected(request.request_id, RejectReason.QUEUE_FULL, 1.0)
        if isinstance(answer, Rejected):
            self._decide(request.request_id, answer)

    async def run(self) -> None:
        """Refuse requests whose deadline passes, until cancelled."""
        while True:
            waiting = bool(self._decisions)
            await asyncio.sleep(EXPIRY_INTERVAL_S if waiting else IDLE_INTERVAL_S)
            for rejected in self.dispatcher.expire(_now_s()):
                self._decide(rejected.request_id, rejected)
            self.place_waiting()

    def _decide(self, request_id: str, decision: Decision) -> None:
        future = self._decisions.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(decision)
            return
        if isinstance(decision, Placed):
            self._note_end(request_id)
            self.dispatcher.finish(request_id, TaskEnd.CANCELLED, _now_s())

    def _note_start(self, placed: Placed) -> bool:
        """Charge a placed task to a slot, or take its placement back."""
        request = placed.request
        if not self._charges.start(request.request_id, request.team_id):
            self.dispatcher.finish(request.request_id, TaskEnd.CANCELLED, _now_s())
            return False
        self._placed[placed.request.request_id] = placed.worker_id
        self.running_on[placed.worker_id] += 1
        return True

    def _note_end(self, request_id: str) -> None:
        worker_id = self._placed.pop(request_id, None)
        if worker_id is None:
            return
        self._charges.end(request_id)
        self.running_on[worker_id] -= 1
        if not self.running_on[worker_id]:
            del self.running_on[worker_id]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
