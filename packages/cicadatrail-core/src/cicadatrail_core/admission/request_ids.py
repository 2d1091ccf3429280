"""Deduplication of requests that may not be repeated, for one id partition.

Only the owner of a partition decides whether an id is seen for the first time.
Ids are version 7 UUIDs. Their timestamp shows whether an id could have been seen
before this memory started or after its entry was dropped; in that case the verdict
is unknown and the request does not run. Times are wall-clock seconds since 1970.
"""

from __future__ import annotations

from dataclasses import dataclass
from uuid import UUID

from sortedcontainers import SortedList

from cicadatrail_core.models.rights import PARTITION_COUNT

UUID_TIME_VERSION = 7
UUID_TIME_SHIFT = 80
"""Bits of a version 7 UUID below its 48-bit timestamp in milliseconds."""


@dataclass(frozen=True, slots=True)
class RequestIdSettings:
    """Limits of a partition's memory.

    ``clock_skew_s`` bounds the difference between the clocks of any two entry
    instances. An id is accepted if, by the instance's clock, its time is at most
    ``ahead_limit_s`` in the future and at most ``window_s`` in the past.
    """

    clock_skew_s: float = 0.5
    ahead_limit_s: float = 2.0
    window_s: float = 600.0
    entry_limit_count: int = 4096
    answer_limit_bytes: int = 65_536
    answers_limit_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class FirstSeen:
    """The id is new and is now recorded as running."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """A request with this id is running; its answer will be recorded."""


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """A request with this id has run; None if its answer was not recorded."""

    answer: bytes | None


@dataclass(frozen=True, slots=True)
class Unknowable:
    """The id may have been seen before; the request must not run."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The id has not run and does not run now; ``reason`` says why."""

    reason: str


IdVerdict = FirstSeen | AlreadyRunning | AlreadyDone | Unknowable | NotRun


@dataclass(frozen=True, slots=True)
class IdEntry:
    """Record of one id; ``done`` is set once its request has ended.

    ``attempt`` identifies the attempt whose request runs. If the same attempt asks
    again because the reply was lost, it does not count as a second request.
    """

    request_id: str
    id_time_s: float
    done: bool = False
    answer: bytes | None = None
    attempt: str = ""


@dataclass(frozen=True, slots=True)
class PartitionCopy:
    """Copy of a partition's memory for its next owner or for a replica."""

    horizon_s: float
    entries: tuple[IdEntry, ...]


def id_time_s(request_id: str) -> float | None:
    """Return the time of a version 7 UUID, or None for any other text."""
    try:
        parsed = UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION or str(parsed) != request_id:
        return None
    return uuid_time_s(parsed)


def uuid_time_s(request_id: UUID) -> float:
    """Return the time of a version 7 UUID in seconds since 1970."""
    return (request_id.int >> UUID_TIME_SHIFT) / 1000


def partition_of(request_id: str) -> int | None:
    """Return the partition of an id by its random bits, or None if it is invalid."""
    if id_time_s(request_id) is None:
        return None
    return UUID(request_id).int % PARTITION_COUNT


