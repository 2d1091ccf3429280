"""Tracks the lease that allows an owner to use its rights.

Leases run from when the request was sent and follow Chubby's sequencing of
lock holders (Burrows, 2006). Fencing is part of the rule for freeing rights,
because workers do not fence.
"""

from __future__ import annotations

import math
from heapq import nlargest

from cicadatrail_core.models.records import PulseRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.rights.quorum import grants_needed
from cicadatrail_core.rights.timing import RightsTiming


class RightsLease:
    """Track the lease of one incarnation on its own monotonic clock.

    The owner may use its rights within ``support_s`` of sending a heartbeat
    that it has read back from the log, or of sending requests that floor(n/2)
    of the other members of its region have granted, where the region has n
    members.
    """

    __slots__ = (
        "_granted_until_s",
        "_heartbeats_sent_s",
        "_incarnation",
        "_joined_offset",
        "_log_until_s",
        "_next_number",
        "_requests_sent_s",
        "_timing",
    )

    def __init__(self, incarnation: IncarnationId, timing: RightsTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._joined_offset: int | None = None
        self._log_until_s = -math.inf
        self._granted_until_s: dict[IncarnationId, float] = {}
        self._heartbeats_sent_s: dict[int, float] = {}
        self._requests_sent_s: dict[int, float] = {}
        self._next_number = 1

    def start_heartbeat(
        self, state: State, now_s: float, listed: bool = False
    ) -> PulseRecord:
        """Return a heartbeat to append; call immediately before sending it.

        ``listed`` states whether the instance list has shown this instance.
        Without it, instances that start after all others have ended may never
        be able to prove this one dead.
        """
        sequence = self._take_number()
        self._forget_old(self._heartbeats_sent_s, now_s)
        self._heartbeats_sent_s[sequence] = now_s
        return PulseRecord(self._incarnation, sequence, state.next_offset, listed)

    def note_heartbeat(self, record: PulseRecord) -> None:
        """Extend the lease by an own heartbeat that was read back from the log.

        Call this only after every record before it has been folded into the
        state that is passed to :meth:`may_use_rights`.
        """
        sent_s = self._heartbeats_sent_s.get(record.sequence)
        if record.incarnation != self._incarnation or sent_s is None:
            return
        until_s = self._lease_end_s(sent_s)
        self._log_until_s = max(self._log_until_s, until_s)

    def start_request(self, state: State, now_s: float) -> SupportRequest | None:
        """Return a request to send to every peer now, or None before joining."""
        member = self._own_member(state)
        if member is None:
            return None
        number = self._take_number()
        self._forget_old(self._requests_sent_s, now_s)
        self._requests_sent_s[number] = now_s
        return SupportRequest(self._incarnation, member.joined_offset, number)

    def note_reply(self, reply: SupportReply, now_s: float) -> None:
        """Record a reply; denials and late or foreign replies are ignored."""
        sent_s = self._requests_sent_s.get(reply.number)
        if reply.asker != self._incarnation or sent_s is None or not reply.granted:
            return
        until_s = self._lease_end_s(sent_s)
        known_s = self._granted_until_s.get(reply.supporter, -math.inf)
        self._granted_until_s[reply.supporter] = max(known_s, until_s)
        self._forget_expired(now_s)

    def request_sent_s(self, number: int) -> float | None:
        """Return when a request was sent, or None for an old or foreign number."""
        return self._requests_sent_s.get(number)

    @property
    def log_until_s(self) -> float:
        """Return until when the newest heartbeat read back proves the log tail."""
        return self._log_until_s

    def may_use_rights(self, state: State, now_s: float) -> bool:
        """Return whether the owner may use its rights at this moment.

        Check this immediately before each send, with no await between.
        """
        return now_s < self.leased_until_s(state)

    def leased_until_s(self, state: State) -> float:
        """Return the end of the lease as known now."""
        member = self._own_member(state)
        if member is None or member.retire_offset is not None:
            return -math.inf
        return max(self._log_until_s, self._peers_until_s(state, member))

    def _peers_until_s(self, state: State, member: Member) -> float:
        region = member.place.region
        others = [
            other.incarnation
            for other in state.roster.values()
            if other.place.region == region and other.incarnation != self._incarnation
        ]
        needed_count = grants_needed(len(others) + 1)
        if needed_count == 0:
            return math.inf
        ends_s = [
            self._granted_until_s[other]
            for other in others
            if other in self._granted_until_s
        ]
        if len(ends_s) < needed_count:
            return -math.inf
        return nlargest(needed_count, ends_s)[-1]

    def _own_member(self, state: State) -> Member | None:
        """Return the own member entry, or None if a later join replaced it."""
        member = state.roster.get(self._incarnation)
        if member is None:
            return None
        if self._joined_offset is None:
            self._joined_offset = member.joined_offset
        return member if member.joined_offset == self._joined_offset else None

    def _lease_end_s(self, sent_s: float) -> float:
        return sent_s + self._timing.support_s

    def _take_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number

    def _forget_expired(self, now_s: float) -> None:
        for supporter in list(self._granted_until_s):
            if self._granted_until_s[supporter] < now_s:
                del self._granted_until_s[supporter]

    def _forget_old(self, sent_s: dict[int, float], now_s: float) -> None:
        """Drop entries too old to extend the lease; dicts keep sending order."""
        oldest_s = now_s - self._timing.support_s
        while sent_s:
            number = next(iter(sent_s))
            if sent_s[number] >= oldest_s:
                return
            del sent_s[number]
