"""Scores of the workers that could run a subtask; scores are in millicores."""

from __future__ import annotations

from collections import Counter

from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState, Subtask
from cicadatrail_core.jobs.worker_state import WorkerState

COLD_PENALTY_MILLICORES = 16_000
"""Penalty for a worker that is still warming up."""

RACK_PENALTY_MILLICORES = 2_000
"""Penalty for each run of the same long-running step in the worker's rack."""

EMPTY_PENALTY_MILLICORES = 32_000
"""Penalty for a worker that has no long-running work, when placing such work."""

LONG_RUNNING_PER_WORKER_COUNT = 2
"""Subtasks of a long-running step on one worker from which it is penalized.

A step that may miss more subtasks raises this. A worker with two of them takes two
rounds to evacuate.
"""

FAR_PENALTY_MILLICORES = 64_000
"""Penalty for a worker that is a poor choice.

It applies to a worker outside the rack of the subtask's data, to one about to be
maintained or already running enough of a long-running step, and twice to the
worker that the subtask avoids.
"""


def count_by_rack(step: StepState) -> Counter[str]:
    """Return the number of a step's live runs in each rack."""
    return Counter(
        run.worker.facts.rack for other in step.subtasks for run in other.live_runs
    )


def placement_score(
    scheduler: Scheduler,
    subtask: Subtask,
    worker: WorkerState,
    on_racks: Counter[str],
) -> int:
    """Return the score of a worker for a subtask; the lowest score wins."""
    spec = subtask.step.spec
    score = worker.free_capacity.cpu_millicores
    if spec.lasting or spec.filler:
        score = _long_running_score(subtask, worker, on_racks)
        if worker.facts.machine in scheduler.next_maintenance_machines:
            score += FAR_PENALTY_MILLICORES
    score += penalty_millicores(subtask.step, worker)
    if subtask.avoided_worker == worker.facts.worker_id:
        score += 2 * FAR_PENALTY_MILLICORES
    return score


def penalty_millicores(step: StepState, worker: WorkerState) -> int:
    """Return the penalty for a worker that runs a step's subtasks more slowly."""
    penalty = 0
    if step.spec.data_rack and step.spec.data_rack not in worker.facts.labels:
        penalty += FAR_PENALTY_MILLICORES
    if worker.facts.cold_ms > 0:
        penalty += COLD_PENALTY_MILLICORES
    return penalty


def _long_running_score(
    subtask: Subtask, worker: WorkerState, on_racks: Counter[str]
) -> int:
    """Return the score of a worker for a long-running or best-effort subtask.

    Such work is packed on few machines, so that the others can be moved to other
    pools. A step is spread over these machines and their racks, so that a failure
    or an evacuation affects few of its subtasks.
    """
    step = subtask.step
    on_worker = sum(run.subtask.step is step for run in worker.runs.values())
    on_rack = on_racks[worker.facts.rack]
    has_long_running = any(
        run.subtask.step.spec.lasting for run in worker.runs.values()
    )
    score = RACK_PENALTY_MILLICORES * on_rack + worker.used.cpu_millicores
    if on_worker >= max(LONG_RUNNING_PER_WORKER_COUNT, step.spec.may_miss_count):
        score += FAR_PENALTY_MILLICORES
    return score if has_long_running else score + EMPTY_PENALTY_MILLICORES
