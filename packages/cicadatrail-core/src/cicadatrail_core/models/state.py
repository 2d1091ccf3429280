"""The replicated state that every entry instance computes from the log."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeVar

from cicadatrail_core.models.fleet import (
    Key,
    Place,
    Pool,
    Queue,
    Service,
    Team,
    Weights,
    Worker,
)
from cicadatrail_core.models.maintenance import Condition, Move, WaveProgress
from cicadatrail_core.models.patches import Accepted, Refused
from cicadatrail_core.models.rights import IncarnationId

V = TypeVar("V")


def _empty() -> Mapping[str, V]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Member:
    """A member: one incarnation of an entry instance.

    ``last_pulse_offset`` is the offset of its newest heartbeat (its join counts
    as one). ``folded_offset`` is the oldest offset by whose membership it may
    still evaluate its lease. ``retire_offset`` is the offset of the first retire
    record for it, and ``acknowledged_by`` names the members that have acknowledged
    that record. ``freed_offset`` is the offset of the first record that freed its
    workers and partitions: from then on it runs no task. ``rights_sequence`` is the
    sequence of its newest transfer or release, ``record_format`` the newest format
    that its release can fold.
    """

    incarnation: IncarnationId
    instance_id: str
    host: str
    peer_port: int
    place: Place
    joined_offset: int
    last_pulse_offset: int
    folded_offset: int
    retire_offset: int | None = None
    acknowledged_by: tuple[IncarnationId, ...] = ()
    freed_offset: int | None = None
    rights_sequence: int = 0
    listed: bool = False
    record_format: int = 1


@dataclass(frozen=True, slots=True)
class RosterChange:
    """The membership of one region from ``offset`` on."""

    offset: int
    region: str
    members: tuple[IncarnationId, ...]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted patch and the version that it created."""

    version: int
    patch_id: str
    offset: int
    operator: str


@dataclass(frozen=True, slots=True)
class State:
    """Everything that the log determines up to ``next_offset``.

    ``conditions`` has only workers that are not serving. Draining workers are found
    in ``waves`` and ``moves``; see ``fold.availability``. ``slots`` maps a team to the
    slot count of each owner. ``roster`` is the membership. ``roster_changes`` reaches
    back, for each region, to the oldest ``folded_offset`` of its members.
    ``verdicts`` and ``history`` keep only the newest entries. ``record_format`` is the
    newest format that every member can fold; it never decreases.
    ``writer_sequences`` has the newest sequence number folded from each member,
    ``gone_sequences`` those of the most recently departed writers, and
    ``snapshot_offset`` is the offset of the newest complete snapshot in the log.
    """

    next_offset: int = 0
    version: int = 0
    pools: Mapping[str, Pool] = field(default_factory=_empty)
    services: Mapping[str, Service] = field(default_factory=_empty)
    queues: Mapping[str, Queue] = field(default_factory=_empty)
    teams: Mapping[str, Team] = field(default_factory=_empty)
    keys: Mapping[str, Key] = field(default_factory=_empty)
    workers: Mapping[str, Worker] = field(default_factory=_empty)
    pool_of: Mapping[str, str] = field(default_factory=_empty)
    weights: Weights = Weights()
    conditions: Mapping[str, Condition] = field(default_factory=_empty)
    waves: Mapping[str, WaveProgress] = field(default_factory=_empty)
    moves: Mapping[str, Move] = field(default_factory=_empty)
    roster: Mapping[IncarnationId, Member] = field(
        default_factory=lambda: MappingProxyType({})
    )
    roster_changes: tuple[RosterChange, ...] = ()
    worker_holders: Mapping[str, IncarnationId] = field(default_factory=_empty)
    slots: Mapping[str, Mapping[IncarnationId, int]] = field(default_factory=_empty)
    partition_holders: Mapping[int, IncarnationId] = field(
        default_factory=lambda: MappingProxyType({})
    )
    verdicts: Mapping[str, Accepted | Refused] = field(default_factory=_empty)
    history: tuple[HistoryEntry, ...] = ()
    unreadable_count: int = 0
    writer_sequences: Mapping[IncarnationId, int] = field(
        default_factory=lambda: MappingProxyType({})
    )
    gone_sequences: Mapping[IncarnationId, int] = field(
        default_factory=lambda: MappingProxyType({})
    )
    snapshot_offset: int = 0
    record_format: int = 1
