"""Request id memories of the partitions that this instance owns."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from cicadatrail_core.admission.request_ids import (
    AlreadyDone,
    AlreadyRunning,
    FirstSeen,
    IdEntry,
    NotRun,
    PartitionCopy,
    PartitionMemory,
    RequestIdSettings,
    Unknowable,
)
from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.peer_messages import (
    IdAnswer,
    IdEntryCopy,
    IdOutcome,
    IdQuery,
    IdVerdict,
    PartitionHandover,
)
from cicadatrail_core.models.records import ClaimRecord, TransferRecord
from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    IncarnationId,
    PartitionRight,
    Right,
)
from cicadatrail_core.models.state import State

HANDOVER_TIMEOUT_S = 2.0
"""Time for which a new owner waits for the memory from the previous one."""

MAX_EARLY_HANDOVERS = PARTITION_COUNT
"""Limit of stored handovers that arrived before their transfer record."""

ID_SETTINGS = RequestIdSettings(
    entry_limit_count=2048, answer_limit_bytes=16_384, answers_limit_bytes=131_072
)
"""Limits of one partition's memory, so that all 256 fit in one instance."""

SendHandover = Callable[[IncarnationId, PartitionHandover], None]


@dataclass(frozen=True, slots=True)
class _ExpectedHandover:
    """The handover that a received partition waits for, and the deadline for it."""

    giver: IncarnationId
    sequence: int
    deadline_s: float


