"""Leases that a successor would count too short, as a later life may hold them.

A successor that doesn't reach a worker waits for the leases that its predecessor may
have granted on the clock of the life that it knew. A later life of the worker may hold
one up to the limit. So the leader stores for which workers this is possible.
"""

from __future__ import annotations

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.worker_state import WorkerState

CALL_LIMIT_S = 1.1
"""Time within which a start has ended, answered or not: 0.5 s for a connection, and as
long for the exchange."""


def find_long_leases(scheduler: Scheduler, now_s: float) -> dict[str, float]:
    """Return the workers whose leases may last longer than granted ones, by id.

    Each with when the last of them is over, on the event loop's clock.
    """
    known_s = now_s + scheduler.settings.granted_lease_s
    found = {}
    for worker_id, worker in scheduler.workers.items():
        until_s = _until_s(scheduler, worker, now_s)
        if until_s > known_s:
            found[worker_id] = until_s
    return found


def _until_s(scheduler: Scheduler, worker: WorkerState, now_s: float) -> float:
    if not worker.is_reconciled:
        # Only an earlier leader has called it.
        return worker.later_life_until_s
    until_s = worker.lease_expires_s
    if worker.later_life_until_s > until_s and worker.has_unproved_run:
        until_s = worker.later_life_until_s
    if scheduler.is_handing_over and worker.has_start_under_way:
        # This leader won't know the outcome.
        limit_s = CALL_LIMIT_S + scheduler.settings.longest_lease_s
        until_s = max(until_s, now_s + limit_s)
    return until_s
