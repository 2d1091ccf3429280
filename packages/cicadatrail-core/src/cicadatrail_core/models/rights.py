"""Rights that entry instances hold: workers, team slots, id partitions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

IncarnationId = NewType("IncarnationId", str)
"""Names one life of an entry instance; a replaced instance gets a new one."""

PARTITION_COUNT = 256
"""Number of partitions that the space of request ids is cut into."""


@dataclass(frozen=True, slots=True)
class WorkerRight:
    """The right to place tasks on one worker; it has one holder at a time."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class SlotRight:
    """The right to run ``slot_count`` tasks of a team at the same time."""

    team_id: str
    slot_count: int


@dataclass(frozen=True, slots=True)
class PartitionRight:
    """The right to say whether a request id of one partition was seen."""

    partition: int


Right = WorkerRight | SlotRight | PartitionRight
