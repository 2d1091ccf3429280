"""Weakened variants of the rights rule; the model must detect each of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import replace
from typing import Any
from unittest import mock

from cicadatrail_core.fold import holdings, membership
from cicadatrail_core.models.loans import LoanGrant
from cicadatrail_core.models.records import PulseRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.rights import freeing, quorum
from cicadatrail_core.rights.borrower import BorrowedSlots
from cicadatrail_core.rights.freeing import Reclaimer
from cicadatrail_core.rights.key_freshness import Current, KeyFreshness, Stale
from cicadatrail_core.rights.lease_grantor import LeaseGrantor
from cicadatrail_core.rights.rights_lease import RightsLease
from features.support.rights_node import SimNode

# ruff: noqa: SLF001


class _NoWaitReclaimer(Reclaimer):
    """Doesn't wait for granted leases to expire after reading a retire record."""

    def _note_disabled(
        self,
        state: State,
        incarnation: IncarnationId,
        now_s: float,
        dead_since_s: Mapping[IncarnationId, float],
    ) -> None:
        self._retire_read_s[incarnation] = now_s - self._timing.support_wait_s
        super()._note_disabled(state, incarnation, now_s, dead_since_s)


class _ImmediateAckGrantor(LeaseGrantor):
    """Acknowledges a retirement before the leases that it granted have expired."""

    def _has_expired(self, incarnation: IncarnationId, now_s: float) -> bool:
        return True


class _JoinIgnoringGrantor(LeaseGrantor):
    """Doesn't check when the asking member joined."""

    def _may_grant(self, state: State, request: SupportRequest) -> bool:
        own = state.roster.get(self._incarnation)
        asker = state.roster.get(request.asker)
        if own is None or asker is None or asker.retire_offset is not None:
            return False
        return asker.place.region == own.place.region


class _ReplyTimedLease(RightsLease):
    """Counts a granted lease from the reply instead of the request."""

    def note_reply(self, reply: SupportReply, now_s: float) -> None:
        if reply.granted:
            self._granted_until_s[reply.supporter] = self._lease_end_s(now_s)


class _ReadTimedLease(RightsLease):
    """Counts a heartbeat from reading it back instead of sending it."""

    def note_read(self, now_s: float) -> None:
        self._log_until_s = self._lease_end_s(now_s)


class _UncappedBorrower(BorrowedSlots):
    """Doesn't end a loan with the lease of its lender."""

    def _lease_end_s(self, sent_s: float, grant: LoanGrant) -> float:
        return sent_s + self._timing.support_s


class _MajorityFreshness(KeyFreshness):
    """Accepts attestations of a majority instead of all live members."""

    def evaluate(
        self,
        state: State,
        now_s: float,
        log_until_s: float,
        dead: Collection[IncarnationId],
    ) -> Current | Stale:
        judged = super().evaluate(state, now_s, log_until_s, dead)
        if isinstance(judged, Current):
            return judged
        others = self._members_to_ask(state)
        attested = [m for m in others if self._is_attested(state, m.incarnation, now_s)]
        needed = quorum.grants_needed(len(others) + 1)
        return Current() if len(attested) >= needed else judged


class _NoWaitNode(SimNode):
    reclaimer_class = _NoWaitReclaimer


class _ImmediateAckNode(SimNode):
    lease_grantor_class = _ImmediateAckGrantor


class _JoinIgnoringNode(SimNode):
    lease_grantor_class = _JoinIgnoringGrantor


class _ReplyTimedLeaseNode(SimNode):
    rights_lease_class = _ReplyTimedLease


class _ReadTimedLeaseNode(SimNode):
    rights_lease_class = _ReadTimedLease

    def note_own_heartbeat(self, record: PulseRecord) -> None:
        assert isinstance(self.rights_lease, _ReadTimedLease)
        self.rights_lease.note_read(self.clock_s)


class _UncappedLoanNode(SimNode):
    borrower_class = _UncappedBorrower


class _MajorityFreshnessNode(SimNode):
    key_freshness_class = _MajorityFreshness


class _ReplyTimedAttestationNode(SimNode):
    def note_lease_reply(self, reply: SupportReply) -> None:
        super().note_lease_reply(reply)
        self.key_freshness.note_reply(reply, self.clock_s)


class _ImmediateReportNode(SimNode):
    def may_report(self, offset: int) -> bool:
        return True


def _newest_roster(
    state: State, region: str, start_offset: int, end_offset: int
) -> Iterator[tuple[IncarnationId, ...]]:
    changes = [c for c in state.roster_changes if c.region == region]
    if changes:
        yield changes[-1].members


