"""Mutants of the dispatcher; each must fail a check of the admission tests."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cicadatrail_core.admission.fair_queue import FairQueue
from cicadatrail_core.admission.team_shares import TeamShares
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement import dispatcher, pool_filler
from cicadatrail_core.placement.capacity_index import CapacityIndex
from cicadatrail_core.placement.fleet_view import FleetView
from cicadatrail_core.placement.pool_filler import PoolFiller
from cicadatrail_core.placement.slots import TeamSlots
from cicadatrail_core.placement.worker_ledger import WorkerLedger

Fault = Callable[[], AbstractContextManager[Any]]

REAL_BEST_FIT: Any = CapacityIndex.best_fit
REAL_END_TASK: Any = WorkerLedger.end_task
REAL_REMOVE = FairQueue.remove


def _best_fit_by_cpu(index: Any, size: Any, *rest: Any) -> Any:
    return REAL_BEST_FIT(index, Resources(size.cpu_millicores), *rest)


def _release_half_cpu(ledger: Any, *arguments: Any) -> None:
    *others, size = arguments
    half = Resources(size.cpu_millicores // 2, size.memory_mib, size.accelerator_count)
    REAL_END_TASK(ledger, *others, half)


def _remove_and_keep_deadline(queue: Any, request_id: str) -> Any:
    entry = REAL_REMOVE(queue, request_id)
    if entry is not None:
        item = (entry.request.deadline_s, entry.sequence, request_id)
        queue._deadlines.add(item)
    return entry


def _batch_first(queue: Any, pool: Any, now_s: float) -> Any:
    return (2, 1, 0)


def _always(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments and returns ``value``."""
    return lambda *arguments, **named: value


FAULTS: Mapping[str, Fault] = {
    "no team slots": lambda: patch.object(TeamSlots, "has_free", _always(True)),
    "no look at memory": lambda: patch.object(
        CapacityIndex, "best_fit", _best_fit_by_cpu
    ),
    "no check of the size": lambda: patch.object(
        FleetView, "fits_some_worker", _always(True)
    ),
    "batch before urgent": lambda: patch.object(FairQueue, "_rank_order", _batch_first),
    "no shares": lambda: patch.object(TeamShares, "weighted_share_of", _always(0.0)),
    "no peers' usage": lambda: patch.object(
        TeamShares, "set_peer_usage", _always(None)
    ),
    "no return of parked teams": lambda: patch.object(FairQueue, "unpark", _always(())),
    "places that stay half taken": lambda: patch.object(
        WorkerLedger, "end_task", _release_half_cpu
    ),
    "no expiry": lambda: patch.object(FairQueue, "expired", _always(())),
    "stale deadlines": lambda: patch.object(
        FairQueue, "remove", _remove_and_keep_deadline
    ),
    "one try per pool": lambda: patch.object(pool_filler, "TRY_LIMIT_COUNT", 1),
    "no usage reports": lambda: patch.object(
        dispatcher.Dispatcher, "report_usage", _always(None)
    ),
    "no tasks of others": lambda: patch.object(
        WorkerLedger, "set_outside", _always(False)
    ),
    "rivals passed over": lambda: patch.object(
        PoolFiller, "has_rivals", _always(False)
    ),
}
