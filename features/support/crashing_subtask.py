"""The subtask of the features about crashes, its starts and its losses."""

from __future__ import annotations

from typing import Any

from cicadatrail_core.jobs.models import SubtaskName
from cicadatrail_core.jobs.state import Subtask
from features.support.crash_world import CrashWorld
from features.support.job_world import definition

DEADLY = "00000000000000dd"
SECOND = "00000000000000de"
LONG_S = 1000.0
SPREAD = {"spread_limit_count": 1}


def submit_others(context: Any, count: int, duration_s: float = 1.0) -> None:
    for _ in range(count):
        job_id = f"{len(context.others) + 1:016x}"
        context.others.append(job_id)
        context.world.durations_s[job_id] = duration_s
        context.world.submit(job_id, definition(1, 2))


def deadly_subtask(world: CrashWorld) -> Subtask:
    subtask = world.scheduler.jobs[DEADLY].subtask(SubtaskName(DEADLY, 0, 0, 0))
    assert subtask is not None
    return subtask


def suspect(world: CrashWorld, subtask: Subtask, crashes: dict[int, str]) -> None:
    subtask.crashed_runs.update(crashes)
    world.scheduler.suspects[subtask.name] = subtask


def lose_worker(world: CrashWorld, worker_id: str) -> None:
    """Crash a worker, and advance until its runs have been released."""
    world.crash(world.sims[worker_id])
    workers = world.scheduler.workers
    while worker_id in workers and workers[worker_id].runs:
        world.advance_step()


def wait_for_start(world: CrashWorld) -> str:
    """Return the worker on which the subtask has just started."""
    name = SubtaskName(DEADLY, 0, 0, 0)
    while True:
        starts = world.starts[name]
        running = [sim for sim in world.sims.values() if name in sim.running]
        if running and running[0].worker_id not in world.silent:
            return running[0].worker_id
        world.advance_step()
        assert world.starts[name] >= starts
