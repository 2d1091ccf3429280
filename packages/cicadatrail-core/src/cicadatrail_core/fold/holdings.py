"""Owners of rights: which rights are unowned, may be used, or change owner."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from types import MappingProxyType
from typing import assert_never

from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    IncarnationId,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State


def unowned_slots(state: State, team_id: str) -> int:
    """Return how many slots of a team have no owner; 0 for an unknown team."""
    team = state.teams.get(team_id)
    if team is None:
        return 0
    owned_count = sum(state.slots.get(team_id, {}).values())
    return max(0, team.upper_limit_tasks - owned_count)


def unowned_rights(state: State) -> tuple[Right, ...]:
    """Return every right without an owner, in a fixed order."""
    return tuple(_iterate_unowned(state))


def _iterate_unowned(state: State) -> Iterator[Right]:
    for worker_id in sorted(state.workers):
        if worker_id not in state.worker_holders:
            yield WorkerRight(worker_id)
    for team_id in sorted(state.teams):
        slot_count = unowned_slots(state, team_id)
        if slot_count > 0:
            yield SlotRight(team_id, slot_count)
    for partition in range(PARTITION_COUNT):
        if partition not in state.partition_holders:
            yield PartitionRight(partition)


def rights_of(state: State, incarnation: IncarnationId) -> tuple[Right, ...]:
    """Return an incarnation's rights, including those on removed objects."""
    return tuple(_iterate_rights_of(state, incarnation))


def _iterate_rights_of(state: State, incarnation: IncarnationId) -> Iterator[Right]:
    for worker_id, owner in sorted(state.worker_holders.items()):
        if owner == incarnation:
            yield WorkerRight(worker_id)
    for team_id, slots in sorted(state.slots.items()):
        if incarnation in slots:
            yield SlotRight(team_id, slots[incarnation])
    for partition, owner in sorted(state.partition_holders.items()):
        if owner == incarnation:
            yield PartitionRight(partition)


def allowance(state: State, team_id: str, incarnation: IncarnationId) -> int:
    """Return how many tasks of a team an owner may run according to this state.

    An owner keeps the slots that a lowered limit no longer covers, and they stay
    charged to it, until it releases them: it may not have folded the change yet.
    Slots are numbered per owner from 0. Ordered by number and then by owner, the
    first ``upper_limit_tasks`` slots may be used. A release takes the highest
    numbers, so no owner's allowance grows by more than the releaser has stopped
    using, even between owners that have folded different offsets.
    """
    team = state.teams.get(team_id)
    slots = state.slots.get(team_id, {})
    owned_count = slots.get(incarnation, 0)
    if team is None or owned_count == 0:
        return 0
    limit = team.upper_limit_tasks
    if sum(slots.values()) <= limit:
        return owned_count
    level = _full_level(tuple(slots.values()), limit)
    covered_count = sum(min(count, level) for count in slots.values())
    if owned_count <= level:
        return owned_count
    higher = sorted(owner for owner, count in slots.items() if count > level)
    has_extra = higher.index(incarnation) < limit - covered_count
    return level + 1 if has_extra else level


def _full_level(counts: tuple[int, ...], limit: int) -> int:
    """Return the largest cap per owner whose total stays within the limit."""
    low, high = 0, max(counts)
    while low < high:
        middle = (low + high + 1) // 2
        if sum(min(count, middle) for count in counts) <= limit:
            low = middle
        else:
            high = middle - 1
    return low


def obsolete_rights(state: State, incarnation: IncarnationId) -> tuple[Right, ...]:
    """Return the rights that an owner should release once it stops using them.

    These are rights on removed workers and teams, and slots that a lowered
    limit no longer covers.
    """
    return tuple(_iterate_obsolete(state, incarnation))


def _iterate_obsolete(state: State, incarnation: IncarnationId) -> Iterator[Right]:
    for worker_id, owner in sorted(state.worker_holders.items()):
        if owner == incarnation and worker_id not in state.workers:
            yield WorkerRight(worker_id)
    for team_id, slots in sorted(state.slots.items()):
        owned_count = slots.get(incarnation, 0)
        excess_count = owned_count - allowance(state, team_id, incarnation)
        if excess_count > 0:
            yield SlotRight(team_id, excess_count)


