"""How long a leader may act without the store, and when its successor may rely on that.

A leader acts while a renewal of its record is fresh. After that it may go on for a
limited time if a majority of the instances that it knows confirms that none of them
follows a newer leader. A successor knows until when its predecessors may act:

- no longer than ``OUTAGE_LIMIT_S`` after their last record was read, or
- no longer than ``CONFIRMATION_S`` after so many of the predecessor's instances have
  promised to follow the successor that the others are no majority.

All times are in seconds on the steady clock of one machine.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

LEASE_S = 1.0
"""Time for which a leader may act after it sent a renewal that was stored before any
other claim. Shorter than the silence after which others claim leadership."""

CONFIRMATION_S = 0.5
"""Time for which a leader may act after it asked a majority that confirmed it."""

OUTAGE_LIMIT_S = 6.0
"""Time for which a confirmed leader may act after sending its last stored renewal.

A successor that no majority follows waits for as long before it counts on the end of
leases of workers that it doesn't reach.
"""


CLOCK_DRIFT = 0.02
"""Largest fraction by which the former leader's clock runs slow."""


@dataclass(frozen=True, slots=True)
class ActingRight:
    """The right of one leader to start subtasks and to renew the leases of workers.

    ``renewed_s`` is when its newest renewal was first sent that it has read back before
    any claim of a newer epoch, ``confirmed_s`` when it asked the newest round of
    questions that a majority has confirmed.
    """

    renewed_s: float = float("-inf")
    confirmed_s: float = float("-inf")

    @property
    def lease_until_s(self) -> float:
        """Return until when no other instance can have been elected."""
        return self.renewed_s + LEASE_S

    @property
    def until_s(self) -> float:
        """Return until when the leader may act."""
        confirmed_until_s = self.confirmed_s + CONFIRMATION_S
        limit_s = self.renewed_s + OUTAGE_LIMIT_S
        return max(self.lease_until_s, min(confirmed_until_s, limit_s))

    def renew(self, sent_s: float) -> ActingRight:
        """Return the right after a renewal that was first sent at ``sent_s``."""
        return replace(self, renewed_s=max(self.renewed_s, sent_s))

    def confirm(self, asked_s: float) -> ActingRight:
        """Return the right after a majority has confirmed a round of questions."""
        return replace(self, confirmed_s=max(self.confirmed_s, asked_s))


@dataclass(frozen=True, slots=True)
class FormerRight:
    """The bound of the rights of all earlier leaders, as their successor knows it.

    ``seen_s`` is when the successor last read a record of theirs, or -inf if there was
    no earlier leader. ``promised_s`` is when the last instance that was needed promised
    to follow the successor, ``ended_s`` when they are known to have stopped acting.
    """

    seen_s: float
    promised_s: float = float("inf")
    ended_s: float = float("inf")

    @property
    def until_s(self) -> float:
        """Return until when an earlier leader may act."""
        lease_until_s = self.seen_s + _longest_s(LEASE_S)
        confirmed_until_s = self.promised_s + _longest_s(CONFIRMATION_S)
        promise_until_s = max(lease_until_s, confirmed_until_s)
        return min(self._limit_s, promise_until_s, self.ended_s)

    @property
    def last_round_s(self) -> float:
        """Return until when an earlier leader may begin a round that confirms it.

        It may have its lease until then as well, and acts on the last round after it.
        """
        lease_until_s = self.seen_s + _longest_s(LEASE_S)
        promise_until_s = max(lease_until_s, self.promised_s)
        return min(self._limit_s, promise_until_s, self.ended_s)

    @property
    def _limit_s(self) -> float:
        return self.seen_s + _longest_s(OUTAGE_LIMIT_S)

    @property
    def proof(self) -> str:
        """Return what the bound rests on, for the log."""
        if self.until_s == self.ended_s or self.seen_s == float("-inf"):
            return "ended"
        return "outage limit" if self.until_s == self._limit_s else "promises"

    def promise(self, promised_s: float) -> FormerRight:
        """Return the bound once enough instances have promised."""
        return replace(self, promised_s=min(self.promised_s, promised_s))

    def end(self, ended_s: float) -> FormerRight:
        """Return the bound once the earlier leaders are known to have stopped."""
        return replace(self, ended_s=min(self.ended_s, ended_s))


def _longest_s(duration_s: float) -> float:
    """Return how long a duration on the former leader's clock may take."""
    return duration_s / (1 - CLOCK_DRIFT)


def is_majority(confirmed: Collection[str], members: Collection[str]) -> bool:
    """Return whether more than half of ``members`` have confirmed."""
    return 2 * len(set(confirmed) & set(members)) > len(set(members))


def blocking_time_s(promised_s: Mapping[str, float], members: Collection[str]) -> float:
    """Return when so many members had promised that the others are no majority.

    ``promised_s`` has the time of each instance's promise. Returns inf if too few of
    ``members`` have promised, or if there are none.
    """
    known = set(members)
    needed_count = len(known) - len(known) // 2
    times = sorted(promised_s[member] for member in known if member in promised_s)
    if not known or len(times) < needed_count:
        return float("inf")
    return times[needed_count - 1]
