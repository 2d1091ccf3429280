"""The cores that each pool's work could use, and where that is heading."""

from __future__ import annotations

from collections import deque

RISE_WINDOW_S = 1.0
"""Time over which a rise is measured; a peak of the platform's queues rises for
about four seconds."""

HORIZON_S = 1.5
"""Time ahead for which a rise is extrapolated: a move and the news of it."""


class Demand:
    """Remember the cores that pools could use, and extrapolate them."""

    def __init__(self) -> None:
        self._pools: dict[str, deque[tuple[float, float]]] = {}

    def record(self, pool: str, cores: float, now_s: float) -> None:
        """Note how many cores a pool's work could use now."""
        entries = self._pools.setdefault(pool, deque())
        entries.append((now_s, cores))
        while len(entries) > 1 and entries[1][0] <= now_s - RISE_WINDOW_S:
            entries.popleft()

    def expected_cores(self, pool: str) -> float:
        """Return the cores that a pool's work will use soon.

        A rise is taken to go on; a fall is not, as what waits may start again.
        """
        entries = self._pools.get(pool)
        if not entries:
            return 0.0
        before_s, before = entries[0]
        now_s, present = entries[-1]
        if now_s <= before_s:
            return present
        rise = max(0.0, present - before) / max(RISE_WINDOW_S, now_s - before_s)
        # One large job is no trend, so the extrapolation at most doubles.
        return present + min(present, rise * HORIZON_S)
