"""Quantiles over a sliding window of samples."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList


class SampleWindow:
    """Keep the newest samples sorted, so that a quantile costs O(log n)."""

    __slots__ = ("_limit_count", "_newest", "_ordered")

    def __init__(self, limit_count: int) -> None:
        self._limit_count = limit_count
        self._newest: deque[float] = deque()
        self._ordered: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self._newest)

    def add(self, sample: float) -> None:
        """Add a sample; drop the oldest one beyond the limit."""
        self._newest.append(sample)
        self._ordered.add(sample)
        if len(self._newest) > self._limit_count:
            self._ordered.remove(self._newest.popleft())

    def quantile(self, fraction: float) -> float:
        """Return the sample at position ``fraction * count`` of the sorted samples.

        Raises IndexError if there is no sample.
        """
        count = len(self._ordered)
        position = min(int(fraction * count), count - 1)
        return float(self._ordered[position])
