"""Instances of the leadership model: the product's classes, driven step by step.

An instance and the leader's topic are kept as plain values. Each step builds the
product's ``Leadership`` from them, runs one of its methods with a store that answers
at once, loses the answer or carries the append out later, and takes the values back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, replace
from enum import Enum
from types import SimpleNamespace
from typing import Any
from unittest import mock

from cicadatrail_core.leadership import acting_right
from cicadatraild.platform.store import (
    FencedError,
    KeyedRecord,
    PositionError,
    Producer,
    RecordsDroppedError,
    SequenceError,
    StoreUnavailableError,
)
from cicadatraild.scheduling import leader_right, leadership, membership
from cicadatraild.scheduling.leader_record import (
    HOLDER_KEY,
    LeaderRecord,
    decode_leader,
)
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import Leadership

# ruff: noqa: SLF001

LEASE_TICKS = 2
CONFIRMATION_TICKS = 1
OUTAGE_LIMIT_TICKS = 4
"""Three times shorter than in the product, against the other two."""

PARTS = ("", "members", "right")
FIELDS = {
    "": "_process_id _offset _sequence _has_read _promised_epoch _open_claim_offset "
    "current held_epoch _left_epoch",
    "members": "_members _dropped _unread known_hosts settled_epoch",
    "right": "acting former _read_s _sending _stored _former_members _former_host "
    "_promised_s",
}


class Answer(Enum):
    """What becomes of an append."""

    GIVEN = "answered"
    LOST = "carried out, answer lost"
    LATE = "carried out later"


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

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key, by key, as the store lists them."""
        newest = {record.key: record for record in self.records}
        return [newest[k] for k in sorted(newest) if newest[k].value is not None]


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance: its process's fields, and what the model adds to them.

    ``asked_s`` is when its open round was asked, ``answers`` when each host confirmed;
    ``awaited`` is the claim whose answer it waits for. ``start_count`` tells the
    processes of one host apart.
    """

    host: str
    start_count: int = 0
    values: tuple[Any, ...] = ()
    held_epoch: int = 0
    acts_until_s: float = float("-inf")
    former_until_s: float = float("inf")
    asked_s: float | None = None
    answers: tuple[tuple[str, float], ...] = ()
    awaited: LeaderRecord | None = None

    @property
    def is_up(self) -> bool:
        return bool(self.values)

    @property
    def has_read(self) -> bool:
        return self.is_up and self.values[0][3]

    @property
    def offset(self) -> int | None:
        return self.values[0][1]

    @property
    def current(self) -> LeaderRecord | None:
        return self.values[0][6]


class _Store:
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
        if self.answer is Answer.LOST:
            raise StoreUnavailableError("answer lost", may_have_run=True)
        return end

    async def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        return self.topic.newest(), len(self.topic.records)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> tuple[list[KeyedRecord], int]:
        return list(self.topic.records[offset:]), len(self.topic.records)


class _Process(Leadership):
    """The product's leadership, which may claim at any time."""

    def _may_claim(self) -> bool:
        return not self.held_epoch


def _freeze(value: Any) -> Any:
    match value:
        case set():
            return frozenset(value)
        case list():
            return tuple(value)
        case dict():
            return tuple(sorted(value.items()))
        case _:
            return value


def _thaw(name: str, value: Any) -> Any:
    match name:
        case "_members" | "_dropped":
            return set(value)
        case "_unread" | "_stored":
            return list(value)
        case "_promised_s":
            return dict(value)
        case _:
            return value


def _ignore(*_: Any, **__: Any) -> None:
    return


def _run(step: Coroutine[Any, Any, Any]) -> None:
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError("a step waits")


