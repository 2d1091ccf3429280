"""Operations on the configuration, patches of them, and their verdicts."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.fleet import (
    Key,
    Pool,
    Queue,
    Service,
    Team,
    Weights,
    Worker,
)
from cicadatrail_core.models.maintenance import Wave
from cicadatrail_core.utils.findings import Findings


@dataclass(frozen=True, slots=True)
class PutPool:
    """Create or change a pool."""

    pool: Pool


@dataclass(frozen=True, slots=True)
class RemovePool:
    """Remove a pool that has no worker and serves no service."""

    pool_id: str


@dataclass(frozen=True, slots=True)
class PutService:
    """Create or change a service and its availability budget."""

    service: Service


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Remove a service that has no queue."""

    service_id: str


@dataclass(frozen=True, slots=True)
class PutQueue:
    """Create or change a queue."""

    queue: Queue


@dataclass(frozen=True, slots=True)
class RemoveQueue:
    """Remove a queue."""

    queue_id: str


@dataclass(frozen=True, slots=True)
class PutTeam:
    """Create or change a team's share and upper limit."""

    team: Team


@dataclass(frozen=True, slots=True)
class RemoveTeam:
    """Remove a team and withdraw its keys."""

    team_id: str


@dataclass(frozen=True, slots=True)
class GrantKey:
    """Grant a key to a team; only its salted hash is recorded."""

    key: Key


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key permanently."""

    key_id: str


@dataclass(frozen=True, slots=True)
class AddWorker:
    """Add a worker to exactly one pool."""

    worker: Worker
    pool_id: str


@dataclass(frozen=True, slots=True)
class RemoveWorker:
    """Remove a worker from the fleet."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class StartMove:
    """Drain a worker and move it from one pool to another."""

    move_id: str
    worker_id: str
    from_pool_id: str
    to_pool_id: str


@dataclass(frozen=True, slots=True)
class AbortMove:
    """Abort a move that is still draining; the worker stays in its pool."""

    move_id: str


@dataclass(frozen=True, slots=True)
class StartWave:
    """Start a maintenance wave."""

    wave: Wave


@dataclass(frozen=True, slots=True)
class PauseWave:
    """Pause a wave: no further drain starts."""

    wave_id: str


@dataclass(frozen=True, slots=True)
class ResumeWave:
    """Resume a paused wave."""

    wave_id: str


@dataclass(frozen=True, slots=True)
class AbortWave:
    """Abort a wave: waiting workers are not started, started ones are finished."""

    wave_id: str


@dataclass(frozen=True, slots=True)
class PutWeights:
    """Change the weights of the operators' objectives."""

    weights: Weights


Operation = (
    PutPool
    | RemovePool
    | PutService
    | RemoveService
    | PutQueue
    | RemoveQueue
    | PutTeam
    | RemoveTeam
    | GrantKey
    | WithdrawKey
    | AddWorker
    | RemoveWorker
    | StartMove
    | AbortMove
    | StartWave
    | PauseWave
    | ResumeWave
    | AbortWave
    | PutWeights
)


@dataclass(frozen=True, slots=True)
class Patch:
    """Operations against one configuration version, applied atomically.

    Sending the same ``patch_id`` again returns the first verdict.
    """

    patch_id: str
    base_version: int
    operations: tuple[Operation, ...]
    operator: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The verdict that a patch is in force from ``version`` on."""

    patch_id: str
    version: int
    offset: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The verdict that a patch changed nothing, and why.

    ``changed_since`` lists the patch ids accepted after the patch's base version.
    """

    patch_id: str
    current_version: int
    findings: Findings
    stale: bool = False
    changed_since: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UnknownVerdict:
    """The verdict is not known yet; the client may ask again by the patch id."""

    patch_id: str
    advice: str


Verdict = Accepted | Refused | UnknownVerdict