class IdPartitions:
    """Store the memories of owned partitions and hand them over on transfer.

    A partition that no claim in the log's whole history names had no owner before
    and starts empty. Any other partition received without the previous owner's
    memory starts at the present time, and older ids are unknowable. Queries are
    not answered until the memory is determined.
    """

    __slots__ = (
        "_early_handovers",
        "_ever_claimed",
        "_expected_handovers",
        "_first_claims",
        "_incarnation",
        "_may_answer",
        "_memories",
        "_sees_whole_log",
        "_send_handover",
        "_state",
        "_timer_times_s",
        "_transferred",
        "_wall_clock",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        wall_clock: Callable[[], float],
        may_answer: Callable[[int], bool],
        sees_whole_log: Callable[[], bool],
        send: SendHandover,
    ) -> None:
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._may_answer = may_answer
        self._sees_whole_log = sees_whole_log
        self._send_handover = send
        self._state = State()
        self._memories: dict[int, PartitionMemory] = {}
        self._transferred: dict[int, TransferRecord] = {}
        self._expected_handovers: dict[int, _ExpectedHandover] = {}
        self._early_handovers: OrderedDict[
            tuple[IncarnationId, int, int], PartitionHandover
        ] = OrderedDict()
        self._ever_claimed: set[int] = set()
        self._first_claims: set[int] = set()
        self._timer_times_s: set[float] = set()

    def take_state(self, state: State) -> None:
        """Adopt a new state; its records follow in the same event loop iteration."""
        changed = state.partition_holders is not self._state.partition_holders
        self._state = state
        if changed:
            asyncio.get_running_loop().call_soon(self._reconcile)

    def note_record(self, envelope: Envelope) -> None:
        """Process a log record that claims or transfers partitions."""
        match envelope.record:
            case ClaimRecord(incarnation, rights):
                self._apply_claim(incarnation, _partitions(rights))
            case TransferRecord() as transfer:
                self._apply_transfer(transfer)

    def answer(self, query: IdQuery) -> IdAnswer:
        """Answer what is known of an id, and record it as seen."""
        memory = self._memories.get(query.partition)
        if memory is None or not self._may_answer(query.partition):
            return IdAnswer(IdVerdict.AWAY)
        verdict = memory.begin(query.scoped_id, self._wall_clock(), query.attempt)
        match verdict:
            case FirstSeen():
                return IdAnswer(IdVerdict.FIRST)
            case AlreadyRunning():
                return IdAnswer(IdVerdict.RUNNING)
            case AlreadyDone(answer):
                return IdAnswer(IdVerdict.DONE, answer)
            case Unknowable():
                return IdAnswer(IdVerdict.UNKNOWABLE)
            case NotRun():
                return IdAnswer(IdVerdict.REFUSED)

    def record_outcome(self, outcome: IdOutcome) -> None:
        """Record the outcome of an attempt."""
        memory = self._memories.get(outcome.partition)
        if memory is None:
            return
        if outcome.not_run:
            memory.abandon(outcome.scoped_id, outcome.attempt)
            return
        memory.finish(outcome.scoped_id, outcome.recorded, outcome.attempt)

    def receive_handover(
        self, giver: IncarnationId, handover: PartitionHandover
    ) -> None:
        """Store a memory from its previous owner, maybe before the transfer record."""
        key = (giver, handover.sequence, handover.partition)
        self._early_handovers[key] = handover
        while len(self._early_handovers) > MAX_EARLY_HANDOVERS:
            self._early_handovers.popitem(last=False)
        self._reconcile()

    def _apply_claim(self, claimer: IncarnationId, partitions: set[int]) -> None:
        new = partitions - self._ever_claimed
        self._ever_claimed |= partitions
        if claimer != self._incarnation:
            return
        if self._sees_whole_log():
            self._first_claims |= new
        for partition in partitions:
            self._expected_handovers.pop(partition, None)

    def _apply_transfer(self, transfer: TransferRecord) -> None:
        partitions = _partitions(transfer.rights)
        if transfer.giver == self._incarnation:
            self._transferred.update(dict.fromkeys(partitions, transfer))
        if transfer.taker != self._incarnation:
            return
        deadline_s = asyncio.get_running_loop().time() + HANDOVER_TIMEOUT_S
        expected = _ExpectedHandover(transfer.giver, transfer.sequence, deadline_s)
        self._expected_handovers.update(dict.fromkeys(partitions, expected))

    def _reconcile(self) -> None:
        """Add and remove memories to match the partitions that are owned."""
        owners = self._state.partition_holders
        for partition, transfer in self._transferred.items():
            self._hand_over(partition, transfer, owners.get(partition))
        self._transferred.clear()
        owned = {p for p, owner in owners.items() if owner == self._incarnation}
        for partition in self._memories.keys() - owned:
            del self._memories[partition]
        for partition in owned - self._memories.keys():
            self._acquire(partition)

    def _hand_over(
        self, partition: int, transfer: TransferRecord, owner: IncarnationId | None
    ) -> None:
        """Send a partition's memory to its new owner.

        The memory is dropped if the partition has moved on since, because it lacks
        the ids that later owners may have added.
        """
        memory = self._memories.pop(partition, None)
        if memory is None or owner != transfer.taker:
            return
        copy = memory.copy()
        entries = tuple(
            IdEntryCopy(e.request_id, e.id_time_s, e.done, e.answer, e.attempt)
            for e in copy.entries
        )
        handover = PartitionHandover(
            partition, transfer.sequence, copy.horizon_s, entries
        )
        self._send_handover(transfer.taker, handover)

    def _acquire(self, partition: int) -> None:
        expected = self._expected_handovers.get(partition)
        if expected is None:
            self._memories[partition] = self._new_memory(partition)
            return
        key = (expected.giver, expected.sequence, partition)
        handover = self._early_handovers.pop(key, None)
        loop = asyncio.get_running_loop()
        if handover is not None:
            self._memories[partition] = _from_handover(handover)
        elif loop.time() >= expected.deadline_s:
            self._memories[partition] = self._new_memory(partition)
        else:
            self._reconcile_at(expected.deadline_s)
            return
        del self._expected_handovers[partition]

    def _reconcile_at(self, time_s: float) -> None:
        """Schedule ``_reconcile``; the partitions of one transfer share a timer."""
        if time_s not in self._timer_times_s:
            self._timer_times_s.add(time_s)
            asyncio.get_running_loop().call_at(time_s, self._on_timer, time_s)

    def _on_timer(self, time_s: float) -> None:
        self._timer_times_s.discard(time_s)
        self._reconcile()

    def _new_memory(self, partition: int) -> PartitionMemory:
        if partition in self._first_claims:
            self._first_claims.discard(partition)
            return PartitionMemory(ID_SETTINGS, 0.0)
        return PartitionMemory.after_unknown_owner(ID_SETTINGS, self._wall_clock())


def _partitions(rights: tuple[Right, ...]) -> set[int]:
    return {right.partition for right in rights if isinstance(right, PartitionRight)}


def _from_handover(handover: PartitionHandover) -> PartitionMemory:
    entries = tuple(
        IdEntry(e.scoped_id, e.id_time_s, e.done, e.recorded, e.attempt)
        for e in handover.entries
    )
    copy = PartitionCopy(handover.horizon_s, entries)
    return PartitionMemory.from_copy(ID_SETTINGS, copy)
