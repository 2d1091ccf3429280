"""Answers, as the holder of partitions, whether request ids were seen."""

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

HANDOVER_WAIT_S = 2.0
"""Time for which a taker waits for the giver's memory before it does without."""

EARLY_LIMIT_COUNT = PARTITION_COUNT
"""Handovers kept whose transfer was not folded here yet."""

ID_SETTINGS = RequestIdSettings(
    entry_limit_count=2048, answer_limit_bytes=16_384, answers_limit_bytes=131_072
)
"""Bounds of one partition's memory, so that all 256 fit in one instance."""

SendHandover = Callable[[IncarnationId, PartitionHandover], None]


@dataclass(frozen=True, slots=True)
class _Expected:
    """Hold which handover a taken partition waits for, and until when."""

    giver: IncarnationId
    sequence: int
    until_s: float


class IdPartitions:
    """Keep the memory of held partitions and pass it on with them.

    A partition that no claim of the log's whole history names had no holder
    before. Any other one that comes without its giver's memory begins at the
    present: older ids are unknowable. Until that is settled nothing is said.
    """

    __slots__ = (
        "_early",
        "_ever_claimed",
        "_expected",
        "_first_claims",
        "_given",
        "_incarnation",
        "_may_answer",
        "_memories",
        "_sees_whole_log",
        "_send",
        "_state",
        "_wake_times_s",
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
        self._send = send
        self._state = State()
        self._memories: dict[int, PartitionMemory] = {}
        self._given: dict[int, TransferRecord] = {}
        self._expected: dict[int, _Expected] = {}
        self._early: OrderedDict[tuple[IncarnationId, int, int], PartitionHandover] = (
            OrderedDict()
        )
        self._ever_claimed: set[int] = set()
        self._first_claims: set[int] = set()
        self._wake_times_s: set[float] = set()

    def take_state(self, state: State) -> None:
        """Follow a new state; its records follow within the same loop turn."""
        changed = state.partition_holders is not self._state.partition_holders
        self._state = state
        if changed:
            asyncio.get_running_loop().call_soon(self._settle)

    def note_record(self, envelope: Envelope) -> None:
        """Take note of how partitions come and go."""
        match envelope.record:
            case ClaimRecord(incarnation, rights):
                self._note_claim(incarnation, _partitions(rights))
            case TransferRecord() as transfer:
                self._note_transfer(transfer)

    def answer(self, query: IdQuery) -> IdAnswer:
        """Say what is known of an id, and mark it as seen."""
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
        """Record how an attempt ended."""
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
        """Take a partition's memory from the one who gave it, perhaps early."""
        key = (giver, handover.sequence, handover.partition)
        self._early[key] = handover
        while len(self._early) > EARLY_LIMIT_COUNT:
            self._early.popitem(last=False)
        self._settle()

    def _note_claim(self, claimer: IncarnationId, partitions: set[int]) -> None:
        new = partitions - self._ever_claimed
        self._ever_claimed |= partitions
        if claimer != self._incarnation:
            return
        if self._sees_whole_log():
            self._first_claims |= new
        for partition in partitions:
            self._expected.pop(partition, None)

    def _note_transfer(self, transfer: TransferRecord) -> None:
        partitions = _partitions(transfer.rights)
        if transfer.giver == self._incarnation:
            self._given.update(dict.fromkeys(partitions, transfer))
        if transfer.taker != self._incarnation:
            return
        until_s = asyncio.get_running_loop().time() + HANDOVER_WAIT_S
        expected = _Expected(transfer.giver, transfer.sequence, until_s)
        self._expected.update(dict.fromkeys(partitions, expected))

    def _settle(self) -> None:
        """Make the memories those of the partitions that are held."""
        holders = self._state.partition_holders
        for partition, transfer in self._given.items():
            self._give(partition, transfer, holders.get(partition))
        self._given.clear()
        held = {p for p, holder in holders.items() if holder == self._incarnation}
        for partition in self._memories.keys() - held:
            del self._memories[partition]
        for partition in held - self._memories.keys():
            self._take(partition)

    def _give(
        self, partition: int, transfer: TransferRecord, holder: IncarnationId | None
    ) -> None:
        """Send the memory after a partition; what others may add is not known."""
        memory = self._memories.pop(partition, None)
        if memory is None or holder != transfer.taker:
            return
        copy = memory.copy()
        entries = tuple(
            IdEntryCopy(e.request_id, e.id_time_s, e.done, e.answer, e.attempt)
            for e in copy.entries
        )
        handover = PartitionHandover(
            partition, transfer.sequence, copy.horizon_s, entries
        )
        self._send(transfer.taker, handover)

    def _take(self, partition: int) -> None:
        expected = self._expected.get(partition)
        if expected is None:
            self._memories[partition] = self._new_memory(partition)
            return
        key = (expected.giver, expected.sequence, partition)
        handover = self._early.pop(key, None)
        loop = asyncio.get_running_loop()
        if handover is not None:
            self._memories[partition] = _from_handover(handover)
        elif loop.time() >= expected.until_s:
            self._memories[partition] = self._new_memory(partition)
        else:
            self._wake_at(expected.until_s)
            return
        del self._expected[partition]

    def _wake_at(self, time_s: float) -> None:
        """Settle again then; partitions of one transfer share the timer."""
        if time_s not in self._wake_times_s:
            self._wake_times_s.add(time_s)
            asyncio.get_running_loop().call_at(time_s, self._wake, time_s)

    def _wake(self, time_s: float) -> None:
        self._wake_times_s.discard(time_s)
        self._settle()

    def _new_memory(self, partition: int) -> PartitionMemory:
        if partition in self._first_claims:
            self._first_claims.discard(partition)
            return PartitionMemory(ID_SETTINGS, 0.0)
        return PartitionMemory.after_unknown_holder(ID_SETTINGS, self._wall_clock())


def _partitions(rights: tuple[Right, ...]) -> set[int]:
    return {right.partition for right in rights if isinstance(right, PartitionRight)}


def _from_handover(handover: PartitionHandover) -> PartitionMemory:
    entries = tuple(
        IdEntry(e.scoped_id, e.id_time_s, e.done, e.recorded, e.attempt)
        for e in handover.entries
    )
    copy = PartitionCopy(handover.horizon_s, entries)
    return PartitionMemory.from_copy(ID_SETTINGS, copy)
