"""Fold the records of entry instances and of the rights that they own."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

from cicadatrail_core.fold.holdings import HoldingsEditor, drop_rights_of_removed
from cicadatrail_core.models.records import (
    ClaimRecord,
    FreeRecord,
    JoinRecord,
    LeaveRecord,
    PulseRecord,
    ReleaseRecord,
    RetireAckRecord,
    RetireRecord,
    TransferRecord,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, RosterChange, State
from cicadatrail_core.rights.quorum import loans_settled, quorum_met

__all__ = [
    "apply_claim",
    "apply_free",
    "apply_heartbeat",
    "apply_join",
    "apply_leave",
    "apply_release",
    "apply_retire",
    "apply_retire_ack",
    "apply_transfer",
    "drop_rights_of_removed",
]


def apply_join(state: State, offset: int, record: JoinRecord) -> State:
    """Add an incarnation to the membership; a repeated join changes nothing.

    A release that can't fold the record format in effect is not admitted.
    """
    if record.incarnation in state.roster:
        return state
    if record.record_format < state.record_format:
        return state
    member = Member(
        incarnation=record.incarnation,
        instance_id=record.instance_id,
        host=record.host,
        peer_port=record.peer_port,
        place=record.place,
        joined_offset=offset,
        last_pulse_offset=offset,
        folded_offset=offset,
        record_format=record.record_format,
    )
    joined = _with_member(state, member)
    return _with_roster_change(joined, offset, member.place.region)


def apply_heartbeat(state: State, offset: int, record: PulseRecord) -> State:
    """Record a heartbeat; one that follows its writer's retire record is ignored."""
    member = state.roster.get(record.incarnation)
    if member is None or member.retire_offset is not None:
        return state
    folded_offset = max(member.folded_offset, min(record.folded_offset, offset))
    updated = replace(
        member,
        last_pulse_offset=offset,
        folded_offset=folded_offset,
        listed=member.listed or record.listed,
    )
    return _trimmed(_with_member(state, updated), member.place.region)


def apply_leave(state: State, offset: int, record: LeaveRecord) -> State:
    """Remove an incarnation that reported that it has stopped."""
    return _without_member(state, offset, record.incarnation)


def apply_retire(state: State, offset: int, record: RetireRecord) -> State:
    """Mark an incarnation as retired; only the first such record takes effect."""
    member = state.roster.get(record.incarnation)
    if member is None or member.retire_offset is not None:
        return state
    return _with_member(state, replace(member, retire_offset=offset))


def apply_retire_ack(state: State, offset: int, record: RetireAckRecord) -> State:
    """Record that a member's leases for a retired incarnation have expired."""
    member = state.roster.get(record.incarnation)
    if member is None or member.retire_offset is None:
        return state
    if record.supporter in member.acknowledged_by:
        return state
    acknowledged_by = (*member.acknowledged_by, record.supporter)
    return _with_member(state, replace(member, acknowledged_by=acknowledged_by))


def apply_free(state: State, offset: int, record: FreeRecord) -> State:
    """Free a retired incarnation's rights if the log confirms that it is safe.

    Its partitions are freed first: the next owner needs only to know that the
    incarnation no longer answers for them. Its workers follow when its tasks
    have ended. Its slots are freed, and it is removed from the membership, once
    no member can run a task on slots that it lent.
    """
    if not quorum_met(state, record.incarnation, record.gone):
        return state
    if record.partitions_only:
        editor = HoldingsEditor(state)
        editor.release_partitions(record.incarnation)
        return editor.finish()
    if loans_settled(state, record.incarnation, record.gone):
        return _without_member(state, offset, record.incarnation)
    member = state.roster[record.incarnation]
    if member.freed_offset is not None:
        return state
    editor = HoldingsEditor(state)
    editor.release_all_but_slots(record.incarnation)
    return _with_member(editor.finish(), replace(member, freed_offset=offset))


