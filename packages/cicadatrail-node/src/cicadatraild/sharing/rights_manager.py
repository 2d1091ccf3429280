"""Maintains this incarnation's lease and reclaims the rights of dead members.

Drives the pure rules in ``cicadatrail_core.rights`` with heartbeats through the
log, lease requests to peers, and proofs that other incarnations are dead.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from cicadatrail_core.models.platform import InstanceList, ListedInstance
from cicadatrail_core.models.records import (
    LeaveRecord,
    PulseRecord,
    Record,
    RetireAckRecord,
    RetireRecord,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.rights.freeing import Reclaimer
from cicadatrail_core.rights.key_freshness import Current, KeyFreshness, may_report
from cicadatrail_core.rights.lease_grantor import LeaseGrantor
from cicadatrail_core.rights.proof import DeathProofs
from cicadatrail_core.rights.rights_lease import RightsLease
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.network.peer_client import LinkFault, PeerDirectory, PeerLink
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.rights")

SUSPECT_FACTOR = 3.0
"""Number of lease times without contact before a member's retirement is proposed."""

RECLAIM_INTERVAL_S = 0.25
"""Time between two checks for retired or silent members."""

CALL_TIMEOUT_S = 1.0
"""Time that a peer has to answer a lease request."""


@dataclass(slots=True)
class _Sighting:
    """When a member was last heard from."""

    pulse_offset: int
    seen_s: float


