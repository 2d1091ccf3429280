"""Workers kept for a request that is first in order but fits nowhere yet.

Without one, smaller requests behind it would take every bit of room that comes
free, and it would never start. A pool has one reservation at most.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Keep one worker's room for one waiting request."""

    request_id: str
    team_id: str
    worker_id: str
    rank: int
    is_aged: bool


class Reservations:
    """Keep the reservations by pool, by request and by worker."""

    __slots__ = ("_by_pool", "_pool_of_request", "_pool_of_worker")

    def __init__(self) -> None:
        self._by_pool: dict[str, Reservation] = {}
        self._pool_of_request: dict[str, str] = {}
        self._pool_of_worker: dict[str, str] = {}

    def of_pool(self, pool_id: str) -> Reservation | None:
        """Return the pool's reservation."""
        return self._by_pool.get(pool_id)

    def add(self, pool_id: str, reservation: Reservation) -> None:
        """Add a reservation to a pool that has none."""
        self._by_pool[pool_id] = reservation
        self._pool_of_request[reservation.request_id] = pool_id
        self._pool_of_worker[reservation.worker_id] = pool_id

    def remove(self, pool_id: str) -> Reservation | None:
        """Remove and return the pool's reservation."""
        reservation = self._by_pool.pop(pool_id, None)
        if reservation is not None:
            del self._pool_of_request[reservation.request_id]
            del self._pool_of_worker[reservation.worker_id]
        return reservation

    def pool_of_request(self, request_id: str) -> str | None:
        """Return the pool in which the request has a reservation."""
        return self._pool_of_request.get(request_id)

    def pool_of_worker(self, worker_id: str) -> str | None:
        """Return the pool in which the worker is reserved."""
        return self._pool_of_worker.get(worker_id)
