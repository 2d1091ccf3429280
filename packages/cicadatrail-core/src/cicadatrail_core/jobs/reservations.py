"""Reservations: a worker that is kept free for a step that doesn't fit anywhere."""

from __future__ import annotations

from collections.abc import Iterable, Set

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.worker_conditions import (
    advised_workers,
    lacks_only_capacity,
)
from cicadatrail_core.jobs.worker_state import WorkerState

RESERVE_AFTER_S = 1.5
"""Time after which a worker is reserved for a step that doesn't fit anywhere."""

RESERVED_LIMIT_S = 6.0
"""Longest time without a break for which a pool has a worker reserved.

Nearly all subtasks take less, so that the reserved worker has emptied by then.
"""

ROOM_WAIT_LIMIT_S = 2.0
"""Longest wait of other work for a reserved worker while its pool has much room."""

ROOM_FRACTION = 0.5
"""Fraction of a pool's processors in use below which it has much room."""


class Reservation:
    """The worker of a pool that one scheduling pass keeps free for a blocked step."""

    def __init__(
        self, scheduler: Scheduler, pool: str, workers: list[WorkerState], now_s: float
    ) -> None:
        self._scheduler = scheduler
        self._pool = pool
        self._workers = workers
        self._now_s = now_s
        self._is_decided = False
        self._reserved: frozenset[str] = frozenset()

    def consider(self, step: StepState) -> None:
        """Reserve a worker for a step that fits nowhere.

        Only the most urgent step for which a worker can be reserved counts, also
        while the pool has a break: others would keep the worker in turns.
        """
        if self._is_decided or not _may_reserve(step, self._now_s):
            return
        worker_id = _worker_to_reserve(
            self._scheduler, step, self._workers, self._now_s
        )
        if worker_id is None:
            return
        self._is_decided = True
        since_s = self._scheduler.reserved_since_s.setdefault(self._pool, self._now_s)
        if self._now_s - since_s >= 2 * RESERVED_LIMIT_S:
            self._scheduler.reserved_since_s[self._pool] = since_s = self._now_s
        if self._now_s - since_s < RESERVED_LIMIT_S:
            self._reserved = frozenset((worker_id,))

    def closed_to(self, subtask: Subtask) -> Set[str]:
        """Return the ids of the workers that are kept free of a subtask."""
        if not self._reserved or subtask.step.spec.lasting:
            return frozenset()
        waited_s = self._now_s - subtask.ready_s
        if waited_s > ROOM_WAIT_LIMIT_S and has_much_room(self._scheduler, self._pool):
            return frozenset()
        return self._reserved

    def end(self, keeps_room: bool) -> None:
        """Note at the end of the pass whether the pool still has a reservation.

        ``keeps_room`` is true if the pool has kept room for others instead: time goes
        on then, or a reservation that comes and goes would have no limit.
        """
        if not self._is_decided and not keeps_room:
            self._scheduler.reserved_since_s.pop(self._pool, None)


def forget_reservations(scheduler: Scheduler, pools: Iterable[str]) -> None:
    """Forget the reservations of all pools but those given, which have ready work."""
    for pool in scheduler.reserved_since_s.keys() - set(pools):
        del scheduler.reserved_since_s[pool]


def has_much_room(scheduler: Scheduler, pool: str) -> bool:
    """Return whether under half of the processors of a pool are in use."""
    workers = [w for w in scheduler.workers.values() if w.facts.pool == pool]
    used = sum(worker.used.cpu_millicores for worker in workers)
    total = sum(worker.facts.capacity.cpu_millicores for worker in workers)
    return used < ROOM_FRACTION * total


def _may_reserve(step: StepState, now_s: float) -> bool:
    """Return whether a step that fits nowhere may have a worker reserved."""
    if step.spec.lasting:
        return True
    oldest_s = min(subtask.ready_s for subtask in step.ready.values())
    return now_s - oldest_s > RESERVE_AFTER_S


def reservable_workers(
    scheduler: Scheduler, step: StepState, workers: list[WorkerState], now_s: float
) -> list[WorkerState]:
    """Return the workers that could run a step once their runs that end have ended.

    A worker that lacks more than capacity would be kept free for nothing.
    """
    advised = advised_workers(scheduler, step, now_s)
    return [
        worker
        for worker in workers
        if (advised is None or worker.facts.worker_id in advised)
        and lacks_only_capacity(step, worker)
    ]


def _worker_to_reserve(
    scheduler: Scheduler, step: StepState, workers: list[WorkerState], now_s: float
) -> str | None:
    """Return the worker to keep free until the step fits on it, or None."""
    eligible = reservable_workers(scheduler, step, workers, now_s)
    if not eligible:
        return None
    best = max(eligible, key=lambda worker: worker.free_capacity.cpu_millicores)
    return best.facts.worker_id
