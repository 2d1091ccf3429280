"""Routing of requests from an entry instance to the leader."""

from __future__ import annotations

import asyncio
import logging
import random
from asyncio import FIRST_COMPLETED
from collections.abc import Callable
from dataclasses import dataclass

from cicadatrail_core.leadership.request_rules import (
    RULES,
    RequestState,
    Verdict,
    state_of_call,
)
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.messages import (
    AskCandidate,
    AskHolder,
    CandidateIs,
    Confirmed,
    ConfirmHolder,
    HolderIs,
    Refused,
    Reply,
    Request,
    Unsettled,
)
from cicadatraild.scheduling.peers import PeerClient, PeerUnreachableError
from cicadatraild.scheduling.pending_request import PendingRequest
from cicadatraild.scheduling.request_limits import RequestLimits

logger = logging.getLogger("cicadatrail.entry")

PEER_QUERY_INTERVAL_S = 0.5
"""Shortest interval between queries to peers about the leader."""

PEER_QUERY_COUNT = 6
"""Peers that are queried at once; the platform supplies three seed hosts."""

SUCCESSOR_QUERY_COUNT = 64
"""Peers that are queried for a strong successor, if the first ones have none."""

PEER_QUERY_TIMEOUT_S = 0.4
"""Time for a peer's reply about the leader."""

CONFIRM_TIMEOUT_S = 0.25
"""Time to connect to an instance and learn whether it may have been elected."""

CONFIRM_REPLY_S = 0.2
"""Time for its reply on an open stream."""

LOST_MEMBER_S = 12.0
"""Time without an answer after which an instance is dropped from the registry."""

CANDIDATE_TIMEOUT_S = 0.15
"""Time for the replies of candidates for leader; peers are 1 ms away."""

RETRY_S = 0.05
"""Delay before the same leader is asked again."""


@dataclass(frozen=True, slots=True)
class _TimedReply:
    """A peer's reply and when it came, on the boot clock."""

    reply: Reply
    answered_s: float


