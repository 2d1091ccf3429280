"""Workers that restart under their ids unnoticed and are cut off soon after."""

from __future__ import annotations

import asyncio
import random

from features.standins.platform_fleet import PlatformWorker

DARK_S = (0.1, 0.6)
CUT_AFTER_S = (0.02, 1.5)
CUT_S = (4.0, 9.0)
SLOW_RATE = 0.98


class RecutFaults:
    """Faults of some workers at once, half of which have slow clocks."""

    def __init__(self, rng: random.Random, workers: list[PlatformWorker]) -> None:
        self._random = rng
        self._workers = workers
        for worker in workers[::2]:
            worker.clock.rate = SLOW_RATE

    async def recut(self) -> None:
        """Restart workers without a reset, and cut them off."""
        count = self._random.randint(1, len(self._workers) - 2)
        chosen = self._random.sample(self._workers, count)
        await asyncio.gather(*(self._recut_one(worker) for worker in chosen))

    async def _recut_one(self, worker: PlatformWorker) -> None:
        if worker.is_unlisted or worker.unresponsive:
            return
        dark_s = self._random.uniform(*DARK_S)
        worker.loses_start_answers = self._random.random() < 0.3
        worker.restart_dark(dark_s)
        await asyncio.sleep(dark_s + self._random.uniform(*CUT_AFTER_S))
        worker.unresponsive = True
        await asyncio.sleep(self._random.uniform(*CUT_S))
        worker.unresponsive = worker.is_unlisted = worker.loses_start_answers = False
