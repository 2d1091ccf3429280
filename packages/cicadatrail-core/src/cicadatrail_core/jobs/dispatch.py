"""Selection of the subtasks that start next and of the workers to run them.

Steps are placed in order of urgency. The worker with the lowest score is chosen
for each subtask.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Set
from dataclasses import dataclass
from functools import partial

from cicadatrail_core.jobs.backfill import Backfill
from cicadatrail_core.jobs.crash_suspicion import (
    give_up_inherited,
    is_start_note_new,
    note_start,
    together,
    withdraw_start_notes,
)
from cicadatrail_core.jobs.late_starts import defers_start, workers_beside
from cicadatrail_core.jobs.models import Queue
from cicadatrail_core.jobs.placement_error import Cursor, PlacementError
from cicadatrail_core.jobs.reservations import (
    Reservation,
    forget_reservations,
)
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.service_window import read_standing_if_due
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.suspect_placement import (
    SuspectPlacement,
    is_suspect_step,
    ready_suspects,
)
from cicadatrail_core.jobs.takeover import is_queue_reconciled
from cicadatrail_core.jobs.team_limits import unseen_by_team, within_limit
from cicadatrail_core.jobs.urgency import start_order, teams_over_share
from cicadatrail_core.jobs.worker_choice import (
    best_worker,
    choose_gang_workers,
    may_start_gang,
)
from cicadatrail_core.jobs.worker_conditions import usable_workers
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import Resources

OnTurn = Callable[[StepState, list[WorkerState], Callable[[Subtask], Set[str]]], None]
"""Called with each step before it is placed, the workers that it may start on, and a
function that returns the ids of those that are kept free of a subtask."""


Reconciled = Set[tuple[str, bool]]
"""Queues whose inherited steps may start, each with whether long-running ones may."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    order: tuple[float, ...]
    step: StepState
    queue: Queue


@dataclass(frozen=True, slots=True)
class _Room:
    """What one pass over a pool keeps free of the less urgent work."""

    reservation: Reservation
    backfill: Backfill

    def closed_to(self, subtask: Subtask) -> Set[str]:
        """Return the ids of the workers on which a subtask may not start."""
        closed = self.reservation.closed_to(subtask)
        return closed | self.backfill.closed_to(subtask)

    def keep(self, step: StepState, waiting: list[Subtask]) -> None:
        """Keep room for subtasks that found none.

        A worker is reserved for what has no start that is foreseen, unless others have.
        """
        closed = self.reservation.closed_to(waiting[0])
        self.backfill.keep(step, waiting, closed)
        if not self.backfill.is_active and not step.spec.gang:
            self.reservation.consider(step)

    def end(self) -> None:
        """Note at the end of the pass what is kept."""
        self.reservation.end(self.backfill.is_active)
        self.backfill.end()


def dispatch(scheduler: Scheduler, now_s: float, on_turn: OnTurn | None = None) -> None:
    """Place ready subtasks on workers, the most urgent first.

    Raises PlacementError when one job fails; the other jobs' runs stay placed.
    """
    scheduler.has_deferred_start = False
    ready = list(_ready_steps(scheduler, now_s))
    if not ready:
        forget_reservations(scheduler, ())
        scheduler.kept_starts.forget(set(), now_s)
        return
    over_share = teams_over_share(scheduler, ready)
    read_standing_if_due(scheduler, now_s)
    pools: dict[str, list[_Candidate]] = {}
    for step, steps, queue in ready:
        # A job that has started is not held back, since sharing the team's
        # capacity among all its jobs would make all of them late.
        is_over_share = not step.job.started and step.job.definition.team in over_share
        try:
            order = start_order(scheduler, step, steps, queue, is_over_share, now_s)
        except Exception as error:
            raise PlacementError(step.job) from error
        pools.setdefault(queue.pool, []).append(_Candidate(order, step, queue))
    forget_reservations(scheduler, pools)
    scheduler.kept_starts.forget(set(pools), now_s)
    unseen = unseen_by_team(scheduler, now_s)
    suspects = ready_suspects(scheduler) if scheduler.suspects else []
    for pool, candidates in pools.items():
        queues = {candidate.queue.name: candidate.queue for candidate in candidates}
        reconciled = {
            (name, for_lasting)
            for name, queue in queues.items()
            for for_lasting in (False, True)
            if is_queue_reconciled(scheduler, queue, now_s, for_lasting)
        }
        candidates.sort(key=lambda candidate: candidate.order)
        workers = usable_workers(scheduler, pool, now_s)
        if scheduler.suspects:
            workers = _place_suspects(
                scheduler,
                candidates,
                suspects,
                workers,
                reconciled,
                unseen,
                now_s,
            )
        cursor = Cursor(candidates)
        room = _Room(
            Reservation(scheduler, pool, workers, now_s),
            Backfill(scheduler, pool, workers, now_s),
        )
        try:
            _place_candidates(
                scheduler, cursor, workers, room, reconciled, unseen, now_s, on_turn
            )
        except Exception as error:
            if cursor.last is None:
                raise
            raise PlacementError(cursor.last.step.job) from error


