"""Kept starts of large steps that fit nowhere, and what may run before them.

It answers the load of many small subtasks beside few large ones, on a pool whose free
capacity would do, but lies in gaps. A large one keeps room on the worker where it is
expected to start first. Less urgent work uses that room only if it is over by then, or
if it fits beside, or once it has waited a little. Without such a step nothing is kept.
"""

from __future__ import annotations

import math
from collections.abc import Set
from functools import cached_property

from cicadatrail_core.jobs.kept_starts import KEPT_LIMIT_S, KeptStart, Room
from cicadatrail_core.jobs.lookahead import Forecast
from cicadatrail_core.jobs.reservations import reservable_workers
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.worker_conditions import can_run
from cicadatrail_core.jobs.worker_scores import penalty_millicores
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

KEPT_FRACTION = 0.25
"""Largest part of a pool, in any resource, that is kept for more than one step."""

FIRST_KEPT_FRACTION = 0.5
"""Largest part of a pool, in any resource, that is kept for one step."""

PLANNED_STEP_COUNT = 8
"""Most steps of a pool for which workers are looked for in one pass."""

PLAN_AGE_LIMIT_S = 0.1
"""Age from which the rooms of a step are chosen anew."""

LARGE_FACTOR = 2
"""Multiple of what a run takes in the mean from which a step is large."""

CLOSED_LIMIT_S = 0.5
"""Longest wait of other work for kept room."""

CHANGE_GAIN_S = 0.25
"""Time by which a start must be earlier elsewhere for a room to be given up."""

NEAR_SCORE_MILLICORES = 1000
"""Difference of scores within which workers are equally good."""


