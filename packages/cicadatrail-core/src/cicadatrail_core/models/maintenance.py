"""Waves of maintenance, moves between pools, and the condition of workers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class WaveAction(Enum):
    """Say what a wave does to each worker once it is drained."""

    DRAIN = "drain"
    REBOOT = "reboot"
    REPLACE = "replace"


class DomainOrder(Enum):
    """Choose the failure domain that a wave finishes before the next."""

    RACK = "rack"
    DATA_CENTRE = "data-centre"


class WaveStatus(Enum):
    """Tell where a wave stands."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class WorkingHours:
    """Bound the hours of a day (UTC) in which a wave may start drains."""

    start_hour: int = 0
    end_hour: int = 24


@dataclass(frozen=True, slots=True)
class Wave:
    """Describe a maintenance wave as its operator asked for it.

    ``worker_ids`` names the instances; where it is empty, the wave takes the
    workers that ``pool_id`` held when the patch was accepted (the fold fills
    them in). The wave pauses once ``failure_limit_count`` workers failed in it.
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
    """Tell what a worker is good for; all but SERVING count as unavailable."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTAINING = "maintaining"
    FAILED = "failed"
    EJECTED = "ejected"
    LEAVING = "leaving"


class StepStatus(Enum):
    """Tell where one worker stands within a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    MAINTAINING = "maintaining"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Hold a wave with the step of each of its workers, in wave order."""

    wave: Wave
    status: WaveStatus
    steps: tuple[tuple[str, StepStatus], ...]
    pause_reason: str = ""


class MoveStatus(Enum):
    """Tell where a move stands; the worker changes pool only when it is done."""

    DRAINING = "draining"
    DONE = "done"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class Move:
    """Describe the move of one worker between two pools."""

    move_id: str
    worker_id: str
    from_pool_id: str
    to_pool_id: str
    status: MoveStatus = MoveStatus.DRAINING
