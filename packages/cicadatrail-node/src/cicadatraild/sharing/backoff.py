"""Delays between repeated attempts."""

from __future__ import annotations

import random


class Backoff:
    """Compute exponential delays with jitter.

    Exponential backoff with jitter is the usual defence against synchronised
    retries.
    """

    __slots__ = ("_attempt", "_base_s", "_limit_s", "_random")

    def __init__(
        self, base_s: float, limit_s: float, random_source: random.Random
    ) -> None:
        self._base_s = base_s
        self._limit_s = limit_s
        self._random = random_source
        self._attempt = 0

    def reset(self) -> None:
        """Restart from the base delay after a success."""
        self._attempt = 0

    def next_delay_s(self) -> float:
        """Return the next delay, at least a tenth of its upper bound."""
        bound_s = min(self._limit_s, self._base_s * float(2**self._attempt))
        self._attempt = min(self._attempt + 1, 30)
        return bound_s * self._random.uniform(0.1, 1.0)
