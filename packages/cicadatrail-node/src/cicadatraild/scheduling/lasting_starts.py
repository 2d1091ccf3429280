"""The stored record of long-running subtasks whose start a worker may have taken.

A start may be under way as its leader is killed, and a later life of its worker may
take it and keep it up to the limit of leases. Long-running subtasks have to run again
before that, so their starts are stored before they leave: a successor then knows the
few that have to wait for the limit.
"""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

import msgpack

from cicadatrail_core.jobs.late_starts import has_late_start, may_start_late
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState, Run, Subtask
from cicadatrail_core.jobs.worker_state import LATE_START_S, WorkerState
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.former_leases import FormerLeases

logger = logging.getLogger("cicadatrail.holder")

LASTING_STARTS_KEY = "lasting-starts"

ANY_SUBTASK = ""
"""Stands for all long-running subtasks, where the record could not be read."""

START_LIMIT_COUNT = 1000
"""Most starts under way that are stored, as a record may have 262,000 bytes; others
wait."""

Row = tuple[str, str]
"""A subtask's name and the id of the worker that may have taken its start."""


class LastingStarts:
    """Keep the record of starts that no answer and no list has proved yet.

    What a predecessor stored stays in it until the worker has answered, is proved gone,
    or can hold no lease any more: this leader may be killed in turn before that.
    """

    def __init__(self, scheduler: Scheduler, former_leases: FormerLeases) -> None:
        self._scheduler = scheduler
        self._former_leases = former_leases
        # Runs whose start isn't proved, each with a future that ends once it is stored.
        self._starts: dict[Run, asyncio.Future[None]] = {}
        # Starts of earlier leaders, with their worker and the subtask, if it is open.
        self._unseen: dict[Row, tuple[WorkerState, Subtask | None]] = {}
        # The same on workers that aren't known; their jobs are held.
        self._held: set[Row] = set()
        # As collected last.
        self._stored: set[Row] = set()

    async def store(self, run: Run) -> None:
        """Wait until the start of a run is stored, before it leaves."""
        self._starts[run] = asyncio.get_running_loop().create_future()
        self._scheduler.on_change()
        await self._starts[run]

    def has_changes(self, now_s: float) -> bool:
        """Return whether a start waits to be stored, or any differs from the stored."""
        starts = self._open_starts(now_s)
        is_waiting = not all(stored.done() for stored in starts.values())
        return is_waiting or self._rows(starts, now_s) != self._stored

    def collect(self, now_s: float) -> tuple[list[KeyedRecord], Callable[[], None]]:
        """Return the record if it has changed, and a callback for once it is stored."""
        starts = self._open_starts(now_s)
        rows = self._rows(starts, now_s)

        def on_stored() -> None:
            for stored in starts.values():
                _end(stored)

        if rows == self._stored:
            return [], on_stored
        self._stored = rows
        value = msgpack.packb(sorted(rows))
        return [KeyedRecord(LASTING_STARTS_KEY, value)], on_stored

    def _open_starts(self, now_s: float) -> dict[Run, asyncio.Future[None]]:
        """Return the starts that the record has room for, the first ones of all."""
        for run, stored in [*self._starts.items()]:
            is_over = run not in run.subtask.live_runs
            if is_over:
                # One that is over before it was stored is not sent.
                _end(stored)
            is_settled = is_over or run.is_proved
            if is_settled and not may_start_late(self._scheduler, run, now_s):
                del self._starts[run]
        return dict(islice(self._starts.items(), START_LIMIT_COUNT))

    def _rows(self, starts: Iterable[Run], now_s: float) -> set[Row]:
        """Return what a successor has to know."""
        unseen = self._unseen.items()
        self._unseen = {
            row: (worker, subtask)
            for row, (worker, subtask) in unseen
            if worker.may_hold_former_lease or self._has_late_start(subtask, now_s)
        }
        if not self._former_leases.holds_jobs:
            self._held = set()
        rows = {(str(run.subtask.name), run.worker.facts.worker_id) for run in starts}
        return rows | self._unseen.keys() | self._held

    def _has_late_start(self, subtask: Subtask | None, now_s: float) -> bool:
        return subtask is not None and has_late_start(self._scheduler, subtask, now_s)

    def restore(
        self, value: bytes | None, jobs: Iterable[JobState], now_s: float
    ) -> None:
        """Have subtasks wait whose start the predecessor stored as not proved.

        Where no such subtask or worker is known, the whole job waits.
        """
        rows = set() if value is None else self._read(value)
        if not rows:
            return
        open_jobs = {job.job_id: job for job in jobs if not job.is_final}
        subtasks = {str(s.name): s for s in _lasting_subtasks(open_jobs.values())}
        unseen_on: defaultdict[str, list[WorkerState]] = defaultdict(list)
        held_jobs: dict[str, JobState] = {}
        for name, worker_id in rows:
            worker = self._scheduler.workers.get(worker_id)
            if worker is None:
                self._held.add((name, worker_id))
            else:
                self._unseen[name, worker_id] = worker, subtasks.get(name)
                unseen_on[name].append(worker)
            if name in subtasks:
                # A later life may yet carry it out, which knows no token.
                subtasks[name].late_starts[worker_id] = now_s + LATE_START_S
            if name == ANY_SUBTASK:
                held_jobs |= open_jobs if worker is None else {}
            elif worker is None or name not in subtasks:
                job_id = name.rsplit(".", 3)[0]
                held_jobs |= {j: job for j, job in open_jobs.items() if j == job_id}
        for name, subtask in subtasks.items():
            subtask.unseen_on = (*unseen_on[ANY_SUBTASK], *unseen_on[name])
        if held_jobs:
            self._former_leases.hold_jobs(held_jobs.values())

    def _read(self, value: bytes) -> set[Row]:
        """Return what is stored; if that can't be read, any start on each worker."""
        try:
            rows = self._stored = _decode(value)
        except (ValueError, TypeError) as error:
            logger.error(
                "holder: ignoring an invalid record.",
                extra={"key": LASTING_STARTS_KEY, "reason": repr(error)},
            )
            return {(ANY_SUBTASK, worker_id) for worker_id in self._scheduler.workers}
        if len(rows) > START_LIMIT_COUNT:
            # The record must not grow with each leader that is killed.
            return {(ANY_SUBTASK, worker_id) for _, worker_id in rows}
        return rows


def _end(stored: asyncio.Future[None]) -> None:
    if not stored.done():
        stored.set_result(None)


def _lasting_subtasks(jobs: Iterable[JobState]) -> Iterator[Subtask]:
    """Yield the long-running subtasks of the open occurrences."""
    for job in jobs:
        for steps in job.occurrences.values():
            for step in steps:
                if step.spec.lasting:
                    yield from step.subtasks


def _decode(value: bytes) -> set[Row]:
    """Return the stored starts; raise ValueError or TypeError if they are invalid."""
    rows = msgpack.unpackb(value)
    if not isinstance(rows, list):
        raise TypeError(f"starts can't be {rows!r}")
    for name, worker_id in rows:
        if not isinstance(name, str) or not isinstance(worker_id, str):
            raise ValueError(f"start can't be {(name, worker_id)!r}")
    return {(name, worker_id) for name, worker_id in rows}
