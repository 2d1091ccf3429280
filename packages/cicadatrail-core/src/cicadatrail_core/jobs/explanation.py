"""Explanation of where a new job would go now, without taking it on.

Answers an operator's question while the fleet is full or partly away: whether a job
would be accepted, what precedes it, and which workers turn it down for which reason. A
scheduling pass is tried on a copy, so that each decision is the leader's own.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator, Set
from contextlib import contextmanager
from dataclasses import dataclass, replace

from cicadatrail_core.jobs.dispatch import dispatch
from cicadatrail_core.jobs.job_admission import Admit, Reject, Unjudged
from cicadatrail_core.jobs.job_report import waiting_reason
from cicadatrail_core.jobs.lookahead import Forecast
from cicadatrail_core.jobs.models import JobDefinition
from cicadatrail_core.jobs.placement_error import PlacementError
from cicadatrail_core.jobs.reservations import reservable_workers
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState, StepState, Subtask
from cicadatrail_core.jobs.team_limits import unseen_by_team, within_limit
from cicadatrail_core.jobs.trial_copy import copy_for_trial
from cicadatrail_core.jobs.worker_conditions import (
    turned_down_reason,
    usable_workers,
)
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

NEW_JOB_ID = "new"
"""Id of the job that is explained; callers' ids have 16 digits."""

NAMED_COUNT = 5
"""Most workers that are named for one reason or step."""


@dataclass(frozen=True, slots=True)
class AdmissionForecast:
    """Whether a job would be accepted; times are 0 where nothing is forecast."""

    is_accepted: bool
    reason: str
    retry_after_s: float = 0.0
    wait_s: float = 0.0
    limit_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TurnedDown:
    """Workers that can't run a step for one reason, the first of them by id."""

    reason: str
    count: int
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ExpectedStart:
    """The first start that is foreseen, from now; ``is_kept`` if room is kept for it.

    ``late_s`` is None if the runs beside it have no known bound.
    """

    worker_id: str
    expected_s: float
    early_s: float
    late_s: float | None
    is_kept: bool


