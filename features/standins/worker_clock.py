"""The steady clock of a stand-in worker, which begins anew with each of its lives."""

from __future__ import annotations

import asyncio

FIRST_AGE_S = 3600.0
"""Age of a worker's first life when a test begins."""

LEASE_LIMIT_S = 6.0


class WorkerClock:
    """Clock of a worker's present life; ``rate`` is below 1 for a slow one."""

    def __init__(self) -> None:
        self.rate = 1.0
        self._born_s: float | None = None

    def restart(self) -> None:
        """Begin a new life."""
        self._born_s = asyncio.get_running_loop().time()

    def now_ms(self) -> int:
        return int(self._age_s() * 1000)

    def lease_end_s(self, deadline_ms: int) -> float:
        """Return when a lease up to a deadline ends, on the loop's clock.

        A longer lease than the limit is cut down to it.
        """
        left_s = min(deadline_ms / 1000 - self._age_s(), LEASE_LIMIT_S)
        return asyncio.get_running_loop().time() + left_s / self.rate

    def _age_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        if self._born_s is None:
            self._born_s = now_s - FIRST_AGE_S
        return (now_s - self._born_s) * self.rate
