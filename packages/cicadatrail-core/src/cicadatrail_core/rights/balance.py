"""Plan an even distribution of rights over the live members."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cicadatrail_core.fold.holdings import rights_of, unowned_slots
from cicadatrail_core.models.records import TransferRecord
from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    IncarnationId,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State

_PARTITION_GROUP = "partitions"


@dataclass(frozen=True, slots=True)
class _Group:
    """Describe interchangeable rights of one kind and the members that share them."""

    name: str
    members: tuple[IncarnationId, ...]
    total_count: int


@dataclass(frozen=True, slots=True)
class _Handover:
    """Describe how many rights of a group one member transfers to another."""

    giver: IncarnationId
    taker: IncarnationId
    count: int


def fair_claim(state: State, incarnation: IncarnationId) -> tuple[Right, ...]:
    """Return the unowned rights that a member should claim to reach its quota.

    Rights that other members own in excess are transferred by :func:`surplus`.
    """
    return tuple(_iterate_fair_claim(state, incarnation))


def surplus(state: State, incarnation: IncarnationId) -> tuple[TransferRecord, ...]:
    """Return the transfers from a member above its quota to members below theirs.

    The owner must stop using the rights before it appends the transfers, and
    must not call this again before it has folded them.
    """
    rights: dict[IncarnationId, list[Right]] = {}
    for group, rights_by_owner in _iterate_groups(state):
        own = list(rights_by_owner.get(incarnation, ()))
        counts = _counts_of(group, rights_by_owner)
        for handover in _plan_handovers(group, counts):
            if handover.giver != incarnation:
                continue
            given = _cut_off(own, handover.count)
            rights.setdefault(handover.taker, []).extend(given)
    return _number_transfers(state, incarnation, rights)


def handover(state: State, incarnation: IncarnationId) -> tuple[TransferRecord, ...]:
    """Return the transfers that move every right of a leaving member to others.

    The takers are the other members of its region. Nothing is returned if the
    leaving member is the only unretired one there.
    """
    takers = _live_members(state, _region_of(state, incarnation))
    takers = tuple(taker for taker in takers if taker != incarnation)
    if not takers:
        return ()
    rights: dict[IncarnationId, list[Right]] = {}
    for index, right in enumerate(rights_of(state, incarnation)):
        for taker, part in _divide(right, takers, index):
            rights.setdefault(taker, []).append(part)
    return _number_transfers(state, incarnation, rights)


def _divide(
    right: Right, takers: Sequence[IncarnationId], index: int
) -> Iterator[tuple[IncarnationId, Right]]:
    """Split slots among the takers; assign any other right to a single taker."""
    size = len(takers)
    if not isinstance(right, SlotRight):
        yield takers[index % size], right
        return
    base, extra = divmod(right.slot_count, size)
    for position in range(size):
        count = base + (1 if position < extra else 0)
        if count > 0:
            taker = takers[(index + position) % size]
            yield taker, SlotRight(right.team_id, count)


def _number_transfers(
    state: State,
    giver: IncarnationId,
    rights: dict[IncarnationId, list[Right]],
) -> tuple[TransferRecord, ...]:
    member = state.roster.get(giver)
    if member is None:
        return ()
    return tuple(
        TransferRecord(giver, taker, tuple(given), member.rights_sequence + number)
        for number, (taker, given) in enumerate(sorted(rights.items()), start=1)
        if given
    )


def _iterate_fair_claim(state: State, incarnation: IncarnationId) -> Iterator[Right]:
    for group, rights_by_owner in _iterate_groups(state):
        if incarnation not in group.members:
            continue
        quota = _quota_of(group, incarnation)
        missing_count = quota - _counts_of(group, rights_by_owner)[incarnation]
        if missing_count <= 0:
            continue
        unowned = rights_by_owner.get(None, [])
        start = group.members.index(incarnation) * quota
        rotated = _rotate(unowned, start)
        yield from _cut_off(rotated, missing_count)


def _region_of(state: State, incarnation: IncarnationId) -> str:
    member = state.roster.get(incarnation)
    return "" if member is None else member.place.region


def _live_members(state: State, region: str | None) -> tuple[IncarnationId, ...]:
    """Return the unretired members of a region, or of all if the region has none."""
    live = [m for m in state.roster.values() if m.retire_offset is None]
    near = [m for m in live if region is None or m.place.region == region]
    return tuple(sorted(m.incarnation for m in near or live))


_RightsByOwner = dict[IncarnationId | None, list[Right]]


def _iterate_groups(state: State) -> Iterator[tuple[_Group, _RightsByOwner]]:
    yield from _iterate_worker_groups(state)
    everyone = _live_members(state, None)
    yield from _iterate_team_groups(state, everyone)
    partitions: _RightsByOwner = {}
    for partition in range(PARTITION_COUNT):
        owner = state.partition_holders.get(partition)
        partitions.setdefault(owner, []).append(PartitionRight(partition))
    yield _Group(_PARTITION_GROUP, everyone, PARTITION_COUNT), partitions


def _iterate_worker_groups(state: State) -> Iterator[tuple[_Group, _RightsByOwner]]:
    groups: dict[tuple[str, str], _RightsByOwner] = {}
    for worker_id in sorted(state.workers):
        region = state.workers[worker_id].place.region
        pool_id = state.pool_of.get(worker_id, "")
        rights_by_owner = groups.setdefault((region, pool_id), {})
        owner = state.worker_holders.get(worker_id)
        rights_by_owner.setdefault(owner, []).append(WorkerRight(worker_id))
    for (region, pool_id), rights_by_owner in sorted(groups.items()):
        total_count = sum(len(rights) for rights in rights_by_owner.values())
        members = _live_members(state, region)
        yield _Group(f"{region}/{pool_id}", members, total_count), rights_by_owner


def _iterate_team_groups(
    state: State, members: tuple[IncarnationId, ...]
) -> Iterator[tuple[_Group, _RightsByOwner]]:
    for team_id in sorted(state.teams):
        limit = state.teams[team_id].upper_limit_tasks
        slots = state.slots.get(team_id, {})
        if sum(slots.values()) > limit:
            continue
        rights_by_owner: _RightsByOwner = {
            owner: [SlotRight(team_id, count)] for owner, count in slots.items()
        }
        unowned_count = unowned_slots(state, team_id)
        if unowned_count > 0:
            rights_by_owner[None] = [SlotRight(team_id, unowned_count)]
        yield _Group(team_id, members, limit), rights_by_owner


def _counts_of(
    group: _Group, rights_by_owner: _RightsByOwner
) -> dict[IncarnationId, int]:
    return {member: _count(rights_by_owner.get(member, ())) for member in group.members}


def _count(rights: Sequence[Right]) -> int:
    return sum(
        right.slot_count if isinstance(right, SlotRight) else 1 for right in rights
    )


def _quota_of(group: _Group, incarnation: IncarnationId) -> int:
    """Return a member's quota.

    A hash of the group name chooses which members get the remainder, so that
    it differs from group to group.
    """
    size = len(group.members)
    base, extra = divmod(group.total_count, size)
    digest = hashlib.blake2b(group.name.encode(), digest_size=4).digest()
    first = int.from_bytes(digest, "big") % size
    rank = (group.members.index(incarnation) - first) % size
    return base + (1 if rank < extra else 0)


def _plan_handovers(
    group: _Group, counts: dict[IncarnationId, int]
) -> Iterator[_Handover]:
    """Match members above their quota with members below it.

    The result is the same on every instance. A member is below quota if it
    owns less than the rounded-down even portion. Members above the rounded-up
    portion give first, then those just above the rounded-down one.
    """
    if not counts:
        return
    low = group.total_count // len(counts)
    high = -(-group.total_count // len(counts))
    wanted = {m: low - c for m, c in sorted(counts.items()) if c < low}
    spare = {m: c - high for m, c in sorted(counts.items()) if c > high}
    if sum(wanted.values()) < sum(spare.values()):
        wanted = {m: high - c for m, c in sorted(counts.items()) if c < high}
    if sum(wanted.values()) > sum(spare.values()):
        spare = {m: c - low for m, c in sorted(counts.items()) if c > low}
    yield from _match(spare, wanted)


def _match(
    spare: dict[IncarnationId, int], wanted: dict[IncarnationId, int]
) -> Iterator[_Handover]:
    takers = [(taker, count) for taker, count in wanted.items() if count > 0]
    for giver, spare_count in spare.items():
        left_count = spare_count
        while left_count > 0 and takers:
            taker, wanted_count = takers.pop(0)
            given_count = min(left_count, wanted_count)
            yield _Handover(giver, taker, given_count)
            left_count -= given_count
            if wanted_count > given_count:
                takers.insert(0, (taker, wanted_count - given_count))


def _rotate(rights: Sequence[Right], start: int) -> list[Right]:
    if not rights:
        return []
    cut = start % len(rights)
    return [*rights[cut:], *rights[:cut]]


def _cut_off(rights: list[Right], count: int) -> list[Right]:
    """Remove rights worth ``count`` from the end of the list, splitting slots."""
    taken: list[Right] = []
    missing_count = count
    while rights and missing_count > 0:
        right = rights.pop()
        if not isinstance(right, SlotRight):
            taken.append(right)
            missing_count -= 1
            continue
        part_count = min(right.slot_count, missing_count)
        taken.append(SlotRight(right.team_id, part_count))
        missing_count -= part_count
        if right.slot_count > part_count:
            rights.append(SlotRight(right.team_id, right.slot_count - part_count))
    return taken
