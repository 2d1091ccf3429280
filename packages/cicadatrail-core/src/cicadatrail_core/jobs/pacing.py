"""Throttling of best-effort work that disturbs serving work on the same worker.

The tail latency of serving subtasks is checked with each report. While one exceeds
its target, the best-effort subtasks on its worker are slowed down, then paused.
Once all have been well below their targets for a while, the best-effort subtasks
are sped up step by step.
"""

from __future__ import annotations

from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_state import WorkerState

THROTTLED_PERCENT = 30
"""Speed of best-effort subtasks after the first report above the target."""

RECOVERY_STEP_PERCENT = 20
"""Speed that a best-effort subtask regains in one step."""

RECOVERY_TAIL_FRACTION = 0.7
"""Fraction of its target that a tail latency must not exceed for recovery."""

RECOVERY_DELAY_S = 1.5
"""Time that all tail latencies must stay low before a recovery step.

The platform states that disturbance changes within seconds.
"""


def plan_pace(worker: WorkerState, now_s: float) -> list[tuple[Run, int]]:
    """Return the best-effort runs to change, each with its new speed in percent."""
    serving = [
        run
        for run in worker.runs.values()
        if run.subtask.step.spec.target_tail_ms and run.phase is RunPhase.RUNNING
    ]
    best_effort = [
        run
        for run in worker.runs.values()
        if run.subtask.step.spec.filler and run.phase is RunPhase.RUNNING
    ]
    if not best_effort:
        return []
    targets = [
        (run.measurement, run.subtask.step.spec.target_tail_ms) for run in serving
    ]
    if any(tail_ms > target_ms for tail_ms, target_ms in targets):
        worker.below_target_since_s = None
        return [
            (run, THROTTLED_PERCENT if run.paced_percent > THROTTLED_PERCENT else 0)
            for run in best_effort
            if run.paced_percent > 0
        ]
    if any(
        tail_ms > RECOVERY_TAIL_FRACTION * target_ms for tail_ms, target_ms in targets
    ):
        worker.below_target_since_s = None
        return []
    if worker.below_target_since_s is None:
        worker.below_target_since_s = now_s
    if serving and now_s - worker.below_target_since_s < RECOVERY_DELAY_S:
        return []
    worker.below_target_since_s = now_s
    return [
        (run, min(100, run.paced_percent + RECOVERY_STEP_PERCENT))
        for run in best_effort
        if run.paced_percent < 100
    ]


def has_serving_and_best_effort(worker: WorkerState) -> bool:
    """Return whether a worker runs both serving and best-effort subtasks."""
    specs = [run.subtask.step.spec for run in worker.runs.values()]
    return any(spec.filler for spec in specs) and any(
        spec.target_tail_ms for spec in specs
    )
