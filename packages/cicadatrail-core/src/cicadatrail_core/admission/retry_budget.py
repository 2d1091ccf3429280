"""Retry budget and jittered exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limit retries to ``extra_load_fraction`` of the first attempts.

    Up to ``token_limit_count`` unused retries are saved. The delay before a retry
    doubles from ``first_delay_s`` up to ``longest_delay_s``.
    """

    extra_load_fraction: float = 0.1
    token_limit_count: float = 100.0
    first_delay_s: float = 0.05
    longest_delay_s: float = 2.0


class RetryBudget:
    """Token bucket that each first attempt refills with a fraction of a retry.

    Source: retry budgets as in Finagle, without the minimum rate, so that the extra
    load is bounded from the first request on.
    """

    __slots__ = ("_settings", "_token_count")

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._token_count = 0.0

    def count_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""
        token_count = self._token_count + self._settings.extra_load_fraction
        self._token_count = min(token_count, self._settings.token_limit_count)

    def try_acquire(self) -> bool:
        """Consume one retry; return False if the budget has none left."""
        # Ten times 0.1 does not add up to exactly 1.0 in floating point.
        if self._token_count < 1.0 - 1e-9:
            return False
        self._token_count -= 1.0
        return True

    def delay_s(self, retry_number: int, random: Random) -> float:
        """Return the delay in seconds before a retry; the first has number 1.

        Source: exponential backoff with full jitter.
        """
        longest_s = self._settings.longest_delay_s
        # The limit is reached long before 30 doublings; this avoids huge powers.
        doublings = min(retry_number - 1, 30)
        limit_s = min(self._settings.first_delay_s * 2**doublings, longest_s)
        return random.uniform(0.0, limit_s)