class Entry:
    """Forward requests to the leader, on this instance or another.

    ``leader`` returns this instance's leader, or None; ``candidate`` describes this
    instance as a candidate. ``limits`` bounds the time of open requests.
    """

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
        self.limits = RequestLimits()
        self._queried_s = float("-inf")
        self._silent_since_s: dict[str, float] = {}
        self.answered_s: float | None = None

    async def ask(self, request: Request, deadline_s: float) -> Reply:
        """Return the leader's reply to a request.

        Without a reply by the deadline, or before this instance ends, return Unsettled
        when the request may have been carried out, else Refused.
        """
        pending = PendingRequest()
        try:
            async with self.limits.until():
                return await self._ask(request, deadline_s, pending)
        except TimeoutError:
            return pending.final_reply

    async def _ask(
        self, request: Request, deadline_s: float, pending: PendingRequest
    ) -> Reply:
        wait_until_s = min(
            deadline_s, loop_now_s() + RULES[RequestState.NO_LEADER].wait_s
        )
        while True:
            now_s = loop_now_s()
            if now_s >= (deadline_s if pending.may_have_run else wait_until_s):
                return pending.final_reply
            current = self._leadership.current
            if current is None or current.released:
                await self._leadership.changed(min(0.1, max(0.01, deadline_s - now_s)))
                await self._query_peers()
                continue
            try:
                reply = await self._call_until_replaced(
                    current, request, deadline_s - now_s, pending
                )
            except PeerUnreachableError as error:
                pending.note_failure(error, current.epoch)
                if error.is_refused:
                    self._leadership.suspect(current.epoch)
                if self._is_replaced(current):
                    continue
                await self._leadership.changed(RETRY_S)
                await self._query_peers()
                continue
            pending.is_under_way = False
            if isinstance(reply, HolderIs):
                pending.reason = "the instance asked holds nothing"
                self._leadership.learn_leader(reply.epoch, reply.host)
                if reply.epoch <= current.epoch:
                    # Both instances may have lost the store; ask others.
                    await self._leadership.changed(RETRY_S)
                    await self._query_peers()
                continue
            self.answered_s = loop_now_s()
            if isinstance(reply, Unsettled):
                pending.may_have_run = True
                pending.reason = reply.reason
                await self._leadership.changed(RETRY_S)
                continue
            if isinstance(reply, Refused) and pending.may_have_run:
                # An earlier leader may have stored it; this one can't know.
                return Unsettled(reply.reason)
            return reply

    async def answer_peer(self, request: Request) -> Reply:
        """Return the reply to a peer's request.

        Unless this instance is the leader, the reply names the leader that it knows.
        """
        if isinstance(request, AskCandidate):
            return self._candidate()
        if isinstance(request, ConfirmHolder):
            return self._confirm_holder(request.epoch)
        leader = self._leader()
        if isinstance(request, AskHolder) or leader is None:
            current = self._leadership.current
            if current is None or current.released:
                return HolderIs(0, "")
            return HolderIs(current.epoch, current.host)
        return await leader.answer(request)

    async def _call_until_replaced(
        self,
        current: LeaderRecord,
        request: Request,
        left_s: float,
        pending: PendingRequest,
    ) -> Reply:
        """Return a leader's reply, unless a newer leader is known before.

        Requests may be repeated: the newer leader knows what the store has. Raises
        PeerUnreachableError.
        """
        call = asyncio.ensure_future(self._call(current, request, left_s, pending))
        call.add_done_callback(_retrieve)
        try:
            while True:
                change = asyncio.ensure_future(self._leadership.changed(left_s))
                try:
                    await asyncio.wait({call, change}, return_when=FIRST_COMPLETED)
                finally:
                    change.cancel()
                if call.done():
                    return call.result()
                if self._is_replaced(current):
                    logger.info(
                        "entry: leader replaced; asking its successor.",
                        extra={"epoch": current.epoch},
                    )
                    raise PeerUnreachableError(
                        "it was replaced", pending.is_under_way, False
                    )
        finally:
            call.cancel()

    def _is_replaced(self, asked: LeaderRecord) -> bool:
        newest = self._leadership.current
        state = state_of_call(asked.epoch, newest.epoch if newest else 0)
        return RULES[state].verdict is Verdict.ASK_AGAIN

    async def _call(
        self,
        current: LeaderRecord,
        request: Request,
        left_s: float,
        pending: PendingRequest,
    ) -> Reply:
        timeout_s = max(0.01, left_s)
        if current.host != self._own_host:
            self._hosts[current.host] = None
            return await self._peers.call(
                current.host, request, timeout_s, pending.note_sent
            )
        leader = self._leader()
        if leader is None:
            return HolderIs(0, "")
        pending.note_sent()
        try:
            async with asyncio.timeout(timeout_s):
                return await leader.answer(request)
        except TimeoutError as error:
            raise PeerUnreachableError("no reply in time", True, False) from error

    def add_peer(self, host: str) -> None:
        """Add the host of a peer that has connected to this instance."""
        self._hosts[host] = None

    def _confirm_holder(self, epoch: int) -> Reply:
        if self._leadership.promise(epoch):
            return Confirmed()
        if not self._leadership.has_read:
            return HolderIs(0, "")
        current = self._leadership.current
        if current is None or current.released or current.epoch <= epoch:
            return Refused("this instance may have claimed leadership")
        return HolderIs(current.epoch, current.host)

    async def confirm_leadership(self) -> None:
        """Ask all other instances whether they follow this one, and no newer leader.

        One that does not answer, or whose machine refuses the connection, may reach the
        store and does not count.
        """
        epoch = self._leadership.held_epoch
        asked_s = boot_now_s()
        members = self._leadership.members
        hosts = sorted((members.hosts | members.known_hosts) - {self._own_host})
        replies = await asyncio.gather(*[self._confirm(host, epoch) for host in hosts])
        answers = ConfirmationRound(
            epoch,
            asked_s,
            {
                host: reply.answered_s
                for host, reply in zip(hosts, replies, strict=True)
                if reply is not None and isinstance(reply.reply, Confirmed)
            },
            any(reply and isinstance(reply.reply, Refused) for reply in replies),
        )
        self._leadership.apply_round(answers)

    async def drop_lost_members(self) -> None:
        """Have instances removed from the registry that have not answered for long.

        Without the store the leader would wait for their confirmation.
        """
        hosts = self._leadership.members.hosts - {self._own_host}
        answered = await asyncio.gather(*[self._query_leader(host) for host in hosts])
        now_s = loop_now_s()
        for host, has_answered in zip(hosts, answered, strict=True):
            if has_answered:
                self._silent_since_s.pop(host, None)
            elif now_s - self._silent_since_s.setdefault(host, now_s) > LOST_MEMBER_S:
                del self._silent_since_s[host]
                logger.info("entry: dropping a lost instance.", extra={"host": host})
                self._leadership.members.drop(host)

    async def _confirm(self, host: str, epoch: int) -> _TimedReply | None:
        """Ask an instance whether it follows an epoch; return None without a reply."""
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                # The shorter time closes a stream that has died.
                reply = await self._peers.call(
                    host, ConfirmHolder(epoch), CONFIRM_REPLY_S
                )
        except (PeerUnreachableError, TimeoutError):
            return None
        if isinstance(reply, HolderIs):
            self._leadership.learn_leader(reply.epoch, reply.host)
        return _TimedReply(reply, boot_now_s())

    async def choose_successor(self) -> str:
        """Return the host of the peer that should lead next, or "" without one.

        Prefers strong instances, then the one that started last: instances are
        restarted in turn, so it is the least likely to stop soon.
        """
        hosts = self._sample_peers(PEER_QUERY_COUNT)
        able = await self._query_candidates(hosts)
        if not any(reply.is_strong for reply in able.values()):
            # Few are strong where most machines are small.
            others = self._sample_peers(SUCCESSOR_QUERY_COUNT)
            able |= await self._query_candidates(
                [host for host in others if host not in hosts]
            )
        ranked = [
            (not reply.is_strong, reply.age_s, host) for host, reply in able.items()
        ]
        return min(ranked)[2] if ranked else ""

    async def _query_candidates(self, hosts: list[str]) -> dict[str, CandidateIs]:
        """Return those peers that could lead."""
        replies = await asyncio.gather(*[self._query_candidate(host) for host in hosts])
        return {
            host: reply
            for host, reply in zip(hosts, replies, strict=True)
            if reply is not None and reply.is_able
        }

    async def _query_candidate(self, host: str) -> CandidateIs | None:
        try:
            reply = await self._peers.call(host, AskCandidate(), CANDIDATE_TIMEOUT_S)
        except PeerUnreachableError as error:
            logger.info(
                "entry: peer unreachable.", extra={"host": host, "reason": str(error)}
            )
            return None
        return reply if isinstance(reply, CandidateIs) else None

    async def _query_peers(self) -> None:
        """Ask peers about the leader, as the store may be unreachable."""
        now_s = loop_now_s()
        if now_s - self._queried_s < PEER_QUERY_INTERVAL_S:
            return
        self._queried_s = now_s
        await asyncio.gather(
            *[self._query_leader(host) for host in self._sample_peers(PEER_QUERY_COUNT)]
        )

    def _sample_peers(self, count: int) -> list[str]:
        others = [host for host in self._hosts if host != self._own_host]
        return random.sample(others, min(count, len(others)))

    async def _query_leader(self, host: str) -> bool:
        """Learn the leader from a peer; return whether the peer answered."""
        try:
            reply = await self._peers.call(host, AskHolder(), PEER_QUERY_TIMEOUT_S)
        except PeerUnreachableError as error:
            logger.info(
                "entry: peer unreachable.",
                extra={"host": host, "reason": str(error)},
            )
            return False
        if isinstance(reply, HolderIs) and reply.epoch:
            self._leadership.learn_leader(reply.epoch, reply.host)
        return True


def _retrieve(call: asyncio.Future[Reply]) -> None:
    """Retrieve the error of a call that nobody waits for any more."""
    if not call.cancelled():
        call.exception()