def _ready_steps(
    scheduler: Scheduler, now_s: float
) -> Iterator[tuple[StepState, list[StepState], Queue]]:
    """Yield each step with ready subtasks, its occurrence's steps and its queue."""
    for job in scheduler.jobs.values():
        if job.is_final or not job.is_stored or now_s < job.held_until_s:
            continue
        queue = scheduler.queues.get(job.definition.queue)
        if queue is None or queue.name in scheduler.queue_pools.unstored:
            continue
        for steps in job.occurrences.values():
            for step in steps:
                if step.ready:
                    yield step, steps, queue


def _place_candidates(
    scheduler: Scheduler,
    candidates: Iterable[_Candidate],
    workers: list[WorkerState],
    room: _Room,
    reconciled: Reconciled,
    unseen: dict[str, Resources],
    now_s: float,
    on_turn: OnTurn | None,
) -> None:
    for candidate in candidates:
        step = candidate.step
        if on_turn is not None:
            on_turn(step, workers, room.closed_to)
        if not _is_reconciled(step, reconciled):
            continue
        if step.spec.gang:
            if not is_suspect_step(step):
                _place_gang(scheduler, step, workers, room, unseen, now_s)
            continue
        ready = list(step.ready.values())
        for position, subtask in enumerate(ready):
            if not within_limit(scheduler, step, 1, unseen):
                break
            if not _may_start(scheduler, subtask):
                continue
            able = workers_beside(scheduler, subtask, workers, now_s)
            if not able:
                continue
            closed = room.closed_to(subtask)
            worker = best_worker(scheduler, subtask, able, closed, room.backfill, now_s)
            if worker is None and able is not workers:
                continue
            if worker is None:
                rest = [s for s in ready[position:] if _may_start(scheduler, s)]
                rest = [s for s in rest if not defers_start(scheduler, s, now_s)]
                room.keep(step, _within_limit(scheduler, step, rest, unseen))
                break
            scheduler.place(subtask, worker, now_s)
    room.end()


def _is_reconciled(step: StepState, reconciled: Reconciled) -> bool:
    """Return whether no worker may run subtasks of a step unseen."""
    job = step.job
    return not job.inherited or (job.definition.queue, step.spec.lasting) in reconciled


def _may_start(scheduler: Scheduler, subtask: Subtask) -> bool:
    """Return whether a ready subtask may start beside others, its limits aside."""
    if subtask.crashed_runs or not _has_attempt(scheduler, subtask):
        return False
    if subtask.may_run_unseen:
        return False
    return scheduler.may_repeat(subtask)


def _within_limit(
    scheduler: Scheduler,
    step: StepState,
    waiting: list[Subtask],
    unseen: dict[str, Resources],
) -> list[Subtask]:
    """Return as many waiting subtasks, one at least, as may run at once."""
    # A step may have many thousand subtasks.
    count = bisect_left(
        range(1, len(waiting) + 1),
        True,
        key=lambda count: not within_limit(scheduler, step, count, unseen),
    )
    return waiting[: max(1, count)]


def _has_attempt(scheduler: Scheduler, subtask: Subtask) -> bool:
    """Return whether a subtask may start once more.

    A run whose lease expired unreported counts as failed until its end is known: it
    may have been the last attempt.
    """
    limit = scheduler.attempt_limit(subtask.step.job)
    return subtask.step.spec.lasting or subtask.attempt_count < limit


