"""Runs that were lost while another leader may have been elected.

They may go on, or their ends may have been read by that leader.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cicadatrail_core.jobs.state import Run
from cicadatrail_core.jobs.worker_state import WorkerState


class UnprovenRuns:
    """Track lost runs by worker and its time of birth until their end is certain."""

    def __init__(self) -> None:
        self._by_life: dict[tuple[str, int], list[Run]] = {}

    def __bool__(self) -> bool:
        return bool(self._by_life)

    def __iter__(self) -> Iterator[Run]:
        for runs in self._by_life.values():
            yield from runs

    def add(self, worker: WorkerState, runs: Iterable[Run]) -> None:
        """Add runs that were lost with the present life of a worker."""
        self._by_life.setdefault(_life(worker), []).extend(runs)

    def confirm(self, worker: WorkerState, earlier_lives: bool) -> bool:
        """Count a worker's runs as over, and drop them; return whether any was.

        Leaves the runs of its earlier lives unless ``earlier_lives`` is set.
        """
        present = _life(worker)
        lives = [
            life
            for life in self._by_life
            if life == present or (earlier_lives and life[0] == present[0])
        ]
        for life in lives:
            _confirm(self._by_life.pop(life))
        return bool(lives)

    def confirm_all(self) -> None:
        """Count all runs as over, and drop them."""
        _confirm(self)
        self._by_life.clear()


def _life(worker: WorkerState) -> tuple[str, int]:
    return worker.facts.worker_id, worker.born_unix_ms


def _confirm(runs: Iterable[Run]) -> None:
    for run in runs:
        run.subtask.confirm_ends_up_to(run.number)
