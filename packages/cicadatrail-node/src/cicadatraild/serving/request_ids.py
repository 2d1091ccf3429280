"""Deduplication of requests by id, through the owner of the id's partition."""

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
from cicadatraild.serving.outcomes import Answer, BufferedReply, NotRun, Reason, Unknown

logger = logging.getLogger("cicadatrail.ids")

QUERY_TIMEOUT_S = 0.5
"""Time that a partition's owner has to answer a message."""

MAX_QUERY_ATTEMPTS = 3
"""Attempts to send a query before the owner counts as unavailable."""

MAX_OUTCOME_ATTEMPTS = 5
"""Attempts to send an outcome before it is dropped."""

OUTCOME_RETRY_INTERVAL_S = 1.0
"""Time between attempts to send an outcome."""

DUPLICATE_POLL_INTERVAL_S = 0.25
"""Time between checks whether the first copy of a request has ended."""

_SCOPE_MASK = (0xFFF << 64) | ((1 << 62) - 1)
"""Random bits of a version 7 UUID: all but timestamp, version and variant."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Permission to run the request with an id; must be passed to ``settle``."""

    scoped_id: str
    partition: int
    attempt: str


@dataclass(frozen=True, slots=True)
class RecordedReply:
    """A reply in the form in which a partition's owner stores it."""

    status: int
    headers: Headers
    body: bytes


def scope_id(team_id: str, request_id: UUID) -> str:
    """Return a UUID with the same timestamp that is unique to the team.

    Two teams may choose the same id, so the random bits are replaced by a hash of
    team and id.
    """
    text = f"{team_id}\0{request_id}".encode()
    random_bits = int.from_bytes(hashlib.sha256(text).digest()[:16]) & _SCOPE_MASK
    return str(UUID(int=(request_id.int & ~_SCOPE_MASK) | random_bits))


class RequestIds:
    """Ensure that a non-repeatable request with a caller's id runs at most once."""

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
    ) -> Claim | BufferedReply | NotRun | Unknown:
        """Return a claim to run the request, or the answer to send instead.

        A duplicate waits, within its deadline, for the answer to the first copy.
        """
        ahead_s = uuid_time_s(request_id) - self._wall_clock()
        if ahead_s > ID_SETTINGS.ahead_limit_s:
            return NotRun(Reason.ID_OUT_OF_TIME, 400, None)
        scoped_id = scope_id(team_id, request_id)
        partition = partition_of(scoped_id)
        assert partition is not None and id_time_s(scoped_id) is not None
        claim = Claim(scoped_id, partition, self._new_attempt())
        try:
            return await self._query_until(claim, deadline_s)
        except asyncio.CancelledError:
            self._report_outcome(claim, not_run=True)
            raise

    def settle(self, claim: Claim, answer: Answer) -> None:
        """Report the outcome of a claimed request to the owner, in the background."""
        match answer:
            case NotRun():
                self._report_outcome(claim, not_run=True)
            case BufferedReply(status, headers, body):
                recorded = RecordedReply(status, headers, body)
                encoded = codec.to_bytes(recorded, RecordedReply)
                fits = len(encoded) <= ID_SETTINGS.answer_limit_bytes
                self._report_outcome(claim, recorded=encoded if fits else None)
            case _:
                self._report_outcome(claim)

    async def _query_until(
        self, claim: Claim, deadline_s: float
    ) -> Claim | BufferedReply | NotRun | Unknown:
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._query_owner(claim)
            if answer is None:
                # The query may have arrived although no answer came.
                self._report_outcome(claim, not_run=True)
                return NotRun(Reason.ID_HOLDER_AWAY)
            if answer.verdict is not IdVerdict.RUNNING:
                return _result_of(claim, answer)
            if loop.time() + DUPLICATE_POLL_INTERVAL_S >= deadline_s:
                return Unknown(Reason.ID_RUNNING, 409)
            await asyncio.sleep(DUPLICATE_POLL_INTERVAL_S)

    async def _query_owner(self, claim: Claim) -> IdAnswer | None:
        """Query the partition's current owner; return None if it doesn't answer."""
        query = IdQuery(claim.scoped_id, claim.partition, claim.attempt)
        for _ in range(MAX_QUERY_ATTEMPTS):
            owner = self._state().partition_holders.get(claim.partition)
            if owner == self._incarnation:
                return self._partitions.answer(query)
            link = None if owner is None else self._directory.link(owner)
            if link is None:
                return None
            match await link.call(query, QUERY_TIMEOUT_S):
                case Success(IdAnswer() as answer):
                    return answer
        return None

    def _report_outcome(
        self, claim: Claim, *, not_run: bool = False, recorded: bytes | None = None
    ) -> None:
        outcome = IdOutcome(
            claim.scoped_id, claim.partition, claim.attempt, not_run, recorded
        )
        owner = self._state().partition_holders.get(claim.partition)
        if owner == self._incarnation:
            self._partitions.record_outcome(outcome)
            return
        self._directory.spawn(self._send_outcome(outcome))

    async def _send_outcome(self, outcome: IdOutcome) -> None:
        """Send an outcome to the current owner; if it is lost, the id stays unknown."""
        for _ in range(MAX_OUTCOME_ATTEMPTS):
            owner = self._state().partition_holders.get(outcome.partition)
            if owner == self._incarnation:
                self._partitions.record_outcome(outcome)
                return
            link = None if owner is None else self._directory.link(owner)
            if link is not None:
                acknowledgement = await link.call(outcome, QUERY_TIMEOUT_S)
                if isinstance(acknowledgement, Success):
                    return
            await asyncio.sleep(OUTCOME_RETRY_INTERVAL_S)
        logger.warning(
            "ids: a request's outcome was not acknowledged; its id stays unknown."
        )


def _result_of(
    claim: Claim, answer: IdAnswer
) -> Claim | BufferedReply | NotRun | Unknown:
    match answer.verdict:
        case IdVerdict.FIRST:
            return claim
        case IdVerdict.DONE:
            return _decode_reply(answer.recorded)
        case IdVerdict.UNKNOWABLE:
            return Unknown(Reason.ID_UNKNOWABLE, 409)
        case IdVerdict.REFUSED:
            return NotRun(Reason.ID_REFUSED)
        case _:
            return NotRun(Reason.ID_HOLDER_AWAY)


def _decode_reply(encoded: bytes | None) -> BufferedReply | Unknown:
    if encoded is not None:
        match codec.from_bytes(encoded, RecordedReply):
            case Success(RecordedReply(status, headers, body)):
                return BufferedReply(status, headers, body)
    return Unknown(Reason.ANSWER_NOT_KEPT, 409)
