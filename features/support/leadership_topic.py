"""The leader's topic in the leadership model, and the store as one step sees it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cicadatraild.platform.store import (
    FencedError,
    KeyedRecord,
    PositionError,
    Producer,
    SequenceError,
    StoreUnavailableError,
)
from cicadatraild.scheduling.last_answers import LastAnswers

HANDED_OVER = LastAnswers().record(0, 0.0)
"""What a leader tells its successor of workers, of which the model has none."""


class Answer(Enum):
    """What becomes of an append."""

    GIVEN = "answered"
    LATE = "may be carried out later, not answered"


@dataclass(frozen=True, slots=True)
class Append:
    """An append on its way to the store."""

    records: tuple[KeyedRecord, ...]
    producer: Producer | None
    expected_end: int | None


@dataclass(frozen=True, slots=True)
class Topic:
    """The leader's topic: records, the producer's epoch and its answers."""

    records: tuple[KeyedRecord, ...] = ()
    epoch: int = -1
    ends: tuple[int, ...] = ()

    def add(self, append: Append) -> tuple[Topic, int]:
        """Carry out an append; return the topic and the answer."""
        if append.expected_end not in (None, len(self.records)):
            raise PositionError
        records = self.records + append.records
        producer = append.producer
        if producer is None:
            return replace(self, records=records), len(records)
        if producer.epoch < self.epoch:
            raise FencedError(f"epoch {self.epoch}")
        ends = self.ends if producer.epoch == self.epoch else ()
        if producer.sequence < len(ends):
            return self, ends[producer.sequence]
        if producer.sequence > len(ends):
            raise SequenceError(len(ends))
        return Topic(records, producer.epoch, (*ends, len(records))), len(records)

    def can_change_by(self, append: Append) -> bool:
        """Return whether a late append may still be carried out."""
        producer = append.producer
        if producer is None:
            return append.expected_end in (None, len(self.records))
        if producer.epoch != self.epoch:
            return producer.epoch > self.epoch
        return producer.sequence >= len(self.ends)

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key, by key, as the store lists them."""
        newest = {record.key: record for record in self.records}
        return [newest[k] for k in sorted(newest) if newest[k].value is not None]


class Store:
    """The store as one step of one instance sees it."""

    def __init__(self) -> None:
        self.topic = Topic()
        self.answer = Answer.GIVEN
        self.late: Append | None = None

    async def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        *,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> int:
        append = Append(tuple(records), producer, expected_end)
        if self.answer is Answer.LATE:
            self.late = append
            raise StoreUnavailableError("late", may_have_run=True)
        self.topic, end = self.topic.add(append)
        return end

    async def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        return self.topic.newest(), len(self.topic.records)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> tuple[list[KeyedRecord], int]:
        return list(self.topic.records[offset:]), len(self.topic.records)
