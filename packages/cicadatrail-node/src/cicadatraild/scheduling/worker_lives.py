"""Which life of each worker is present, by when the worker last answered.

A worker that restarts under its id takes calls that were meant for the life before. It
would take a deadline on the clock of that life for a later one than the leader counts.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatraild.platform.workers import ListFailure, WorkerClient
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s

logger = logging.getLogger("cicadatrail.worker")

SAME_LIFE_S = 0.2
"""Time after an answer within which a worker can't have restarted unnoticed, as a
restart takes longer."""


def age_s(since_s: float | None) -> float | None:
    """Return the age of a time on the loop's clock, or None without one."""
    return None if since_s is None else round(loop_now_s() - since_s, 3)


@dataclass(frozen=True, slots=True)
class _Answer:
    """The last answer of a worker: of which life, and when it was read."""

    born_unix_ms: int
    read_boot_s: float


class WorkerLives:
    """Know when the known life of each worker last answered, and ask for it.

    Times are on the clock that counts suspended time.
    """

    def __init__(self, client: WorkerClient) -> None:
        self._client = client
        self._answers: dict[str, _Answer] = {}
        # When the present life of each worker first answered.
        self._known_since_boot_s: dict[str, float] = {}
        # Calls under way that ask workers for their life.
        self._checks: dict[WorkerState, asyncio.Task[None]] = {}
        self.check_count = 0

    def close(self) -> None:
        """Cancel all calls."""
        for check in self._checks.values():
            check.cancel()

    def forget(self, worker_id: str) -> None:
        """Forget when a removed worker answered."""
        self._answers.pop(worker_id, None)
        self._known_since_boot_s.pop(worker_id, None)

    def record_answer(self, worker: WorkerState, born_unix_ms: int) -> None:
        """Record that a worker has just answered in the life of that birth."""
        now_s = boot_now_s()
        worker_id = worker.facts.worker_id
        self._answers[worker_id] = _Answer(born_unix_ms, now_s)
        if born_unix_ms > worker.born_unix_ms:
            self._known_since_boot_s[worker_id] = now_s
        else:
            self._known_since_boot_s.setdefault(worker_id, now_s)

    def known_since_boot_s(self, worker: WorkerState) -> float | None:
        """Return when the present life of a worker first answered, or None."""
        return self._known_since_boot_s.get(worker.facts.worker_id)

    def is_same(self, worker: WorkerState) -> bool:
        """Return whether the known life of a worker can't have ended since it answered.

        An answer of the life before may be read after one of the known life.
        """
        answer = self._answers.get(worker.facts.worker_id)
        if answer is None or answer.born_unix_ms != worker.born_unix_ms:
            return False
        return boot_now_s() - answer.read_boot_s <= SAME_LIFE_S

    async def confirm(self, worker: WorkerState) -> bool:
        """Return whether the known life of a worker has just answered.

        Ask the worker unless it has, with one call for all that wait for it.
        """
        if self.is_same(worker):
            return True
        check = self._checks.get(worker)
        if check is None:
            check = asyncio.create_task(self._check(worker))
            self._checks[worker] = check
            check.add_done_callback(lambda _: self._checks.pop(worker, None))
        await asyncio.shield(check)
        return self.is_same(worker)

    async def _check(self, worker: WorkerState) -> None:
        """Ask a worker for its life; acknowledge nothing and renew no lease."""
        self.check_count += 1
        born_unix_ms, reason, is_broken = None, "", False
        try:
            result = await self._client.read_lists(worker.facts, 0, None, 0)
            if isinstance(result, ListFailure):
                reason, is_broken = result.outcome.value, result.is_broken
            else:
                born_unix_ms = result.born_unix_ms
        except Exception as error:
            # Counts as no answer and costs only this worker.
            reason = repr(error)
        if born_unix_ms is not None and born_unix_ms == worker.born_unix_ms:
            self.record_answer(worker, born_unix_ms)
            return
        logger.warning(
            "worker: known life not confirmed; sending it nothing.",
            extra={
                "worker_id": worker.facts.worker_id,
                "known_born_unix_ms": worker.born_unix_ms,
                "born_unix_ms": born_unix_ms,
                "reason": reason or "another life",
                "answer_age_s": age_s(worker.answered_s),
            },
        )
        # Until its lists have been read.
        worker.mark_failed(loop_now_s(), is_broken)
