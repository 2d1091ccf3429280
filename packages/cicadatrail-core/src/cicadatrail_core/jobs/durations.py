"""Expected run times: stated estimates, corrected by what ran before.

Estimates are far off, so the run times of a queue are regressed on them, on a
logarithmic scale. Where estimates say little, the queue's usual time counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_SAMPLE_COUNT = 10
"""Ends after which a queue's estimates are corrected."""

DECAY_SAMPLE_COUNT = 200
"""Ends that the correction remembers, older ones fading out."""

MIN_ESTIMATE_MS = 1
"""Smallest estimate that is used, as its logarithm is taken."""


@dataclass(slots=True)
class _Regression:
    """Hold faded sums of the logarithms of estimates (x) and run times (y)."""

    count: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        fade = 1 - 1 / DECAY_SAMPLE_COUNT
        self.count = self.count * fade + 1
        self.sum_x = self.sum_x * fade + x
        self.sum_y = self.sum_y * fade + y
        self.sum_xx = self.sum_xx * fade + x * x
        self.sum_xy = self.sum_xy * fade + x * y

    def predict(self, x: float) -> float:
        mean_x = self.sum_x / self.count
        mean_y = self.sum_y / self.count
        variance = self.sum_xx / self.count - mean_x * mean_x
        covariance = self.sum_xy / self.count - mean_x * mean_y
        slope = covariance / variance if variance > 1e-9 else 0.0
        return mean_y + min(1.0, max(0.0, slope)) * (x - mean_x)


class Durations:
    """Learn and correct the run times of subtasks, by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _Regression] = {}

    def learn(self, queue: str, estimate_ms: int, run_s: float) -> None:
        """Take in how long a subtask ran that was done."""
        if run_s <= 0:
            return
        x = math.log(max(MIN_ESTIMATE_MS, estimate_ms))
        self._queues.setdefault(queue, _Regression()).add(x, math.log(run_s * 1000))

    def expected_ms(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time; the estimate until enough is known."""
        regression = self._queues.get(queue)
        if regression is None or regression.count < MIN_SAMPLE_COUNT:
            return float(estimate_ms)
        x = math.log(max(MIN_ESTIMATE_MS, estimate_ms))
        return math.exp(regression.predict(x))
