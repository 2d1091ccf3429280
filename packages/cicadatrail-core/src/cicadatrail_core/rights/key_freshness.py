"""Decides whether the local state is recent enough to check API keys.

A withdrawn key must stop working at every serving instance within the lease
time, yet an outage of the log alone must not interrupt service. The module
also decides when the verdict on a record may be reported to its submitter.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.support import SupportReply
from cicadatrail_core.rights.quorum import (
    acknowledgements_needed,
    grants_needed,
    rosters_between,
)
from cicadatrail_core.rights.timing import RightsTiming


class AttestationScope(Enum):
    """Select whose attestations are required while the log can't be read."""

    EVERY_REGION = "every-region"
    OWN_REGION = "own-region"


@dataclass(frozen=True, slots=True)
class Current:
    """The local state is recent enough to check keys."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The local state may miss a withdrawn key, so the request must not run.

    ``unattested`` names the members that may know a newer configuration.
    """

    unattested: tuple[IncarnationId, ...]


@dataclass(frozen=True, slots=True)
class _Attestation:
    version: int
    sent_s: float


class KeyFreshness:
    """Decide whether one incarnation's state is recent enough to check keys."""

    __slots__ = ("_attestations", "_incarnation", "_scope", "_timing")

    def __init__(
        self,
        incarnation: IncarnationId,
        timing: RightsTiming,
        scope: AttestationScope = AttestationScope.EVERY_REGION,
    ) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._scope = scope
        self._attestations: dict[IncarnationId, _Attestation] = {}

    def note_reply(self, reply: SupportReply, sent_s: float) -> None:
        """Record the configuration version that a member had after ``sent_s``.

        ``sent_s`` is when the request was sent, not when the reply arrived.
        """
        known = self._attestations.get(reply.supporter)
        if known is None or known.sent_s < sent_s:
            attestation = _Attestation(reply.version, sent_s)
            self._attestations[reply.supporter] = attestation
            self._forget_before(sent_s - self._timing.support_s)

    def evaluate(
        self,
        state: State,
        now_s: float,
        log_until_s: float,
        dead: Collection[IncarnationId],
    ) -> Current | Stale:
        """Return whether keys may be checked against ``state`` at this moment.

        They may until ``log_until_s``, and while every other member that is
        neither retired nor dead has attested that it knows no newer version.
        At least as many members must attest as an owner needs for its lease:
        a verdict is reported only once any such set includes a member that
        has folded it.
        """
        if now_s < log_until_s:
            return Current()
        unattested = tuple(
            member.incarnation
            for member in self._members_to_ask(state)
            if not self._is_attested(state, member.incarnation, now_s)
        )
        live = tuple(other for other in unattested if other not in dead)
        if live:
            return Stale(live)
        if not self._has_attested_quorum(state, now_s):
            return Stale(unattested)
        return Current()

    def _has_attested_quorum(self, state: State, now_s: float) -> bool:
        own = state.roster.get(self._incarnation)
        if own is None:
            return False
        region = [
            m for m in state.roster.values() if m.place.region == own.place.region
        ]
        attested = [m for m in region if self._is_attested(state, m.incarnation, now_s)]
        return len(attested) >= grants_needed(len(region))

    def _forget_before(self, oldest_s: float) -> None:
        for supporter in list(self._attestations):
            if self._attestations[supporter].sent_s < oldest_s:
                del self._attestations[supporter]

    def _members_to_ask(self, state: State) -> list[Member]:
        own = state.roster.get(self._incarnation)
        members = [
            member
            for member in state.roster.values()
            if member.incarnation != self._incarnation and member.retire_offset is None
        ]
        if self._scope is AttestationScope.EVERY_REGION or own is None:
            return members
        return [m for m in members if m.place.region == own.place.region]

    def _is_attested(
        self, state: State, incarnation: IncarnationId, now_s: float
    ) -> bool:
        attestation = self._attestations.get(incarnation)
        if attestation is None:
            return False
        if attestation.version > state.version:
            return False
        return now_s < attestation.sent_s + self._timing.support_s


def may_report(
    state: State, record_offset: int, folded_offsets: Mapping[IncarnationId, int]
) -> bool:
    """Return whether the verdict on a record may be reported to its submitter.

    In each membership that a member may still use to evaluate its lease, enough
    members must have folded the record that the others can't grant each other
    leases. Otherwise a minority could report a verdict and fail, and the rest,
    cut off from the log, would keep serving without it. ``folded_offsets`` are
    the members' attested ``next_offset``; heartbeats in the log count as well.
    """
    known = {
        member.incarnation
        for member in state.roster.values()
        if member.folded_offset > record_offset
        or folded_offsets.get(member.incarnation, 0) > record_offset
    }
    oldest: dict[str, int] = {}
    for member in state.roster.values():
        region = member.place.region
        oldest[region] = min(
            oldest.get(region, member.folded_offset), member.folded_offset
        )
    return all(
        len(known.intersection(roster)) >= acknowledgements_needed(len(roster))
        for region, start_offset in oldest.items()
        for roster in rosters_between(state, region, start_offset, record_offset + 1)
    )
