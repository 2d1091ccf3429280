"""Placement of subtasks that are suspected of having crashed their worker.

A suspect starts on the worker with the fewest runs, which then starts nothing else
until the suspect is likely to be harmless. A suspect with two crashes should get an
idle worker. It should not be one that it was lost with: a worker that restarts again
and again is itself the cause. All are preferences: after a short wait a suspect starts
elsewhere.
"""

from __future__ import annotations

from cicadatrail_core.jobs.crash_evidence import PROMPT_S
from cicadatrail_core.jobs.crash_suspicion import (
    crash_count,
    drop_ended_suspects,
    lost_with,
    together,
)
from cicadatrail_core.jobs.reservations import reservable_workers
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import (
    JobState,
    RunPhase,
    StepState,
    Subtask,
    SubtaskPhase,
)
from cicadatrail_core.jobs.worker_state import WorkerState

IDLE_FROM_COUNT = 2
"""Crashes from which a suspect should get a worker that runs nothing else."""

WAIT_LIMIT_S = 2.0
"""Longest wait of a suspect for a worker without others, or for an idle one."""

START_LIMIT_S = 2.75
"""Longest wait of a suspect for which there is a worker with free capacity."""

KEPT_LIMIT_FRACTION = 0.5
"""Largest fraction of a pool's workers that is kept for suspects at once."""


def ready_suspects(scheduler: Scheduler) -> list[Subtask]:
    """Return the suspects to start, the most suspicious and longest waiting first.

    A gang is represented by one of its members.
    """
    drop_ended_suspects(scheduler)
    ready: dict[tuple[object, int], Subtask] = {}
    for subtask in scheduler.suspects.values():
        if subtask.phase is not SubtaskPhase.READY:
            continue
        index = 0 if subtask.step.spec.gang else subtask.index
        ready.setdefault((subtask.step, index), subtask)
    return sorted(ready.values(), key=lambda s: (-crash_count(s), s.ready_s))


def is_suspect_step(step: StepState) -> bool:
    """Return whether a step is a gang with a suspected member."""
    return step.spec.gang and any(member.crashed_runs for member in step.subtasks)


class SuspectPlacement:
    """Choose workers of one pool for suspects during a scheduling pass."""

    def __init__(
        self, scheduler: Scheduler, workers: list[WorkerState], now_s: float
    ) -> None:
        self._scheduler = scheduler
        self._workers = workers
        self._now_s = now_s
        self._limit_count = max(1, int(len(workers) * KEPT_LIMIT_FRACTION))
        in_pool = {worker.facts.worker_id for worker in workers}
        self._apart = in_pool.intersection(
            run.worker.facts.worker_id
            for subtask in scheduler.suspects.values()
            for run in subtask.live_runs
            if now_s < run.apart_until_s
        )
        # Those and the workers that empty for a suspect.
        self._kept = set(self._apart)
        self._held: set[str] = set()

    @property
    def open_workers(self) -> list[WorkerState]:
        """Return the workers that are not kept for a suspect."""
        return [w for w in self._workers if w.facts.worker_id not in self._kept]

    def candidates(self, subtask: Subtask) -> list[list[WorkerState]]:
        """Return groups of workers for a suspect or its gang, the preferred first.

        Subtasks of one job may share a worker, as the job is given up as a whole.
        """
        free = [
            worker
            for worker in self._workers
            if worker.facts.worker_id not in self._held
            and (
                (worker.facts.worker_id not in self._kept and not self._is_full)
                or _runs_only(worker, subtask.step.job)
            )
        ]
        crashed = lost_with(subtask)
        others = [w for w in free if w.facts.worker_id not in crashed]
        groups = [*_by_run_count(others), *_by_run_count(free)]
        if crash_count(subtask) < IDLE_FROM_COUNT:
            return [*groups, *([] if self._may_wait(subtask) else [self._workers])]
        if self._may_wait(subtask):
            has_crashed_all = crashed.issuperset(
                worker.facts.worker_id for worker in self._workers
            )
            idle = free if has_crashed_all else others
            return [[w for w in idle if _runs_only(w, subtask.step.job)]]
        is_overdue = self._now_s - subtask.ready_s > START_LIMIT_S
        return [*groups, *([self._workers] if is_overdue else [])]

    def keep(self, subtask: Subtask) -> None:
        """Keep other runs from the workers that a suspect or its gang has just got."""
        for member in together(subtask):
            for run in member.live_runs:
                run.apart_until_s = self._now_s + PROMPT_S
                self._set_apart([run.worker])

    def hold(self, workers: list[WorkerState]) -> None:
        """Keep other runs from workers until a suspect's note is stored."""
        self._set_apart(workers)
        self._held.update(worker.facts.worker_id for worker in workers)

    def soon_free(self) -> list[WorkerState]:
        """Return the workers that are kept for other suspects only for a moment."""
        return [w for w in self._workers if w.facts.worker_id in self._apart]

    def reserve(self, subtask: Subtask) -> None:
        """Keep workers so that they empty for a suspect that should get idle ones."""
        if crash_count(subtask) < IDLE_FROM_COUNT or not self._may_wait(subtask):
            return
        if len(self._workers) == 1:
            # All other work would wait for the suspect.
            return
        spec = subtask.step.spec
        reservable = reservable_workers(
            self._scheduler, subtask.step, self.open_workers, self._now_s
        )
        eligible = [w for w in reservable if _may_empty(w, subtask.step.job)]
        crashed = lost_with(subtask)
        eligible.sort(key=lambda w: (w.facts.worker_id in crashed, len(w.runs)))
        for worker in eligible[: spec.count if spec.gang else 1]:
            if not self._is_full:
                self._kept.add(worker.facts.worker_id)

    def _set_apart(self, workers: list[WorkerState]) -> None:
        ids = [worker.facts.worker_id for worker in workers]
        self._apart.update(ids)
        self._kept.update(ids)

    @property
    def _is_full(self) -> bool:
        return len(self._kept) >= self._limit_count

    def _may_wait(self, subtask: Subtask) -> bool:
        return self._now_s - subtask.ready_s < WAIT_LIMIT_S


def _runs_only(worker: WorkerState, job: JobState) -> bool:
    return all(run.subtask.step.job is job for run in worker.runs.values())


def _by_run_count(workers: list[WorkerState]) -> list[list[WorkerState]]:
    counts = sorted({len(worker.runs) for worker in workers})
    return [[w for w in workers if len(w.runs) <= count] for count in counts]


def _may_empty(worker: WorkerState, job: JobState) -> bool:
    """Return whether all runs of other jobs end: long-running ones only if stopped."""
    return not any(
        run.subtask.step.spec.lasting
        and run.subtask.step.job is not job
        and run.phase is not RunPhase.STOPPING
        for run in worker.runs.values()
    )
