"""Records of the log: what entry instances write and every one folds."""

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
    """Enter an incarnation in the roster; it holds no rights yet.

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
    """Prove to its own writer that it has read the log up to here.

    ``folded_offset`` is the ``next_offset`` of the state that the writer had
    folded when it sent this. From then on the writer judges its support by the
    roster of that offset or of a later one, never of an earlier one.
    ``listed`` tells that the instance list has shown the writer to itself.
    """

    incarnation: IncarnationId
    sequence: int
    folded_offset: int = 0
    listed: bool = False


@dataclass(frozen=True, slots=True)
class LeaveRecord:
    """State that an incarnation holds nothing, runs nothing and is gone."""

    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class RetireRecord:
    """Ask that a silent incarnation's rights be freed once that is safe."""

    incarnation: IncarnationId
    proposer: IncarnationId


@dataclass(frozen=True, slots=True)
class RetireAckRecord:
    """Promise that every support granted to the incarnation has lapsed."""

    incarnation: IncarnationId
    supporter: IncarnationId


@dataclass(frozen=True, slots=True)
class FreeRecord:
    """Free a retired incarnation's rights; its writer has checked the rule.

    ``gone`` names the incarnations whose death was proven to the writer. With
    ``partitions_only`` the tasks that the incarnation started may still run.
    """

    incarnation: IncarnationId
    reclaimer: IncarnationId
    gone: tuple[IncarnationId, ...] = ()
    partitions_only: bool = False


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim rights that nobody holds; those held already are left out."""

    incarnation: IncarnationId
    rights: tuple[Right, ...]


@dataclass(frozen=True, slots=True)
class TransferRecord:
    """Hand rights over for good; the giver has stopped using them.

    ``sequence`` numbers the transfers and releases of one incarnation, so that
    a record appended twice (its answer was lost) is applied once. Where
    ``borrowed`` is set, the taker writes it, numbered as one of its own: it
    keeps slots that the retired giver had lent to it.
    """

    giver: IncarnationId
    taker: IncarnationId
    rights: tuple[Right, ...]
    sequence: int
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Give up rights; the holder has stopped using them.

    ``sequence`` is counted together with that of its transfers.
    """

    incarnation: IncarnationId
    rights: tuple[Right, ...]
    sequence: int


@dataclass(frozen=True, slots=True)
class ConditionRecord:
    """Report a change in a worker's condition, as its holder saw it."""

    worker_id: str
    condition: Condition
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class StepRecord:
    """Report or ask for a step of a worker within a wave.

    The fold refuses a drain that would break an availability budget.
    """

    wave_id: str
    worker_id: str
    step: StepStatus
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """Pause a wave by the system's own decision, with the reason."""

    wave_id: str
    reason: str
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class MoveDrainedRecord:
    """Report that a moving worker runs nothing, so that it changes pool."""

    move_id: str
    reporter: IncarnationId


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Carry one part of the state as folded up to ``offset``."""

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
