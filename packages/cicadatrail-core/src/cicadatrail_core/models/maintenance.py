"""Maintenance waves, moves between pools, and the conditions of workers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class WaveAction(Enum):
    """What a wave does to each worker once it is drained."""

    DRAIN = "drain"
    REBOOT = "reboot"
    REPLACE = "replace"


class DomainOrder(Enum):
    """Level of failure domain that a wave finishes one at a time."""

    RACK = "rack"
    DATA_CENTRE = "data-centre"


class WaveStatus(Enum):
    """Status of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class WorkingHours:
    """The hours of a day (UTC) in which a wave may start drains."""

    start_hour: int = 0
    end_hour: int = 24


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave as its operator requested it.

    ``worker_ids`` names the instances; if it is empty, the wave covers the workers
    that were in ``pool_id`` when the patch was accepted (the fold fills them in).
    The wave pauses once ``failure_limit_count`` workers have failed in it.
    """

    wave_id: str
    action: WaveAction
    pool_id: str = ""
    worker_ids: tuple[str, ...] = ()
    order: DomainOrder = DomainOrder.RACK
    concurrency_limit_count: int = 1
    failure_limit_count: int = 2
    working_hours: WorkingHours = WorkingHours()


class Condition(Enum):
    """Condition of a worker; all but SERVING count as unavailable."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTAINING = "maintaining"
    FAILED = "failed"
    EJECTED = "ejected"
    LEAVING = "leaving"


class StepStatus(Enum):
    """Status of one worker within a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    MAINTAINING = "maintaining"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """A wave with the step of each of its workers, in wave order.

    ``retries`` has the configuration version in which the wave was resumed for each
    worker that it has retried since.
    """

    wave: Wave
    status: WaveStatus
    steps: tuple[tuple[str, StepStatus], ...]
    pause_reason: str = ""
    retries: tuple[tuple[str, int], ...] = ()

    def job_id(self, worker_id: str) -> str:
        """Return the id of the platform's job for the worker's latest attempt.

        The platform keeps the outcome of a job, so each attempt has its own.
        """
        first_id = f"{self.wave.wave_id}.{worker_id}"
        version = dict(self.retries).get(worker_id)
        return first_id if version is None else f"{first_id}@{version}"


class MoveStatus(Enum):
    """Status of a move; the worker changes pool only when it is done."""

    DRAINING = "draining"
    DONE = "done"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class Move:
    """A move of one worker between two pools."""

    move_id: str
    worker_id: str
    from_pool_id: str
    to_pool_id: str
    status: MoveStatus = MoveStatus.DRAINING
