"""Messages by which members lend each other slots of a team without the log."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask a lender for slots, renew its lease and report what was returned.

    The totals are counted since the pair met and only grow, so that a lost,
    repeated or late request does no harm. ``wanted_total`` is what the lender
    should have lent in all, ``returned_total`` what was given back in all.
    """

    borrower: IncarnationId
    lender: IncarnationId
    team_id: str
    number: int
    wanted_total: int
    returned_total: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Answer a loan request; ``number`` is that of the request.

    The borrower may have ``usable_count`` tasks on the loan, and start one
    until ``remaining_s`` after it sent the request.
    """

    lender: IncarnationId
    borrower: IncarnationId
    team_id: str
    number: int
    lent_total: int
    usable_count: int
    remaining_s: float
