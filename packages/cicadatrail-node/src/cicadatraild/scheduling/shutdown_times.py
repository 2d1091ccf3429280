"""Times of a shutdown, between SIGTERM and the kill by the platform."""

from __future__ import annotations

from dataclasses import dataclass

STOP_MARGIN_S = 1.0
"""Margin between the exit of a stopping process and its kill by the platform."""

DRAIN_S = 0.5
"""Time before its end in which a stopping process takes no new requests."""

SEND_MARGIN_S = 0.15
"""Part of that time reserved for sending the last answers."""

RELEASE_TIMEOUT_S = 0.5
"""Time for storing the release of leadership; half of the stop margin."""

EXIT_MARGIN_S = 0.1
"""Part of the stop margin that is left for the exit, also of a process that is late."""


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Times on the event loop's clock; SIGTERM came at ``began_s``."""

    began_s: float
    grace_s: float

    @property
    def end_s(self) -> float:
        """Return the time at which the connections of callers end."""
        return self.began_s + max(0.0, self.grace_s - STOP_MARGIN_S)

    @property
    def drain_s(self) -> float:
        """Return the time from which no new requests are taken."""
        return self.end_s - DRAIN_S

    @property
    def answer_s(self) -> float:
        """Return the time by which every request is answered."""
        return self.end_s - SEND_MARGIN_S

    def release_timeout_s(self, now_s: float) -> float:
        """Return the time that is left for storing the release of leadership."""
        left_s = self.began_s + self.grace_s - EXIT_MARGIN_S - now_s
        return max(0.0, min(RELEASE_TIMEOUT_S, left_s))
