"""Jobs, the fleet they run on, and what workers report, as plain data."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cicadatrail_core.models.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class Step:
    """Describe the subtasks of one step of a job.

    ``after`` holds the positions of earlier steps that must be done first.
    ``spread_limit_count`` bounds the subtasks of the step on one worker; 0 is
    no bound. ``may_miss_count`` bounds how many subtasks of a lasting step the
    system may keep from work at once; 0 states no bound.
    """

    count: int
    need: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit_count: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    target_tail_ms: int = 0
    filler: bool = False
    may_miss_count: int = 0

    @property
    def reserved(self) -> Resources:
        """Return what a subtask takes of a worker's capacity.

        A filler takes only memory: its processor time is what others leave.
        """
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_mib, self.need.accelerator_count)


@dataclass(frozen=True, slots=True)
class JobDefinition:
    """Hold what a caller submitted; it never changes after acceptance.

    ``repeat_count`` is 0 for a job that runs once; otherwise occurrence K is
    due at ``first_due_unix_ms`` + K x ``interval_ms``.
    """

    queue: str
    team: str
    spec: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due_unix_ms: int = 0
    interval_ms: int = 0
    submitted_unix_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run."""
        return self.repeat_count or 1


class JobPhase(Enum):
    """Name the state of a job that callers see."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class EndKind(Enum):
    """Say how a run ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class SubtaskName:
    """Name a subtask across the fleet."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """Describe one run that a worker says it has.

    ``measurement`` is the tail latency in ms of a serving subtask, or the processor
    use in millicores of any other.
    """

    name: SubtaskName
    run: int
    checkpoint: str
    percent: int
    measurement: int = 0


@dataclass(frozen=True, slots=True)
class EndRow:
    """Describe one run that a worker says has ended; ``number`` counts ends."""

    number: int
    name: SubtaskName
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Hold a worker's own lists; ``born_unix_ms`` names its life."""

    clock_ms: int
    born_unix_ms: int
    running: tuple[RunningRow, ...]
    ends: tuple[EndRow, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Hold what a worker says of itself in the platform's list."""

    worker_id: str
    pool: str
    host: str
    port: int
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: int = 0
    born_unix_ms: int = 0
    clock_ms: int = 0
    machine: str = ""
    cold_ms: int = 0

    @property
    def rack(self) -> str:
        """Return the label of the rack, which is the last one."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Queue:
    """Describe a queue of the configuration in force."""

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempt_limit_count: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    public: bool = False
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """Describe a team; a limit of 0 in a resource is no limit."""

    name: str
    keys: tuple[str, ...]
    weight: int = 1
    limit: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class Pool:
    """Describe a pool of workers."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """Hold one version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    body_limit_bytes: int = 262_144
    header_limit_bytes: int = 16_384


@dataclass(frozen=True, slots=True)
class Wave:
    """Describe a maintenance wave that an operator asked for."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    limit_count: int


class MachineState(Enum):
    """Name the state of a machine in the machine service's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Machine:
    """Describe one machine of the fleet; only one of its kind may replace it."""

    name: str
    pool: str
    state: MachineState
    worker_id: str
    kind: str = ""
