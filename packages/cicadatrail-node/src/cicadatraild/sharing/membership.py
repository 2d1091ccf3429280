"""Joins and leaves the membership and rebalances rights through the log."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cicadatrail_core.fold.apply import ReleaseTooOldError
from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.records import (
    RECORD_FORMAT,
    ClaimRecord,
    JoinRecord,
    LeaveRecord,
    ReleaseRecord,
    TransferRecord,
)
from cicadatrail_core.models.rights import IncarnationId, Right, SlotRight, WorkerRight
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.rights.balance import handover
from cicadatrail_core.rights.balancer import Balancer
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.member")

BALANCE_INTERVAL_S = 1.0
"""Time between two checks of the distribution of rights."""


@dataclass(frozen=True, slots=True)
class Identity:
    """The name, address and place of this incarnation."""

    incarnation: IncarnationId
    instance_id: str
    host: str
    peer_port: int
    place: Place


class RetiredError(Exception):
    """Peers retired this incarnation, so it must stop."""


class Membership:
    """Maintain this incarnation's membership and its even portion of rights."""

    __slots__ = (
        "_all_returned",
        "_appender",
        "_balancer",
        "_holdings",
        "_identity",
        "_joined",
        "_on_holdings",
        "_replica",
        "_running_on",
        "_spare_slots",
        "_takeover_records",
        "leaving",
    )

    def __init__(
        self,
        identity: Identity,
        replica: Replica,
        appender: Appender,
        holdings: Holdings,
        running_on: Callable[[str], int],
        spare_slots: Callable[[str], int],
        takeover_records: Callable[[], tuple[TransferRecord, ...]],
        all_returned: Callable[[], Awaitable[None]],
        on_holdings: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._replica = replica
        self._appender = appender
        self._holdings = holdings
        self._running_on = running_on
        self._spare_slots = spare_slots
        self._takeover_records = takeover_records
        self._all_returned = all_returned
        self._on_holdings = on_holdings
        self._joined = False
        self._balancer = Balancer(identity.incarnation)
        self.leaving = False

    @property
    def member(self) -> Member | None:
        """Return this incarnation's member entry, or None if it has none."""
        return self._replica.state.roster.get(self._identity.incarnation)

    async def join(self) -> None:
        """Join the membership, waiting while the log can't be written.

        Raises RetiredError if this incarnation was freed before it learned
        that it had joined, and ReleaseTooOldError if it can't fold the record
        format in effect.
        """
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
        await self._replica.wait_for(self._is_join_folded)
        if self.member is None:
            if self._replica.state.record_format > RECORD_FORMAT:
                raise ReleaseTooOldError("its join was refused")
            raise RetiredError
        self._joined = True
        logger.info("member: joined as %s.", identity.incarnation)

    async def balance(self) -> None:
        """Claim, transfer and release rights, until cancelled.

        Raises RetiredError if this incarnation is no longer a member.
        """
        while True:
            self.check_member()
            state = self._replica.state
            if self._is_settled(state) and not self.leaving:
                self._propose(state)
            await asyncio.sleep(BALANCE_INTERVAL_S)

    async def leave(self) -> None:
        """Transfer every right to peers, then leave the membership.

        The caller must have ended all running tasks. Wait until the transfers
        are folded, so that peers can use the rights immediately.
        """
        self.leaving = True
        incarnation = self._identity.incarnation
        await self._replica.wait_for(self._is_settled)
        # Leaving earlier would free lent slots while a peer's tasks still use them.
        await self._all_returned()
        state = self._replica.state
        self._hand_over(state, handover(state, incarnation))
        await self._replica.wait_for(self._is_settled)
        self._appender.add(LeaveRecord(incarnation))
        await self._replica.wait_for(lambda state: incarnation not in state.roster)
        logger.info("member: left the membership.")

    def check_member(self) -> None:
        """Raise RetiredError if this incarnation was retired or freed."""
        member = self.member
        retired = member is not None and member.retire_offset is not None
        if self._joined and (member is None or retired):
            raise RetiredError

    def _is_join_folded(self, state: State) -> bool:
        """Return whether the join took effect, even if it was undone since.

        After a long pause all missed records are folded at once, which may
        include both the join and the records that retired and freed it.
        """
        incarnation = self._identity.incarnation
        return incarnation in state.roster or incarnation in state.gone_sequences

    def _is_settled(self, state: State) -> bool:
        """Settle folded records and return whether none is still pending."""
        self._settle(state)
        return not self._holdings.ledger.pending or self.member is None

    def _settle(self, state: State) -> None:
        """Drop the given-up rights whose records were folded."""
        before = self._holdings.ledger.pending
        self._holdings.ledger.settle(state)
        if len(before) != len(self._holdings.ledger.pending):
            self._on_holdings()

    def _propose(self, state: State) -> None:
        """Propose at most one kind of change: claims, releases or transfers."""
        incarnation = self._identity.incarnation
        plan = self._balancer.plan(state)
        if plan.claims:
            self._appender.add(ClaimRecord(incarnation, plan.claims))
            return
        released = self._idle_part(plan.obsolete)
        if released:
            sequence = self._holdings.ledger.next_sequence(state)
            self._give_up(ReleaseRecord(incarnation, released, sequence))
            return
        takeovers = self._takeover_records()
        if takeovers:
            for record in takeovers:
                self._appender.add(record)
            return
        self._hand_over(state, plan.transfers)

    def _hand_over(self, state: State, records: tuple[TransferRecord, ...]) -> None:
        """Transfer idle rights now; busy workers follow once they are idle."""
        self._mark(records)
        for record in records:
            idle = self._idle_part(record.rights)
            if idle:
                sequence = self._holdings.ledger.next_sequence(state)
                self._give_up(
                    TransferRecord(record.giver, record.taker, idle, sequence)
                )

    def _mark(self, records: tuple[TransferRecord, ...]) -> None:
        """Stop placing tasks on workers that are about to be transferred."""
        marked = {
            right.worker_id
            for record in records
            for right in record.rights
            if isinstance(right, WorkerRight)
        }
        if marked != self._holdings.marked_workers:
            self._holdings.marked_workers = marked
            self._on_holdings()

    def _give_up(self, record: TransferRecord | ReleaseRecord) -> None:
        """Stop using rights before appending the record that gives them up."""
        self._holdings.ledger.stop_using(record)
        self._on_holdings()
        self._appender.add(record)

    def _idle_part(self, rights: tuple[Right, ...]) -> tuple[Right, ...]:
        """Return the rights, or the part of their slots, without running tasks."""
        idle: list[Right] = []
        for right in rights:
            match right:
                case WorkerRight(worker_id) if self._running_on(worker_id):
                    continue
                case SlotRight(team_id, slot_count):
                    spare_count = self._spare_slots(team_id)
                    if spare_count > 0:
                        idle.append(SlotRight(team_id, min(slot_count, spare_count)))
                case _:
                    idle.append(right)
        return tuple(idle)
