"""Lives of workers that an order for their machine has ended.

Their entries stay listed for some time, and a successor would wait for their leases.
"""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.jobs.models import WorkerFacts
from cicadatrail_core.jobs.worker_state import WorkerState

MOVED = "moved"
MAINTENANCE = "maintenance"
ENDED_BEFORE = "ended by an order of an earlier leader"
ORDER_REASONS = (MOVED, MAINTENANCE)
"""Reasons for which a worker is removed once an order for its machine was answered."""

KEPT_S = 60.0
"""Time after which an entry has long expired, so that nobody would wait for it."""

IGNORED_S = 10.0
"""Time for which writes of a worker from before its end may still be carried out."""


@dataclass(frozen=True, slots=True)
class EndedLife:
    """Hold a life that has ended, and since when the leader knows that it has.

    ``is_inherited`` tells that the order was an earlier leader's.
    """

    born_unix_ms: int
    known_s: float
    is_inherited: bool


class EndedLives:
    """Track ended lives by worker id until they are no matter.

    A worker that is known again is none: something may run there.
    """

    def __init__(self) -> None:
        self._lives: dict[str, EndedLife] = {}

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._lives

    def add(self, worker: WorkerState, now_s: float) -> None:
        """Note that an order of this leader has ended a worker's life."""
        born_unix_ms = max(worker.born_unix_ms, worker.facts.born_unix_ms)
        life = EndedLife(born_unix_ms, now_s, is_inherited=False)
        self._lives[worker.facts.worker_id] = life

    def inherit(self, worker_id: str, born_unix_ms: int, now_s: float) -> None:
        """Note a life that an earlier leader's order has ended."""
        self._lives[worker_id] = EndedLife(born_unix_ms, now_s, is_inherited=True)

    def discard(self, worker_id: str) -> None:
        """Forget the life of a worker that is known again."""
        self._lives.pop(worker_id, None)

    def ignores(self, facts: WorkerFacts, now_s: float) -> bool:
        """Return whether an entry may be a late write of an inherited ended life.

        A worker that goes on writing has not ended, and is to be known again. The
        leader that had the order's answer itself goes on reading the list.
        """
        life = self._lives.get(facts.worker_id)
        if life is None or not life.is_inherited:
            return False
        is_late = now_s - life.known_s < IGNORED_S
        return is_late and is_ended(facts, life.born_unix_ms)

    def recent(self, now_s: float) -> dict[str, int]:
        """Return the times of birth by worker id; drop lives that ended long ago."""
        for worker_id, life in [*self._lives.items()]:
            if now_s - life.known_s > KEPT_S:
                del self._lives[worker_id]
        return {worker_id: life.born_unix_ms for worker_id, life in self._lives.items()}


def is_ended(facts: WorkerFacts, ended_born_unix_ms: int) -> bool:
    """Return whether an entry is of a life that ended, or of an earlier one.

    An entry without a time of birth may be of a later life.
    """
    return 0 < facts.born_unix_ms <= ended_born_unix_ms