class Backfill:
    """The room of a pool that one scheduling pass keeps for steps that fit nowhere."""

    def __init__(
        self, scheduler: Scheduler, pool: str, workers: list[WorkerState], now_s: float
    ) -> None:
        self._scheduler = scheduler
        self._pool = pool
        self._workers = {worker.facts.worker_id: worker for worker in workers}
        self._now_s = now_s
        self._forecast = Forecast(scheduler, now_s)
        self._starts: dict[StepState, KeptStart] = {}
        # The rooms on each worker, as their starts and needs, in order of the starts.
        self._rooms: dict[str, list[tuple[float, Resources]]] = {}
        self._kept_share = 0.0
        # The needs of the subtasks so far that fit nowhere.
        self._waiting = NO_RESOURCES
        self._planned_count = 0

    @property
    def is_active(self) -> bool:
        """Return whether room is kept, so that work waits that fits nowhere."""
        return bool(self._starts)

    def keep(self, step: StepState, waiting: list[Subtask], closed: Set[str]) -> None:
        """Keep room for subtasks of a step, or for a whole gang, that fit nowhere.

        ``closed`` has the ids of workers that are kept free of the step. Long-running
        steps have no end by which a forecast could be kept; others reserve a worker.
        """
        ahead = self._waiting
        self._waiting = ahead + step.spec.reserved.times(len(waiting))
        if step.spec.lasting or not waiting or not self._is_large(step):
            return
        if not self._scheduler.kept_starts.may_keep(step, self._now_s):
            return
        count = self._affordable_count(step, len(waiting))
        if not count:
            return
        previous = self._scheduler.kept_starts.get(step)
        needed = self._waiting if step.spec.gang else ahead + step.spec.reserved
        kept = self._renewed(previous, count) or self._plan(
            step, count, needed, previous, closed
        )
        if kept is None:
            return
        self._starts[step] = kept
        for room in kept.rooms:
            rooms = self._rooms.setdefault(room.worker_id, [])
            rooms.append((room.start_s, step.spec.reserved))
            rooms.sort(key=lambda entry: entry[0])
        self._kept_share += self._share(step) * len(kept.rooms)

    def closed_to(self, subtask: Subtask) -> Set[str]:
        """Return the ids of the workers whose kept room a subtask may not use."""
        step = subtask.step
        if not self._rooms or step.spec.lasting:
            return frozenset()
        if self._now_s - subtask.ready_s > CLOSED_LIMIT_S:
            return frozenset()
        time = self._forecast.run_time(step)
        over_s = math.inf if time is None else self._now_s + time.late_s
        need = step.spec.reserved
        return {
            worker_id
            for worker_id, rooms in self._rooms.items()
            if self._workers[worker_id].has_room(need)
            and not self._leaves_rooms(self._workers[worker_id], rooms, need, over_s)
        }

    def choose(self, near: list[WorkerState]) -> WorkerState:
        """Return the one of equally good workers that empties last.

        So the others empty as a whole, and large subtasks fit there.
        """
        return max(near, key=self._forecast.emptied_s)

    def end(self) -> None:
        """Note at the end of the pass what is kept, for the next passes."""
        self._scheduler.kept_starts.replace(self._pool, self._starts, self._now_s)

    def _leaves_rooms(
        self,
        worker: WorkerState,
        rooms: list[tuple[float, Resources]],
        need: Resources,
        over_s: float,
    ) -> bool:
        """Return whether a run that ends at a time leaves a worker's rooms to open."""
        kept = NO_RESOURCES
        for start_s, kept_need in rooms:
            kept = kept + kept_need
            if over_s <= start_s:
                break
            if not (kept + need).fits_in(self._forecast.free_at(worker, start_s)):
                return False
        return True

    @cached_property
    def _total(self) -> Resources:
        """Return the capacity of the pool."""
        return sum((w.facts.capacity for w in self._workers.values()), NO_RESOURCES)

    @cached_property
    def _usual_share(self) -> float:
        """Return the part of the pool that a run takes in the mean."""
        used = sum((w.used for w in self._workers.values()), NO_RESOURCES)
        run_count = sum(len(worker.runs) for worker in self._workers.values())
        return used.dominant_share(self._total) / max(1, run_count)

    def _share(self, step: StepState) -> float:
        return step.spec.reserved.dominant_share(self._total)

    def _is_large(self, step: StepState) -> bool:
        """Return whether a step needs much more at once than a run of the pool."""
        count = step.spec.count if step.spec.gang else 1
        share = self._share(step) * count
        return share >= LARGE_FACTOR * self._usual_share

    def _affordable_count(self, step: StepState, count: int) -> int:
        """Return for how many subtasks of a step room may be kept."""
        share = self._share(step)
        fraction = KEPT_FRACTION if self._starts else FIRST_KEPT_FRACTION
        left = fraction - self._kept_share
        if step.spec.gang:
            return count if share * count <= left else 0
        if share <= 0:
            return count
        return min(count, max(0, int(left / share)))

    def _renewed(self, previous: KeptStart | None, count: int) -> KeptStart | None:
        """Return a recent plan again if it still holds, or None."""
        if previous is None or len(previous.rooms) > count:
            return None
        if self._now_s - previous.planned_s >= PLAN_AGE_LIMIT_S:
            return None
        if any(room.worker_id not in self._workers for room in previous.rooms):
            return None
        return previous

    def _plan(
        self,
        step: StepState,
        count: int,
        needed: Resources,
        previous: KeptStart | None,
        closed: Set[str],
    ) -> KeptStart | None:
        """Choose the rooms in which subtasks start first, or return None.

        ``needed`` is what waits up to this step, with its first subtask.
        """
        if self._planned_count >= PLANNED_STEP_COUNT:
            return None
        self._planned_count += 1
        workers = [
            worker
            for worker in reservable_workers(
                self._scheduler, step, [*self._workers.values()], self._now_s
            )
            if worker.facts.worker_id not in closed and not worker.is_over_capacity
        ]
        if not step.spec.gang and any(can_run(step, worker) for worker in workers):
            # It only waits for the room that is kept for others.
            return None
        if not _lies_in_gaps(needed, workers):
            return None
        rooms = self._choose_rooms(step, workers, count, previous)
        if not rooms or rooms[-1].start_s <= self._now_s:
            return None
        first = self._workers[rooms[0].worker_id]
        early_s, late_s = self._forecast.start_bounds(first, step.spec.reserved)
        return KeptStart(
            self._pool,
            rooms,
            early_s,
            late_s,
            self._now_s,
            self._now_s if previous is None else previous.since_s,
        )

    def _choose_rooms(
        self,
        step: StepState,
        workers: list[WorkerState],
        count: int,
        previous: KeptStart | None,
    ) -> tuple[Room, ...]:
        """Return the first rooms for a step; all or none for a gang."""
        had = {room.worker_id for room in previous.rooms} if previous else set()
        time = self._forecast.run_time(step)
        rooms: list[tuple[float, Room, str]] = []
        for worker in workers:
            worker_id = worker.facts.worker_id
            ranked_by_s = -CHANGE_GAIN_S if worker_id in had else 0.0
            if penalty_millicores(step, worker):
                # A run may take several times as long there.
                ranked_by_s += time.expected_s if time else KEPT_LIMIT_S
            for start_s in self._room_starts(step, worker, count):
                room = Room(worker_id, start_s)
                rooms.append((start_s + ranked_by_s, room, worker.facts.rack))
        rooms.sort(key=lambda entry: entry[0])
        if not step.spec.gang:
            chosen = [room for _, room, _ in rooms[:count]]
            return tuple(sorted(chosen, key=lambda room: room.start_s))
        groups = [rooms]
        if step.spec.same_rack:
            racks: dict[str, list[tuple[float, Room, str]]] = {}
            for entry in rooms:
                racks.setdefault(entry[2], []).append(entry)
            groups = [*racks.values()]
        gangs = [group[:count] for group in groups if len(group) >= count]
        if not gangs:
            return ()
        best = min(gangs, key=lambda group: group[-1][0])
        # All members start when the last of their rooms opens.
        start_s = max(room.start_s for _, room, _ in best)
        return tuple(Room(room.worker_id, start_s) for _, room, _ in best)

    def _room_starts(
        self, step: StepState, worker: WorkerState, count: int
    ) -> list[float]:
        """Return when a worker has room for one subtask of a step, for two and so on.

        Only starts within the time for which room is kept count.
        """
        spec = step.spec
        if spec.spread_limit_count:
            runs = worker.runs.values()
            own_count = sum(run.subtask.step is step for run in runs)
            count = min(count, spec.spread_limit_count - own_count)
        kept = NO_RESOURCES
        for _, need in self._rooms.get(worker.facts.worker_id, ()):
            kept = kept + need
        starts: list[float] = []
        needed = kept + spec.reserved
        for from_s, free in self._forecast.free_from(worker):
            if from_s > self._now_s + KEPT_LIMIT_S:
                break
            while len(starts) < count and needed.fits_in(free):
                starts.append(from_s)
                needed = needed + spec.reserved
            if len(starts) >= count:
                break
        return starts


def _lies_in_gaps(needed: Resources, workers: list[WorkerState]) -> bool:
    """Return whether the free capacity of workers would do for what waits, in all.

    Otherwise the pool lacks capacity, and keeping some free would make it worse.
    """
    free = NO_RESOURCES
    for worker in workers:
        free = free + worker.free_capacity
        if needed.fits_in(free):
            return True
    return False
