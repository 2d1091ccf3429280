"""Callers' requests and the three true outcomes of an answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """Describe what a caller asks for, as checked at an entry instance.

    ``deadline_s`` is a time of the loop's clock. ``caller_named_id`` tells
    whether the caller chose the request id, so that it may come again.
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
    """State what became of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
