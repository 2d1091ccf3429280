"""What becomes of requests that have no reply yet while the fleet recovers.

Answers the load of callers after all instances are lost at once, in an outage of the
store and across a change of leader: what is known not to be carried out is refused
early, so that its caller can come back, and what may be carried out never is.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestState(Enum):
    """How far a request has come."""

    NO_LEADER = "no leader is known"
    ASKED = "the leader has been asked"
    REPLACED = "a newer leader is known than the one asked"
    TAKING_OVER = "the leader has not taken over yet"
    UNSENT = "the change is in no append, and those before it fail"
    APPENDING = "the change is in an append without an answer"


class Verdict(Enum):
    """What to do with a request once its time is over."""

    REFUSE = "refuse"
    ASK_AGAIN = "ask again"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestRule:
    """Wait at most ``wait_s`` in a state, within the caller's deadline.

    A refusal becomes unknown if another leader may have carried the request out.
    """

    wait_s: float
    verdict: Verdict


RULES = {
    RequestState.NO_LEADER: RequestRule(2.2, Verdict.REFUSE),
    RequestState.ASKED: RequestRule(float("inf"), Verdict.UNKNOWN),
    RequestState.REPLACED: RequestRule(0.0, Verdict.ASK_AGAIN),
    RequestState.TAKING_OVER: RequestRule(2.2, Verdict.REFUSE),
    RequestState.UNSENT: RequestRule(0.4, Verdict.REFUSE),
    RequestState.APPENDING: RequestRule(float("inf"), Verdict.UNKNOWN),
}
"""The rule of each state. 2.2 s are a takeover after the silence limit and a margin;
a healthy store answers in 8 ms."""


def state_without_store(is_known: bool, is_unsent: bool) -> RequestState:
    """Return the state of a submission once appends have failed for too long.

    ``is_known`` is whether the leader still has the job, ``is_unsent`` whether it is in
    no append yet.
    """
    if not is_known or is_unsent:
        return RequestState.UNSENT
    return RequestState.APPENDING


def state_of_call(asked_epoch: int, known_epoch: int) -> RequestState:
    """Return the state of a request to the leader of an epoch."""
    return RequestState.REPLACED if known_epoch > asked_epoch else RequestState.ASKED
