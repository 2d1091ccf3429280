"""Messages with which members lend each other team slots without the log."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A borrower's request to borrow slots, renew the lease and report returns.

    The totals are counted since the pair's first message and never fall, so that
    a lost, repeated or late request does no harm. ``wanted_total`` is how many
    slots the lender should have lent in all, ``returned_total`` how many were
    returned in all.
    """

    borrower: IncarnationId
    lender: IncarnationId
    team_id: str
    number: int
    wanted_total: int
    returned_total: int


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """The answer to a loan request; ``number`` is that of the request.

    The borrower may run ``usable_count`` tasks on the loan, and may start one
    until ``remaining_s`` seconds after it sent the request.
    """

    lender: IncarnationId
    borrower: IncarnationId
    team_id: str
    number: int
    lent_total: int
    usable_count: int
    remaining_s: float
