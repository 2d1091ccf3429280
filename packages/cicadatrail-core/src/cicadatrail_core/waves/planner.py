"""Plan the next steps of all running waves.

The plan is a pure function of the folded state and of what the caller knows
about draining workers, so that every entry instance reaches the same one. The
fold judges each step again, so a plan made on an older state does no harm.

Three rules limit the damage of a bad change:

* A wave takes failure domains in its order. The next domain opens while others
  are unfinished only if the open ones can't use the free budget and none of
  their workers has failed.
* In each pool the first worker is maintained alone. Each one that comes back
  lets one more be maintained at the same time. Drains start ahead of that, so
  that the wait costs only maintenance time.
* Several failures in one rack, or as many as the wave's limit, pause the wave.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from cicadatrail_core.fold.availability import (
    ACTIVE_STEPS,
    failed_in_wave,
)
from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.models.maintenance import (
    DomainOrder,
    StepStatus,
    WaveAction,
    WaveProgress,
    WaveStatus,
    WorkingHours,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.waves.budgets import Budgets

RACK_FAILURE_LIMIT_COUNT = 2
"""Number of failures in one rack that counts as correlated."""

Domain = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DrainingKnowledge:
    """Hold what the caller knows about draining beyond the folded state.

    ``drained`` names draining workers that run nothing. ``requested`` names
    workers whose next step is on its way to the log. ``drain_s_of`` estimates
    how long each worker would take to drain if it started now.
    """

    drained: frozenset[str] = frozenset()
    requested: frozenset[str] = frozenset()
    drain_s_of: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class PlannedStep:
    """Propose the next step of one worker."""

    wave_id: str
    worker_id: str
    step: StepStatus


@dataclass(frozen=True, slots=True)
class PlannedPause:
    """Propose to pause a wave."""

    wave_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class WavePlan:
    """Hold the proposed steps and pauses of all waves."""

    steps: tuple[PlannedStep, ...] = ()
    pauses: tuple[PlannedPause, ...] = ()


def plan_waves(state: State, hour: int, knowledge: DrainingKnowledge) -> WavePlan:
    """Return what may be done now; ``hour`` is the hour of the day in UTC.

    Maintenance of drained workers is planned for every wave, drains only for
    running waves within their working hours, the oldest wave first.
    """
    budgets = Budgets(state)
    steps: list[PlannedStep] = []
    pauses: list[PlannedPause] = []
    for progress in state.waves.values():
        if progress.status is WaveStatus.DONE:
            continue
        if reason := pause_reason(state, progress):
            pauses.append(PlannedPause(progress.wave.wave_id, reason))
            continue
        view = _WaveView(state, progress)
        if progress.status is not WaveStatus.RUNNING and view.any_failed():
            steps += _releases(progress, knowledge)
            continue
        steps += _next_maintenance(view, knowledge)
        if progress.status is not WaveStatus.RUNNING:
            continue
        if not within_hours(progress.wave.working_hours, hour):
            continue
        steps += _next_drains(view, budgets, knowledge)
    return WavePlan(tuple(steps), tuple(pauses))


def within_hours(hours: WorkingHours, hour: int) -> bool:
    """Tell whether drains may start; hours may span midnight."""
    if hours.start_hour < hours.end_hour:
        return hours.start_hour <= hour < hours.end_hour
    return hour >= hours.start_hour or hour < hours.end_hour


def pause_reason(state: State, progress: WaveProgress) -> str:
    """Return why the failures of a running wave are to pause it, or nothing.

    A worker that was maintained and is failed or ejected now counts as well.
    """
    if progress.status is not WaveStatus.RUNNING:
        return ""
    failed = [
        worker for worker, step in progress.steps if failed_in_wave(state, worker, step)
    ]
    if len(failed) >= progress.wave.failure_limit_count:
        return f"{len(failed)} workers failed, the limit of the wave"
    racks = Counter(
        domain_of(state.workers[worker], DomainOrder.RACK)
        for worker in failed
        if worker in state.workers
    )
    for rack, count in sorted(racks.items()):
        if count >= RACK_FAILURE_LIMIT_COUNT:
            return f"{count} workers failed in rack {'/'.join(rack)}"
    return ""


class _WaveView:
    """Hold one wave's workers by domain and by pool."""

    __slots__ = ("done_in_pool", "domains", "maintaining_in_pool", "progress", "state")

    def __init__(self, state: State, progress: WaveProgress) -> None:
        self.state = state
        self.progress = progress
        self.domains: dict[Domain, list[tuple[str, StepStatus]]] = {}
        self.done_in_pool: Counter[str] = Counter()
        self.maintaining_in_pool: Counter[str] = Counter()
        for worker_id, step in progress.steps:
            worker = state.workers.get(worker_id)
            if worker is None:
                continue
            domain = domain_of(worker, progress.wave.order)
            self.domains.setdefault(domain, []).append((worker_id, step))
            pool_id = state.pool_of[worker_id]
            self.done_in_pool[pool_id] += step is StepStatus.DONE
            self.maintaining_in_pool[pool_id] += step is StepStatus.MAINTAINING

    def any_failed(self) -> bool:
        """Tell whether a worker of the wave failed."""
        return any(
            failed_in_wave(self.state, worker, step)
            for worker, step in self.progress.steps
        )

    def open_domains_failed(self) -> bool:
        """Tell whether a worker failed in a domain that is not finished."""
        return any(
            any(failed_in_wave(self.state, worker, step) for worker, step in members)
            and not _finished(members)
            for members in self.domains.values()
        )


