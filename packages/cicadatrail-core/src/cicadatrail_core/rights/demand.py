"""Decides when and where slots of a team are requested, lent and returned."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId


@dataclass(frozen=True, slots=True)
class LoanPolicy:
    """Limits on how fast slots follow demand.

    A borrower asks at most ``peers_limit_count`` peers for one team at once.
    A lender keeps half of its free slots until ``lender_idle_s`` after its own
    last request for the team. A borrower returns idle slots after
    ``return_after_s``, so that bursts don't move slots back and forth.
    """

    peers_limit_count: int = 2
    lender_idle_s: float = 0.5
    return_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What one instance needs for a team at present."""

    team_id: str
    waiting_count: int
    free_count: int


@dataclass(frozen=True, slots=True)
class PeerOffer:
    """How many free slots of a team a peer reported in its newest digest."""

    peer: IncarnationId
    team_id: str
    free_count: int


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request to a peer for additional slots of a team."""

    lender: IncarnationId
    team_id: str
    slot_count: int


def plan_requests(
    demand: TeamDemand, offers: Sequence[PeerOffer], policy: LoanPolicy
) -> tuple[SlotRequest, ...]:
    """Return the slot requests that let waiting work of a team start.

    Peers with the most free slots come first; ties are broken by name. Call
    this when work starts to wait, and again when a grant arrives or expires.
    """
    return tuple(_iterate_requests(demand, offers, policy))


def _iterate_requests(
    demand: TeamDemand, offers: Sequence[PeerOffer], policy: LoanPolicy
) -> Iterator[SlotRequest]:
    missing_count = demand.waiting_count - demand.free_count
    useful = [
        offer
        for offer in offers
        if offer.team_id == demand.team_id and offer.free_count > 0
    ]
    useful.sort(key=lambda offer: (-offer.free_count, offer.peer))
    for offer in useful[: policy.peers_limit_count]:
        if missing_count <= 0:
            return
        slot_count = min(missing_count, offer.free_count)
        yield SlotRequest(offer.peer, demand.team_id, slot_count)
        missing_count -= slot_count


def lendable_count(demand: TeamDemand, idle_s: float, policy: LoanPolicy) -> int:
    """Return how many free slots a lender can spare.

    ``idle_s`` is the time since its own last request for the team.
    """
    if demand.waiting_count > 0:
        return 0
    if idle_s >= policy.lender_idle_s:
        return demand.free_count
    return demand.free_count // 2


def recalled_count(demand: TeamDemand, lent_count: int) -> int:
    """Return how many lent slots the lender needs back for its own work."""
    missing_count = demand.waiting_count - demand.free_count
    return max(0, min(missing_count, lent_count))


def returnable_count(
    idle_count: int, recalled_idle_count: int, idle_s: float, policy: LoanPolicy
) -> int:
    """Return how many idle borrowed slots to return to their lender now.

    ``idle_s`` is the time since a task last needed one of the idle slots.
    Slots that the lender recalled are returned immediately.
    """
    if idle_s >= policy.return_after_s:
        return idle_count
    return min(idle_count, recalled_idle_count)
