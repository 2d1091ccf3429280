"""Counts of refused clients, with a bounded number of log lines."""

from __future__ import annotations

import logging

logger = logging.getLogger("cicadatrail.http")

LOG_PAUSE_S = 1.0
"""Shortest interval between two lines about the same reason."""


class RefusalCounts:
    """Count refusals by reason, and log each reason at most once a second."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._logged: dict[str, tuple[float, int]] = {}

    def add(self, reason: str, now_s: float) -> None:
        """Count one refusal; the next line of its reason has the number since."""
        count = self.counts.get(reason, 0) + 1
        self.counts[reason] = count
        logged_s, logged_count = self._logged.get(reason, (float("-inf"), 0))
        if now_s - logged_s < LOG_PAUSE_S:
            return
        self._logged[reason] = (now_s, count)
        logger.warning(
            "http: refusing clients.",
            extra={"reason": reason, "refused_count": count - logged_count},
        )
