"""Tracks the team slots that this incarnation has borrowed from peers."""

from __future__ import annotations

import math
from collections.abc import Collection

from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.records import TransferRecord
from cicadatrail_core.models.rights import IncarnationId, SlotRight
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming

LoanKey = tuple[IncarnationId, str]
"""Identifies a loan at the borrower: the lender and the team."""


class _Loan:
    """Count the slots lent, returned, taken over and in use on one loan."""

    __slots__ = (
        "grant_number",
        "lent_total",
        "returned_total",
        "running_count",
        "sent_s",
        "taken_over_total",
        "until_s",
        "usable_count",
    )

    def __init__(self) -> None:
        self.lent_total = 0
        self.returned_total = 0
        self.taken_over_total = 0
        self.running_count = 0
        self.usable_count = 0
        self.grant_number = 0
        self.until_s = -math.inf
        self.sent_s: dict[int, float] = {}

    @property
    def held_count(self) -> int:
        return self.lent_total - self.returned_total - self.taken_over_total

    def free_count(self, now_s: float) -> int:
        if now_s >= self.until_s:
            return 0
        return max(0, min(self.held_count, self.usable_count) - self.running_count)


class BorrowedSlots:
    """Track what one incarnation has borrowed, by lender and team.

    The caller checks its own lease before each start, as for its own slots.
    """

    __slots__ = ("_incarnation", "_loans", "_next_number", "_timing")

    def __init__(self, incarnation: IncarnationId, timing: RightsTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._loans: dict[LoanKey, _Loan] = {}
        self._next_number = 1

    def request(
        self, lender: IncarnationId, team_id: str, wanted_count: int, now_s: float
    ) -> LoanRequest:
        """Return a request to send now, for ``wanted_count`` further slots.

        Repeat it several times within ``support_s``, because it renews the
        lease on the loan.
        """
        loan = self._loans.setdefault((lender, team_id), _Loan())
        number = self._next_number
        self._next_number += 1
        oldest_s = now_s - self._timing.support_s
        loan.sent_s = {n: s for n, s in loan.sent_s.items() if s >= oldest_s}
        loan.sent_s[number] = now_s
        return LoanRequest(
            borrower=self._incarnation,
            lender=lender,
            team_id=team_id,
            number=number,
            wanted_total=loan.lent_total + wanted_count,
            returned_total=loan.returned_total,
        )

    def note_grant(self, grant: LoanGrant) -> None:
        """Record a grant; the lease runs from when its request was sent."""
        loan = self._loans.get((grant.lender, grant.team_id))
        if loan is None or grant.borrower != self._incarnation:
            return
        loan.lent_total = max(loan.lent_total, grant.lent_total)
        sent_s = loan.sent_s.get(grant.number)
        if sent_s is None or grant.number <= loan.grant_number:
            return
        loan.grant_number = grant.number
        loan.usable_count = grant.usable_count
        loan.until_s = self._lease_end_s(sent_s, grant)

    def free_count(self, state: State, team_id: str, now_s: float) -> int:
        """Return how many tasks of a team may be started on loans now."""
        return sum(
            self.free_on(state, lender, team_id, now_s)
            for lender, team in self._loans
            if team == team_id
        )

    def free_on(
        self, state: State, lender: IncarnationId, team_id: str, now_s: float
    ) -> int:
        """Return how many tasks may be started on the loan of one lender now."""
        loan = self._loans.get((lender, team_id))
        if loan is None or team_id not in state.teams or not _may_lend(state, lender):
            return 0
        return loan.free_count(now_s)

    def start(self, state: State, team_id: str, now_s: float) -> IncarnationId | None:
        """Charge a task to a loan and return its lender, or None if no slot is free."""
        for (lender, team), loan in self._loans.items():
            if team == team_id and self.free_on(state, lender, team_id, now_s) > 0:
                loan.running_count += 1
                return lender
        return None

    def end(self, lender: IncarnationId, team_id: str) -> None:
        """Release the slot of a task that was charged to a loan."""
        self._loans[lender, team_id].running_count -= 1

    def give_back(
        self, state: State, lender: IncarnationId, team_id: str, count: int
    ) -> int:
        """Stop using up to ``count`` idle slots and return how many were returned.

        The next request reports them to the lender. Nothing is returned to a
        retired lender: a record that takes over its slots may not be folded
        yet, and the lender could use the slots until it has folded that record.
        """
        if not _may_lend(state, lender):
            return 0
        loan = self._loans[lender, team_id]
        idle_count = max(0, loan.held_count - loan.running_count)
        given_count = min(count, idle_count)
        loan.returned_total += given_count
        return given_count

    def loans(self) -> Collection[LoanKey]:
        """Return the loans that still need to be renewed or reported on."""
        return tuple(self._loans)

    def idle_count(self, lender: IncarnationId, team_id: str) -> int:
        """Return how many slots of a loan have no running task."""
        loan = self._loans[lender, team_id]
        return max(0, loan.held_count - loan.running_count)

    def recalled_idle_count(self, lender: IncarnationId, team_id: str) -> int:
        """Return how many idle slots of a loan the lender has recalled."""
        loan = self._loans[lender, team_id]
        recalled_count = max(0, loan.held_count - loan.usable_count)
        return min(recalled_count, self.idle_count(lender, team_id))

    def running_count(self, lender: IncarnationId, team_id: str) -> int:
        """Return how many tasks are charged to a loan."""
        loan = self._loans.get((lender, team_id))
        return 0 if loan is None else loan.running_count

    def forget_ended(self, state: State) -> None:
        """Drop the idle loans of lenders that are no longer members."""
        for key in list(self._loans):
            if key[0] not in state.roster and self._loans[key].running_count == 0:
                del self._loans[key]

    def unsettled_lenders(self) -> Collection[IncarnationId]:
        """Return the lenders whose slots still run tasks here."""
        return {
            lender
            for (lender, _), loan in self._loans.items()
            if loan.running_count > 0
        }

    def takeover_records(self, state: State) -> tuple[TransferRecord, ...]:
        """Return the transfers that take over slots in use from retired lenders.

        Without them the slots stay quarantined until the tasks on them have
        ended. Call this again only after the previous records were folded.
        """
        own = state.roster.get(self._incarnation)
        if own is None or own.retire_offset is not None:
            return ()
        records: list[TransferRecord] = []
        for (lender, team_id), loan in self._loans.items():
            if loan.running_count == 0 or not _is_retired(state, lender):
                continue
            records.append(
                TransferRecord(
                    giver=lender,
                    taker=self._incarnation,
                    rights=(SlotRight(team_id, loan.running_count),),
                    sequence=own.rights_sequence + len(records) + 1,
                    borrowed=True,
                )
            )
        return tuple(records)

    def note_takeover(self, before: State, after: State, record: TransferRecord) -> int:
        """Charge tasks on a loan to the slots that a takeover record moved here.

        Call this with the states before and after the record was folded,
        before any other change. Return how many tasks are now charged to own
        slots.
        """
        moved_count = 0
        for right in record.rights:
            if isinstance(right, SlotRight):
                moved_count += self._move_tasks(before, after, record.giver, right)
        return moved_count

    def note_snapshot(
        self, before: State, after: State
    ) -> tuple[tuple[LoanKey, int], ...]:
        """Charge tasks of retired lenders to own slots after loading a snapshot.

        The records that the snapshot skips were not folded here, and one of
        them may have taken over slots. So every slot gained since then counts
        as taken over; at worst a lent slot stays quarantined. Return how many
        tasks of each loan are now charged to own slots.
        """
        gained = {
            team_id: counts.get(self._incarnation, 0)
            - before.slots.get(team_id, {}).get(self._incarnation, 0)
            for team_id, counts in after.slots.items()
        }
        moved: list[tuple[LoanKey, int]] = []
        for (lender, team_id), loan in self._loans.items():
            if loan.running_count == 0 or _may_lend(after, lender):
                continue
            count = max(0, min(gained.get(team_id, 0), loan.running_count))
            loan.taken_over_total += count
            loan.running_count -= count
            gained[team_id] = gained.get(team_id, 0) - count
            moved.append(((lender, team_id), count))
        return tuple(moved)

    def _move_tasks(
        self, before: State, after: State, lender: IncarnationId, right: SlotRight
    ) -> int:
        loan = self._loans.get((lender, right.team_id))
        gained_count = self._own_slots(after, right) - self._own_slots(before, right)
        if loan is None or gained_count <= 0:
            return 0
        loan.taken_over_total += gained_count
        moved_count = min(gained_count, loan.running_count)
        loan.running_count -= moved_count
        return moved_count

    def _own_slots(self, state: State, right: SlotRight) -> int:
        return state.slots.get(right.team_id, {}).get(self._incarnation, 0)

    def _lease_end_s(self, sent_s: float, grant: LoanGrant) -> float:
        return sent_s + grant.remaining_s


def _may_lend(state: State, lender: IncarnationId) -> bool:
    member = state.roster.get(lender)
    return member is not None and member.retire_offset is None


def _is_retired(state: State, lender: IncarnationId) -> bool:
    member = state.roster.get(lender)
    return member is not None and member.retire_offset is not None
