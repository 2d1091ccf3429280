"""Messages between entry instances, on control links and forward streams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.support import SupportReply, SupportRequest


@dataclass(frozen=True, slots=True)
class PoolFreeCapacity:
    """The largest free capacity on one worker of a pool, and waiting work."""

    pool_id: str
    largest_free: Resources
    waiting_urgent_count: int
    waiting_count: int


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """A team's usage at one instance, and the slots left there."""

    team_id: str
    used: Resources
    free_slot_count: int
    waiting_count: int
    running_count: int = 0


@dataclass(frozen=True, slots=True)
class Digest:
    """The sender's load and free capacity, sent to peers about once a second."""

    incarnation: IncarnationId
    next_offset: int
    version: int
    pools: tuple[PoolFreeCapacity, ...]
    teams: tuple[TeamUsage, ...]


@dataclass(frozen=True, slots=True)
class PackedDigest:
    """A digest in columns, since field names would be most of its size.

    ``pool_amounts`` has POOL_AMOUNT_COUNT integers per pool, ``team_amounts``
    TEAM_AMOUNT_COUNT per team, in the order of the fields of ``PoolFreeCapacity``
    and ``TeamUsage``.
    """

    incarnation: IncarnationId
    next_offset: int
    version: int
    pool_ids: tuple[str, ...]
    pool_amounts: tuple[int, ...]
    team_ids: tuple[str, ...]
    team_amounts: tuple[int, ...]


POOL_AMOUNT_COUNT = 5
TEAM_AMOUNT_COUNT = 6


def pack_digest(digest: Digest) -> PackedDigest:
    """Return a digest in its wire form."""
    return PackedDigest(
        digest.incarnation,
        digest.next_offset,
        digest.version,
        tuple(pool.pool_id for pool in digest.pools),
        tuple(amount for pool in digest.pools for amount in _pool_amounts(pool)),
        tuple(team.team_id for team in digest.teams),
        tuple(amount for team in digest.teams for amount in _team_amounts(team)),
    )


def unpack_digest(packed: PackedDigest) -> Digest | None:
    """Return the digest, or None if its columns have the wrong lengths."""
    if len(packed.pool_amounts) != POOL_AMOUNT_COUNT * len(packed.pool_ids):
        return None
    if len(packed.team_amounts) != TEAM_AMOUNT_COUNT * len(packed.team_ids):
        return None
    pools = _rows(packed.pool_amounts, POOL_AMOUNT_COUNT)
    teams = _rows(packed.team_amounts, TEAM_AMOUNT_COUNT)
    return Digest(
        packed.incarnation,
        packed.next_offset,
        packed.version,
        tuple(
            PoolFreeCapacity(pool_id, Resources(*row[:3]), *row[3:])
            for pool_id, row in zip(packed.pool_ids, pools, strict=True)
        ),
        tuple(
            TeamUsage(team_id, Resources(*row[:3]), *row[3:])
            for team_id, row in zip(packed.team_ids, teams, strict=True)
        ),
    )


def _rows(amounts: tuple[int, ...], length: int) -> list[tuple[int, ...]]:
    return [amounts[start : start + length] for start in range(0, len(amounts), length)]


def _pool_amounts(pool: PoolFreeCapacity) -> tuple[int, ...]:
    free = pool.largest_free
    return (
        free.cpu_millicores,
        free.memory_mib,
        free.accelerator_count,
        pool.waiting_urgent_count,
        pool.waiting_count,
    )


def _team_amounts(team: TeamUsage) -> tuple[int, ...]:
    used = team.used
    return (
        used.cpu_millicores,
        used.memory_mib,
        used.accelerator_count,
        team.free_slot_count,
        team.waiting_count,
        team.running_count,
    )


@dataclass(frozen=True, slots=True)
class FetchRecords:
    """Request records of the log from a peer when the log can't be read."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Records of the log; empty if the peer has no newer ones."""

    from_offset: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Request a peer's state, to join while the log is down."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state as ``fold.snapshots.dump_state`` encodes it."""

    payload: bytes


class IdVerdict(Enum):
    """What the owner of a partition knows about a request id."""

    FIRST = "first"
    RUNNING = "running"
    DONE = "done"
    UNKNOWABLE = "unknowable"
    REFUSED = "refused"
    AWAY = "away"
    """The queried instance doesn't own the partition, or may not use the right."""


@dataclass(frozen=True, slots=True)
class IdQuery:
    """Ask a partition's owner whether a request id was seen, and mark it as seen.

    ``attempt`` identifies the request that asks: a repeated query for the same
    attempt gets the same answer.
    """

    scoped_id: str
    partition: int
    attempt: str


@dataclass(frozen=True, slots=True)
class IdAnswer:
    """The answer to an id query; ``recorded`` is the kept response of a done id."""

    verdict: IdVerdict
    recorded: bytes | None = None


@dataclass(frozen=True, slots=True)
class IdOutcome:
    """Report to a partition's owner how an attempt ended."""

    scoped_id: str
    partition: int
    attempt: str
    not_run: bool
    recorded: bytes | None = None


@dataclass(frozen=True, slots=True)
class IdEntryCopy:
    """What is known about one request id."""

    scoped_id: str
    id_time_s: float
    done: bool
    recorded: bytes | None
    attempt: str


@dataclass(frozen=True, slots=True)
class PartitionHandover:
    """A partition's request ids, sent to the taker of a folded transfer.

    ``sequence`` is that of the transfer; ``horizon_s`` is a wall-clock time.
    """

    partition: int
    sequence: int
    horizon_s: float
    entries: tuple[IdEntryCopy, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """Acknowledge a message that needs no other answer."""


@dataclass(frozen=True, slots=True)
class ForwardOpen:
    """Ask a peer to reserve capacity for a request; nothing runs yet."""

    request: TaskRequest
    remaining_s: float
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class Reserved:
    """Capacity and a slot are reserved until the request follows."""

    request_id: str
    worker_id: str


@dataclass(frozen=True, slots=True)
class NotReserved:
    """The peer has no free capacity; nothing ran."""

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ForwardGo:
    """Run the reserved request; its body follows."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Abandon:
    """Release the reserved capacity; nothing ran."""


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of a body; parts are numbered from 0."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """The end of a body of ``chunk_count`` parts."""

    chunk_count: int


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The head of the upstream's response; its body follows."""

    request_id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ReplyNotRun:
    """The request did not run, for ``reason``."""

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplyUnknown:
    """The request may have run; ``reason`` says why that is not known."""

    request_id: str
    reason: str


ForwardMessage = (
    ForwardOpen
    | Reserved
    | NotReserved
    | ForwardGo
    | Abandon
    | BodyChunk
    | BodyEnd
    | ReplyHead
    | ReplyNotRun
    | ReplyUnknown
)

ControlMessage = (
    SupportRequest
    | SupportReply
    | PackedDigest
    | Done
    | FetchRecords
    | Records
    | FetchSnapshot
    | Snapshot
    | IdQuery
    | IdAnswer
    | IdOutcome
    | LoanRequest
    | LoanGrant
    | PartitionHandover
)
