"""Messages between entry instances and the leader, encoded with msgpack.

The names of the classes are sent on the wire, where the leader is the "holder".
"""

from __future__ import annotations

import re
from dataclasses import astuple, dataclass
from typing import Any

RETRY_SUFFIX = re.compile(r"(.*); retry after (\d+\.\d+) s", re.DOTALL)
"""Reason of an encoded refusal that has a time; its other parts are the fields."""


@dataclass(frozen=True, slots=True)
class Submit:
    """Request that a job is stored; ``definition`` is its encoded record."""

    job_id: str
    definition: bytes


@dataclass(frozen=True, slots=True)
class AskPhase:
    """Request the phase of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Request that a job is cancelled."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CountQueued:
    """Request the number of jobs of a queue that have started no subtask."""

    queue: str


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Request the leader that the peer knows."""


@dataclass(frozen=True, slots=True)
class AskCandidate:
    """Request whether the peer could become the leader."""


@dataclass(frozen=True, slots=True)
class ConfirmHolder:
    """Request that the peer confirms that no leader is newer than this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Report that the peer knows no newer leader and is not claiming leadership."""


@dataclass(frozen=True, slots=True)
class Stored:
    """Report that the job or its cancellation is stored."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the request was not and will not be carried out.

    ``retry_after_s`` is when the caller should send it again; 0 leaves it open.
    """

    reason: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Report that the request may or may not be carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class PhaseIs:
    """Report the phase of a job; "" when there is no such job."""

    phase: str


@dataclass(frozen=True, slots=True)
class QueuedCount:
    """Report the number of jobs."""

    count: int


@dataclass(frozen=True, slots=True)
class HolderIs:
    """Report the leader that a peer knows; epoch 0 when it knows none."""

    epoch: int
    host: str


@dataclass(frozen=True, slots=True)
class CandidateIs:
    """Report whether a peer could become the leader.

    ``is_strong`` is set when it has enough cores to lead a large fleet, ``age_s`` is
    the time since its start.
    """

    is_able: bool
    is_strong: bool
    age_s: float


Request = (
    Submit | AskPhase | Cancel | CountQueued | AskHolder | AskCandidate | ConfirmHolder
)
Reply = (
    Stored
    | Refused
    | Unsettled
    | PhaseIs
    | QueuedCount
    | HolderIs
    | CandidateIs
    | Confirmed
)

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
        ConfirmHolder,
        Confirmed,
    )
}


def encode_message(message: Request | Reply) -> list[Any]:
    """Return a message as a list that msgpack can encode."""
    if isinstance(message, Refused):
        # Instances of the former version accept no second field.
        suffix = f"; retry after {message.retry_after_s:.3f} s"
        return ["Refused", message.reason + (suffix if message.retry_after_s else "")]
    return [type(message).__name__, *astuple(message)]


def decode_message(value: Any) -> Any:
    """Return the message that a list encodes.

    Raises ValueError when the list is no valid message.
    """
    if not isinstance(value, list) or not value or value[0] not in _TYPES:
        raise ValueError(f"no message: {value!r}")
    try:
        message = _TYPES[value[0]](*value[1:])
    except TypeError as error:
        raise ValueError(str(error)) from error
    if isinstance(message, Refused) and isinstance(message.reason, str):
        return _split_retry(message)
    return message


def _split_retry(message: Refused) -> Refused:
    found = RETRY_SUFFIX.fullmatch(message.reason)
    return Refused(found[1], float(found[2])) if found else message
