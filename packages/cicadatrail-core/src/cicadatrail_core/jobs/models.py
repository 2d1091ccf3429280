"""Data model of jobs, of the fleet they run on and of worker reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cicadatrail_core.models.resources import NO_RESOURCES, Resources

OPEN_OCCURRENCE_LIMIT_COUNT = 64
"""Maximum number of occurrences of one job kept in memory at once."""

OPEN_SUBTASK_LIMIT_COUNT = 100_000
"""Maximum number of their subtasks, unless one occurrence has more: opening them
blocks the event loop."""


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: ``count`` subtasks with the same requirements.

    ``after`` holds the positions of the steps that must be done first.
    ``spread_limit_count`` limits the subtasks of the step on one worker; 0 means
    no limit. ``lasting`` marks a long-running step, whose subtasks serve until
    they are stopped, and ``filler`` a best-effort one; both names are stored.
    ``may_miss_count`` limits how many subtasks of a long-running step may be made
    unavailable at once; 0 means that the step states no limit. ``target_tail_ms``
    is the target for the tail latency of a serving subtask; 0 means none.
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
        """Return the part of a worker's capacity that a subtask reserves.

        A best-effort subtask reserves no processor time, as it only uses what
        other subtasks leave.
        """
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_mib, self.need.accelerator_count)


@dataclass(frozen=True, slots=True)
class JobDefinition:
    """A job as submitted by a caller; immutable once it is accepted.

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
        """Return the number of times that the steps run."""
        return self.repeat_count or 1

    @property
    def open_limit_count(self) -> int:
        """Return the most occurrences that are kept in memory at once."""
        subtask_count = sum(step.count for step in self.steps)
        within_limit_count = OPEN_SUBTASK_LIMIT_COUNT // max(1, subtask_count)
        return min(OPEN_OCCURRENCE_LIMIT_COUNT, max(1, within_limit_count))


class JobPhase(Enum):
    """Phase of a job as shown to callers."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class EndKind(Enum):
    """How a run ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class SubtaskName:
    """Unique name of a subtask in the fleet."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that a worker reports as running.

    ``measurement`` is the tail latency in ms of a serving subtask, and the
    processor use in millicores of any other.
    """

    name: SubtaskName
    run: int
    checkpoint: str
    percent: int
    measurement: int = 0


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run that a worker reports as ended.

    ``number`` numbers the ends on a worker, starting anew when it restarts.
    """

    number: int
    name: SubtaskName
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """The running and ended runs that a worker reports.

    ``born_unix_ms`` is the start time of the worker and identifies its
    incarnation. ``is_complete`` is false if more ends may follow
    on another page.
    """

    clock_ms: int
    born_unix_ms: int
    running: tuple[RunningRow, ...]
    ends: tuple[EndRow, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Entry of a worker in the platform's list."""

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
        """Return the rack, which is the worker's last label."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the current configuration."""

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
    """A team; a limit of 0 for a resource means no limit."""

    name: str
    keys: tuple[str, ...]
    weight: int = 1
    limit: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers; machines in a standby pool cost nothing."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    body_limit_bytes: int = 262_144
    header_limit_bytes: int = 16_384


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave requested by an operator."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    limit_count: int


class MachineState(Enum):
    """State of a machine in the machine service's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the fleet; only a machine of the same kind may replace it."""

    name: str
    pool: str
    state: MachineState
    worker_id: str
    kind: str = ""
    data_centre: str = ""
