"""Durations that govern how rights are owned and freed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RightsTiming:
    """Durations in seconds; every instance must use the same values.

    ``support_s`` is the length of an owner's lease, measured on its own
    monotonic clock, which must keep running while the process is paused.
    ``drift_ratio`` bounds the error of such a clock's rate. A task that is not
    renewed ends within ``task_lease_s``. ``list_lag_s`` bounds the age of an
    answer of the instance list.
    """

    support_s: float = 2.0
    task_lease_s: float = 10.0
    list_lag_s: float = 30.0
    drift_ratio: float = 0.01

    @property
    def support_wait_s(self) -> float:
        """Return how long to wait until another instance's lease has expired."""
        return self.support_s * self._stretch

    @property
    def task_wait_s(self) -> float:
        """Return how long to wait until another instance's task leases have expired."""
        return self.task_lease_s * self._stretch

    @property
    def list_wait_s(self) -> float:
        """Return the greatest age that an answer of the instance list can have."""
        return self.list_lag_s * self._stretch

    @property
    def _stretch(self) -> float:
        return (1 + self.drift_ratio) / (1 - self.drift_ratio)
