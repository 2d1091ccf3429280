"""Prediction of run times from callers' estimates and past runs.

Estimates are far off, so each queue's run times are predicted by a linear
regression on the estimates, on a logarithmic scale. Where the estimates explain
little, the prediction approaches the queue's usual run time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_SAMPLE_COUNT = 10
"""Completed subtasks of a queue after which its estimates are corrected."""

BOUND_DEVIATIONS = 1.28
"""Standard deviations from the prediction to a bound; a tenth of the runs exceed it."""

DECAY_SAMPLE_COUNT = 200
"""Number of samples over which the weight of old samples decays exponentially."""

MIN_ESTIMATE_MS = 1
"""Lower bound of the estimates, whose logarithms are taken."""


@dataclass(frozen=True, slots=True)
class RunTime:
    """Predicted run time of a subtask; most runs end between the two bounds."""

    early_s: float
    expected_s: float
    late_s: float


@dataclass(slots=True)
class _Regression:
    """Least squares over decaying sums of log estimates (x) and log run times (y).

    The squares of the residuals are those of the predictions made before each sample
    was added.
    """

    count: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    residual_count: float = 0.0
    sum_squares: float = 0.0

    def add(self, x: float, y: float) -> None:
        decay = 1 - 1 / DECAY_SAMPLE_COUNT
        if self.count >= MIN_SAMPLE_COUNT:
            residual = y - self.predict(x)
            self.residual_count = self.residual_count * decay + 1
            self.sum_squares = self.sum_squares * decay + residual * residual
        self.count = self.count * decay + 1
        self.sum_x = self.sum_x * decay + x
        self.sum_y = self.sum_y * decay + y
        self.sum_xx = self.sum_xx * decay + x * x
        self.sum_xy = self.sum_xy * decay + x * y

    def predict(self, x: float) -> float:
        mean_x = self.sum_x / self.count
        mean_y = self.sum_y / self.count
        variance = self.sum_xx / self.count - mean_x * mean_x
        covariance = self.sum_xy / self.count - mean_x * mean_y
        slope = covariance / variance if variance > 1e-9 else 0.0
        return mean_y + min(1.0, max(0.0, slope)) * (x - mean_x)


class Durations:
    """Run times of subtasks by queue, learned from completed runs."""

    def __init__(self) -> None:
        self._queues: dict[str, _Regression] = {}

    def learn(self, queue: str, estimate_ms: int, run_s: float) -> None:
        """Add the run time of a completed subtask."""
        if run_s <= 0:
            return
        x = math.log(max(MIN_ESTIMATE_MS, estimate_ms))
        self._queues.setdefault(queue, _Regression()).add(x, math.log(run_s * 1000))

    def expected_ms(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time.

        Until the queue has enough samples, this is the estimate.
        """
        regression = self._queues.get(queue)
        if regression is None or regression.count < MIN_SAMPLE_COUNT:
            return float(estimate_ms)
        x = math.log(max(MIN_ESTIMATE_MS, estimate_ms))
        return math.exp(regression.predict(x))

    def run_time(self, queue: str, estimate_ms: int) -> RunTime | None:
        """Return the expected run time with its bounds.

        Returns None until the queue has enough samples to know the spread.
        """
        regression = self._queues.get(queue)
        if regression is None or regression.residual_count < MIN_SAMPLE_COUNT:
            return None
        x = math.log(max(MIN_ESTIMATE_MS, estimate_ms))
        expected_s = math.exp(regression.predict(x)) / 1000
        deviation = math.sqrt(regression.sum_squares / regression.residual_count)
        factor = math.exp(BOUND_DEVIATIONS * deviation)
        return RunTime(expected_s / factor, expected_s, expected_s * factor)
