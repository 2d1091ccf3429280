"""Charges tasks to own or borrowed slots and lends slots to peers on demand.

Skewed and peak load is handled without the log: when callers of a team wait,
an instance asks the peers with the most free slots of that team.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from returns.result import Success

from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.peer_messages import Digest
from cicadatrail_core.models.records import Record, TransferRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.borrower import BorrowedSlots
from cicadatrail_core.rights.demand import (
    LoanPolicy,
    PeerOffer,
    TeamDemand,
    lendable_count,
    plan_requests,
    returnable_count,
)
from cicadatrail_core.rights.lender import LentSlots
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.network.peer_client import PeerDirectory
from cicadatraild.sharing.holdings import Holdings

INTERVAL_S = 0.25
"""Time between two renewals of a loan and between two checks of demand."""

CALL_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """Numbers of waiting and running tasks on this instance, by team."""

    waiting: Mapping[str, int]
    running: Mapping[str, int]


class SlotLoans:
    """Manage the loans of this incarnation as lender and as borrower."""

    __slots__ = (
        "_all_returned",
        "_borrower",
        "_charges",
        "_demand",
        "_directory",
        "_holdings",
        "_idle_since_s",
        "_incarnation",
        "_leased_until_s",
        "_lender",
        "_on_change",
        "_peer_digests",
        "_policy",
        "_started_s",
        "_state",
        "leaving",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        timing: RightsTiming,
        holdings: Holdings,
        directory: PeerDirectory,
        leased_until_s: Callable[[], float],
        peer_digests: Callable[[], Mapping[IncarnationId, Digest]],
        demand: Callable[[], Demand],
        on_change: Callable[[], None],
    ) -> None:
        self._incarnation = incarnation
        self._holdings = holdings
        self._directory = directory
        self._leased_until_s = leased_until_s
        self._peer_digests = peer_digests
        self._demand = demand
        self._on_change = on_change
        self._lender = LentSlots(incarnation, timing)
        self._borrower = BorrowedSlots(incarnation, timing)
        self._state = State()
        self._policy = LoanPolicy()
        self.leaving = False
        self._all_returned = asyncio.Event()
        self._all_returned.set()
        self._charges: dict[str, tuple[str, IncarnationId | None]] = {}
        self._started_s: dict[str, float] = {}
        self._idle_since_s: dict[tuple[IncarnationId, str], float] = {}

    def take_state(self, state: State) -> None:
        """Update the loans for a new state."""
        self._state = state
        self._lender.write_off(state)
        self._note_lent()
        self._borrower.forget_ended(state)

    def note_record(self, before: State, after: State, record: Record) -> None:
        """Charge tasks to own slots that a record took over from a retired lender."""
        if not isinstance(record, TransferRecord) or not record.borrowed:
            return
        if record.taker != self._incarnation:
            return
        moved_count = self._borrower.note_takeover(before, after, record)
        self._move_charges(record.giver, None, moved_count)

    def note_snapshot(self, before: State, after: State) -> None:
        """Charge tasks to own slots after a snapshot was loaded."""
        for (lender, team_id), moved_count in self._borrower.note_snapshot(
            before, after
        ):
            self._move_charges(lender, team_id, moved_count)

    def _move_charges(
        self, lender: IncarnationId, team_id: str | None, count: int
    ) -> None:
        """Charge tasks of a loan to own slots; ``team_id`` None matches any team."""
        moved = [
            request_id
            for request_id, (team, giver) in self._charges.items()
            if giver == lender and team_id in (None, team)
        ]
        for request_id in moved[:count]:
            team, _ = self._charges[request_id]
            self._charges[request_id] = (team, None)
            self._holdings.ledger.start(team)

    def slots(self, state: State) -> dict[str, int]:
        """Return how many tasks of each team may run here, excluding lent slots."""
        now_s = asyncio.get_running_loop().time()
        return {
            team_id: own_count
            - self._lender.outstanding_count(team_id)
            + self._borrower.free_count(state, team_id, now_s)
            + self._borrowed_running(team_id)
            for team_id, own_count in self._holdings.usable(state).own_slots.items()
        }

    def start(self, request_id: str, team_id: str) -> bool:
        """Charge a task to a slot and return whether one was free."""
        state = self._state
        now_s = asyncio.get_running_loop().time()
        self._started_s[team_id] = now_s
        lent_count = self._lender.outstanding_count(team_id)
        ledger = self._holdings.ledger
        if ledger.free_count(state, team_id, lent_count) > 0:
            ledger.start(team_id)
            self._charges[request_id] = (team_id, None)
            return True
        lender = self._borrower.start(state, team_id, now_s)
        if lender is None:
            return False
        self._charges[request_id] = (team_id, lender)
        return True

    def end(self, request_id: str) -> None:
        """Release the slot of a task that has ended."""
        if request_id not in self._charges:
            return
        team_id, lender = self._charges.pop(request_id)
        if lender is None:
            self._holdings.ledger.end(team_id)
        else:
            self._borrower.end(lender, team_id)

    def spare_own_count(self, team_id: str) -> int:
        """Return how many owned slots are neither in use nor lent."""
        held = self._state.slots.get(team_id, {}).get(self._incarnation, 0)
        used = self._holdings.ledger.running_count(team_id)
        return held - used - self._lender.outstanding_count(team_id)

    def lent_count(self) -> int:
        """Return how many slots are lent to peers."""
        return self._lender.total_outstanding_count()

    def unsettled_lenders(self) -> tuple[IncarnationId, ...]:
        """Return the lenders whose slots still run tasks here."""
        return tuple(self._borrower.unsettled_lenders())

    def takeover_records(self) -> tuple[TransferRecord, ...]:
        """Return the transfers that take over slots in use from retired lenders."""
        return self._borrower.takeover_records(self._state)

    def answer(self, request: LoanRequest) -> LoanGrant:
        """Answer a peer's request for slots."""
        state, team_id = self._state, request.team_id
        now_s = asyncio.get_running_loop().time()
        allowance_count = self._holdings.ledger.slot_count(state, team_id)
        free_count = self._holdings.ledger.free_count(
            state, team_id, self._lender.outstanding_count(team_id)
        )
        waiting_count = self._demand().waiting.get(team_id, 0)
        demand = TeamDemand(team_id, waiting_count, free_count)
        idle_s = now_s - self._started_s.get(team_id, -math.inf)
        may_lend_count = lendable_count(demand, idle_s, self._policy)
        grant = self._lender.answer(
            state,
            request,
            0 if self.leaving else may_lend_count,
            allowance_count,
            self._leased_until_s() - now_s,
        )
        self._note_lent()
        self._on_change()
        return grant

    async def all_returned(self) -> None:
        """Wait until no slot is lent to a peer."""
        await self._all_returned.wait()

    def _note_lent(self) -> None:
        if self.lent_count():
            self._all_returned.clear()
        else:
            self._all_returned.set()

    async def run(self) -> None:
        """Renew, return and request loans until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for lender, team_id in self._borrower.loans():
                self._return_idle(lender, team_id, now_s)
                self._ask(lender, team_id, 0)
            self._ask_for_more()
            await asyncio.sleep(INTERVAL_S)

    def _return_idle(self, lender: IncarnationId, team_id: str, now_s: float) -> None:
        key = (lender, team_id)
        idle_count = self._borrower.idle_count(lender, team_id)
        if not idle_count:
            self._idle_since_s.pop(key, None)
            return
        idle_s = now_s - self._idle_since_s.setdefault(key, now_s)
        count = returnable_count(idle_count, 0, idle_s, self._policy)
        if count:
            self._borrower.give_back(self._state, lender, team_id, count)
            self._idle_since_s.pop(key, None)

    def _ask_for_more(self) -> None:
        """Ask peers for slots of each team whose callers wait for one."""
        demand = self._demand()
        slots = self.slots(self._state)
        for team_id, waiting_count in demand.waiting.items():
            running_count = demand.running.get(team_id, 0)
            free_count = max(0, slots.get(team_id, 0) - running_count)
            wanted = TeamDemand(team_id, waiting_count, free_count)
            for ask in plan_requests(wanted, self._offers(team_id), self._policy):
                self._ask(ask.lender, team_id, ask.slot_count)

    def _offers(self, team_id: str) -> list[PeerOffer]:
        """Return the free slots that peers reported in their newest digests."""
        return [
            PeerOffer(incarnation, team_id, use.free_slot_count)
            for incarnation, digest in self._peer_digests().items()
            for use in digest.teams
            if use.team_id == team_id
        ]

    def _ask(self, lender: IncarnationId, team_id: str, wanted_count: int) -> None:
        now_s = asyncio.get_running_loop().time()
        request = self._borrower.request(lender, team_id, wanted_count, now_s)
        self._directory.spawn(self._call(lender, request))

    async def _call(self, lender: IncarnationId, request: LoanRequest) -> None:
        link = self._directory.link(lender)
        if link is None:
            return
        match await link.call(request, CALL_TIMEOUT_S):
            case Success(LoanGrant() as grant):
                self._borrower.note_grant(grant)
                self._on_change()

    def _borrowed_running(self, team_id: str) -> int:
        return sum(
            self._borrower.running_count(lender, team)
            for lender, team in self._borrower.loans()
            if team == team_id
        )
