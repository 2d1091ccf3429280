"""Tracks the team slots that this incarnation has lent to peers.

This is escrow between replicas (O'Neil, 1986; bounded counters, Balegas et
al., 2015) without a record in the log: the lender stops using what it lends.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming


@dataclass(frozen=True, slots=True)
class _Loan:
    lent_total: int = 0
    returned_total: int = 0

    @property
    def outstanding_count(self) -> int:
        return self.lent_total - self.returned_total


class LentSlots:
    """Track what one incarnation has lent, by team and borrower."""

    __slots__ = ("_incarnation", "_loans", "_timing")

    def __init__(self, incarnation: IncarnationId, timing: RightsTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._loans: dict[tuple[str, IncarnationId], _Loan] = {}

    def outstanding_count(self, team_id: str) -> int:
        """Return how many slots of a team are currently lent."""
        return sum(
            loan.outstanding_count
            for (team, _), loan in self._loans.items()
            if team == team_id
        )

    def total_outstanding_count(self) -> int:
        """Return how many slots are currently lent, also of removed teams."""
        return sum(loan.outstanding_count for loan in self._loans.values())

    def usable_count(self, team_id: str, allowance_count: int) -> int:
        """Return how many tasks of a team the lender itself may run."""
        return max(0, allowance_count - self.outstanding_count(team_id))

    def answer(
        self,
        state: State,
        request: LoanRequest,
        lendable_count: int,
        allowance_count: int,
        remaining_s: float,
        recalled_count: int = 0,
    ) -> LoanGrant:
        """Record returned slots, lend the requested ones and renew the loan.

        ``lendable_count`` is what the lender can spare at this moment: at most
        its usable slots less its own tasks. ``remaining_s`` is the remaining
        time of the lender's lease in seconds; nothing is lent if it isn't
        positive, nor to a non-member, another region or a retired member. The
        borrower must stop using ``recalled_count`` of its slots and return
        them.
        """
        if not self._may_borrow(state, request.borrower):
            lendable_count = 0
        key = (request.team_id, request.borrower)
        loan = self._loans.get(key, _Loan())
        returned_total = min(request.returned_total, loan.lent_total)
        returned_count = max(0, returned_total - loan.returned_total)
        loan = replace(loan, returned_total=loan.returned_total + returned_count)
        wanted_count = request.wanted_total - loan.lent_total
        lent_count = max(0, min(wanted_count, lendable_count))
        if remaining_s > 0:
            loan = replace(loan, lent_total=loan.lent_total + lent_count)
        if loan.lent_total > 0:
            self._loans[key] = loan
        usable_count = self._usable_by(key, allowance_count)
        return LoanGrant(
            lender=self._incarnation,
            borrower=request.borrower,
            team_id=request.team_id,
            number=request.number,
            lent_total=loan.lent_total,
            usable_count=max(0, usable_count - recalled_count),
            remaining_s=min(remaining_s, self._timing.support_s),
        )

    def write_off(self, state: State) -> None:
        """Drop the loans of borrowers that were freed or removed; they run no tasks."""
        ended = {borrower for _, borrower in self._loans} - _running(state)
        for key in [key for key in self._loans if key[1] in ended]:
            del self._loans[key]

    def _may_borrow(self, state: State, borrower: IncarnationId) -> bool:
        own = state.roster.get(self._incarnation)
        other = state.roster.get(borrower)
        if own is None or other is None or other.retire_offset is not None:
            return False
        return other.place.region == own.place.region

    def _usable_by(self, key: tuple[str, IncarnationId], allowance_count: int) -> int:
        """Return how many slots a borrower may use.

        If the allowance is smaller than the loans, borrowers are served in
        order of name.
        """
        if key not in self._loans:
            return 0
        left_count = allowance_count
        for other in sorted(self._loans):
            if other == key:
                break
            if other[0] == key[0]:
                left_count -= self._loans[other].outstanding_count
        return max(0, min(self._loans[key].outstanding_count, left_count))


def _running(state: State) -> set[IncarnationId]:
    return {
        member.incarnation
        for member in state.roster.values()
        if member.freed_offset is None
    }
