"""Settings of a scheduler and the bounds by which it counts leases."""

from __future__ import annotations

from dataclasses import dataclass

RUNS_PER_EPOCH = 1000
"""Run numbers of a subtask in one epoch, so that numbers rise across epochs."""

CLOCK_DRIFT = 0.02
"""Largest fraction by which a worker's clock runs slow, as the platform states."""

LEASE_MARGIN_S = 0.1
"""Time added to a lease before its runs are considered over."""

DEFAULT_STOP_LIMIT_S = 0.4
"""Longest time that a stop takes, where the platform states none."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Configure a scheduler for one term of leadership.

    ``lease_s`` is the length of the leases granted to workers, ``lease_limit_s`` the
    longest lease that a worker accepts, ``status_kept_s`` how long the status of an
    ended job is retained, and ``stop_limit_s`` the longest time that a stop takes.
    """

    epoch: int
    lease_s: float
    lease_limit_s: float
    status_kept_s: float
    stop_limit_s: float = DEFAULT_STOP_LIMIT_S

    @property
    def granted_lease_s(self) -> float:
        """Return the time after its grant at which a lease of a worker has expired."""
        return self.lease_s / (1 - CLOCK_DRIFT) + LEASE_MARGIN_S

    @property
    def longest_lease_s(self) -> float:
        """Return the time after which any lease of a worker has expired."""
        return self.lease_limit_s / (1 - CLOCK_DRIFT) + LEASE_MARGIN_S