def _begun(members: list[tuple[str, StepStatus]]) -> bool:
    return any(step is not StepStatus.WAITING for _, step in members)


def _finished(members: list[tuple[str, StepStatus]]) -> bool:
    return all(step in (StepStatus.DONE, StepStatus.FAILED) for _, step in members)


def _releases(
    progress: WaveProgress, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    """Yield the draining workers of a stopped wave, to be put back in service.

    After failures no further worker is maintained, and a stopped wave must not
    hold on to budget.
    """
    for worker_id, step in progress.steps:
        if step is StepStatus.DRAINING and worker_id not in knowledge.requested:
            yield PlannedStep(progress.wave.wave_id, worker_id, StepStatus.WAITING)


def _next_maintenance(
    view: _WaveView, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    """Yield the drained workers whose pool lets one more be maintained."""
    wave = view.progress.wave
    maintaining = Counter(view.maintaining_in_pool)
    narrowed = view.open_domains_failed()
    for worker_id, step in view.progress.steps:
        if step is not StepStatus.DRAINING or worker_id not in knowledge.drained:
            continue
        if worker_id in knowledge.requested:
            continue
        if wave.action is WaveAction.DRAIN:
            yield PlannedStep(wave.wave_id, worker_id, StepStatus.DONE)
            continue
        pool_id = view.state.pool_of.get(worker_id, "")
        width = 1 if narrowed else 1 + view.done_in_pool[pool_id]
        if maintaining[pool_id] >= width:
            continue
        maintaining[pool_id] += 1
        yield PlannedStep(wave.wave_id, worker_id, StepStatus.MAINTAINING)


def _next_drains(
    view: _WaveView, budgets: Budgets, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    """Yield the drains to start, opening domains only as far as needed."""
    wave = view.progress.wave
    steps = view.progress.steps
    free_count = wave.concurrency_limit_count
    free_count -= sum(step in ACTIVE_STEPS for _, step in steps)
    narrowed = view.open_domains_failed()
    if narrowed:
        free_count = min(free_count, 1 - sum(s in ACTIVE_STEPS for _, s in steps))
    for members in _domains_to_take(view, narrowed):
        for worker_id in _waiting(members, knowledge):
            if free_count < 1:
                return
            if not budgets.try_take(worker_id):
                continue
            free_count -= 1
            yield PlannedStep(wave.wave_id, worker_id, StepStatus.DRAINING)


def _domains_to_take(
    view: _WaveView, narrowed: bool
) -> Iterator[list[tuple[str, StepStatus]]]:
    """Yield the open domains, then those that may be opened, in wave order."""
    unfinished = [m for m in view.domains.values() if not _finished(m)]
    yield from (members for members in unfinished if _begun(members))
    if narrowed:
        return
    yield from (members for members in unfinished if not _begun(members))


def _waiting(
    members: list[tuple[str, StepStatus]], knowledge: DrainingKnowledge
) -> list[str]:
    """Return the waiting workers, the one that drains soonest first."""
    waiting = [
        worker
        for worker, step in members
        if step is StepStatus.WAITING and worker not in knowledge.requested
    ]
    return sorted(waiting, key=lambda worker: knowledge.drain_s_of.get(worker, 0.0))
