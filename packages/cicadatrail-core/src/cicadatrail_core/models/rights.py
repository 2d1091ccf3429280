"""Rights of entry instances: to workers, team slots and id partitions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

IncarnationId = NewType("IncarnationId", str)
"""Id of one incarnation of an entry instance; a replacement gets a new one."""

PARTITION_COUNT = 256
"""Number of partitions of the request id space."""


@dataclass(frozen=True, slots=True)
class WorkerRight:
    """The right to place tasks on one worker; it has one owner at a time."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class SlotRight:
    """The right to run ``slot_count`` tasks of a team at the same time."""

    team_id: str
    slot_count: int


@dataclass(frozen=True, slots=True)
class PartitionRight:
    """The right to decide whether a request id of one partition was seen."""

    partition: int


Right = WorkerRight | SlotRight | PartitionRight
