"""Evaluates from the log whether an incarnation's rights may be freed."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State


def grants_needed(member_count: int) -> int:
    """Return how many other members must grant an owner its lease."""
    return member_count // 2


def acknowledgements_needed(member_count: int) -> int:
    """Return how many other members must have acknowledged a retire record.

    Together with :func:`grants_needed` this exceeds the number of other
    members, so no owner can obtain enough grants from the remaining ones.
    """
    return member_count - member_count // 2


def rosters_between(
    state: State, region: str, start_offset: int, end_offset: int
) -> Iterator[tuple[IncarnationId, ...]]:
    """Yield each membership of ``region`` in force from start to end offset.

    The one in force at ``start_offset`` is the newest at or before it. A
    change at ``end_offset`` itself is excluded.
    """
    in_force: tuple[IncarnationId, ...] | None = None
    for change in state.roster_changes:
        if change.region != region or change.offset >= end_offset:
            continue
        if change.offset <= start_offset:
            in_force = change.members
            continue
        if in_force is not None:
            yield in_force
            in_force = None
        yield change.members
    if in_force is not None:
        yield in_force


def quorum_met(
    state: State, incarnation: IncarnationId, dead: Collection[IncarnationId]
) -> bool:
    """Return whether no membership can grant the incarnation a lease any more.

    ``dead`` names the incarnations whose death was proven longer ago than the
    lease time. The check covers every membership that the incarnation may have
    folded last: from its ``folded_offset`` up to the retire record.
    """
    member = state.roster.get(incarnation)
    if member is None or member.retire_offset is None:
        return False
    if incarnation in dead:
        return True
    return _every_roster_refuses(state, member, member.retire_offset, dead)


def loans_settled(
    state: State, incarnation: IncarnationId, dead: Collection[IncarnationId]
) -> bool:
    """Return whether no task still runs on slots that the incarnation lent.

    It lends only to members that it has folded, so to none that joined after
    its retire record. Each of these must have acknowledged the retirement, be
    dead, or have been freed.
    """
    lender = state.roster.get(incarnation)
    if lender is None or lender.retire_offset is None:
        return False
    settled = {*lender.acknowledged_by, *dead, incarnation}
    for member in state.roster.values():
        if member.place.region != lender.place.region:
            continue
        if member.joined_offset > lender.retire_offset:
            continue
        if member.incarnation not in settled and member.freed_offset is None:
            return False
    return True


def _every_roster_refuses(
    state: State,
    member: Member,
    retire_offset: int,
    dead: Collection[IncarnationId],
) -> bool:
    refusing = {*member.acknowledged_by, *dead} - {member.incarnation}
    rosters = rosters_between(
        state, member.place.region, member.folded_offset, retire_offset
    )
    for roster in rosters:
        if len(refusing.intersection(roster)) < acknowledgements_needed(len(roster)):
            return False
    return True
