"""Tracks what one incarnation may use under the rights that it owns."""

from __future__ import annotations

from collections.abc import Collection

from cicadatrail_core.fold.holdings import allowance
from cicadatrail_core.models.records import ReleaseRecord, TransferRecord
from cicadatrail_core.models.rights import (
    IncarnationId,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State

GiveUpRecord = TransferRecord | ReleaseRecord
"""A record by which an incarnation gives up rights that it owns."""


class RightsLedger:
    """Track one incarnation's own tasks and the rights that it is giving up.

    This determines what the rights allow. Whether the owner's lease is valid at the
    moment of use is determined by
    :class:`~cicadatrail_core.rights.rights_lease.RightsLease`.
    """

    __slots__ = ("_incarnation", "_pending", "_running")

    def __init__(self, incarnation: IncarnationId) -> None:
        self._incarnation = incarnation
        self._pending: list[GiveUpRecord] = []
        self._running: dict[str, int] = {}

    @property
    def pending(self) -> Collection[GiveUpRecord]:
        """Return the records that have not been folded yet."""
        return tuple(self._pending)

    def stop_using(self, record: GiveUpRecord) -> None:
        """Stop using the rights that a record gives up; call before appending it."""
        self._pending.append(record)

    def settle(self, state: State) -> None:
        """Drop the pending records that the state has applied or superseded."""
        member = state.roster.get(self._incarnation)
        if member is None:
            return
        self._pending = [
            record
            for record in self._pending
            if record.sequence > member.rights_sequence
        ]

    def next_sequence(self, state: State) -> int:
        """Return the sequence number of the next record that gives up rights."""
        member = state.roster.get(self._incarnation)
        folded_sequence = 0 if member is None else member.rights_sequence
        return max([folded_sequence, *(r.sequence for r in self._pending)]) + 1

    def may_place(self, state: State, worker_id: str) -> bool:
        """Return whether tasks may be placed on a worker."""
        if state.worker_holders.get(worker_id) != self._incarnation:
            return False
        if worker_id not in state.workers:
            return False
        return not self._gives_up(WorkerRight(worker_id))

    def may_check_ids(self, state: State, partition: int) -> bool:
        """Return whether request ids of a partition may be judged new or seen."""
        if state.partition_holders.get(partition) != self._incarnation:
            return False
        return not self._gives_up(PartitionRight(partition))

    def free_count(self, state: State, team_id: str, lent_count: int) -> int:
        """Return how many more tasks of a team may start on own slots."""
        used_count = lent_count + self._running.get(team_id, 0)
        return max(0, self.slot_count(state, team_id) - used_count)

    def slot_count(self, state: State, team_id: str) -> int:
        """Return the slots of a team that may be used or lent."""
        held_count = state.slots.get(team_id, {}).get(self._incarnation, 0)
        kept_count = held_count - self._given_up_slots(team_id)
        return max(0, min(kept_count, allowance(state, team_id, self._incarnation)))

    def running_count(self, team_id: str) -> int:
        """Return how many tasks of a team run on own slots."""
        return self._running.get(team_id, 0)

    def start(self, team_id: str, count: int = 1) -> None:
        """Charge tasks of a team to own slots."""
        self._running[team_id] = self._running.get(team_id, 0) + count

    def end(self, team_id: str) -> None:
        """Release the slot of a task that was charged to own slots."""
        self._running[team_id] -= 1
        if self._running[team_id] == 0:
            del self._running[team_id]

    def _gives_up(self, right: Right) -> bool:
        return any(right in record.rights for record in self._pending)

    def _given_up_slots(self, team_id: str) -> int:
        return sum(
            right.slot_count
            for record in self._pending
            for right in record.rights
            if isinstance(right, SlotRight) and right.team_id == team_id
        )
