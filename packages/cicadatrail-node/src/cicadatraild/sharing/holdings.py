"""What this incarnation may spend of the rights that the log gives it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cicadatrail_core.fold.availability import unavailable_workers
from cicadatrail_core.fold.holdings import allowance
from cicadatrail_core.models.rights import (
    IncarnationId,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State


@dataclass(frozen=True, slots=True)
class Spendable:
    """Hold the workers to place on and the team slots to spend."""

    workers: frozenset[str]
    slots: Mapping[str, int]
    partitions: frozenset[int]


class Holdings:
    """Derive what may be spent from the state and from what is handed over.

    A right that is on its way to a peer, or marked to go, is not spent any
    more, so that it is never in two hands.
    """

    __slots__ = ("_handed_over", "_incarnation", "leaving_workers")

    def __init__(self, incarnation: IncarnationId) -> None:
        self._incarnation = incarnation
        self._handed_over: tuple[Right, ...] = ()
        self.leaving_workers: set[str] = set()

    def hand_over(self, rights: tuple[Right, ...]) -> None:
        """Stop spending rights until ``keep_all`` is called."""
        self._handed_over = rights

    def keep_all(self) -> None:
        """Spend every right that the state still shows as held here."""
        self._handed_over = ()

    def held_workers(self, state: State) -> frozenset[str]:
        """Return the workers whose rights are held here, in use or not."""
        return frozenset(
            worker_id
            for worker_id, holder in state.worker_holders.items()
            if holder == self._incarnation and worker_id in state.workers
        )

    def spendable(self, state: State) -> Spendable:
        """Return what may be spent by this state."""
        given = self._handed_over
        given_workers = {r.worker_id for r in given if isinstance(r, WorkerRight)}
        given_partitions = {r.partition for r in given if isinstance(r, PartitionRight)}
        unavailable = frozenset().union(
            *(unavailable_workers(state, pool_id) for pool_id in state.pools)
        )
        workers = self.held_workers(state) - given_workers - unavailable
        partitions = frozenset(
            partition
            for partition, holder in state.partition_holders.items()
            if holder == self._incarnation and partition not in given_partitions
        )
        return Spendable(workers - self.leaving_workers, self._slots(state), partitions)

    def may_answer_for(self, state: State, partition: int) -> bool:
        """Tell whether a partition is held and not on its way to a peer."""
        held = state.partition_holders.get(partition) == self._incarnation
        return held and PartitionRight(partition) not in self._handed_over

    def _slots(self, state: State) -> dict[str, int]:
        given = [r for r in self._handed_over if isinstance(r, SlotRight)]
        slots = {}
        for team_id in state.teams:
            held_count = allowance(state, team_id, self._incarnation)
            given_count = sum(r.slot_count for r in given if r.team_id == team_id)
            slots[team_id] = max(0, held_count - given_count)
        return slots
