"""Asks the holder of a request id's partition before anything runs."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from uuid import UUID

from returns.result import Success

from cicadatrail_core.admission.request_ids import (
    id_time_s,
    partition_of,
    uuid_time_s,
)
from cicadatrail_core.models.peer_messages import (
    IdAnswer,
    IdOutcome,
    IdQuery,
    IdVerdict,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.utils import codec
from cicadatraild.network.http_transport import Headers
from cicadatraild.network.peer_client import PeerDirectory
from cicadatraild.serving.id_partitions import ID_SETTINGS, IdPartitions
from cicadatraild.serving.outcomes import Answer, NotRun, Reason, Unknown, WholeReply

logger = logging.getLogger("cicadatrail.ids")

QUERY_TIMEOUT_S = 0.5
"""Time that a partition's holder has to answer."""

QUERY_COUNT = 3
"""Times that a query is sent until one is answered."""

OUTCOME_COUNT = 5
"""Times that an outcome is sent until one is acknowledged."""

OUTCOME_INTERVAL_S = 1.0
"""Time between two tries to tell an outcome."""

JOIN_INTERVAL_S = 0.25
"""Time between two looks at whether the first copy of a request has ended."""

_SCOPE_MASK = (0xFFF << 64) | ((1 << 62) - 1)
"""Bits of a UUID of version 7 that are neither time, version nor variant."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to run the one request of an id; must be settled."""

    scoped_id: str
    partition: int
    attempt: str


@dataclass(frozen=True, slots=True)
class RecordedReply:
    """Hold an answer as a partition's memory keeps it."""

    status: int
    headers: Headers
    body: bytes


def scope_id(team_id: str, request_id: UUID) -> str:
    """Return a UUID of the same time that is the team's own.

    Two teams may choose the same id; a hash of both in its random bits keeps
    them apart.
    """
    text = f"{team_id}\0{request_id}".encode()
    random_bits = int.from_bytes(hashlib.sha256(text).digest()[:16]) & _SCOPE_MASK
    return str(UUID(int=(request_id.int & ~_SCOPE_MASK) | random_bits))


class RequestIds:
    """Let each non-repeatable request with a caller's id run at most once."""

    __slots__ = (
        "_directory",
        "_incarnation",
        "_new_attempt",
        "_partitions",
        "_state",
        "_wall_clock",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        partitions: IdPartitions,
        state: Callable[[], State],
        directory: PeerDirectory,
        wall_clock: Callable[[], float],
        new_attempt: Callable[[], str],
    ) -> None:
        self._incarnation = incarnation
        self._partitions = partitions
        self._state = state
        self._directory = directory
        self._wall_clock = wall_clock
        self._new_attempt = new_attempt

    async def begin(
        self, team_id: str, request_id: UUID, deadline_s: float
    ) -> Claim | WholeReply | NotRun | Unknown:
        """Return a claim to run, or what is told instead of running.

        A second copy waits, within its deadline, for the first one's answer.
        """
        ahead_s = uuid_time_s(request_id) - self._wall_clock()
        if ahead_s > ID_SETTINGS.ahead_limit_s:
            return NotRun(Reason.ID_OUT_OF_TIME, 400, None)
        scoped_id = scope_id(team_id, request_id)
        partition = partition_of(scoped_id)
        assert partition is not None and id_time_s(scoped_id) is not None
        claim = Claim(scoped_id, partition, self._new_attempt())
        try:
            return await self._ask_until(claim, deadline_s)
        except asyncio.CancelledError:
            self._tell(claim, not_run=True)
            raise

    def settle(self, claim: Claim, answer: Answer) -> None:
        """Record what became of a claim, in the background."""
        match answer:
            case NotRun():
                self._tell(claim, not_run=True)
            case WholeReply(status, headers, body):
                recorded = RecordedReply(status, headers, body)
                coded = codec.to_bytes(recorded, RecordedReply)
                fits = len(coded) <= ID_SETTINGS.answer_limit_bytes
                self._tell(claim, recorded=coded if fits else None)
            case _:
                self._tell(claim)

    async def _ask_until(
        self, claim: Claim, deadline_s: float
    ) -> Claim | WholeReply | NotRun | Unknown:
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._ask(claim)
            if answer is None:
                # The query may have arrived all the same.
                self._tell(claim, not_run=True)
                return NotRun(Reason.ID_HOLDER_AWAY)
            if answer.verdict is not IdVerdict.RUNNING:
                return _verdict(claim, answer)
            if loop.time() + JOIN_INTERVAL_S >= deadline_s:
                return Unknown(Reason.ID_RUNNING, 409)
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _ask(self, claim: Claim) -> IdAnswer | None:
        """Ask the holder of now; None when it gives no answer."""
        query = IdQuery(claim.scoped_id, claim.partition, claim.attempt)
        for _ in range(QUERY_COUNT):
            holder = self._state().partition_holders.get(claim.partition)
            if holder == self._incarnation:
                return self._partitions.answer(query)
            link = None if holder is None else self._directory.link(holder)
            if link is None:
                return None
            match await link.call(query, QUERY_TIMEOUT_S):
                case Success(IdAnswer() as answer):
                    return answer
        return None

    def _tell(
        self, claim: Claim, *, not_run: bool = False, recorded: bytes | None = None
    ) -> None:
        outcome = IdOutcome(
            claim.scoped_id, claim.partition, claim.attempt, not_run, recorded
        )
        holder = self._state().partition_holders.get(claim.partition)
        if holder == self._incarnation:
            self._partitions.record_outcome(outcome)
            return
        self._directory.spawn(self._send(outcome))

    async def _send(self, outcome: IdOutcome) -> None:
        """Tell the holder of now; a lost outcome leaves the id unknown."""
        for _ in range(OUTCOME_COUNT):
            holder = self._state().partition_holders.get(outcome.partition)
            if holder == self._incarnation:
                self._partitions.record_outcome(outcome)
                return
            link = None if holder is None else self._directory.link(holder)
            if link is not None:
                told = await link.call(outcome, QUERY_TIMEOUT_S)
                if isinstance(told, Success):
                    return
            await asyncio.sleep(OUTCOME_INTERVAL_S)
        logger.warning("ids: an outcome could not be told; its id stays unknown.")


def _verdict(claim: Claim, answer: IdAnswer) -> Claim | WholeReply | NotRun | Unknown:
    match answer.verdict:
        case IdVerdict.FIRST:
            return claim
        case IdVerdict.DONE:
            return _recorded(answer.recorded)
        case IdVerdict.UNKNOWABLE:
            return Unknown(Reason.ID_UNKNOWABLE, 409)
        case IdVerdict.REFUSED:
            return NotRun(Reason.ID_REFUSED)
        case _:
            return NotRun(Reason.ID_HOLDER_AWAY)


def _recorded(coded: bytes | None) -> WholeReply | Unknown:
    if coded is not None:
        match codec.from_bytes(coded, RecordedReply):
            case Success(RecordedReply(status, headers, body)):
                return WholeReply(status, headers, body)
    return Unknown(Reason.ANSWER_NOT_KEPT, 409)