class RightsManager:
    """Decide whether rights may be used and keys checked, and watch other members."""

    __slots__ = (
        "_acknowledged",
        "_appender",
        "_checked_s",
        "_directory",
        "_folded_offsets",
        "_incarnation",
        "_instance_list",
        "_key_freshness",
        "_lease",
        "_lease_grantor",
        "_list_poll_s",
        "_proofs",
        "_pulse_s",
        "_reclaimer",
        "_replica",
        "_sightings",
        "_timing",
        "_unsettled_lenders",
        "_watching_since_s",
        "listed",
        "on_list",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        timing: RightsTiming,
        pulse_s: float,
        list_poll_s: float,
        replica: Replica,
        appender: Appender,
        directory: PeerDirectory,
        instance_list: InstanceList,
        on_list: Callable[[tuple[ListedInstance, ...]], None],
        unsettled_lenders: Callable[[], tuple[IncarnationId, ...]],
    ) -> None:
        self._acknowledged: set[IncarnationId] = set()
        self._unsettled_lenders = unsettled_lenders
        self._incarnation = incarnation
        self._timing = timing
        self._pulse_s = pulse_s
        self._list_poll_s = list_poll_s
        self._replica = replica
        self._appender = appender
        self._directory = directory
        self._instance_list = instance_list
        self.on_list = on_list
        self._lease = RightsLease(incarnation, timing)
        self._lease_grantor = LeaseGrantor(incarnation, timing)
        self._reclaimer = Reclaimer(incarnation, timing)
        self._proofs = DeathProofs(timing)
        self._key_freshness = KeyFreshness(incarnation, timing)
        self._folded_offsets: dict[IncarnationId, int] = {}
        self._sightings: dict[IncarnationId, _Sighting] = {}
        self._checked_s = self._watching_since_s = asyncio.get_running_loop().time()
        self.listed: tuple[ListedInstance, ...] = ()

    def may_use_rights(self, now_s: float) -> bool:
        """Return whether rights may be used; check immediately before each send."""
        return self._lease.may_use_rights(self._replica.state, now_s)

    def may_check_keys(self, now_s: float) -> bool:
        """Return whether the local state is recent enough to check keys."""
        state = self._replica.state
        if now_s < self._lease.log_until_s:
            return True
        dead = self._proofs.dead_since_s(state)
        verdict = self._key_freshness.evaluate(
            state, now_s, self._lease.log_until_s, dead
        )
        return isinstance(verdict, Current)

    def leased_until_s(self) -> float:
        """Return the end of the lease as known now."""
        return self._lease.leased_until_s(self._replica.state)

    def note_record(self, record: Record) -> None:
        """Process a folded record; own heartbeats extend the lease."""
        match record:
            case PulseRecord(incarnation=incarnation) as pulse:
                if incarnation == self._incarnation:
                    self._lease.note_heartbeat(pulse)
            case LeaveRecord(incarnation):
                now_s = asyncio.get_running_loop().time()
                self._proofs.note_left(incarnation, now_s)

    def may_report(self, record_offset: int) -> bool:
        """Return whether enough members have folded a record to report its verdict."""
        return may_report(self._replica.state, record_offset, self._folded_offsets)

    def note_fault(self, name: IncarnationId, fault: LinkFault) -> None:
        """Record a link that could not be opened."""
        now_s = asyncio.get_running_loop().time()
        match fault:
            case LinkFault.REFUSED:
                self._proofs.note_refused(name, now_s)
            case LinkFault.OTHER_INCARNATION:
                self._proofs.note_answer(name, IncarnationId(""), now_s)
            case LinkFault.SILENT:
                return

    def answer(self, request: SupportRequest) -> SupportReply:
        """Answer a peer's lease request."""
        now_s = asyncio.get_running_loop().time()
        self._mark_seen(request.asker, now_s)
        return self._lease_grantor.answer(self._replica.state, request, now_s)

    def suspects(self, now_s: float) -> tuple[Member, ...]:
        """Return the members that have been silent for too long."""
        limit_s = SUSPECT_FACTOR * self._timing.support_s
        return tuple(
            member
            for member in self._replica.state.roster.values()
            if member.incarnation != self._incarnation
            and now_s - self._seen_s(member, now_s) > limit_s
        )

    async def pulse(self) -> None:
        """Append heartbeats and request leases from peers, until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            state = self._replica.state
            pulse = self._lease.start_heartbeat(state, now_s, self._is_listed(state))
            self._appender.add_heartbeat(pulse)
            request = self._lease.start_request(state, now_s)
            if request is not None:
                for link in self._links_to_ask(state, now_s):
                    self._directory.spawn(self._ask(link, request))
            await asyncio.sleep(self._pulse_s)

    def _links_to_ask(self, state: State, now_s: float) -> list[PeerLink]:
        """Return the links to ask; other regions only if the log seems down.

        Members of other regions grant no lease, but attest that they know no
        newer version.
        """
        log_left_s = self._lease.log_until_s - now_s
        if log_left_s < self._timing.support_s / 2:
            return list(self._directory.links)
        own = state.roster.get(self._incarnation)
        return [
            link
            for link in self._directory.links
            if own is not None
            and (member := state.roster.get(link.name)) is not None
            and member.place.region == own.place.region
        ]

    def _is_listed(self, state: State) -> bool:
        """Return whether the instance list has shown this instance."""
        member = state.roster.get(self._incarnation)
        if member is None:
            return False
        return any(found.instance_id == member.instance_id for found in self.listed)

    async def reclaim(self) -> None:
        """Retire silent members and free their rights, until cancelled."""
        while True:
            self._reclaim_once(self._replica.state)
            await asyncio.sleep(RECLAIM_INTERVAL_S)

    async def follow_list(self) -> None:
        """Poll the instance list until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            asked_s = loop.time()
            answer = await self._instance_list.list_instances()
            if isinstance(answer, Success):
                self.listed = answer.unwrap()
                names = [listed.instance_id for listed in self.listed]
                state = self._replica.state
                self._proofs.note_list(state, names, asked_s, loop.time())
                self.on_list(self.listed)
            await asyncio.sleep(self._list_poll_s)

    async def _ask(self, link: PeerLink, request: SupportRequest) -> None:
        sent_s = self._lease.request_sent_s(request.number)
        answer = await link.call(request, CALL_TIMEOUT_S)
        reply: Any = answer.value_or(None)
        if sent_s is None or not isinstance(reply, SupportReply):
            return
        now_s = asyncio.get_running_loop().time()
        self._mark_seen(reply.supporter, now_s)
        self._folded_offsets[reply.supporter] = max(
            reply.folded_offset, self._folded_offsets.get(reply.supporter, 0)
        )
        self._lease.note_reply(reply, now_s)
        self._key_freshness.note_reply(reply, sent_s)

    def _restart_watch_after_pause(self, now_s: float) -> None:
        """Restart the silence timers after a pause of this process or the log.

        Other members' activity during the pause was not observed, so their
        silence proves nothing.
        """
        paused = now_s - self._checked_s > self._timing.support_s
        if paused or self._replica.failing_since_s is not None:
            self._watching_since_s = now_s
        self._checked_s = now_s

    def _reclaim_once(self, state: State) -> None:
        now_s = asyncio.get_running_loop().time()
        self._restart_watch_after_pause(now_s)
        dead = self._proofs.dead_since_s(state)
        suspects = {member.incarnation for member in self.suspects(now_s)}
        for incarnation in suspects.union(dead):
            member = state.roster.get(incarnation)
            if member is not None and member.retire_offset is None:
                self._retire(incarnation)
        unsettled = self._unsettled_lenders()
        for ack in self._lease_grantor.acknowledgements(state, now_s, unsettled):
            self._add_once(ack)
        for free in self._reclaimer.records_due(state, now_s, dead):
            logger.info("rights: freeing the rights of %s.", free.incarnation)
            self._appender.add(free)

    def _add_once(self, ack: RetireAckRecord) -> None:
        """Append an acknowledgement unless it was appended before."""
        if ack.incarnation not in self._acknowledged:
            self._acknowledged.add(ack.incarnation)
            self._appender.add(ack)

    def _retire(self, incarnation: IncarnationId) -> None:
        """Propose to retire a member unless records are still waiting for the log."""
        if self._appender.waiting_count:
            return
        logger.warning(
            "rights: %s is silent or dead; proposing to retire it.", incarnation
        )
        self._appender.add(RetireRecord(incarnation, self._incarnation))

    def _mark_seen(self, incarnation: IncarnationId, now_s: float) -> None:
        sighting = self._sightings.get(incarnation)
        if sighting is not None:
            sighting.seen_s = now_s

    def _seen_s(self, member: Member, now_s: float) -> float:
        """Return when a member was last seen, from its heartbeats or its answers."""
        sighting = self._sightings.get(member.incarnation)
        if sighting is None:
            sighting = _Sighting(member.last_pulse_offset, now_s)
            self._sightings[member.incarnation] = sighting
        if sighting.pulse_offset != member.last_pulse_offset:
            sighting.pulse_offset = member.last_pulse_offset
            sighting.seen_s = now_s
        return max(sighting.seen_s, self._watching_since_s)
