"""Records of the log, written by entry instances and folded by each of them."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.maintenance import Condition, StepStatus
from cicadatrail_core.models.patches import Patch
from cicadatrail_core.models.rights import IncarnationId, Right

RECORD_FORMAT = 1
"""Format of the records that this release writes."""


@dataclass(frozen=True, slots=True)
class PatchRecord:
    """Submit a patch; its verdict is decided at its offset."""

    patch: Patch


@dataclass(frozen=True, slots=True)
class JoinRecord:
    """Add an incarnation to the membership; it owns no rights yet.

    ``record_format`` is the newest format that its release can fold.
    """

    incarnation: IncarnationId
    instance_id: str
    host: str
    peer_port: int
    place: Place
    record_format: int = RECORD_FORMAT


@dataclass(frozen=True, slots=True)
class PulseRecord:
    """A heartbeat; reading it proves to its writer how far it has read the log.

    ``folded_offset`` is the ``next_offset`` of the state that the writer had
    folded when it sent the record. From then on the writer evaluates its lease
    by the membership at that offset or a later one, never at an earlier one.
    ``listed`` means that the writer has seen itself in the instance list.
    """

    incarnation: IncarnationId
    sequence: int
    folded_offset: int = 0
    listed: bool = False


@dataclass(frozen=True, slots=True)
class LeaveRecord:
    """Report that an incarnation owns no rights, runs no task and has stopped."""

    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class RetireRecord:
    """Request that a silent incarnation's rights be freed once that is safe."""

    incarnation: IncarnationId
    proposer: IncarnationId


@dataclass(frozen=True, slots=True)
class RetireAckRecord:
    """Confirm that the supporter's leases for the incarnation have all expired."""

    incarnation: IncarnationId
    supporter: IncarnationId


@dataclass(frozen=True, slots=True)
class FreeRecord:
    """Free a retired incarnation's rights; the writer has checked that it is safe.

    ``gone`` names the incarnations that are proven to the writer to be dead. With
    ``partitions_only``, tasks that the incarnation started may still be running.
    """

    incarnation: IncarnationId
    reclaimer: IncarnationId
    gone: tuple[IncarnationId, ...] = ()
    partitions_only: bool = False


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim rights; those that already have an owner are skipped."""

    incarnation: IncarnationId
    rights: tuple[Right, ...]


@dataclass(frozen=True, slots=True)
class TransferRecord:
    """Transfer rights permanently; the giver has stopped using them.

    ``sequence`` numbers the transfers and releases of one incarnation, so that a
    record appended twice (because its answer was lost) is applied once. If
    ``borrowed`` is set, the taker writes the record, with a sequence number of its
    own: it keeps slots that the retired giver had lent to it.
    """

    giver: IncarnationId
    taker: IncarnationId
    rights: tuple[Right, ...]
    sequence: int
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Release rights; the owner has stopped using them.

    ``sequence`` shares its numbering with the owner's transfers.
    """

    incarnation: IncarnationId
    rights: tuple[Right, ...]
    sequence: int


@dataclass(frozen=True, slots=True)
class ConditionRecord:
    """Report a change in a worker's condition, as its owner saw it."""

    worker_id: str
    condition: Condition
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class StepRecord:
    """Report or request a step of a worker within a wave.

    The fold ignores a drain that would exceed an availability budget.
    """

    wave_id: str
    worker_id: str
    step: StepStatus
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """Pause a wave automatically, with the reason."""

    wave_id: str
    reason: str
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class MoveDrainedRecord:
    """Report that a moving worker runs no task, so that it changes pool."""

    move_id: str
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """One part of a snapshot of the state folded up to ``offset``."""

    offset: int
    part: int
    part_count: int
    payload: bytes


Record = (
    PatchRecord
    | JoinRecord
    | PulseRecord
    | LeaveRecord
    | RetireRecord
    | RetireAckRecord
    | FreeRecord
    | ClaimRecord
    | TransferRecord
    | ReleaseRecord
    | ConditionRecord
    | StepRecord
    | PauseRecord
    | MoveDrainedRecord
    | SnapshotRecord
)