@dataclass(frozen=True, slots=True)
class StepForecast:
    """What the next pass would do with a first step.

    ``ahead_count`` counts the ready steps of the pool that come before,
    ``considered_count`` the workers of the pool and ``able_count`` those that could
    run a subtask, or one more if some would wait. ``start_count`` subtasks would start;
    ``workers`` has the first of their workers. ``reason`` is why the rest would wait.
    """

    step: int
    count: int
    ahead_count: int
    considered_count: int
    able_count: int
    turned_down: tuple[TurnedDown, ...]
    is_within_team_limit: bool
    start_count: int
    workers: tuple[str, ...]
    reason: str
    expected: ExpectedStart | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a job would go now by the leader of ``epoch``.

    ``note`` tells what keeps the steps from being foreseen, or from starting at all.
    """

    queue: str
    team: str
    pool: str
    epoch: int
    admission: AdmissionForecast
    team_limit: Resources
    team_used: Resources
    note: str
    steps: tuple[StepForecast, ...]


def describe_admission(decision: Admit | Reject | Unjudged) -> AdmissionForecast:
    """Return a decision on a new job as it is shown to operators."""
    match decision:
        case Admit():
            return AdmissionForecast(True, "by the forecast")
        case Unjudged(reason=reason):
            return AdmissionForecast(True, reason)
        case Reject():
            return AdmissionForecast(
                False,
                decision.reason,
                round(decision.retry_after_s, 3),
                round(decision.wait_s, 3),
                round(decision.limit_s, 3),
            )


def explain(
    scheduler: Scheduler,
    definition: JobDefinition,
    admission: AdmissionForecast,
    may_start: bool,
    now_s: float,
    now_unix_ms: int,
) -> Explanation:
    """Return where a job would go now, if it were accepted.

    The queue must be known. ``may_start`` tells whether the leader may start subtasks.
    """
    note = "" if may_start else "the leader may not start anything at present"
    steps: tuple[StepForecast, ...] = ()
    trial = copy_for_trial(scheduler)
    if trial is None:
        note = "too much is running and waiting to try a scheduling pass"
    else:
        with _unlogged():
            job = trial.accept(NEW_JOB_ID, definition, now_s)
            trial.activate(job, now_s, now_unix_ms)
            turns = _Turns(trial, job, now_s)
            try:
                dispatch(trial, now_s, turns.note)
            except PlacementError as error:
                note = f"job {error.job.job_id} can't be placed and stops the pass"
        steps = tuple(turns.forecast(step) for step in _first_steps(job))
        if not steps:
            note = note or "no occurrence of the job is due yet"
    team = scheduler.configuration.teams.get(definition.team)
    return Explanation(
        queue=definition.queue,
        team=definition.team,
        pool=scheduler.queues[definition.queue].pool,
        epoch=scheduler.settings.epoch,
        admission=admission,
        team_limit=NO_RESOURCES if team is None else team.limit,
        team_used=scheduler.team_used.get(definition.team, NO_RESOURCES),
        note=note,
        steps=steps,
    )


@dataclass(frozen=True, slots=True)
class _Turn:
    """What a step found when its turn came."""

    ahead_count: int
    workers: list[WorkerState]
    turned_down: dict[str, list[str]]
    considered_count: int
    is_within_team_limit: bool
    closed: Set[str]


class _Turns:
    """Note during a trial what the first steps of a job find."""

    def __init__(self, trial: Scheduler, job: JobState, now_s: float) -> None:
        self._trial = trial
        self._job = job
        self._now_s = now_s
        self._pool = trial.queues[job.definition.queue].pool
        self._unseen = unseen_by_team(trial, now_s)
        self._ahead_count = 0
        self._turns: dict[StepState, _Turn] = {}
        self._newest: StepState | None = None

    def note(
        self,
        step: StepState,
        workers: list[WorkerState],
        closed_to: Callable[[Subtask], Set[str]],
    ) -> None:
        """Note the turn of a step, as a pass calls it."""
        queue = self._trial.queues[step.job.definition.queue]
        if queue.pool != self._pool:
            return
        self._settle()
        if not step.ready:
            return
        if step.job is not self._job:
            self._ahead_count += 1
            return
        spec = step.spec
        closed = closed_to(next(iter(step.ready.values())))
        pool = [w for w in self._trial.workers.values() if w.facts.pool == self._pool]
        count = spec.count if spec.gang else 1
        self._turns[step] = _Turn(
            self._ahead_count,
            workers,
            self._turned_down(step, workers, closed),
            len(pool),
            within_limit(self._trial, step, count, self._unseen),
            closed,
        )
        self._newest = step

    def _settle(self) -> None:
        """Note why the rest of a step waits, once the others of it are placed."""
        step, self._newest = self._newest, None
        if step is None or not step.ready:
            return
        turn = self._turns[step]
        self._turns[step] = replace(
            turn, turned_down=self._turned_down(step, turn.workers, turn.closed)
        )

    def _turned_down(
        self, step: StepState, workers: list[WorkerState], closed: Set[str]
    ) -> dict[str, list[str]]:
        """Return the workers of the pool that can't run a subtask now, by reason."""
        open_ids = {worker.facts.worker_id for worker in workers}
        usable = usable_workers(self._trial, self._pool, self._now_s)
        usable_ids = {worker.facts.worker_id for worker in usable}
        by_reason: dict[str, list[str]] = {}
        for worker in self._trial.workers.values():
            if worker.facts.pool != self._pool:
                continue
            reason = self._unable_reason(step, worker, usable_ids, open_ids, closed)
            if reason:
                by_reason.setdefault(reason, []).append(worker.facts.worker_id)
        return by_reason

    def _unable_reason(
        self,
        step: StepState,
        worker: WorkerState,
        usable_ids: Set[str],
        open_ids: Set[str],
        closed: Set[str],
    ) -> str:
        """Return why a worker can't run a subtask now, or "" if it can."""
        reason = turned_down_reason(self._trial, step, worker, usable_ids, self._now_s)
        if reason:
            return reason
        worker_id = worker.facts.worker_id
        if worker_id not in open_ids:
            return "kept for a subtask that may crash it"
        return "room kept for another step" if worker_id in closed else ""

    def forecast(self, step: StepState) -> StepForecast:
        """Return what the pass, which is over, has done with a step."""
        self._settle()
        turn = self._turns.get(step) or _Turn(0, [], {}, 0, True, frozenset())
        runs = [run for run in self._trial.starts if run.subtask.step is step]
        turned_down = [
            TurnedDown(reason, len(ids), tuple(ids[:NAMED_COUNT]))
            for reason, ids in turn.turned_down.items()
        ]
        turned_down.sort(key=lambda entry: -entry.count)
        unable_count = sum(entry.count for entry in turned_down)
        return StepForecast(
            step=step.position,
            count=step.spec.count,
            ahead_count=turn.ahead_count,
            considered_count=turn.considered_count,
            able_count=turn.considered_count - unable_count,
            turned_down=tuple(turned_down),
            is_within_team_limit=turn.is_within_team_limit,
            start_count=len(runs),
            workers=tuple(run.worker.facts.worker_id for run in runs[:NAMED_COUNT]),
            reason=waiting_reason(self._trial, step, self._now_s),
            expected=self._expected_start(step, turn),
        )

    def _expected_start(self, step: StepState, turn: _Turn) -> ExpectedStart | None:
        """Return the first start that is foreseen of what waits, or None."""
        now_s = self._now_s
        if not step.ready:
            return None
        kept = self._trial.kept_starts.get(step)
        if kept is not None:
            room = kept.rooms[0]
            return _start(
                room.worker_id, room.start_s, (kept.early_s, kept.late_s), True, now_s
            )
        if step.spec.gang or not within_limit(self._trial, step, 1, self._unseen):
            return None
        forecast = Forecast(self._trial, now_s)
        need = step.spec.reserved
        starts = [
            (from_s, worker.facts.worker_id, worker)
            for worker in reservable_workers(self._trial, step, turn.workers, now_s)
            if worker.facts.worker_id not in turn.closed
            for from_s, free in forecast.free_from(worker)
            if need.fits_in(free)
        ]
        if not starts:
            return None
        expected_s, worker_id, worker = min(starts, key=lambda start: start[:2])
        bounds = forecast.start_bounds(worker, need)
        return _start(worker_id, expected_s, bounds, False, now_s)


def _start(
    worker_id: str,
    expected_s: float,
    bounds: tuple[float, float],
    is_kept: bool,
    now_s: float,
) -> ExpectedStart:
    early_s, late_s = (max(0.0, round(bound_s - now_s, 3)) for bound_s in bounds)
    return ExpectedStart(
        worker_id,
        max(0.0, round(expected_s - now_s, 3)),
        early_s,
        late_s if late_s < math.inf else None,
        is_kept,
    )


def _first_steps(job: JobState) -> list[StepState]:
    """Return the steps of the first open occurrence that depend on no other."""
    for steps in job.occurrences.values():
        return [step for step in steps if not step.spec.after]
    return []


@contextmanager
def _unlogged() -> Iterator[None]:
    """Drop the scheduler's log lines, which would tell of what does not happen."""
    logger = logging.getLogger("cicadatrail.scheduler")
    logger.addFilter(_drop)
    try:
        yield
    finally:
        logger.removeFilter(_drop)


def _drop(_record: logging.LogRecord) -> bool:
    return False