def drop_rights_of_removed(state: State) -> State:
    """Drop rights on removed workers and teams that no member owns.

    A member's rights stay charged to it until it releases them: it may not have
    folded the removal yet, and the same name may be created again.
    """
    workers = {
        worker_id: owner
        for worker_id, owner in state.worker_holders.items()
        if worker_id in state.workers or owner in state.roster
    }
    slots = {
        team_id: counts
        for team_id, counts in state.slots.items()
        if team_id in state.teams or any(owner in state.roster for owner in counts)
    }
    if len(workers) == len(state.worker_holders) and len(slots) == len(state.slots):
        return state
    return replace(
        state,
        worker_holders=MappingProxyType(workers),
        slots=MappingProxyType(slots),
    )


class HoldingsEditor:
    """Change the owners of rights in a copy of a state."""

    __slots__ = ("_partitions", "_slots", "_state", "_workers")

    def __init__(self, state: State) -> None:
        self._state = state
        self._workers = dict(state.worker_holders)
        self._slots = {team: dict(counts) for team, counts in state.slots.items()}
        self._partitions = dict(state.partition_holders)

    def claim(self, taker: IncarnationId, right: Right) -> None:
        """Give the taker the right, or the part of it that has no owner."""
        match right:
            case WorkerRight(worker_id):
                if worker_id in self._state.workers:
                    self._workers.setdefault(worker_id, taker)
            case SlotRight(team_id, slot_count):
                unowned_count = self._limit(team_id) - self._owned_count(team_id)
                self._add_slots(team_id, taker, min(slot_count, unowned_count))
            case PartitionRight(partition):
                if 0 <= partition < PARTITION_COUNT:
                    self._partitions.setdefault(partition, taker)
            case _:
                assert_never(right)

    def transfer(
        self, giver: IncarnationId, taker: IncarnationId, right: Right
    ) -> None:
        """Move the right, or the part of it that the giver owns, to the taker.

        Slots are not moved while more are owned than the limit covers: moving
        them would raise the taker's allowance before the other owners have
        folded the change that lowers theirs.
        """
        match right:
            case WorkerRight(worker_id):
                if self._workers.get(worker_id) == giver:
                    self._workers[worker_id] = taker
            case SlotRight(team_id, slot_count):
                if self._owned_count(team_id) > self._limit(team_id):
                    return
                taken_count = self._remove_slots(team_id, giver, slot_count)
                self._add_slots(team_id, taker, taken_count)
            case PartitionRight(partition):
                if self._partitions.get(partition) == giver:
                    self._partitions[partition] = taker
            case _:
                assert_never(right)

    def release(self, owner: IncarnationId, right: Right) -> None:
        """Remove the right, or the part of it that the owner has, from the owner."""
        match right:
            case WorkerRight(worker_id):
                if self._workers.get(worker_id) == owner:
                    del self._workers[worker_id]
            case SlotRight(team_id, slot_count):
                self._remove_slots(team_id, owner, slot_count)
            case PartitionRight(partition):
                if self._partitions.get(partition) == owner:
                    del self._partitions[partition]
            case _:
                assert_never(right)

    def release_all(self, owner: IncarnationId) -> None:
        """Remove every right from the owner."""
        for right in rights_of(self._state, owner):
            self.release(owner, right)

    def release_all_but_slots(self, owner: IncarnationId) -> None:
        """Remove every worker and partition from the owner."""
        for right in rights_of(self._state, owner):
            if not isinstance(right, SlotRight):
                self.release(owner, right)

    def release_partitions(self, owner: IncarnationId) -> None:
        """Remove every partition from the owner."""
        for right in rights_of(self._state, owner):
            if isinstance(right, PartitionRight):
                self.release(owner, right)

    def finish(self) -> State:
        """Return the changed state."""
        slots = {
            team: MappingProxyType(counts)
            for team, counts in self._slots.items()
            if counts
        }
        return replace(
            self._state,
            worker_holders=MappingProxyType(self._workers),
            slots=MappingProxyType(slots),
            partition_holders=MappingProxyType(self._partitions),
        )

    def _limit(self, team_id: str) -> int:
        team = self._state.teams.get(team_id)
        return 0 if team is None else team.upper_limit_tasks

    def _owned_count(self, team_id: str) -> int:
        return sum(self._slots.get(team_id, {}).values())

    def _add_slots(self, team_id: str, owner: IncarnationId, slot_count: int) -> None:
        if slot_count <= 0:
            return
        counts = self._slots.setdefault(team_id, {})
        counts[owner] = counts.get(owner, 0) + slot_count

    def _remove_slots(self, team_id: str, owner: IncarnationId, slot_count: int) -> int:
        counts = self._slots.get(team_id, {})
        owned_count = counts.get(owner, 0)
        taken_count = max(0, min(slot_count, owned_count))
        if taken_count == 0:
            return 0
        counts[owner] = owned_count - taken_count
        if counts[owner] == 0:
            del counts[owner]
        return taken_count
