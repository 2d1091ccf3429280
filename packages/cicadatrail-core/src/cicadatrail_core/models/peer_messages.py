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
    """State the largest free room on one worker of a pool, and waiting work."""

    pool_id: str
    largest_free: Resources
    waiting_urgent_count: int
    waiting_count: int


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """State what a team uses at one instance, and the slots left there."""

    team_id: str
    used: Resources
    free_slot_count: int
    waiting_count: int
    running_count: int = 0


@dataclass(frozen=True, slots=True)
class Digest:
    """Tell peers about once a second what its sender runs and has room for."""

    incarnation: IncarnationId
    next_offset: int
    version: int
    pools: tuple[PoolFreeCapacity, ...]
    teams: tuple[TeamUsage, ...]


@dataclass(frozen=True, slots=True)
class PackedDigest:
    """Carry a digest by columns, since names of fields would be most of it.

    ``pool_amounts`` has POOL_AMOUNT_COUNT integers a pool, ``team_amounts``
    TEAM_AMOUNT_COUNT a team, in the order of the fields of ``PoolFreeCapacity`` and
    ``TeamUsage``.
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
    """Return the digest as it is sent."""
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
    """Return the digest that was sent; None if its columns don't match."""
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
    """Ask a peer for records of the log, when the log can't be read."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Carry records of the log; empty when the peer has no newer ones."""

    from_offset: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Ask a peer for its state, to join while the log is down."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Carry a state as ``fold.snapshots.dump_state`` codes it."""

    payload: bytes


class IdVerdict(Enum):
    """Say what a partition's holder knows of a request id."""

    FIRST = "first"
    RUNNING = "running"
    DONE = "done"
    UNKNOWABLE = "unknowable"
    REFUSED = "refused"
    AWAY = "away"
    """The asked instance doesn't hold the partition, or may not spend it."""


@dataclass(frozen=True, slots=True)
class IdQuery:
    """Ask a partition's holder whether a request id was seen; marks it seen.

    ``attempt`` names the request that asks: a repeated query of the same
    attempt gets the same answer.
    """

    scoped_id: str
    partition: int
    attempt: str


@dataclass(frozen=True, slots=True)
class IdAnswer:
    """Answer an id query; a done one carries the answer where it was kept."""

    verdict: IdVerdict
    recorded: bytes | None = None


@dataclass(frozen=True, slots=True)
class IdOutcome:
    """Tell a partition's holder how an attempt ended."""

    scoped_id: str
    partition: int
    attempt: str
    not_run: bool
    recorded: bytes | None = None


@dataclass(frozen=True, slots=True)
class IdEntryCopy:
    """Carry what is known of one request id."""

    scoped_id: str
    id_time_s: float
    done: bool
    recorded: bytes | None
    attempt: str


@dataclass(frozen=True, slots=True)
class PartitionHandover:
    """Carry a partition's memory to the taker of a folded transfer.

    ``sequence`` is that of the transfer; ``horizon_s`` is a wall clock time.
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
    """Ask a peer to reserve a place for a request; nothing runs yet."""

    request: TaskRequest
    remaining_s: float
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class Reserved:
    """State that a place and a slot are kept until the request follows."""

    request_id: str
    worker_id: str


@dataclass(frozen=True, slots=True)
class NotReserved:
    """State that the peer has no place; nothing ran."""

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ForwardGo:
    """Let the reserved request run; its body follows."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Abandon:
    """Give the reserved place back; nothing ran."""


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Carry a part of a body; parts are numbered from 0."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """End a body of ``chunk_count`` parts."""

    chunk_count: int


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Carry the head of the upstream's response; its body follows."""

    request_id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ReplyNotRun:
    """State that the request did not run, and why."""

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplyUnknown:
    """State that the request may have run, and why that is not known."""

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
