"""Slowing of fillers beside serving subtasks that are over their target.

A serving subtask's tail latency is looked at with each report. While one is
over its target, the fillers beside it are slowed in two stages; once all are
well under it for a while, the fillers get their speed back step by step.
"""

from __future__ import annotations

from cicadatrail_core.jobs.state import Run, RunPhase, WorkerState

THROTTLED_PERCENT = 30
"""Speed of fillers after the first look over the target."""

RECOVERY_STEP_PERCENT = 20
"""Speed that a filler gets back at a time."""

RECOVERY_TAIL_FRACTION = 0.7
"""Part of the target under which a tail counts as calm."""

RECOVERY_DELAY_S = 1.5
"""Time for which all must be calm before fillers get speed back; the platform
states that disturbance changes within seconds."""


def plan_pace(worker: WorkerState, now_s: float) -> list[tuple[Run, int]]:
    """Return the fillers whose speed changes, with the new one in percent."""
    serving = [
        run
        for run in worker.runs.values()
        if run.subtask.step.spec.target_tail_ms and run.phase is RunPhase.RUNNING
    ]
    fillers = [
        run
        for run in worker.runs.values()
        if run.subtask.step.spec.filler and run.phase is RunPhase.RUNNING
    ]
    if not fillers:
        return []
    targets = [
        (run.measurement, run.subtask.step.spec.target_tail_ms) for run in serving
    ]
    if any(tail_ms > target_ms for tail_ms, target_ms in targets):
        worker.below_target_since_s = None
        return [
            (run, THROTTLED_PERCENT if run.paced_percent > THROTTLED_PERCENT else 0)
            for run in fillers
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
        for run in fillers
        if run.paced_percent < 100
    ]


def has_serving_and_best_effort(worker: WorkerState) -> bool:
    """Tell whether a worker has serving subtasks and fillers beside them."""
    specs = [run.subtask.step.spec for run in worker.runs.values()]
    return any(spec.filler for spec in specs) and any(
        spec.target_tail_ms for spec in specs
    )
