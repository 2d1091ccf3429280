"""Workers that run gangs as the pages say, and that may fail all that they start."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from features.standins.platform_fleet import PlatformWorker
from features.standins.worker_capacity import WorkerRun, need_of

GANG_TIMEOUT_S = 3.0

Key = tuple[str, int]
"""A step (ID.K.STEP) and the number of a run of its gang."""


@dataclass
class Gang:
    """One run of a gang: the members that are present, and whether it has ended."""

    present: dict[str, GangWorker] = field(default_factory=dict)
    is_over: bool = False


class Gangs:
    """All runs of gangs, over all workers."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.runs: defaultdict[Key, Gang] = defaultdict(Gang)
        # How each run of each gang ended: the ends of its members.
        self.ends: defaultdict[Key, list[str]] = defaultdict(list)

    def end_all(self, key: Key, how: str) -> None:
        """End every member that is present."""
        gang = self.runs[key]
        gang.is_over = True
        for task, worker in [*gang.present.items()]:
            run = worker.runs.get(task)
            if run is not None and run.run == key[1]:
                worker._end(run, how)


class GangWorker(PlatformWorker):
    """A worker whose subtasks work only while their whole gang is present.

    With ``fails_all`` it fails all that it starts, at once.
    """

    gangs: Gangs
    fails_all = False

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run"]
        loop = asyncio.get_running_loop()
        if body["deadline-ms"] < self.clock.now_ms():
            return 409, {"reason": "late"}
        self._renew_lease(body)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return 200, {}
        if run <= self.ended_runs.get(task, 0):
            return 409, {"reason": "old"}
        options = dict(part.partition("=")[::2] for part in body["spec"].split())
        duration_s = int(options.get("ms", "50")) / 1000
        worker_run = WorkerRun(
            task, run, loop.time(), duration_s, False, False, need_of(options)
        )
        self.runs[task] = worker_run
        self._fleet.record_start(task, self.worker_id)
        self.gangs.log(f"{self.worker_id}: start {task} run {run}")
        key = (task.rpartition(".")[0], run)
        gang = self.gangs.runs[key]
        if self.fails_all:
            loop.call_soon(self._end, worker_run, "failed")
            others = [t for t, w in gang.present.items() if w is not self]
            if others and not gang.is_over:
                loop.call_soon(self.gangs.end_all, key, "broken")
            gang.is_over = True
            return 200, {}
        if gang.is_over:
            loop.call_soon(self._end, worker_run, "broken")
            return 200, {}
        gang.present[task] = self
        worker_run.timer = loop.call_later(
            GANG_TIMEOUT_S, self._end_alone, key, worker_run
        )
        if len(gang.present) == int(options["gang"]):
            for member, worker in gang.present.items():
                timer = worker.runs[member].timer
                if timer is not None:
                    timer.cancel()
            worker_run.timer = loop.call_later(
                duration_s, self.gangs.end_all, key, "done"
            )
        return 200, {}

    def _end_alone(self, key: Key, worker_run: WorkerRun) -> None:
        self.gangs.runs[key].is_over = True
        self._end(worker_run, "alone")

    def _end(self, worker_run: WorkerRun, kind: str) -> None:
        if self.runs.get(worker_run.task) is not worker_run:
            return
        key = (worker_run.task.rpartition(".")[0], worker_run.run)
        self.gangs.ends[key].append(kind)
        self.gangs.log(f"{self.worker_id}: end {worker_run.task} {key[1]} {kind}")
        super()._end(worker_run, kind)
        gang = self.gangs.runs[key]
        gang.present.pop(worker_run.task, None)
        if kind in ("stopped", "lapsed") and gang.present and not gang.is_over:
            self.gangs.end_all(key, "broken")

    def restart(self) -> None:
        """Lose every run, as in a crash; the other members of their gangs end."""
        keys = {(t.rpartition(".")[0], run.run) for t, run in self.runs.items()}
        super().restart()
        for key in keys:
            gang = self.gangs.runs[key]
            for task in [t for t, worker in gang.present.items() if worker is self]:
                del gang.present[task]
            if not gang.is_over:
                self.gangs.end_all(key, "broken")
