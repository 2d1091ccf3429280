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
from types import SimpleNamespace
from typing import Any
from unittest import mock

from cicadatrail_core.leadership import acting_right
from cicadatrail_core.leadership.acting_right import ActingRight, FormerRight
from cicadatraild.platform.store import (
    FencedError,
    RecordsDroppedError,
    SequenceError,
    StoreUnavailableError,
)
from cicadatraild.scheduling import leader_right, leadership, membership, renewals
from cicadatraild.scheduling.leader_record import (
    HOLDER_KEY,
    LeaderRecord,
    decode_leader,
)
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import Leadership
from features.support.leadership_topic import HANDED_OVER, Answer, Append, Store, Topic

# ruff: noqa: SLF001

LEASE_TICKS = 2
CONFIRMATION_TICKS = 1
OUTAGE_LIMIT_TICKS = 4
"""Three times shorter than in the product, against the other two."""

OLDEST_S = float(-OUTAGE_LIMIT_TICKS)
"""Stands for all earlier times: no right can rest on them any more."""

PARTS = ("", "members", "right", "renewals")
FIELDS = {
    "": "_process_id _offset _has_read _promised_epoch _open_claim_offset "
    "current held_epoch _left_epoch",
    "members": "_members _dropped _unread known_hosts settled_epoch claimed_epoch",
    "right": "acting former _has_record _read_s _ended_s _sending _stored "
    "_former_members _former_host _promised_s",
    "renewals": "_sequence",
}
UNUSED = {
    "": "_store _node _host _on_elected _on_step_down _claim_delay_s _seen_s "
    "_changed _store_failed members right renewals claims_disabled is_closed "
    "suspected_epoch store_answered_s claim_count",
    "members": "_own_host",
    "right": "_members _node _host last_answers",
    "renewals": "_store _members _right _term _renewing _needed",
}
"""Fields that are fixed here, or used only for the decision to claim and for logs."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance: its process's fields, and what the model adds to them.

    ``answers`` are the hosts that have confirmed it at this time. ``awaited`` is the
    claim whose answer it waits for. ``start_count`` tells the processes of one host
    apart.
    """

    host: str
    start_count: int = 0
    values: tuple[Any, ...] = ()
    held_epoch: int = 0
    acts_until_s: float = float("-inf")
    former_until_s: float = float("inf")
    answers: frozenset[str] = frozenset()
    awaited: LeaderRecord | None = None

    @property
    def is_up(self) -> bool:
        return bool(self.values)

    @property
    def offset(self) -> int | None:
        return self.values[0][1]


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


def _age(process: _Process, by_s: float) -> None:
    """Move all times of a process ``by_s`` into the past."""

    def aged(time_s: float) -> float:
        return max(time_s - by_s, OLDEST_S)

    right = process.right
    acting, former = right.acting, right.former
    right.acting = ActingRight(aged(acting.renewed_s), aged(acting.confirmed_s))
    right.former = FormerRight(
        aged(former.seen_s), aged(former.promised_s), aged(former.ended_s)
    )
    right._read_s, right._ended_s = aged(right._read_s), aged(right._ended_s)
    right._sending = (right._sending[0], aged(right._sending[1]))
    right._stored = [replace(r, sent_s=aged(r.sent_s)) for r in right._stored]
    right._promised_s = {h: aged(t) for h, t in right._promised_s.items()}


def _drop_unused(process: _Process) -> None:
    """Set what has no effect any more to fixed values, for fewer states."""
    right = process.right
    if not process.held_epoch:
        right._sending, process.renewals._sequence = (-1, OLDEST_S), 0
        right._stored.clear()
    if not process.held_epoch or right.is_settled:
        right.former = FormerRight(OLDEST_S)
        right._former_members, right._former_host = frozenset(), ""
        right._promised_s = {}
    elif right.former.promised_s <= 0:
        # Later promises don't change it: only the end of the bound matters.
        right.former = FormerRight(right.former.until_s - OUTAGE_LIMIT_TICKS)
        right._former_members, right._promised_s = frozenset(), {}
    if right.acting.confirmed_s + CONFIRMATION_TICKS <= 0:
        right.acting = replace(right.acting, confirmed_s=OLDEST_S)
    process._promised_epoch = max(process._promised_epoch, process._known_epoch)
    _age(process, 0.0)


