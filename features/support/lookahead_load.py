"""Seeded loads of few large jobs among many small ones on one pool."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

from cicadatrail_core.jobs import dispatch
from cicadatrail_core.jobs.backfill import Backfill
from cicadatrail_core.jobs.models import EndKind, JobDefinition, JobPhase, Step
from cicadatrail_core.jobs.state import JobState, Run
from cicadatrail_core.models.resources import Resources
from features.support.job_world import JobWorld

CORES = (10, 12, 14, 16, 16, 18, 20, 22)
TICK_S = 0.05
TURN_S = 4.0
LOAD_S = 40.0
DRAIN_S = 30.0
SMALL_CORES = (1, 4)
LARGE_CORES = (8, 10)
LARGE_FRACTION = 0.08
LONG_FRACTION = 0.03
LONG_FACTOR = 7
STRETCH = 1.6
TARGET_S = 0.6


class OneReservation(Backfill):
    """Keep no room, so that a blocked step gets at most the pool's reservation."""

    def keep(self, *_: Any) -> None:
        pass


@contextmanager
def one_reservation() -> Iterator[None]:
    """Place by the policy without look-ahead."""
    with patch.object(dispatch, "Backfill", OneReservation):
        yield


@dataclass
class Waits:
    """What callers got: waits for the start in seconds, by size of the job."""

    small: list[float] = field(default_factory=list)
    large: list[float] = field(default_factory=list)
    within_objective_count: int = 0
    count: int = 0
    completed_count: int = 0

    def add(self, other: Waits) -> None:
        self.small += other.small
        self.large += other.large
        self.within_objective_count += other.within_objective_count
        self.count += other.count
        self.completed_count += other.completed_count

    def __str__(self) -> str:
        return (
            f"small {at(self.small, 0.5):.3f}/{at(self.small, 0.95):.3f} s, "
            f"large {at(self.large, 0.5):.3f}/{at(self.large, 0.95):.3f} s, within "
            f"objective {self.within_objective_count}, completed "
            f"{self.completed_count} of {self.count}"
        )


def at(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies; 0 without any."""
    return sorted(values)[int(fraction * (len(values) - 1))] if values else 0.0


class Load:
    """Jobs of one subtask whose estimates are off, on uneven workers.

    ``rate`` is the mean number of jobs a second; for half of each two turns it is
    higher by half, and lower for the other.
    """

    def __init__(self, seed: int, rate: float, large_fraction: float) -> None:
        self._random = random.Random(seed)
        self._large_fraction = large_fraction
        self._rate = rate
        self.world = JobWorld(len(CORES))
        scheduler = self.world.scheduler
        for sim, cores in zip(self.world.sims.values(), CORES, strict=True):
            sim.cores = cores
            scheduler.update_worker(self.world.facts(sim), self.world.now_s)
        queue = scheduler.queues["q"]
        target_ms = int(TARGET_S * 1000)
        scheduler.queues["q"] = replace(
            queue, stretch=STRETCH, target_latency_ms=target_ms
        )
        self.world.report_all()
        self._begin_s = self.world.now_s
        self._jobs: list[tuple[JobState, float, bool]] = []
        self._ends: list[tuple[float, float, Run]] = []
        self.starts: list[tuple[str, str]] = []

    def play(self) -> Waits:
        waits = Waits()
        run_times = {}
        world = self.world
        due_s = world.now_s
        while world.now_s < self._begin_s + LOAD_S + DRAIN_S:
            while due_s <= world.now_s and due_s < self._begin_s + LOAD_S:
                job, run_s, is_large = self._submit()
                run_times[job.job_id] = run_s, is_large
                is_busy = int((due_s - self._begin_s) / TURN_S) % 2
                rate = self._rate * (1.5 if is_busy else 0.5)
                due_s += self._random.expovariate(rate)
            for run in world.run_all():
                job_id = run.subtask.name.job_id
                self.starts.append((job_id, run.worker.facts.worker_id))
                run_s, is_large = run_times[job_id]
                waited_s = world.now_s - run.subtask.ready_s
                (waits.large if is_large else waits.small).append(waited_s)
                self._ends.append((world.now_s, world.now_s + run_s, run))
            self._advance()
        for job, run_s, _ in self._jobs:
            age_s = job.ended_s - job.accepted_s
            waits.count += 1
            waits.completed_count += job.phase is JobPhase.COMPLETED
            waits.within_objective_count += age_s <= STRETCH * run_s + TARGET_S
        return waits

    def _submit(self) -> tuple[JobState, float, bool]:
        draw = self._random
        is_large = draw.random() < self._large_fraction
        cores = draw.randint(*(LARGE_CORES if is_large else SMALL_CORES))
        run_s = math.exp(draw.gauss(math.log(0.5), 0.5))
        if draw.random() < LONG_FRACTION:
            run_s *= LONG_FACTOR
        estimate_ms = int(1000 * run_s * math.exp(draw.gauss(0, 0.6)))
        step = Step(1, Resources(cores * 1000, 10), estimate_ms)
        plan = JobDefinition("q", "", "spec", (step,))
        job = self.world.submit(f"{len(self._jobs) + 1:016x}", plan)
        self._jobs.append((job, run_s, is_large))
        return self._jobs[-1]

    def _advance(self) -> None:
        world = self.world
        world.tick(TICK_S)
        for entry in [*self._ends]:
            begin_s, end_s, run = entry
            sim = world.sims[run.worker.facts.worker_id]
            name = run.subtask.name
            if end_s <= world.now_s:
                self._ends.remove(entry)
                sim.percents.pop(name, None)
                sim.end(name, EndKind.DONE)
            else:
                done = (world.now_s - begin_s) / (end_s - begin_s)
                sim.percents[name] = int(100 * done)
        world.report_all()
