"""Whether an instance may judge keys now, and when a verdict may be told.

A key that was withdrawn must stop within the support time at every instance
that serves, yet an outage of the log alone must not stop service.
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
    """Choose whose attestation counts while the log can't be read."""

    EVERY_REGION = "every-region"
    OWN_REGION = "own-region"


@dataclass(frozen=True, slots=True)
class Current:
    """Say that keys may be judged by the state at hand."""


@dataclass(frozen=True, slots=True)
class Stale:
    """Say that a key may have been withdrawn; the request is truly not run.

    ``unattested`` names the members that might know more.
    """

    unattested: tuple[IncarnationId, ...]


@dataclass(frozen=True, slots=True)
class _Attestation:
    version: int
    sent_s: float


class KeyFreshness:
    """Judge whether one incarnation's state is current enough for keys."""

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
        """Note the configuration version of a member after ``sent_s``.

        ``sent_s`` is when the request was sent, not when the reply came.
        """
        known = self._attestations.get(reply.supporter)
        if known is None or known.sent_s < sent_s:
            attestation = _Attestation(reply.version, sent_s)
            self._attestations[reply.supporter] = attestation
            self._forget_before(sent_s - self._timing.support_s)

    def judge(
        self,
        state: State,
        now_s: float,
        log_until_s: float,
        dead: Collection[IncarnationId],
    ) -> Current | Stale:
        """Tell whether keys may be judged by ``state`` at this moment.

        They may until ``log_until_s``, and while every other member that is
        neither retired nor dead has attested to know no newer version.
        As many as a holder needs for support must be among those attesting:
        a verdict was told only after one of any so many had folded it.
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
        if not self._is_supported(state, now_s):
            return Stale(unattested)
        return Current()

    def _is_supported(self, state: State, now_s: float) -> bool:
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
    """Tell whether the verdict on a record may be told to its submitter.

    In each roster by which a member may still judge its support, so many must
    have folded the record that the others can't support each other. Otherwise
    a minority could tell a verdict and vanish, and the rest, cut off from the
    log, would serve on without it. ``folded_offsets`` are ``next_offset`` of
    the members as they attested it; the log's pulses count as well.
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