def _place_suspects(
    scheduler: Scheduler,
    candidates: list[_Candidate],
    suspects: list[Subtask],
    workers: list[WorkerState],
    reconciled: Reconciled,
    unseen: dict[str, Resources],
    now_s: float,
) -> list[WorkerState]:
    """Start the suspects among the candidates; return the workers left for others."""
    placement = SuspectPlacement(scheduler, workers, now_s)
    in_pool = {candidate.step for candidate in candidates}
    for subtask in suspects:
        if subtask.step not in in_pool:
            continue
        try:
            _place_suspect(scheduler, subtask, placement, reconciled, unseen, now_s)
        except Exception as error:
            raise PlacementError(subtask.step.job) from error
    return placement.open_workers


def _place_suspect(
    scheduler: Scheduler,
    subtask: Subtask,
    placement: SuspectPlacement,
    reconciled: Reconciled,
    unseen: dict[str, Resources],
    now_s: float,
) -> None:
    """Start a suspect, or the gang that it belongs to, apart from other runs."""
    step = subtask.step
    if not _is_reconciled(step, reconciled) or subtask.may_run_unseen:
        return
    if give_up_inherited(scheduler, subtask, now_s):
        return
    count = step.spec.count if step.spec.gang else 1
    if not within_limit(scheduler, step, count, unseen):
        return
    if not step.spec.gang and not _has_attempt(scheduler, subtask):
        return
    if not step.spec.gang and not scheduler.may_repeat(subtask):
        return
    if any(defers_start(scheduler, member, now_s) for member in together(subtask)):
        return
    choose = partial(_choose_for_suspect, scheduler, subtask, unseen, now_s)
    chosen = choose(placement.candidates(subtask))
    if chosen is None:
        if choose([placement.soon_free()]) is not None:
            note_start(scheduler, subtask, now_s)
        else:
            # A suspect that only waits must not count as started by each successor.
            withdraw_start_notes(scheduler, subtask)
        placement.reserve(subtask)
        return
    if not note_start(scheduler, subtask, now_s):
        if is_start_note_new(subtask, now_s):
            placement.hold(chosen)
        return
    if step.spec.gang:
        _start_gang(scheduler, step, chosen, now_s)
    else:
        scheduler.place(subtask, chosen[0], now_s)
    placement.keep(subtask)


def _choose_for_suspect(
    scheduler: Scheduler,
    subtask: Subtask,
    unseen: dict[str, Resources],
    now_s: float,
    groups: list[list[WorkerState]],
) -> list[WorkerState] | None:
    """Return a worker for a suspect or one for each member of its gang, or None.

    ``groups`` has the workers to choose from, the preferred first.
    """
    step = subtask.step
    if step.spec.gang and not may_start_gang(scheduler, step, unseen):
        return None
    for workers in groups:
        if step.spec.gang:
            chosen = choose_gang_workers(scheduler, step, workers, set(), now_s)
            if chosen is not None:
                return chosen
            continue
        worker = best_worker(scheduler, subtask, workers, set(), None, now_s)
        if worker is not None:
            return [worker]
    return None


def _place_gang(
    scheduler: Scheduler,
    step: StepState,
    workers: list[WorkerState],
    room: _Room,
    unseen: dict[str, Resources],
    now_s: float,
) -> None:
    """Start all subtasks of a gang, or none of them."""
    if not may_start_gang(scheduler, step, unseen):
        return
    if any(defers_start(scheduler, member, now_s) for member in step.subtasks):
        return
    closed = room.closed_to(step.subtasks[0])
    chosen = choose_gang_workers(scheduler, step, workers, closed, now_s)
    if chosen is not None:
        _start_gang(scheduler, step, chosen, now_s)
    else:
        room.keep(step, step.subtasks)


def _start_gang(
    scheduler: Scheduler, step: StepState, chosen: list[WorkerState], now_s: float
) -> None:
    """Start the subtasks of a gang on one worker each, with the same run number."""
    members = step.subtasks
    number = max(member.last_run for member in members)
    for member, worker in zip(members, chosen, strict=True):
        member.last_run = number
        scheduler.place(member, worker, now_s)
