"""Patch operations on waves.

Each function returns the changed state, or all findings with their places
below ``place``, such as ``operations[2]``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from cicadatrail_core.fold.availability import (
    failed_in_wave,
    workers_of,
)
from cicadatrail_core.fold.domains import grouped_by_domain, workers_by_place
from cicadatrail_core.models.maintenance import (
    StepStatus,
    Wave,
    WaveProgress,
    WaveStatus,
)
from cicadatrail_core.models.patches import (
    AbortWave,
    PauseWave,
    ResumeWave,
    StartWave,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatrail_core.utils.mappings import with_entry

FINISHED_WAVES_KEPT_COUNT = 20
"""Number of finished waves that the state keeps."""

HOURS_PER_DAY = 24


def start_wave(
    state: State, operation: StartWave, place: str
) -> Result[State, Findings]:
    """Start a wave over the named workers, or over all workers of the pool."""
    wave = operation.wave
    findings = tuple(_wave_findings(state, wave, f"{place}.wave"))
    if findings:
        return Failure(findings)
    worker_ids = wave.worker_ids or workers_by_place(state, wave.pool_id)
    worker_ids = grouped_by_domain(state, worker_ids, wave.order)
    progress = WaveProgress(
        wave=replace(wave, worker_ids=worker_ids),
        status=WaveStatus.RUNNING,
        steps=tuple((worker_id, StepStatus.WAITING) for worker_id in worker_ids),
    )
    kept = _without_oldest_finished_waves(state)
    return Success(replace(state, waves=with_entry(kept, wave.wave_id, progress)))


def _wave_findings(state: State, wave: Wave, place: str) -> Iterator[Finding]:
    if not wave.wave_id:
        yield Finding(f"{place}.wave_id", "must not be empty")
    if wave.wave_id in state.waves:
        yield Finding(f"{place}.wave_id", f"wave {wave.wave_id!r} exists already")
    yield from _target_findings(state, wave, place)
    if wave.concurrency_limit_count < 1:
        yield Finding(f"{place}.concurrency_limit_count", "must be at least 1")
    if wave.failure_limit_count < 1:
        yield Finding(f"{place}.failure_limit_count", "must be at least 1")
    hours = wave.working_hours
    if not 0 <= hours.start_hour < HOURS_PER_DAY:
        yield Finding(f"{place}.working_hours.start_hour", "must be from 0 to 23")
    if not 0 <= hours.end_hour <= HOURS_PER_DAY:
        yield Finding(f"{place}.working_hours.end_hour", "must be from 0 to 24")
    if hours.start_hour == hours.end_hour:
        yield Finding(f"{place}.working_hours", "must span at least one hour")


def _target_findings(state: State, wave: Wave, place: str) -> Iterator[Finding]:
    if wave.pool_id and wave.pool_id not in state.pools:
        yield Finding(f"{place}.pool_id", f"there is no pool {wave.pool_id!r}")
    if wave.pool_id and wave.worker_ids:
        yield Finding(f"{place}.worker_ids", "name a pool or workers, not both")
    if not wave.pool_id and not wave.worker_ids:
        yield Finding(f"{place}.pool_id", "name a pool or workers")
    targets_pool = wave.pool_id in state.pools and not wave.worker_ids
    if targets_pool and not workers_of(state, wave.pool_id):
        yield Finding(f"{place}.pool_id", f"pool {wave.pool_id!r} has no worker")
    seen: set[str] = set()
    for index, worker_id in enumerate(wave.worker_ids):
        if worker_id not in state.workers:
            fault = f"there is no worker {worker_id!r}"
            yield Finding(f"{place}.worker_ids[{index}]", fault)
        if worker_id in seen:
            fault = f"worker {worker_id!r} is named twice"
            yield Finding(f"{place}.worker_ids[{index}]", fault)
        seen.add(worker_id)


def _without_oldest_finished_waves(state: State) -> Mapping[str, WaveProgress]:
    active_steps = {StepStatus.DRAINING, StepStatus.MAINTAINING}
    finished = [
        wave_id
        for wave_id, progress in state.waves.items()
        if progress.status in (WaveStatus.DONE, WaveStatus.ABORTED)
        and not any(step in active_steps for _, step in progress.steps)
    ]
    dropped = set(finished[: max(0, len(finished) - FINISHED_WAVES_KEPT_COUNT)])
    return {key: value for key, value in state.waves.items() if key not in dropped}


def pause_wave(
    state: State, operation: PauseWave, place: str
) -> Result[State, Findings]:
    """Pause a running wave."""
    return _change_wave(
        state, operation.wave_id, place, (WaveStatus.RUNNING,), _paused_by_operator
    )


def resume_wave(
    state: State, operation: ResumeWave, place: str
) -> Result[State, Findings]:
    """Resume a paused wave; workers that failed in it are retried."""
    return _change_wave(state, operation.wave_id, place, (WaveStatus.PAUSED,), _resumed)


def abort_wave(
    state: State, operation: AbortWave, place: str
) -> Result[State, Findings]:
    """Abort a wave: no further drain starts, but started workers are finished."""
    unfinished = (WaveStatus.RUNNING, WaveStatus.PAUSED)
    return _change_wave(state, operation.wave_id, place, unfinished, _aborted)


def _paused_by_operator(_state: State, progress: WaveProgress) -> WaveProgress:
    return replace(
        progress, status=WaveStatus.PAUSED, pause_reason="paused by an operator"
    )


def _resumed(state: State, progress: WaveProgress) -> WaveProgress:
    retried = {
        worker for worker, step in progress.steps if failed_in_wave(state, worker, step)
    }
    steps = tuple(
        (worker, StepStatus.WAITING if worker in retried else step)
        for worker, step in progress.steps
    )
    versions = dict(progress.retries) | dict.fromkeys(retried, state.version)
    return replace(
        progress,
        status=WaveStatus.RUNNING,
        steps=steps,
        pause_reason="",
        retries=tuple(sorted(versions.items())),
    )


def _aborted(_state: State, progress: WaveProgress) -> WaveProgress:
    return replace(progress, status=WaveStatus.ABORTED, pause_reason="")


def _change_wave(
    state: State,
    wave_id: str,
    place: str,
    allowed: tuple[WaveStatus, ...],
    change: Callable[[State, WaveProgress], WaveProgress],
) -> Result[State, Findings]:
    progress = state.waves.get(wave_id)
    if progress is None:
        return Failure((Finding(f"{place}.wave_id", f"there is no wave {wave_id!r}"),))
    if progress.status not in allowed:
        fault = f"wave {wave_id!r} is {progress.status.value}"
        return Failure((Finding(f"{place}.wave_id", fault),))
    changed = change(state, progress)
    return Success(replace(state, waves=with_entry(state.waves, wave_id, changed)))
