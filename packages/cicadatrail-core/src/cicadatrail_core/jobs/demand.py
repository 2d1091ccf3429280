"""Forecast of the cores that the work of each pool can use."""

from __future__ import annotations

from collections import deque

RISE_WINDOW_S = 1.0
"""Time over which a rise is measured.

Peaks in the platform's queues rise for about four seconds.
"""

HORIZON_S = 1.5
"""Time ahead that a rise is extrapolated: a move and the notice of it take this."""


class Demand:
    """Recent demand of each pool in cores, with an extrapolation of its trend."""

    def __init__(self) -> None:
        self._pools: dict[str, deque[tuple[float, float]]] = {}

    def record(self, pool: str, cores: float, now_s: float) -> None:
        """Record the number of cores that a pool's work could use now."""
        entries = self._pools.setdefault(pool, deque())
        entries.append((now_s, cores))
        while len(entries) > 1 and entries[1][0] <= now_s - RISE_WINDOW_S:
            entries.popleft()

    def expected_cores(self, pool: str, largest_step_cores: float) -> float:
        """Return the number of cores that a pool's work will soon use.

        A rise is extrapolated, less the cores of the largest step: one job is not a
        trend, however large, and would take machines from pools that need them. A
        fall is not extrapolated, because waiting work may start again.
        """
        entries = self._pools.get(pool)
        if not entries:
            return 0.0
        earliest_s, earliest = entries[0]
        now_s, present = entries[-1]
        if now_s <= earliest_s:
            return present
        rise = max(0.0, present - earliest - largest_step_cores)
        rise_per_s = rise / max(RISE_WINDOW_S, now_s - earliest_s)
        return present + min(present, rise_per_s * HORIZON_S)
