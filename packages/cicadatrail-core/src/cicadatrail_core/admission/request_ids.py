"""Memory of one partition of request ids, for requests that may not be repeated.

The holder of a partition alone says whether an id is seen for the first time.
Ids are UUIDs of version 7, whose time tells whether an id could have been seen
before this memory began or after its entry was dropped; then the answer is
unknown and nothing runs. Times are seconds of the wall clock since 1970.
"""

from __future__ import annotations

from dataclasses import dataclass
from uuid import UUID

from sortedcontainers import SortedList

from cicadatrail_core.models.rights import PARTITION_COUNT

UUID_TIME_VERSION = 7
UUID_TIME_SHIFT = 80
"""Bits of a UUID below its 48 bits of milliseconds since 1970."""


@dataclass(frozen=True, slots=True)
class RequestIdSettings:
    """Bound a partition's memory.

    ``clock_skew_s`` bounds the difference between the clocks of any two entry
    instances. An id is taken from ``ahead_limit_s`` before its time, by the
    instance's clock, up to ``window_s`` after it.
    """

    clock_skew_s: float = 0.5
    ahead_limit_s: float = 2.0
    window_s: float = 600.0
    entry_limit_count: int = 4096
    answer_limit_bytes: int = 65_536
    answers_limit_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class FirstSeen:
    """State that the id is new and now recorded as running."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """State that a request of this id runs; its answer will be recorded."""


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """State that a request of this id ran; None if its answer was not recorded."""

    answer: bytes | None


@dataclass(frozen=True, slots=True)
class Unknowable:
    """State that the id may have been seen; it must not run."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """State that the id has not run and does not run now, and why."""

    reason: str


IdVerdict = FirstSeen | AlreadyRunning | AlreadyDone | Unknowable | NotRun


@dataclass(frozen=True, slots=True)
class IdEntry:
    """Record one id; ``done`` tells whether its request has ended.

    ``attempt`` names the one whose request runs: asking again for it, since
    the answer was lost, is no second request.
    """

    request_id: str
    id_time_s: float
    done: bool = False
    answer: bytes | None = None
    attempt: str = ""


@dataclass(frozen=True, slots=True)
class PartitionCopy:
    """Carry a partition's memory to its next holder or to a second copy."""

    horizon_s: float
    entries: tuple[IdEntry, ...]


def id_time_s(request_id: str) -> float | None:
    """Return the time of a UUID of version 7, or None for anything else."""
    try:
        parsed = UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION or str(parsed) != request_id:
        return None
    return uuid_time_s(parsed)


def uuid_time_s(request_id: UUID) -> float:
    """Return the time in a UUID of version 7, in seconds since 1970."""
    return (request_id.int >> UUID_TIME_SHIFT) / 1000


def partition_of(request_id: str) -> int | None:
    """Return the partition of an id, by its random bits; None if it is no id."""
    if id_time_s(request_id) is None:
        return None
    return UUID(request_id).int % PARTITION_COUNT


class PartitionMemory:
    """Remember the ids of one partition; memory is bounded.

    ``horizon_s`` is the time up to which ids may have been seen by an earlier
    holder, or recorded here and dropped since. It only grows.
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
    def after_unknown_holder(
        cls, settings: RequestIdSettings, acquired_s: float
    ) -> PartitionMemory:
        """Begin at ``acquired_s`` without the memory of the holder before.

        That holder took ids up to the limit ahead of its clock, which may be
        one skew ahead of this one.
        """
        ahead_s = settings.ahead_limit_s + settings.clock_skew_s
        return cls(settings, acquired_s + ahead_s)

    @classmethod
    def from_copy(
        cls, settings: RequestIdSettings, copy: PartitionCopy
    ) -> PartitionMemory:
        """Go on from a copy that the holder before made after its last change."""
        memory = cls(settings, copy.horizon_s)
        for entry in copy.entries:
            memory._put(entry)
        return memory

    @classmethod
    def from_second_copy(
        cls, settings: RequestIdSettings, copy: PartitionCopy, acquired_s: float
    ) -> PartitionMemory:
        """Begin at ``acquired_s`` with a copy that may lack the last changes.

        Answers in the copy are still given. What ran when the holder was lost
        is unknowable, as is any id that may have come after the copy.
        """
        memory = cls.after_unknown_holder(settings, acquired_s)
        memory._horizon_s = max(memory._horizon_s, copy.horizon_s)
        for entry in copy.entries:
            if entry.done:
                memory._put(entry)
        return memory

    def copy(self) -> PartitionCopy:
        """Return all that the next holder needs to go on."""
        return PartitionCopy(self._horizon_s, tuple(self._entries.values()))

    def begin(self, request_id: str, now_s: float, attempt: str = "") -> IdVerdict:
        """Say what is known of an id, and record it if it is new.

        The ``attempt`` that made an id known is told again that it was first,
        as long as it has not ended.
        """
        time_s = id_time_s(request_id)
        if time_s is None:
            return NotRun("the request id is not a UUID of version 7")
        self._drop_old(now_s)
        entry = self._entries.get(request_id)
        if entry is not None:
            return _seen_verdict(entry, attempt)
        if time_s <= self._horizon_s:
            return Unknowable()
        if time_s > now_s + self._settings.ahead_limit_s:
            return NotRun("the request id's time lies ahead of this instance's clock")
        if len(self._entries) >= self._settings.entry_limit_count:
            return NotRun("too many request ids of this partition are remembered")
        self._put(IdEntry(request_id, time_s, attempt=attempt))
        return FirstSeen()

    def finish(self, request_id: str, answer: bytes | None, attempt: str = "") -> None:
        """Record the answer, if it is not too large and the id still known.

        None states that there is no whole answer to record.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.done or entry.attempt != attempt:
            return
        recorded = None if answer is None else self._recordable(answer)
        self._answers_bytes += len(recorded or b"")
        self._entries[request_id] = IdEntry(request_id, entry.id_time_s, True, recorded)

    def abandon(self, request_id: str, attempt: str = "") -> None:
        """Forget an id whose request provably never left, so that it may come again."""
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
