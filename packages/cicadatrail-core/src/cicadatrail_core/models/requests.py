"""Callers' requests and their three possible outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """A caller's request as validated by an entry instance.

    ``deadline_s`` is a time on the event loop's clock. ``caller_named_id`` is true
    if the caller chose the request id, so that it may send the request again.
    """

    request_id: str
    team_id: str
    service_id: str
    queue_id: str
    size: Resources
    urgency: Urgency
    deadline_s: float
    repeatable: bool
    caller_named_id: bool = False


class Outcome(Enum):
    """Outcome of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
