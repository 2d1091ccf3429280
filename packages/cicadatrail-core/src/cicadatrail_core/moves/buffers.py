"""Size of the spare buffer that covers the loss of a failure domain."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from cicadatrail_core.fold.availability import all_unavailable
from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.models.maintenance import DomainOrder, MoveStatus
from cicadatrail_core.models.state import State

Domain = tuple[str, ...]


def expected_pools(state: State) -> dict[str, str]:
    """Return the pool of each serving worker after the active moves complete."""
    unavailable = all_unavailable(state)
    pool_of = {w: p for w, p in state.pool_of.items() if w not in unavailable}
    for move in state.moves.values():
        if move.status is not MoveStatus.DRAINING:
            continue
        if move.worker_id not in state.conditions:
            pool_of[move.worker_id] = move.to_pool_id
    return pool_of


def serving_counts(pool_of: Mapping[str, str]) -> Counter[str]:
    """Return the number of workers of each pool."""
    return Counter(pool_of.values())


def loss_buffer_count(
    state: State,
    pool_of: Mapping[str, str],
    needed: Mapping[str, int],
    order: DomainOrder,
) -> int:
    """Return how many spare workers the worst loss of one domain would require.

    Only one domain is assumed lost at a time, so all pools share one buffer: the
    largest sum, over the domains, of what the loss adds to the pools' deficits.
    A pool's present deficit is excluded, since moves fill it. A domain that is
    already lost uses the buffer, so no further buffer is reserved.

    Source: the shared buffers against correlated failures in Meta's RAS.
    """
    counts = serving_counts(pool_of)
    lost: dict[Domain, Counter[str]] = {}
    for worker_id, worker in state.workers.items():
        members = lost.setdefault(domain_of(worker, order), Counter())
        if worker_id in pool_of:
            members[pool_of[worker_id]] += 1
    if any(not members for members in lost.values()):
        return 0
    return max(
        (_added_deficit(members, counts, needed) for members in lost.values()),
        default=0,
    )


def _added_deficit(
    lost: Mapping[str, int], counts: Mapping[str, int], needed: Mapping[str, int]
) -> int:
    """Return what a loss adds to the deficits that the pools already have."""
    added = 0
    for pool_id, lost_count in lost.items():
        free_count = counts.get(pool_id, 0) - needed.get(pool_id, 0)
        added += max(0, min(lost_count, lost_count - free_count))
    return added