class PartitionMemory:
    """Bounded memory of the ids of one partition.

    ``horizon_s`` is the time up to which ids may have been seen by an earlier owner,
    or may have been recorded here and dropped since. It never decreases.
    """

    __slots__ = ("_answers_bytes", "_by_time", "_entries", "_horizon_s", "_settings")

    def __init__(self, settings: RequestIdSettings, horizon_s: float) -> None:
        self._settings = settings
        self._horizon_s = horizon_s
        self._entries: dict[str, IdEntry] = {}
        self._by_time: SortedList = SortedList()
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @classmethod
    def after_unknown_owner(
        cls, settings: RequestIdSettings, acquired_s: float
    ) -> PartitionMemory:
        """Start at ``acquired_s`` without the memory of the previous owner.

        The previous owner accepted ids up to ``ahead_limit_s`` ahead of its clock, and
        that clock may be ``clock_skew_s`` ahead of this one.
        """
        ahead_s = settings.ahead_limit_s + settings.clock_skew_s
        return cls(settings, acquired_s + ahead_s)

    @classmethod
    def from_copy(
        cls, settings: RequestIdSettings, copy: PartitionCopy
    ) -> PartitionMemory:
        """Continue from a copy made after the last change of the previous owner."""
        memory = cls(settings, copy.horizon_s)
        for entry in copy.entries:
            memory._put(entry)
        return memory

    @classmethod
    def from_second_copy(
        cls, settings: RequestIdSettings, copy: PartitionCopy, acquired_s: float
    ) -> PartitionMemory:
        """Start at ``acquired_s`` from a replica that may lack the last changes.

        Answers in the replica are still returned. Requests that were running when the
        owner was lost are unknowable, as is any id that may have arrived after the
        replica was updated.
        """
        memory = cls.after_unknown_owner(settings, acquired_s)
        memory._horizon_s = max(memory._horizon_s, copy.horizon_s)
        for entry in copy.entries:
            if entry.done:
                memory._put(entry)
        return memory

    def copy(self) -> PartitionCopy:
        """Return everything that the next owner needs to continue."""
        return PartitionCopy(self._horizon_s, tuple(self._entries.values()))

    def begin(self, request_id: str, now_s: float, attempt: str = "") -> IdVerdict:
        """Return what is known of an id, and record the id if it is new.

        The ``attempt`` that recorded the id gets ``FirstSeen`` again until its request
        has ended.
        """
        time_s = id_time_s(request_id)
        if time_s is None:
            return NotRun("the request id is not a version 7 UUID")
        self._drop_old(now_s)
        entry = self._entries.get(request_id)
        if entry is not None:
            return _seen_verdict(entry, attempt)
        if time_s <= self._horizon_s:
            return Unknowable()
        if time_s > now_s + self._settings.ahead_limit_s:
            return NotRun("the request id's time is ahead of this instance's clock")
        if len(self._entries) >= self._settings.entry_limit_count:
            return NotRun("too many request ids of this partition are stored")
        self._put(IdEntry(request_id, time_s, attempt=attempt))
        return FirstSeen()

    def finish(self, request_id: str, answer: bytes | None, attempt: str = "") -> None:
        """Record the answer unless it is too large or the id was dropped.

        ``answer`` is None if no complete answer exists.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.done or entry.attempt != attempt:
            return
        recorded = None if answer is None else self._recordable(answer)
        self._answers_bytes += len(recorded or b"")
        self._entries[request_id] = IdEntry(request_id, entry.id_time_s, True, recorded)

    def abandon(self, request_id: str, attempt: str = "") -> None:
        """Forget an id whose request was provably never sent, to allow a retry."""
        entry = self._entries.get(request_id)
        if entry is not None and not entry.done and entry.attempt == attempt:
            self._remove(entry)

    def _recordable(self, answer: bytes) -> bytes | None:
        if len(answer) > self._settings.answer_limit_bytes:
            return None
        if self._answers_bytes + len(answer) > self._settings.answers_limit_bytes:
            return None
        return answer

    def _drop_old(self, now_s: float) -> None:
        """Drop ids older than the window; the horizon keeps them from running."""
        oldest_s = now_s - self._settings.window_s
        self._horizon_s = max(self._horizon_s, oldest_s)
        while self._by_time and self._by_time[0][0] <= oldest_s:
            self._remove(self._entries[self._by_time[0][1]])

    def _put(self, entry: IdEntry) -> None:
        self._entries[entry.request_id] = entry
        self._by_time.add((entry.id_time_s, entry.request_id))
        self._answers_bytes += len(entry.answer or b"")

    def _remove(self, entry: IdEntry) -> None:
        del self._entries[entry.request_id]
        self._by_time.remove((entry.id_time_s, entry.request_id))
        self._answers_bytes -= len(entry.answer or b"")


def _seen_verdict(entry: IdEntry, attempt: str) -> IdVerdict:
    if entry.done:
        return AlreadyDone(entry.answer)
    if attempt and entry.attempt == attempt:
        return FirstSeen()
    return AlreadyRunning()