def _rosters_since_heartbeat(
    state: State,
    member: Member,
    retire_offset: int,
    dead: Collection[IncarnationId],
) -> bool:
    refusing = {*member.acknowledged_by, *dead} - {member.incarnation}
    rosters = quorum.rosters_between(
        state, member.place.region, member.last_pulse_offset, retire_offset
    )
    return all(
        len(refusing.intersection(roster))
        >= quorum.acknowledgements_needed(len(roster))
        for roster in rosters
    )


def _if_retired(state: State, incarnation: IncarnationId, _: object) -> bool:
    member = state.roster.get(incarnation)
    return member is not None and member.retire_offset is not None


def _accept_any_sequence(
    state: State, incarnation: IncarnationId, sequence: int
) -> State | None:
    member = state.roster.get(incarnation)
    if member is None:
        return None
    updated = replace(member, rights_sequence=max(member.rights_sequence, sequence))
    return replace(state, roster={**state.roster, incarnation: updated})


def _all_dead(
    dead_since_s: Mapping[IncarnationId, float], wait_s: float, now_s: float
) -> tuple[IncarnationId, ...]:
    return tuple(sorted(dead_since_s))


def _one_acknowledgement_fewer(count: int) -> int:
    return max(0, count - count // 2 - 1)


def _unguarded_allowance(state: State, team_id: str, incarnation: IncarnationId) -> int:
    """Return the owner's proportional part of the limit, rounded up, if exceeded."""
    slots = state.slots.get(team_id, {})
    team = state.teams.get(team_id)
    limit = team.upper_limit_tasks if team else 0
    owned = slots.get(incarnation, 0)
    total = sum(slots.values())
    if total <= limit:
        return owned
    return -(-owned * limit // total)


def _drop_all_removed(state: State) -> State:
    """Drop removed rights at once, as if each owner already knew of the patch."""
    workers = {w: o for w, o in state.worker_holders.items() if w in state.workers}
    slots = {}
    for team_id, counts in state.slots.items():
        allowed = {o: holdings.allowance(state, team_id, o) for o in counts}
        slots[team_id] = {o: count for o, count in allowed.items() if count}
    return replace(state, worker_holders=workers, slots=slots)


Patches = tuple[tuple[Any, str, Any], ...]

_QUORUM_USERS = (membership, freeing)

WEAKENINGS: dict[str, tuple[type[SimNode], Patches]] = {
    "none": (SimNode, ()),
    "a timeout alone": (
        SimNode,
        tuple((module, "quorum_met", _if_retired) for module in _QUORUM_USERS),
    ),
    "no wait of T": (_NoWaitNode, ()),
    "one acknowledgement fewer": (
        SimNode,
        ((quorum, "acknowledgements_needed", _one_acknowledgement_fewer),),
    ),
    "only the current roster": (
        SimNode,
        ((quorum, "rosters_between", _newest_roster),),
    ),
    "rosters since the last pulse": (
        SimNode,
        ((quorum, "_every_roster_refuses", _rosters_since_heartbeat),),
    ),
    "acknowledging before granted leases lapsed": (_ImmediateAckNode, ()),
    "counting support from the reply": (_ReplyTimedLeaseNode, ()),
    "counting a pulse from its reading": (_ReadTimedLeaseNode, ()),
    "counting a proven death at once": (
        SimNode,
        ((freeing, "_dead_for", _all_dead),),
    ),
    "loan outliving its lender's lease": (_UncappedLoanNode, ()),
    "freeing slots with loans unsettled": (
        SimNode,
        tuple((module, "loans_settled", _if_retired) for module in _QUORUM_USERS),
    ),
    "majority for key currency": (_MajorityFreshnessNode, ()),
    "attestation counted from the reply": (_ReplyTimedAttestationNode, ()),
    "reporting a verdict at once": (_ImmediateReportNode, ()),
    "applying a repeated release": (
        SimNode,
        ((membership, "_with_sequence", _accept_any_sequence),),
    ),
    "supporting a repeated join": (_JoinIgnoringNode, ()),
    "dropping removed rights at once": (
        SimNode,
        ((membership, "drop_rights_of_removed", _drop_all_removed),),
    ),
}
"""By weakening: the node class, and the functions that are replaced in modules."""


@contextlib.contextmanager
def weakened(name: str) -> Iterator[type[SimNode]]:
    """Apply a weakening and yield the node class to run with."""
    node_class, patches = WEAKENINGS[name]
    with contextlib.ExitStack() as stack:
        for module, attribute, value in patches:
            stack.enter_context(mock.patch.object(module, attribute, value))
        yield node_class


def first_broken(
    name: str, seeds: range, run: Callable[[int, type[SimNode]], str | None]
) -> tuple[int, str] | None:
    """Return the first seed that breaks an invariant, with its message, or None."""
    with weakened(name) as node_class:
        for seed in seeds:
            message = run(seed, node_class)
            if message is not None:
                return seed, message
    return None
