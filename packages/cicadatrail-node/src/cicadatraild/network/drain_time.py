"""Time that a draining server leaves its requests."""

from __future__ import annotations

import asyncio

LATE_DRAIN_S = 0.3
"""Time for what has arrived, once the loop has been late for the rest of a drain."""

LATE_S = 0.01
"""Time after the end of a drain from which the loop counts as late for it."""

READ_PASSES_COUNT = 6
"""Passes of the loop from a connection in the backlog to the reading of its bytes."""

SLOW_PASS_S = 0.05
"""Duration of a pass of the loop in which more requests may have arrived."""


class DrainTime:
    """Time until the end of a drain, at least ``LATE_DRAIN_S``.

    A loop that comes back only after the end has run nothing that was due before. It
    gets ``LATE_DRAIN_S`` from then on, once.
    """

    __slots__ = ("_is_prolonged", "_loop", "_until_s")

    def __init__(self, timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._until_s = self._loop.time() + max(timeout_s, LATE_DRAIN_S)
        self._is_prolonged = False

    def left_s(self) -> float:
        """Return the time that is left, 0 at the end; call it in each pass."""
        now_s = self._loop.time()
        if not self._is_prolonged and now_s - self._until_s > LATE_S:
            self._is_prolonged = True
            self._until_s = now_s + LATE_DRAIN_S
        return max(0.0, self._until_s - now_s)

    async def run_ready(self) -> None:
        """Let the loop accept connections and read bytes that have arrived.

        A slow pass starts the count anew, as more may have arrived meanwhile.
        """
        quick_count = 0
        while quick_count < READ_PASSES_COUNT and self.left_s() > 0:
            began_s = self._loop.time()
            await asyncio.sleep(0)
            is_quick = self._loop.time() - began_s < SLOW_PASS_S
            quick_count = quick_count + 1 if is_quick else 0
