"""Retries that add a bounded load, with jittered exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bound retries to ``extra_load_fraction`` of the first attempts.

    Unspent retries are kept up to ``token_limit_count``. The delay before a
    retry doubles from ``first_delay_s`` up to ``longest_delay_s``.
    """

    extra_load_fraction: float = 0.1
    token_limit_count: float = 100.0
    first_delay_s: float = 0.05
    longest_delay_s: float = 2.0


class RetryBudget:
    """Allow a retry for every so many first attempts.

    Source: retry budgets as in Finagle, without its minimum rate, so that the
    extra load stays under the bound from the first request on.
    """

    __slots__ = ("_token_count", "_settings")

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._token_count = 0.0

    def count_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        token_count = self._token_count + self._settings.extra_load_fraction
        self._token_count = min(token_count, self._settings.token_limit_count)

    def try_acquire(self) -> bool:
        """Take one retry from the budget, or return False if none is left."""
        # Tenths do not add up to a whole number exactly.
        if self._token_count < 1.0 - 1e-9:
            return False
        self._token_count -= 1.0
        return True

    def delay_s(self, retry_number: int, random: Random) -> float:
        """Return the delay before a retry; the first has number 1.

        Source: exponential backoff with full jitter.
        """
        longest_s = self._settings.longest_delay_s
        # Past 30 doublings the limit holds anyway; no huge powers are needed.
        doublings = min(retry_number - 1, 30)
        limit_s = min(self._settings.first_delay_s * 2**doublings, longest_s)
        return random.uniform(0.0, limit_s)