def apply_claim(state: State, offset: int, record: ClaimRecord) -> State:
    """Give a member those of the rights that have no owner at this offset."""
    if not _may_receive(state, record.incarnation):
        return state
    editor = HoldingsEditor(state)
    for right in record.rights:
        editor.claim(record.incarnation, right)
    return editor.finish()


def apply_transfer(state: State, offset: int, record: TransferRecord) -> State:
    """Move those of the rights that the giver owns to another member.

    A retired giver may still transfer rights, since it has stopped using them.
    Borrowed slots move only from a retired giver, which lends no more.
    """
    writer = record.taker if record.borrowed else record.giver
    numbered = _with_sequence(state, writer, record.sequence)
    if numbered is None:
        return state
    if record.giver == record.taker or not _may_receive(state, record.taker):
        return numbered
    if record.borrowed and not _is_retired(state, record.giver):
        return numbered
    editor = HoldingsEditor(numbered)
    for right in record.rights:
        editor.transfer(record.giver, record.taker, right)
    return editor.finish()


def apply_release(state: State, offset: int, record: ReleaseRecord) -> State:
    """Remove those of the rights that the incarnation owns from it."""
    numbered = _with_sequence(state, record.incarnation, record.sequence)
    if numbered is None:
        return state
    editor = HoldingsEditor(numbered)
    for right in record.rights:
        editor.release(record.incarnation, right)
    return editor.finish()


def _may_receive(state: State, incarnation: IncarnationId) -> bool:
    member = state.roster.get(incarnation)
    return member is not None and member.retire_offset is None


def _is_retired(state: State, incarnation: IncarnationId) -> bool:
    member = state.roster.get(incarnation)
    return member is not None and member.retire_offset is not None


def _with_sequence(
    state: State, incarnation: IncarnationId, sequence: int
) -> State | None:
    """Return the state with the sequence recorded, or None if it is not newer."""
    member = state.roster.get(incarnation)
    if member is None or sequence <= member.rights_sequence:
        return None
    return _with_member(state, replace(member, rights_sequence=sequence))


def _with_member(state: State, member: Member) -> State:
    roster = {**state.roster, member.incarnation: member}
    return replace(state, roster=MappingProxyType(roster))


def _without_member(state: State, offset: int, incarnation: IncarnationId) -> State:
    member = state.roster.get(incarnation)
    if member is None:
        return state
    editor = HoldingsEditor(state)
    editor.release_all(incarnation)
    freed = editor.finish()
    roster = {key: value for key, value in freed.roster.items() if key != incarnation}
    left = replace(freed, roster=MappingProxyType(roster))
    return _with_roster_change(left, offset, member.place.region)


def _with_roster_change(state: State, offset: int, region: str) -> State:
    members = tuple(sorted(_members_of(state.roster, region)))
    change = RosterChange(offset=offset, region=region, members=members)
    changed = replace(state, roster_changes=(*state.roster_changes, change))
    return _trimmed(changed, region)


def _members_of(
    roster: Mapping[IncarnationId, Member], region: str
) -> list[IncarnationId]:
    return [key for key, member in roster.items() if member.place.region == region]


def _trimmed(state: State, region: str) -> State:
    """Drop the region's old memberships that no member's leases depend on."""
    folded_offsets = [
        member.folded_offset
        for member in state.roster.values()
        if member.place.region == region
    ]
    if not folded_offsets:
        return _without_region(state, region)
    oldest_offset = min(folded_offsets)
    started = [
        change.offset
        for change in state.roster_changes
        if change.region == region and change.offset <= oldest_offset
    ]
    if len(started) < 2:
        return state
    kept = tuple(
        change
        for change in state.roster_changes
        if change.region != region or change.offset >= started[-1]
    )
    return replace(state, roster_changes=kept)


def _without_region(state: State, region: str) -> State:
    kept = tuple(change for change in state.roster_changes if change.region != region)
    return replace(state, roster_changes=kept)