class World:
    """Carry out steps of instances at ``now_s``; times are in ticks."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._store = _Store()
        self._processes: dict[str, _Process] = {}
        self._hosts: tuple[str, ...] = ()

    def _process(self, host: str) -> _Process:
        if host not in self._processes:
            self._processes[host] = self._new_process(host)
        return self._processes[host]

    def _new_process(self, host: str) -> _Process:
        store: Any = self._store
        return _Process(store, host, host, lambda _: None, lambda _: None)

    def load(self, instance: Instance) -> _Process:
        """Return the process of an instance."""
        process = self._process(instance.host)
        for part, values in zip(PARTS, instance.values, strict=True):
            owner = getattr(process, part) if part else process
            for name, value in zip(FIELDS[part].split(), values, strict=True):
                setattr(owner, name, _thaw(name, value))
        return process

    def save(self, instance: Instance, process: _Process) -> Instance:
        """Return an instance with the values of its process.

        Without leadership, what the next term sets anew is dropped: fewer states.
        """
        right = process.right
        if not process.held_epoch:
            right.former = acting_right.FormerRight(float("-inf"))
            right._sending, right._former_members = (-1, 0.0), frozenset()
            right._former_host, right._promised_s = "", {}
            right._stored.clear()
        parts = [getattr(process, part) if part else process for part in PARTS]
        values = tuple(
            tuple(_freeze(getattr(owner, name)) for name in FIELDS[part].split())
            for part, owner in zip(PARTS, parts, strict=True)
        )
        is_same_term = process.held_epoch == instance.held_epoch > 0
        return replace(
            instance,
            values=values,
            held_epoch=process.held_epoch,
            acts_until_s=right.acting.until_s,
            former_until_s=right.former.until_s,
            asked_s=instance.asked_s if is_same_term else None,
            answers=instance.answers if is_same_term else (),
        )

    def start(self, instance: Instance) -> Instance:
        """Start a new process, which remembers nothing."""
        process = self._processes[instance.host] = self._new_process(instance.host)
        count = instance.start_count + 1
        process._process_id = f"{instance.host}{count}"
        return self.save(Instance(instance.host, count), process)

    def step(
        self, instance: Instance, topic: Topic, answer: Answer, name: str
    ) -> tuple[Instance, Topic, Append | None]:
        """Run one method that calls the store; return also a late append."""
        process = self.load(instance)
        store = self._store
        store.topic, store.answer, store.late = topic, answer, None
        with suppress(StoreUnavailableError):
            match name:
                case "read":
                    self._read(process)
                case "register":
                    _run(process._register())
                case "claim":
                    _run(process._claim())
                case "release":
                    _run(process.release(""))
                    process.claims_disabled = False
                case "renew":
                    self._renew(process, instance.host)
        return self.save(instance, process), store.topic, store.late

    def _read(self, process: _Process) -> None:
        try:
            _run(process._follow())
        except RecordsDroppedError:
            process._offset = None

    def _renew(self, process: _Process, host: str) -> None:
        epoch = process.held_epoch
        record = LeaderRecord(epoch, host, host, process._process_id)
        try:
            _run(process._append(record, epoch))
        except FencedError as error:
            process.step_down(str(error))
        except SequenceError as error:
            process._sequence = error.expected

    def answer_claim(self, instance: Instance, topic: Topic) -> Instance:
        """Answer the claim that was carried out while the instance waited."""
        process, record = self.load(instance), instance.awaited
        assert record is not None
        process._open_claim_offset = None
        process._become_leader(record.epoch)
        process._set_current(record)
        return replace(self.save(instance, process), awaited=None)

    def promise(self, instance: Instance, epoch: int) -> tuple[Instance, bool]:
        """Ask an instance to confirm the leader of an epoch."""
        process = self.load(instance)
        has_confirmed = process.promise(epoch)
        return self.save(instance, process), has_confirmed

    def confirm(self, instance: Instance, host: str) -> Instance:
        """Apply the open round of a leader once ``host`` has confirmed as well."""
        process = self.load(instance)
        answers = dict(instance.answers)
        if host != instance.host:
            answers.setdefault(host, self.now_s)
        assert instance.asked_s is not None
        process.apply_round(
            ConfirmationRound(process.held_epoch, instance.asked_s, answers, False)
        )
        answered = replace(instance, answers=tuple(sorted(answers.items())))
        return self.save(answered, process)

    def learn(self, instance: Instance, leader: LeaderRecord) -> Instance:
        """Tell an instance of the leader that another one knows."""
        process = self.load(instance)
        process.learn_leader(leader.epoch, leader.host)
        return self.save(instance, process)

    def drop(self, instance: Instance, host: str) -> Instance:
        """Have a leader remove an instance from the registry."""
        process = self.load(instance)
        process.members.drop(host)
        return self.save(instance, process)

    def forget_offset(self, instance: Instance) -> Instance:
        """Have the store drop the records that an instance wants to read next."""
        process = self.load(instance)
        process._offset = None
        return self.save(instance, process)

    def hosts_to_ask(self, instance: Instance) -> list[str]:
        """Return the other instances that a leader asks."""
        members = self.load(instance).members
        return sorted((members.hosts | members.known_hosts) - {instance.host})

    def is_registered(self, instance: Instance) -> bool:
        """Return whether an instance has read its own registration."""
        return self.load(instance).members.is_registered

    def has_claim(self, topic: Topic, record: LeaderRecord) -> bool:
        """Return whether a claim was carried out."""
        return any(
            decode_leader(stored) == record
            for stored in topic.records
            if stored.key == HOLDER_KEY
        )

    @contextmanager
    def patched(self) -> Iterator[World]:
        """Run with this world's clock, scaled times and without tasks or logs."""

        async def go_on(_: float) -> None:
            return

        def drop_task(coroutine: Coroutine[Any, Any, Any]) -> Any:
            coroutine.close()
            return SimpleNamespace(cancel=lambda: None)

        fake_asyncio = SimpleNamespace(
            sleep=go_on, create_task=drop_task, Event=asyncio.Event
        )
        silent = SimpleNamespace(info=_ignore, warning=_ignore)
        with ExitStack() as stack:

            def patch(owner: Any, name: str, value: Any) -> None:
                stack.enter_context(mock.patch.object(owner, name, value))

            patch(acting_right, "LEASE_S", LEASE_TICKS)
            patch(acting_right, "CONFIRMATION_S", CONFIRMATION_TICKS)
            patch(acting_right, "OUTAGE_LIMIT_S", OUTAGE_LIMIT_TICKS)
            for module in (leadership, leader_right, membership):
                patch(module, "logger", silent)
            for module in (leadership, leader_right):
                patch(module, "boot_now_s", lambda: self.now_s)
                patch(module, "loop_now_s", lambda: self.now_s)
            patch(leadership, "asyncio", fake_asyncio)
            yield self
