"""The way of a request from an entry instance to the holder."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leadership import LeaderRecord, Leadership
from cicadatraild.scheduling.messages import (
    AskCandidate,
    AskHolder,
    CandidateIs,
    HolderIs,
    Refused,
    Reply,
    Request,
    Unsettled,
)
from cicadatraild.scheduling.peers import PeerClient, PeerUnreachableError

logger = logging.getLogger("cicadatrail.entry")

REPLY_TIMEOUT_S = 1.0
"""Time for the holder's reply before another way is tried."""

LEADER_WAIT_S = 2.2
"""Longest wait for a holder: a takeover after silence, with some to spare."""

PEER_QUERY_INTERVAL_S = 0.5
"""Time between questions to other instances about the holder."""

PEER_QUERY_COUNT = 6
"""Instances that are asked at once; the platform names three to begin with."""

PEER_QUERY_TIMEOUT_S = 0.4
"""Time for another instance's reply about the holder."""

CANDIDATE_TIMEOUT_S = 0.15
"""Time for replies of peers that might hold the fleet next; they are 1 ms away."""

RETRY_S = 0.05
"""Pause before the same holder is asked again."""


class Entry:
    """Bring requests to the holder, here or on another instance."""

    def __init__(
        self,
        leadership: Leadership,
        peers: PeerClient,
        own_host: str,
        seed_hosts: tuple[str, ...],
        leader: Callable[[], Leader | None],
        candidate: Callable[[], CandidateIs],
    ) -> None:
        self._leadership = leadership
        self._peers = peers
        self._own_host = own_host
        self._hosts: dict[str, None] = dict.fromkeys(seed_hosts)
        self._leader = leader
        self._candidate = candidate
        self._queried_s = float("-inf")
        self.answered_s: float | None = None

    async def ask(self, request: Request, deadline_s: float) -> Reply:
        """Return the holder's reply, or say truly what is known at the deadline."""
        may_have_run = False
        reason = "no holder"
        wait_until_s = min(deadline_s, loop_now_s() + LEADER_WAIT_S)
        while True:
            now_s = loop_now_s()
            if now_s >= (deadline_s if may_have_run else wait_until_s):
                return Unsettled(reason) if may_have_run else Refused(reason)
            current = self._leadership.current
            if current is None or current.released:
                await self._leadership.changed(min(0.1, max(0.01, deadline_s - now_s)))
                await self._query_peers()
                continue
            try:
                reply = await self._call(current, request, deadline_s - now_s)
            except PeerUnreachableError as error:
                may_have_run = may_have_run or error.may_have_run
                reason = f"holder of epoch {current.epoch}: {error}"
                if error.is_refused:
                    self._leadership.suspect(current.epoch)
                await self._leadership.changed(RETRY_S)
                await self._query_peers()
                continue
            if isinstance(reply, HolderIs):
                reason = "the instance asked holds nothing"
                self._leadership.learn_leader(reply.epoch, reply.host)
                if reply.epoch <= current.epoch:
                    # Both may be cut from the store; others may know more.
                    await self._leadership.changed(RETRY_S)
                    await self._query_peers()
                continue
            self.answered_s = loop_now_s()
            if isinstance(reply, Unsettled):
                may_have_run = True
                reason = reply.reason
                await self._leadership.changed(RETRY_S)
                continue
            if isinstance(reply, Refused) and may_have_run:
                # An earlier holder may have stored it; this one can't tell.
                return Unsettled(reply.reason)
            return reply

    async def answer_peer(self, request: Request) -> Reply:
        """Answer a peer's request, if this instance holds the fleet."""
        if isinstance(request, AskCandidate):
            return self._candidate()
        leader = self._leader()
        if isinstance(request, AskHolder) or leader is None:
            current = self._leadership.current
            if current is None or current.released:
                return HolderIs(0, "")
            return HolderIs(current.epoch, current.host)
        return await leader.answer(request)

    async def _call(
        self, current: LeaderRecord, request: Request, left_s: float
    ) -> Reply:
        timeout_s = max(0.01, left_s)
        if current.host != self._own_host:
            self._hosts[current.host] = None
            return await self._peers.call(current.host, request, timeout_s)
        leader = self._leader()
        if leader is None:
            return HolderIs(0, "")
        try:
            async with asyncio.timeout(timeout_s):
                return await leader.answer(request)
        except TimeoutError as error:
            raise PeerUnreachableError("no reply in time", True, False) from error

    def add_peer(self, host: str) -> None:
        """Remember an instance that has connected here."""
        self._hosts[host] = None

    async def confirm_leadership(self) -> None:
        """Ask peers whether a newer holder is known; they may reach the store."""
        epoch = self._leadership.held_epoch
        asked_s = boot_now_s()
        hosts = self._sample_peers()
        replies = await asyncio.gather(*[self._query_leader(host) for host in hosts])
        if any(replies) or not hosts:
            self._leadership.confirm(epoch, asked_s)

    async def choose_successor(self) -> str:
        """Return the host of the peer that should hold the fleet next, or "".

        The one that started last is the least likely to be stopped soon, as
        instances are restarted in turn.
        """
        hosts = self._sample_peers()
        replies = await asyncio.gather(*[self._query_candidate(host) for host in hosts])
        able = [
            (not reply.is_strong, reply.age_s, host)
            for host, reply in zip(hosts, replies, strict=True)
            if reply is not None and reply.is_able
        ]
        return min(able)[2] if able else ""

    async def _query_candidate(self, host: str) -> CandidateIs | None:
        try:
            reply = await self._peers.call(host, AskCandidate(), CANDIDATE_TIMEOUT_S)
        except PeerUnreachableError as error:
            logger.info(
                "entry: peer not reached.", extra={"host": host, "reason": str(error)}
            )
            return None
        return reply if isinstance(reply, CandidateIs) else None

    async def _query_peers(self) -> None:
        """Ask other instances about the holder, as the store may be out of reach."""
        now_s = loop_now_s()
        if now_s - self._queried_s < PEER_QUERY_INTERVAL_S:
            return
        self._queried_s = now_s
        await asyncio.gather(
            *[self._query_leader(host) for host in self._sample_peers()]
        )

    def _sample_peers(self) -> list[str]:
        others = [host for host in self._hosts if host != self._own_host]
        return random.sample(others, min(PEER_QUERY_COUNT, len(others)))

    async def _query_leader(self, host: str) -> bool:
        """Take a peer's word on the holder; tell whether it answered."""
        try:
            reply = await self._peers.call(host, AskHolder(), PEER_QUERY_TIMEOUT_S)
        except PeerUnreachableError as error:
            logger.info(
                "entry: peer not reached.",
                extra={"host": host, "reason": str(error)},
            )
            return False
        if isinstance(reply, HolderIs) and reply.epoch:
            self._leadership.learn_leader(reply.epoch, reply.host)
        return True
