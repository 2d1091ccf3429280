"""Status and configuration that an entry instance reports to operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from cicadatrail_core.models.fleet import Pool, Queue, Service, Team, Weights, Worker
from cicadatrail_core.models.maintenance import Move, WaveProgress
from cicadatrail_core.models.patches import Accepted, Refused, UnknownVerdict, Verdict
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State

V = TypeVar("V")


class LogCondition(Enum):
    """Responsiveness of the platform's log to this instance."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class LogState:
    """The log's condition, and the seconds for which it has lasted."""

    condition: LogCondition
    since_s: float


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member as the answering instance sees it.

    ``admin_address`` has the form ``HOST:PORT``; it and ``version`` are None while
    unknown. The answering instance is listed too.
    """

    instance_id: str
    incarnation: IncarnationId
    reachable: bool
    version: int | None = None
    admin_address: str | None = None


@dataclass(frozen=True, slots=True)
class TeamStatus:
    """A team's tasks, slots and reached share, compared with its due share.

    Shares are fractions of the fleet. ``slots_held_count`` counts the slots of the
    team's upper limit that the answering instance owns.
    """

    team_id: str
    running_count: int
    waiting_count: int
    slots_held_count: int
    share_due: float
    share_reached: float


@dataclass(frozen=True, slots=True)
class WaveReport:
    """A wave's progress and the forecast seconds until it ends."""

    progress: WaveProgress
    remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class RightsCounts:
    """Numbers of the rights that the answering instance owns."""

    worker_count: int = 0
    slot_count: int = 0
    partition_count: int = 0
    lent_count: int = 0


class AlarmName(Enum):
    """Conditions that an operator should know about."""

    LOG_SLOW = "log-slow"
    LOG_DOWN = "log-down"
    INSTANCE_SUSPECTED = "instance-suspected"
    RIGHTS_RESTING = "rights-resting"
    WORKER_EJECTED = "worker-ejected"
    WAVE_PAUSED = "wave-paused"
    QUEUE_FULL = "queue-full"
    SHARE_NOT_REACHED = "share-not-reached"


@dataclass(frozen=True, slots=True)
class Alarm:
    """A condition, the seconds for which it has lasted, and its subject."""

    name: AlarmName
    since_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status of one entry instance, its peers and its work as it sees them."""

    instance_id: str
    incarnation: IncarnationId
    data_centre: str
    version: int
    next_offset: int
    log_state: LogState
    members: tuple[MemberStatus, ...] = ()
    teams: tuple[TeamStatus, ...] = ()
    waves: tuple[WaveReport, ...] = ()
    rights: RightsCounts = RightsCounts()
    alarms: tuple[Alarm, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyStatus:
    """A key without its hash."""

    key_id: str
    team_id: str
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The configuration in force at one instance, sorted by id."""

    version: int
    next_offset: int
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    queues: tuple[Queue, ...] = ()
    teams: tuple[Team, ...] = ()
    keys: tuple[KeyStatus, ...] = ()
    workers: tuple[Worker, ...] = ()
    pool_of: Mapping[str, str] = field(default_factory=dict)
    weights: Weights = Weights()
    waves: tuple[WaveProgress, ...] = ()
    moves: tuple[Move, ...] = ()


def view_configuration(state: State) -> ConfigurationView:
    """Return the part of the folded state that operators may see."""
    return ConfigurationView(
        version=state.version,
        next_offset=state.next_offset,
        pools=_sorted(state.pools),
        services=_sorted(state.services),
        queues=_sorted(state.queues),
        teams=_sorted(state.teams),
        keys=tuple(
            KeyStatus(key.key_id, key.team_id, key.withdrawn)
            for key in _sorted(state.keys)
        ),
        workers=_sorted(state.workers),
        pool_of=dict(sorted(state.pool_of.items())),
        weights=state.weights,
        waves=_sorted(state.waves),
        moves=_sorted(state.moves),
    )


def _sorted(entries: Mapping[str, V]) -> tuple[V, ...]:
    return tuple(entries[name] for name in sorted(entries))


def verdict_http_status(verdict: Verdict) -> int:
    """Return the HTTP status for a verdict on the admin listener."""
    match verdict:
        case Accepted():
            return 200
        case UnknownVerdict():
            return 202
        case Refused(stale=True):
            return 409
        case Refused():
            return 422
