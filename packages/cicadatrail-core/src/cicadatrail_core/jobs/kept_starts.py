"""Starts that capacity is kept for, from one scheduling pass to the next.

Only the leader that keeps them knows them; a successor plans anew.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from cicadatrail_core.jobs.state import StepState

logger = logging.getLogger("cicadatrail.scheduler")

KEPT_LIMIT_S = 6.0
"""Longest time for which capacity is kept for a step, and then none is.

Nearly all subtasks take less, so that the forecast was wrong by then.
"""

LOGGED_AFTER_S = 0.5
"""Time for which capacity has been kept before it is logged."""

LOGGED_WORKER_COUNT = 8
"""Most workers of one step in a line of the log."""


@dataclass(frozen=True, slots=True)
class Room:
    """Room for one subtask on a worker from an expected time on."""

    worker_id: str
    start_s: float


@dataclass(frozen=True, slots=True)
class KeptStart:
    """Rooms that are kept for subtasks of a step, the first to open first.

    ``early_s`` and ``late_s`` bound the first start. ``planned_s`` is when the rooms
    were chosen and ``since_s`` since when there have been any.
    """

    pool: str
    rooms: tuple[Room, ...]
    early_s: float
    late_s: float
    planned_s: float
    since_s: float


class KeptStarts:
    """The kept starts of all pools by step, and their log and counters.

    ``counts`` gets the number of kept starts that were made, used and given up.
    """

    def __init__(self, counts: dict[str, int]) -> None:
        self._counts = counts
        self._by_step: dict[StepState, KeptStart] = {}
        self._logged: set[StepState] = set()
        self._resting_until_s: dict[StepState, float] = {}

    def __bool__(self) -> bool:
        return bool(self._by_step)

    def copied(self, copy_of: Callable[[StepState], StepState]) -> KeptStarts:
        """Return a copy for other steps, with counts of its own."""
        other = KeptStarts({})
        other._by_step = {copy_of(s): kept for s, kept in self._by_step.items()}
        other._logged = {copy_of(s) for s in self._logged}
        other._resting_until_s = {
            copy_of(s): until_s for s, until_s in self._resting_until_s.items()
        }
        return other

    def get(self, step: StepState) -> KeptStart | None:
        """Return the kept start of a step, or None."""
        return self._by_step.get(step)

    def may_keep(self, step: StepState, now_s: float) -> bool:
        """Return whether capacity may be kept for a step, which is so for a time."""
        until_s = self._resting_until_s.get(step)
        if until_s is not None:
            if now_s < until_s:
                return False
            del self._resting_until_s[step]
        kept = self._by_step.get(step)
        if kept is None or now_s - kept.since_s < KEPT_LIMIT_S:
            return True
        self._resting_until_s[step] = now_s + KEPT_LIMIT_S
        return False

    def replace(
        self, pool: str, starts: dict[StepState, KeptStart], now_s: float
    ) -> None:
        """Replace the kept starts of a pool by those that a pass has planned."""
        for step, kept in [*self._by_step.items()]:
            if kept.pool == pool and step not in starts:
                self._end(step, kept, now_s)
        for step, kept in starts.items():
            if step not in self._by_step:
                self._count("start-kept")
            self._by_step[step] = kept
            if step not in self._logged and now_s - kept.since_s >= LOGGED_AFTER_S:
                self._logged.add(step)
                _log_kept(step, kept, now_s)

    def forget(self, pools: set[str], now_s: float) -> None:
        """Forget the kept starts of all pools but those given."""
        for pool in {kept.pool for kept in self._by_step.values()} - pools:
            self.replace(pool, {}, now_s)
        for step in [s for s in self._resting_until_s if s.job.is_final]:
            del self._resting_until_s[step]

    def _end(self, step: StepState, kept: KeptStart, now_s: float) -> None:
        reason = self._reason(step, kept, now_s)
        self._count(f"start-kept-{reason}")
        del self._by_step[step]
        if step not in self._logged:
            return
        self._logged.discard(step)
        logger.info(
            "scheduler: capacity is no longer kept for a step.",
            extra={
                **_step_fields(step),
                "reason": reason,
                "duration_s": round(now_s - kept.since_s, 3),
            },
        )

    def _reason(self, step: StepState, kept: KeptStart, now_s: float) -> str:
        new = {
            run.worker.facts.worker_id
            for subtask in step.subtasks
            for run in subtask.live_runs
            if run.sent_s == now_s
        }
        if new:
            is_kept = new.intersection(room.worker_id for room in kept.rooms)
            return "used" if is_kept else "started-elsewhere"
        if step.job.is_final:
            return "job-ended"
        if now_s < self._resting_until_s.get(step, 0.0):
            return "given-up"
        return "not-foreseen"

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1


def describe_kept_start(kept: KeptStart, now_s: float) -> str:
    """Return in words where and when a start is expected, for operators."""
    room = kept.rooms[0]
    expected_s = max(0.0, room.start_s - now_s)
    early_s = max(0.0, kept.early_s - now_s)
    late_s = max(0.0, kept.late_s - now_s)
    return (
        f"no worker has room; {room.worker_id} is kept for a start in about "
        f"{expected_s:.1f} s ({early_s:.1f} to {late_s:.1f} s)"
    )


def _step_fields(step: StepState) -> dict[str, object]:
    return {
        "job_id": step.job.job_id,
        "step": step.position,
        "queue": step.job.definition.queue,
    }


def _log_kept(step: StepState, kept: KeptStart, now_s: float) -> None:
    workers = [room.worker_id for room in kept.rooms[:LOGGED_WORKER_COUNT]]
    logger.info(
        "scheduler: capacity is kept for a step that fits nowhere.",
        extra={
            **_step_fields(step),
            "cpu_millicores": step.spec.reserved.cpu_millicores,
            "subtask_count": len(kept.rooms),
            "workers": workers,
            "expected_in_s": round(kept.rooms[0].start_s - now_s, 3),
            "early_in_s": round(kept.early_s - now_s, 3),
            "late_in_s": round(min(kept.late_s - now_s, 1e6), 3),
        },
    )