def _ignore(*_: Any, **__: Any) -> None:
    return


def _run(step: Coroutine[Any, Any, Any]) -> None:
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError("a step waits")


class World:
    """Carry out steps of instances; times are in ticks, and it is always 0."""

    def __init__(self) -> None:
        self._store = Store()
        self._processes: dict[str, _Process] = {}
        process = self._new_process("")
        for part in PARTS:
            known = {*FIELDS[part].split(), *UNUSED[part].split()}
            assert set(vars(getattr(process, part) if part else process)) == known

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
        """Return an instance with the values of its process."""
        _drop_unused(process)
        parts = [getattr(process, part) if part else process for part in PARTS]
        values = tuple(
            tuple(_freeze(getattr(owner, name)) for name in FIELDS[part].split())
            for part, owner in zip(PARTS, parts, strict=True)
        )
        right = process.right
        is_same_term = process.held_epoch == instance.held_epoch > 0
        return replace(
            instance,
            values=values,
            held_epoch=process.held_epoch,
            acts_until_s=right.acting.until_s,
            former_until_s=right.former.until_s,
            answers=instance.answers if is_same_term else frozenset(),
        )

    def age(self, instance: Instance) -> Instance:
        """Let one tick pass."""
        if not instance.is_up:
            return instance
        process = self.load(instance)
        _age(process, 1.0)
        return self.save(replace(instance, answers=frozenset()), process)

    def simplify(self, instance: Instance, topic: Topic, may_claim: bool) -> Instance:
        """Return an instance without what has no effect any more, for fewer states."""
        if not instance.is_up or instance.awaited is not None:
            return instance
        process = self.load(instance)
        unread = topic.records[instance.offset or 0 :]
        if not may_claim or any(record.key == HOLDER_KEY for record in unread):
            # Used by a claim, before which the next record is read.
            process.right._read_s = OLDEST_S
        if may_claim or instance.held_epoch or not self.is_done(instance):
            return self.save(instance, process)
        process = self._new_process(instance.host)
        process._has_read, process._offset = True, 0
        process._process_id = ""
        process._promised_epoch = instance.values[0][3]
        process.members._members.add(instance.host)
        return self.save(Instance(instance.host, 1), process)

    def is_done(self, instance: Instance) -> bool:
        """Return whether an instance that claims no more has nothing more to read.

        It confirms the more the less it has read.
        """
        process = self.load(instance)
        is_open = process._open_claim_offset is not None
        has_read = process.has_read and process.members.is_registered
        return has_read and not is_open and not process.held_epoch

    def may_gain(self, instance: Instance) -> bool:
        """Return whether the answers to questions may have an effect.

        Else they only keep other leaders from acting.
        """
        acting = self.load(instance).right.acting
        has_gain = acting.confirm(0.0).until_s > max(acting.until_s, 0.0)
        return instance.former_until_s > 0 or has_gain

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
            _run(process.renewals.append(record))
        except FencedError as error:
            process.step_down(str(error))
        except SequenceError as error:
            process.renewals._sequence = error.expected

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
        hosts = instance.answers | ({host} - {instance.host})
        # The time of an answer has an effect only when it is first applied.
        answers = dict.fromkeys(hosts, 0.0)
        process.apply_round(ConfirmationRound(process.held_epoch, 0.0, answers, False))
        answered = replace(instance, answers=hosts)
        return self.save(answered, process)

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

            patch(acting_right, "CLOCK_DRIFT", 0.0)
            patch(acting_right, "LEADERSHIP_LEASE_S", LEASE_TICKS)
            patch(acting_right, "CONFIRMATION_S", CONFIRMATION_TICKS)
            patch(acting_right, "OUTAGE_LIMIT_S", OUTAGE_LIMIT_TICKS)
            for module in (leadership, leader_right, membership, renewals):
                patch(module, "logger", silent)
            patch(leader_right, "OUTAGE_LIMIT_S", OUTAGE_LIMIT_TICKS)
            # It bounds leases of workers, which the model doesn't know.
            patch(leader_right.LeaderRight, "handed_over", lambda *_: HANDED_OVER)
            for module in (leadership, leader_right):
                patch(module, "boot_now_s", lambda: 0.0)
                patch(module, "loop_now_s", lambda: 0.0)
            for module in (leadership, renewals):
                patch(module, "asyncio", fake_asyncio)
            yield self
