"""The times that the rule for holding and freeing rights rests on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RightsTiming:
    """Hold the times of the rule; every instance must use the same.

    A holder counts ``support_s`` on its own monotonic clock, which must go on
    while the process is paused. ``drift_ratio`` bounds how far such a clock's
    rate is from true. A task that nobody renews ends within ``task_lease_s``.
    ``list_lag_s`` bounds how old an answer of the instance list may be.
    """

    support_s: float = 2.0
    task_lease_s: float = 10.0
    list_lag_s: float = 30.0
    drift_ratio: float = 0.01

    @property
    def support_wait_s(self) -> float:
        """Return how long to wait for another's support time to be over."""
        return self.support_s * self._stretch

    @property
    def task_wait_s(self) -> float:
        """Return how long to wait for another's task leases to be over."""
        return self.task_lease_s * self._stretch

    @property
    def list_wait_s(self) -> float:
        """Return the age that an answer of the instance list surely is below."""
        return self.list_lag_s * self._stretch

    @property
    def _stretch(self) -> float:
        return (1 + self.drift_ratio) / (1 - self.drift_ratio)
