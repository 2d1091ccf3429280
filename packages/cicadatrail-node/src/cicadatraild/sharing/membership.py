"""Joins the roster, proves to be alive, and evens out rights by records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from cicadatrail_core.fold.holdings import obsolete_rights
from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.records import (
    ClaimRecord,
    JoinRecord,
    LeaveRecord,
    PulseRecord,
    ReleaseRecord,
    TransferRecord,
)
from cicadatrail_core.models.rights import IncarnationId, Right, SlotRight, WorkerRight
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.rights.balance import fair_claim, handover, surplus
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.member")

BALANCE_INTERVAL_S = 1.0
"""Time between two looks at whether rights are spread evenly."""

JOIN_POLL_S = 0.05
"""Time between two looks at whether the join was folded."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Name this incarnation and where peers reach it."""

    incarnation: IncarnationId
    instance_id: str
    host: str
    peer_port: int
    place: Place


class StruckOutError(Exception):
    """Report that peers freed this incarnation's rights; it must not go on."""


class Membership:
    """Keep this incarnation in the roster and its rights in proportion."""

    __slots__ = (
        "_appender",
        "_holdings",
        "_identity",
        "_joined",
        "_on_holdings",
        "_pending",
        "_pulse_s",
        "_replica",
        "_running_on",
        "_running_of",
        "_sequence",
        "leaving",
    )

    def __init__(
        self,
        identity: Identity,
        replica: Replica,
        appender: Appender,
        holdings: Holdings,
        pulse_s: float,
        running_on: Callable[[str], int],
        running_of: Callable[[str], int],
        on_holdings: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._replica = replica
        self._appender = appender
        self._holdings = holdings
        self._pulse_s = pulse_s
        self._running_on = running_on
        self._running_of = running_of
        self._on_holdings = on_holdings
        self._pending: ReleaseRecord | tuple[TransferRecord, ...] | None = None
        self._sequence = 0
        self._joined = False
        self.leaving = False

    @property
    def member(self) -> Member | None:
        """Return this incarnation's entry in the roster."""
        return self._replica.state.roster.get(self._identity.incarnation)

    async def join(self) -> None:
        """Enter the roster; waits while the log can't be written."""
        identity = self._identity
        self._appender.add(
            JoinRecord(
                identity.incarnation,
                identity.instance_id,
                identity.host,
                identity.peer_port,
                identity.place,
            )
        )
        while self.member is None:
            await asyncio.sleep(JOIN_POLL_S)
        self._joined = True
        logger.info("member: joined as %s.", identity.incarnation)

    async def pulse(self) -> None:
        """Append a pulse every interval, until cancelled."""
        while True:
            self._sequence += 1
            offset = self._replica.state.next_offset
            incarnation = self._identity.incarnation
            self._appender.add(PulseRecord(incarnation, self._sequence, offset))
            await asyncio.sleep(self._pulse_s)

    async def balance(self) -> None:
        """Claim, hand over and release rights, until cancelled.

        Raises StruckOutError when the roster no longer holds this incarnation.
        """
        while True:
            self.check_member()
            self._settle(self._replica.state)
            if self._pending is None:
                self._propose(self._replica.state)
            await asyncio.sleep(BALANCE_INTERVAL_S)

    async def leave(self) -> None:
        """Hand every right to peers, then leave the roster.

        The caller has ended everything that runs. Waits until the hand-over
        is folded, so that the rights are in use again at once.
        """
        self.leaving = True
        incarnation = self._identity.incarnation
        records = handover(self._replica.state, incarnation)
        self._hand_over(records)
        while self.member is not None and self._pending is not None:
            await asyncio.sleep(JOIN_POLL_S)
            self._settle(self._replica.state)
        self._appender.add(LeaveRecord(incarnation))
        while self.member is not None:
            await asyncio.sleep(JOIN_POLL_S)
        logger.info("member: left the roster.")

    def check_member(self) -> None:
        """Raise StruckOutError when this incarnation was struck out."""
        if self._joined and self.member is None:
            raise StruckOutError

    def _settle(self, state: State) -> None:
        """Forget what was handed over once the log shows it."""
        member = state.roster.get(self._identity.incarnation)
        match self._pending:
            case None:
                return
            case ReleaseRecord(sequence=sequence):
                newest = sequence
            case transfers:
                newest = max(record.sequence for record in transfers)
        if member is not None and member.rights_sequence >= newest:
            self._pending = None
            self._holdings.keep_all()
            self._on_holdings()

    def _propose(self, state: State) -> None:
        """Append at most one kind of change to the rights."""
        incarnation = self._identity.incarnation
        claims = fair_claim(state, incarnation)
        if claims and not self.leaving:
            self._appender.add(ClaimRecord(incarnation, claims))
            return
        released = self._idle_part(obsolete_rights(state, incarnation))
        member = state.roster.get(incarnation)
        if released and member is not None:
            sequence = member.rights_sequence + 1
            self._pending = ReleaseRecord(incarnation, released, sequence)
            self._stop_using(released)
            self._appender.add(self._pending)
            return
        self._hand_over(surplus(state, incarnation))

    def _hand_over(self, records: tuple[TransferRecord, ...]) -> None:
        """Stop using rights and append their transfer, if none is in use.

        Busy workers are only marked, so that they become idle and go later.
        """
        if not records:
            return
        rights = tuple(right for record in records for right in record.rights)
        self._stop_using(rights)
        idle = []
        for record in records:
            part = self._idle_part(record.rights)
            if part:
                sequence = records[0].sequence + len(idle)
                idle.append(TransferRecord(record.giver, record.taker, part, sequence))
        if not idle:
            return
        self._pending = tuple(idle)
        self._stop_using(tuple(r for record in idle for r in record.rights))
        for record in idle:
            self._appender.add(record)

    def _idle_part(self, rights: tuple[Right, ...]) -> tuple[Right, ...]:
        """Return the rights, or the part of them, that nothing runs on."""
        idle: list[Right] = []
        for right in rights:
            match right:
                case WorkerRight(worker_id) if self._running_on(worker_id):
                    continue
                case SlotRight(team_id, slot_count):
                    free_count = self._free_slots(team_id)
                    if free_count > 0:
                        idle.append(SlotRight(team_id, min(slot_count, free_count)))
                case _:
                    idle.append(right)
        return tuple(idle)

    def _free_slots(self, team_id: str) -> int:
        """Return how many held slots no running task uses."""
        slots = self._replica.state.slots.get(team_id, {})
        held_count = slots.get(self._identity.incarnation, 0)
        return held_count - self._running_of(team_id)

    def _stop_using(self, rights: tuple[Right, ...]) -> None:
        self._holdings.hand_over(rights)
        self._on_holdings()
