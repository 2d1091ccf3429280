"""The rules of leadership, each weakened, for the model to find what follows."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager, nullcontext
from typing import Any
from unittest import mock

from cicadatrail_core.leadership import acting_right
from cicadatrail_core.leadership.acting_right import ActingRight, FormerRight
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling import leader_right
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.leader_right import LeaderRight
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.membership import CLAIMED_KEY, Membership

# ruff: noqa: SLF001

_promise = Leadership.promise
_note_stored = LeaderRight.note_stored
_begin = LeaderRight.begin
_apply = Membership.apply


def _until_without_limit(right: ActingRight) -> float:
    confirmed_until_s = right.confirmed_s + acting_right.CONFIRMATION_S
    return max(right.lease_until_s, confirmed_until_s)


def _promise_unread(leadership: Leadership, epoch: int) -> bool:
    leadership._has_read = True
    return _promise(leadership, epoch)


def _promise_any(leadership: Leadership, epoch: int) -> bool:
    leadership._promised_epoch = 0
    return _promise(leadership, epoch)


def _note_repeat(right: LeaderRight, sequence: int) -> float:
    # The model's time is always 0.
    right._sending = (sequence, 0.0)
    return 0.0


def _renew_unread(
    right: LeaderRight, sequence: int, sent_s: float, end_offset: int
) -> None:
    _note_stored(right, sequence, sent_s, end_offset)
    right.acting = right.acting.renew(sent_s)


def _until_by_promises(right: FormerRight) -> float:
    promise_until_s = right.promised_s + acting_right.CONFIRMATION_S
    limit_s = right.seen_s + acting_right.OUTAGE_LIMIT_S
    return min(limit_s, promise_until_s, right.ended_s)


def _block_with_fewer(promised_s: Mapping[str, float], members: Collection[str]) -> Any:
    times = sorted(promised_s[member] for member in members if member in promised_s)
    needed_count = len(members) - len(members) // 2 - 1
    is_blocked = 0 < needed_count <= len(times)
    return times[needed_count - 1] if is_blocked else math.inf


def _confirm_by_known(members: Membership, hosts: Collection[str]) -> bool:
    return acting_right.is_majority(hosts, members.known_hosts)


def _begin_settled(right: LeaderRight, predecessor: LeaderRecord | None) -> None:
    settled_epoch = right._members.settled_epoch
    right._members.settled_epoch = predecessor.epoch if predecessor else 0
    right._members.settled_epoch += right._members.claimed_epoch
    _begin(right, predecessor)
    right._members.settled_epoch = settled_epoch


def _apply_unclaimed(members: Membership, record: KeyedRecord) -> bool:
    return record.key == CLAIMED_KEY or _apply(members, record)


REFUSALS = "a refused connection confirms"
"""Weakens the model's links, not a class."""

MUTANTS: dict[str, tuple[Any, str, Callable[..., Any] | property]] = {
    "no outage limit for the leader": (
        ActingRight,
        "until_s",
        property(_until_without_limit),
    ),
    "an instance confirms before it has read the topic": (
        Leadership,
        "promise",
        _promise_unread,
    ),
    "an instance confirms an older leader after a promise": (
        Leadership,
        "promise",
        _promise_any,
    ),
    "a renewal counts from its repeat": (LeaderRight, "note_sending", _note_repeat),
    "a renewal counts before it is read": (LeaderRight, "note_stored", _renew_unread),
    "a successor doesn't wait for the lease": (
        FormerRight,
        "until_s",
        property(_until_by_promises),
    ),
    "promises of fewer than half suffice": (
        leader_right,
        "blocking_time_s",
        _block_with_fewer,
    ),
    "unread acknowledgements are ignored": (
        Membership,
        "is_confirmed_by",
        _confirm_by_known,
    ),
    "settled is ignored": (LeaderRight, "begin", _begin_settled),
    "claimed is ignored": (Membership, "apply", _apply_unclaimed),
}


@contextmanager
def weakened(name: str) -> Iterator[None]:
    """Run with a rule weakened; REFUSALS and "" change no class."""
    found = MUTANTS.get(name)
    with mock.patch.object(*found) if found else nullcontext():
        yield
