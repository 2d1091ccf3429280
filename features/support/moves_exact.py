"""Finds the fewest moves that meet a series of needs, by exhaustive search."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

Counts = tuple[int, ...]
"""Workers of each pool; the last pool is the spare one."""


def least_moves(
    home: Counts, phases: Sequence[Counts], giving_back: bool
) -> int | None:
    """Return the fewest moves that meet every phase's needs and end at home.

    A pool never has fewer workers than at home, except the spare one, which
    keeps its own need. With ``giving_back`` none has more than it needs either.
    Return None if no series of moves meets the needs.
    """
    costs = {home: 0}
    for needs in phases:
        options = [c for c in _assignments(home) if _meets(c, needs)]
        if giving_back:
            lent = [max(pair) for pair in zip(home, needs, strict=True)][:-1]
            options = [c for c in options if list(c[:-1]) == lent]
        costs = {
            after: min(cost + distance(before, after) for before, cost in costs.items())
            for after in options
        }
        if not costs:
            return None
    return min(cost + distance(counts, home) for counts, cost in costs.items())


def distance(before: Counts, after: Counts) -> int:
    """Return the number of single-worker moves from one assignment to another."""
    return sum(max(0, b - a) for a, b in zip(after, before, strict=True))


def _meets(counts: Counts, needs: Counts) -> bool:
    return all(count >= need for count, need in zip(counts, needs, strict=True))


def _assignments(home: Counts) -> Iterator[Counts]:
    def spread(left: int, pools: int) -> Iterator[Counts]:
        if not pools:
            yield ()
            return
        for count in range(left + 1):
            for rest in spread(left - count, pools - 1):
                yield (count, *rest)

    for extra in spread(home[-1], len(home) - 1):
        pools = tuple(h + e for h, e in zip(home, extra, strict=False))
        yield (*pools, home[-1] - sum(extra))
