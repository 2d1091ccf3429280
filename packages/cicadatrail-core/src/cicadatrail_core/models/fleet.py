"""Machines, pools, services, teams and keys that operators configure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a machine, from the widest failure domain to the narrowest."""

    region: str
    data_centre: str
    rack: str = ""


@dataclass(frozen=True, slots=True)
class Worker:
    """An upstream instance that runs tasks."""

    worker_id: str
    host: str
    port: int
    place: Place
    capacity: Resources


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of workers; ``spare`` marks the pool that supplies the others."""

    pool_id: str
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service, its pool and its availability budget.

    At most ``unavailable_limit_count`` workers of the pool may be out of
    service at once, whatever the reason.
    """

    service_id: str
    pool_id: str
    unavailable_limit_count: int


class DrainPolicy(Enum):
    """What a drain does with tasks of a queue that are still running."""

    WAIT = "wait"
    CHECKPOINT = "checkpoint"
    NEVER_CUT = "never-cut"


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of a service.

    An open queue accepts work from any caller and charges it to
    ``owner_team_id``; any other accepts it only from the team whose key was sent
    with the request.
    """

    queue_id: str
    service_id: str
    open_to_all: bool = False
    owner_team_id: str = ""
    drain_policy: DrainPolicy = DrainPolicy.WAIT
    drain_deadline_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team, its share of a fully used fleet and its fleet-wide upper limit."""

    team_id: str
    share_weight: float
    upper_limit_tasks: int


@dataclass(frozen=True, slots=True)
class Key:
    """The salted hash of a team's key; the key itself is never stored."""

    key_id: str
    team_id: str
    salt_hex: str
    hash_hex: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Weights:
    """Relative importance of the operators' measured objectives."""

    buffer_cost: float = 1.0
    roll_out_time: float = 1.0
    moves: float = 1.0
    share: float = 1.0


class Urgency(Enum):
    """Priority class of a request; urgent work starts before the others."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Return the position of the class in the order, 0 first."""
        return _URGENCY_RANKS[self]


_URGENCY_RANKS = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BATCH: 2}
