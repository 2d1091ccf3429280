"""Failure domains of workers, and orderings of workers by domain."""

from __future__ import annotations

from collections.abc import Iterable

from cicadatrail_core.fold.availability import (
    workers_of,
)
from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.maintenance import (
    DomainOrder,
)
from cicadatrail_core.models.state import State


def domain_of(worker: Worker, order: DomainOrder) -> tuple[str, ...]:
    """Return the failure domain of a worker at the level of ``order``."""
    place = worker.place
    match order:
        case DomainOrder.RACK:
            return (place.region, place.data_centre, place.rack)
        case DomainOrder.DATA_CENTRE:
            return (place.region, place.data_centre)


def workers_by_place(state: State, pool_id: str) -> tuple[str, ...]:
    """Return the pool's workers sorted by region, data centre, rack and id."""
    return tuple(
        sorted(
            workers_of(state, pool_id),
            key=lambda w: (*domain_of(state.workers[w], DomainOrder.RACK), w),
        )
    )


def grouped_by_domain(
    state: State, worker_ids: Iterable[str], order: DomainOrder
) -> tuple[str, ...]:
    """Return the workers grouped by domain, in order of first appearance."""
    domains: dict[tuple[str, ...], list[str]] = {}
    for worker_id in worker_ids:
        domain = domain_of(state.workers[worker_id], order)
        domains.setdefault(domain, []).append(worker_id)
    return tuple(worker_id for group in domains.values() for worker_id in group)
