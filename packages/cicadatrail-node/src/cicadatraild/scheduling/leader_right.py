"""An instance's right to act as the leader, and what it knows of its predecessors'."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass

from cicadatrail_core.leadership.acting_right import (
    OUTAGE_LIMIT_S,
    ActingRight,
    FormerRight,
    blocking_time_s,
)
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s
from cicadatraild.scheduling.last_answers import LastAnswers
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.membership import Membership

logger = logging.getLogger("cicadatrail.leadership")


@dataclass(frozen=True, slots=True)
class ConfirmationRound:
    """The answers of other instances to the question whether they follow an epoch.

    ``asked_s`` is when they were asked, ``confirmed_s`` when each host confirmed, both
    on the boot clock. ``has_objection`` is set when one may have been elected.
    """

    epoch: int
    asked_s: float
    confirmed_s: Mapping[str, float]
    has_objection: bool


@dataclass(frozen=True, slots=True)
class _StoredRenewal:
    """A renewal that the store has acknowledged and that was not read back yet."""

    sequence: int
    sent_s: float
    end_offset: int


class LeaderRight:
    """Track the right of this instance to act, and until when earlier leaders may.

    ``last_answers`` has the workers that earlier leaders did not reach. Times are on
    the boot clock, which counts suspended time.
    """

    def __init__(self, members: Membership, node: str, host: str) -> None:
        self._members = members
        self._node = node
        self._host = host
        self.last_answers = LastAnswers()
        self.acting = ActingRight()
        self.former = FormerRight(float("-inf"))
        self._has_record = False
        self._read_s = boot_now_s()
        # When this process last led, after which it gave no lease.
        self._ended_s = float("-inf")
        self._sending: tuple[int, float] = (-1, 0.0)
        self._stored: list[_StoredRenewal] = []
        self._former_members: frozenset[str] = frozenset()
        self._former_host = ""
        self._promised_s: dict[str, float] = {}

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; return whether it is one on the workers not reached."""
        return self.last_answers.apply(record)

    def note_record(self) -> None:
        """Record that a leader's record has just been read, even an invalid one."""
        self._has_record = True
        self._read_s = boot_now_s()

    def begin(self, predecessor: LeaderRecord | None) -> None:
        """Begin a term after ``predecessor``, the newest leader in the topic.

        The right to act begins with the first renewal that is read back.
        """
        self.acting = ActingRight()
        self._sending = (-1, 0.0)
        self._stored.clear()
        self._promised_s = {self._host: boot_now_s()}
        self._former_members = frozenset()
        self._former_host = ""
        self.former = FormerRight(self._read_s if self._has_record else float("-inf"))
        if predecessor is None:
            self.last_answers.begin(0)
            return
        newest_epoch = max(predecessor.epoch, self._members.claimed_epoch)
        self.last_answers.begin(newest_epoch)
        if self._members.settled_epoch < newest_epoch:
            # Earlier leaders may act as well, and their instances are not known.
            return
        self._former_members = self._members.known_hosts
        self._former_host = predecessor.host
        if predecessor.released or predecessor.node == self._node:
            self.former = self.former.end(max(self._read_s, self._ended_s))

    def end(self) -> None:
        """End this instance's own right at once."""
        self._ended_s = boot_now_s()
        self.acting = ActingRight()
        self._stored.clear()
        self.last_answers.end()

    def held_lease_ago(self, age_s: float) -> bool:
        """Return whether no other instance had been elected ``age_s`` ago.

        A renewal that was read back in this term proves that for all times before it.
        """
        return boot_now_s() - age_s < self.acting.lease_until_s

    @property
    def is_settled(self) -> bool:
        """Return whether no earlier leader can act any more."""
        return boot_now_s() >= self.former.until_s

    @property
    def former_until_loop_s(self) -> float:
        """Return until when an earlier leader may act, on the event loop's clock.

        A predecessor that has handed over may know that its own have ended.
        """
        until_s = loop_now_s() + self.former.until_s - boot_now_s()
        return min(until_s, self.last_answers.former_until_loop_s)

    def handed_over(self, epoch: int) -> KeyedRecord:
        """Return what this instance tells its successor of the earlier leaders."""
        left_s = self.former_until_loop_s - loop_now_s()
        return self.last_answers.record(epoch, left_s)

    def note_sending(self, sequence: int) -> float:
        """Return when the append of a sequence number is first sent.

        The store answers a repeat like the first one, which others may have read long
        ago.
        """
        if self._sending[0] != sequence:
            self._sending = (sequence, boot_now_s())
        return self._sending[1]

    def has_sent(self, sequence: int) -> bool:
        """Return whether an append of a sequence number is under way."""
        return self._sending[0] == sequence

    def note_stored(self, sequence: int, sent_s: float, end_offset: int) -> None:
        """Record that the store has acknowledged a renewal."""
        self._stored.append(_StoredRenewal(sequence, sent_s, end_offset))

    def has_lost_track(self) -> bool:
        """Return whether a stored renewal was not read back while it counted."""
        since_s = min((r.sent_s for r in self._stored), default=float("inf"))
        return boot_now_s() - since_s > OUTAGE_LIMIT_S

    def forget_stored(self) -> None:
        """Don't count renewals that can't be read back in order any more.

        The newest record of the leader may hide a claim that came before it.
        """
        self._stored.clear()

    def note_offset(self, offset: int) -> None:
        """Prolong the lease by the renewals before ``offset``, which were read back.

        A claim before one of them has ended this term.
        """
        read = [renewal for renewal in self._stored if renewal.end_offset <= offset]
        self._stored = [r for r in self._stored if r.end_offset > offset]
        for renewal in read:
            self.acting = self.acting.renew(renewal.sent_s)
            self._members.mark_read(renewal.sequence)

    def apply_round(self, answers: ConfirmationRound) -> None:
        """Apply the answers of the other instances, for this instance's epoch."""
        hosts = {self._host, *answers.confirmed_s}
        if not answers.has_objection and self._members.is_confirmed_by(hosts):
            self.acting = self.acting.confirm(answers.asked_s)
        if not self.is_settled:
            self._apply_promises(answers.confirmed_s)

    def _apply_promises(self, confirmed_s: Mapping[str, float]) -> None:
        before = self.former
        for host, answered_s in confirmed_s.items():
            self._promised_s.setdefault(host, answered_s)
        blocked_s = blocking_time_s(self._promised_s, self._former_members)
        if math.isfinite(blocked_s):
            self.former = self.former.promise(blocked_s)
        if self._former_host in confirmed_s:
            self.former = self.former.end(confirmed_s[self._former_host])
        if self.former != before:
            logger.info(
                "leadership: end of earlier leaders is known.",
                extra={
                    "proof": self.former.proof,
                    "left_s": round(self.former.until_s - boot_now_s(), 3),
                    "promised": sorted(self._promised_s),
                },
            )
