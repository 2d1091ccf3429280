"""Workers reserved for a request that is first in order but fits nowhere yet.

Without a reservation, smaller requests behind it would use all capacity that is
freed, and it would starve. A pool has at most one reservation.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Reservation of one worker's free capacity for one waiting request."""

    request_id: str
    team_id: str
    worker_id: str
    rank: int
    is_aged: bool


class Reservations:
    """Reservations, indexed by pool, by request and by worker."""

    __slots__ = ("_by_pool", "_pool_of_request", "_pool_of_worker")

    def __init__(self) -> None:
        self._by_pool: dict[str, Reservation] = {}
        self._pool_of_request: dict[str, str] = {}
        self._pool_of_worker: dict[str, str] = {}

    def of_pool(self, pool_id: str) -> Reservation | None:
        """Return the pool's reservation, if any."""
        return self._by_pool.get(pool_id)

    def add(self, pool_id: str, reservation: Reservation) -> None:
        """Add a reservation to a pool that has none."""
        self._by_pool[pool_id] = reservation
        self._pool_of_request[reservation.request_id] = pool_id
        self._pool_of_worker[reservation.worker_id] = pool_id

    def remove(self, pool_id: str) -> Reservation | None:
        """Remove and return the pool's reservation, if any."""
        reservation = self._by_pool.pop(pool_id, None)
        if reservation is not None:
            del self._pool_of_request[reservation.request_id]
            del self._pool_of_worker[reservation.worker_id]
        return reservation

    def pool_of_request(self, request_id: str) -> str | None:
        """Return the pool in which the request has a reservation, if any."""
        return self._pool_of_request.get(request_id)

    def pool_of_worker(self, worker_id: str) -> str | None:
        """Return the pool in which the worker is reserved, if it is."""
        return self._pool_of_worker.get(worker_id)
