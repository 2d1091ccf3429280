"""Messages between entry instances and the holder, coded with msgpack."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Submit:
    """Ask for a job to be stored; ``definition`` is its record."""

    job_id: str
    definition: bytes


@dataclass(frozen=True, slots=True)
class AskPhase:
    """Ask for the phase of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Ask for a job to be cancelled."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CountQueued:
    """Ask how many jobs of a queue have started nothing."""

    queue: str


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ask who holds the fleet, as far as the peer knows."""


@dataclass(frozen=True, slots=True)
class AskCandidate:
    """Ask a peer whether it could hold the fleet next."""


@dataclass(frozen=True, slots=True)
class Stored:
    """Say that the job is in the store, or its cancelling is."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Say that nothing was done and nothing will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Say that what was asked may yet happen."""

    reason: str


@dataclass(frozen=True, slots=True)
class PhaseIs:
    """Return the phase of a job; "" when no such job exists."""

    phase: str


@dataclass(frozen=True, slots=True)
class QueuedCount:
    """Return a count of jobs."""

    count: int


@dataclass(frozen=True, slots=True)
class HolderIs:
    """Name the holder that a peer knows; epoch 0 when it knows none."""

    epoch: int
    host: str


@dataclass(frozen=True, slots=True)
class CandidateIs:
    """Say whether a peer could hold the fleet, and for how long it has run."""

    is_able: bool
    is_strong: bool
    age_s: float


Request = Submit | AskPhase | Cancel | CountQueued | AskHolder | AskCandidate
Reply = Stored | Refused | Unsettled | PhaseIs | QueuedCount | HolderIs | CandidateIs

_TYPES: dict[str, Any] = {
    cls.__name__: cls
    for cls in (
        Submit,
        AskPhase,
        Cancel,
        CountQueued,
        AskHolder,
        AskCandidate,
        Stored,
        Refused,
        Unsettled,
        PhaseIs,
        QueuedCount,
        HolderIs,
        CandidateIs,
    )
}


def encode_message(message: Request | Reply) -> list[Any]:
    """Return a message as a list that msgpack codes."""
    return [type(message).__name__, *astuple(message)]


def decode_message(value: Any) -> Any:
    """Return the message of a list. Raises ValueError when it is none."""
    if not isinstance(value, list) or not value or value[0] not in _TYPES:
        raise ValueError(f"no message: {value!r}")
    try:
        return _TYPES[value[0]](*value[1:])
    except TypeError as error:
        raise ValueError(str(error)) from error
