"""Grants leases to peers and acknowledges their retirement."""

from __future__ import annotations

import math
from collections.abc import Collection

from cicadatrail_core.models.records import RetireAckRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.rights.timing import RightsTiming


class LeaseGrantor:
    """Grant leases to members of the region and track when they expire."""

    __slots__ = ("_expiry_s", "_incarnation", "_timing")

    def __init__(self, incarnation: IncarnationId, timing: RightsTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._expiry_s: dict[IncarnationId, float] = {}

    def answer(
        self, state: State, request: SupportRequest, now_s: float
    ) -> SupportReply:
        """Answer a lease request from the newest state folded here.

        The lease is granted to a member of the same region unless a retire
        record for it was folded.
        """
        granted = self._may_grant(state, request)
        if granted:
            self._forget_expired(now_s)
            self._expiry_s[request.asker] = now_s + self._timing.support_wait_s
        return SupportReply(
            supporter=self._incarnation,
            asker=request.asker,
            number=request.number,
            granted=granted,
            folded_offset=state.next_offset,
            version=state.version,
        )

    def acknowledgements(
        self,
        state: State,
        now_s: float,
        unsettled_lenders: Collection[IncarnationId] = (),
    ) -> tuple[RetireAckRecord, ...]:
        """Return the acknowledgements to append now.

        Members whose granted lease has not expired are left out, and so are
        lenders whose slots run tasks here that the log doesn't charge to this
        member.
        """
        return tuple(
            RetireAckRecord(member.incarnation, self._incarnation)
            for member in state.roster.values()
            if self._is_due(member)
            and member.incarnation not in unsettled_lenders
            and self._has_expired(member.incarnation, now_s)
        )

    def _may_grant(self, state: State, request: SupportRequest) -> bool:
        own = state.roster.get(self._incarnation)
        asker = state.roster.get(request.asker)
        if own is None or asker is None or asker.retire_offset is not None:
            return False
        if asker.joined_offset != request.joined_offset:
            return False
        return asker.place.region == own.place.region

    def _is_due(self, member: Member) -> bool:
        if member.retire_offset is None or member.incarnation == self._incarnation:
            return False
        return self._incarnation not in member.acknowledged_by

    def _forget_expired(self, now_s: float) -> None:
        for asker in list(self._expiry_s):
            if self._expiry_s[asker] <= now_s:
                del self._expiry_s[asker]

    def _has_expired(self, incarnation: IncarnationId, now_s: float) -> bool:
        return now_s >= self._expiry_s.get(incarnation, -math.inf)
