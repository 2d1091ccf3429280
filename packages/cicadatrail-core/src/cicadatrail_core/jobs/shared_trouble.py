"""Trouble that several workers of a pool have at about the same time.

A subtask takes only its own worker along. If others fail as well, the loss of a worker
says little about what ran there.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from cicadatrail_core.jobs.crash_evidence import is_loss_planned
from cicadatrail_core.jobs.worker_state import WorkerState

SHARED_S = 3.0
"""Time within which the failures of several workers may have one cause."""

SHARED_COUNT = 2
"""Least number of other workers in trouble for a shared cause."""

SHARED_FRACTION = 0.1
"""Least fraction of a pool's other workers in trouble for a shared cause.

With fewer, a subtask hardly loses one worker after the other by chance.
"""

KEPT_S = 15.0
"""Time after its first failed call within which the loss of a worker is noticed."""


@dataclass(frozen=True, slots=True)
class PoolTrouble:
    """Hold the other workers of a lost worker's pool, and those in trouble."""

    other_count: int
    in_trouble: frozenset[str]

    def is_shared(self, ignored: Set[str] = frozenset()) -> bool:
        """Return whether many others are in trouble as well, without ``ignored``."""
        needed_count = max(SHARED_COUNT, SHARED_FRACTION * self.other_count)
        return len(self.in_trouble - ignored) >= needed_count


class RecentLosses:
    """Keep when the workers that were lost lately began to fail."""

    def __init__(self) -> None:
        self._losses: dict[str, tuple[str, float]] = {}

    def add(self, worker: WorkerState, now_s: float) -> None:
        """Note that a worker is lost; forget losses of long ago."""
        recent = {
            worker_id: (pool, failed_s)
            for worker_id, (pool, failed_s) in self._losses.items()
            if now_s - failed_s < KEPT_S
        }
        loss = worker.facts.pool, _failed_s(worker, now_s)
        self._losses = {**recent, worker.facts.worker_id: loss}

    def trouble(
        self, worker: WorkerState, workers: Mapping[str, WorkerState], now_s: float
    ) -> PoolTrouble:
        """Return which others of a lost worker's pool are in trouble as well.

        They don't answer, or were lost and began to fail when it did.
        """
        pool, lost_id = worker.facts.pool, worker.facts.worker_id
        others = {i for i, other in workers.items() if other.facts.pool == pool}
        in_trouble = {i for i in others if _is_silent(workers[i], now_s)}
        since_s = _failed_s(worker, now_s)
        for worker_id, (lost_pool, failed_s) in self._losses.items():
            if lost_pool == pool and abs(failed_s - since_s) <= SHARED_S:
                in_trouble.add(worker_id)
        return PoolTrouble(
            len((others | in_trouble) - {lost_id}), frozenset(in_trouble - {lost_id})
        )


def _is_silent(worker: WorkerState, now_s: float) -> bool:
    return worker.failed_s is not None and not is_loss_planned(worker, now_s)


def _failed_s(worker: WorkerState, now_s: float) -> float:
    return now_s if worker.failed_s is None else worker.failed_s
