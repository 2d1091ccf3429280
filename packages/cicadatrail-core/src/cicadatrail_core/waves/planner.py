"""Plan the next steps of all running waves.

The plan is a pure function of the folded state and of what the caller knows
about draining workers, so that every entry instance computes the same one. The
fold checks each step again, so a plan made on an older state does no harm.

Three rules limit the damage of a bad change:

* A wave processes failure domains in its order. It starts the next domain while
  others are unfinished only if the started ones can't use the free budget and
  none of their workers has failed.
* The first worker of a wave is maintained alone. Each one that returns to service
  lets ``RAMP_UP_COUNT`` more be maintained at the same time. Drains start in
  advance, so that the wait costs only maintenance time.
* Several failures in one rack, or as many as the wave's limit, pause the wave.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from cicadatrail_core.fold.availability import RAMP_UP_COUNT
from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.models.maintenance import (
    DomainOrder,
    StepStatus,
    WaveAction,
    WaveStatus,
    WorkingHours,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.waves.budgets import Budgets
from cicadatrail_core.waves.view import WaveView

RACK_FAILURE_LIMIT_COUNT = 2
"""Number of failures in one rack that are considered correlated."""


@dataclass(frozen=True, slots=True)
class DrainingKnowledge:
    """What the caller knows about draining beyond the folded state.

    ``drained`` names draining workers that run no task. ``requested`` names
    workers whose next step is being appended to the log; the plan treats that
    step as taken. ``drain_s_of`` estimates how long each worker would take to
    drain if it started now.
    """

    drained: frozenset[str] = frozenset()
    requested: frozenset[str] = frozenset()
    drain_s_of: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class PlannedStep:
    """A proposed next step of one worker."""

    wave_id: str
    worker_id: str
    step: StepStatus


@dataclass(frozen=True, slots=True)
class PlannedPause:
    """A proposal to pause a wave."""

    wave_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class WavePlan:
    """The proposed steps and pauses of all waves."""

    steps: tuple[PlannedStep, ...] = ()
    pauses: tuple[PlannedPause, ...] = ()


def plan_waves(state: State, hour: int, knowledge: DrainingKnowledge) -> WavePlan:
    """Return the steps and pauses to take now; ``hour`` is the UTC hour.

    Maintenance of drained workers is planned for every wave, drains only for
    running waves within their working hours, the oldest wave first.
    """
    budgets = Budgets(state)
    for worker_id in sorted(knowledge.requested):
        budgets.try_reserve(worker_id)
    steps: list[PlannedStep] = []
    pauses: list[PlannedPause] = []
    for progress in state.waves.values():
        if progress.status is WaveStatus.DONE:
            continue
        view = WaveView.of(state, progress, knowledge.requested)
        if reason := pause_reason(state, view):
            pauses.append(PlannedPause(progress.wave.wave_id, reason))
            continue
        steps += _wave_steps(view, budgets, hour, knowledge)
    return WavePlan(tuple(steps), tuple(pauses))


def _wave_steps(
    view: WaveView, budgets: Budgets, hour: int, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    wave = view.progress.wave
    is_running = view.progress.status is WaveStatus.RUNNING
    if view.failed and not is_running:
        yield from _return_to_service(view)
        return
    yield from _next_maintenance(view, knowledge)
    if is_running and within_hours(wave.working_hours, hour):
        yield from _next_drains(view, budgets, knowledge)


def within_hours(hours: WorkingHours, hour: int) -> bool:
    """Return whether drains may start; working hours may span midnight."""
    if hours.start_hour < hours.end_hour:
        return hours.start_hour <= hour < hours.end_hour
    return hour >= hours.start_hour or hour < hours.end_hour


def pause_reason(state: State, view: WaveView) -> str:
    """Return why failures should pause a running wave, or an empty string.

    A worker that was maintained and is now failed or ejected counts as well.
    """
    if view.progress.status is not WaveStatus.RUNNING:
        return ""
    if len(view.failed) >= view.progress.wave.failure_limit_count:
        return f"{len(view.failed)} workers failed, the limit of the wave"
    racks = Counter(
        domain_of(state.workers[worker], DomainOrder.RACK)
        for worker in view.failed
        if worker in state.workers
    )
    for rack, count in sorted(racks.items()):
        if count >= RACK_FAILURE_LIMIT_COUNT:
            return f"{count} workers failed in rack {'/'.join(rack)}"
    return ""


def _return_to_service(view: WaveView) -> Iterator[PlannedStep]:
    """Yield steps that return a stopped wave's draining workers to service.

    After failures no further worker is maintained, and a stopped wave must not
    keep using budget.
    """
    for worker_id in view.draining:
        yield PlannedStep(view.progress.wave.wave_id, worker_id, StepStatus.WAITING)


def _next_maintenance(
    view: WaveView, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    """Yield the drained workers that the ramp-up limit lets be maintained."""
    wave = view.progress.wave
    free_count = (
        1 if view.started_domain_failed else 1 + RAMP_UP_COUNT * view.done_count
    )
    free_count -= view.maintaining_count
    for worker_id in view.draining:
        if worker_id not in knowledge.drained:
            continue
        if wave.action is WaveAction.DRAIN:
            yield PlannedStep(wave.wave_id, worker_id, StepStatus.DONE)
            continue
        if free_count < 1:
            return
        free_count -= 1
        yield PlannedStep(wave.wave_id, worker_id, StepStatus.MAINTAINING)


def _next_drains(
    view: WaveView, budgets: Budgets, knowledge: DrainingKnowledge
) -> Iterator[PlannedStep]:
    """Yield the drains to start, in as few further domains as possible."""
    wave = view.progress.wave
    proven_count = 1 + view.done_count + view.maintaining_count
    limit_count = 1 if view.started_domain_failed else 1 + RAMP_UP_COUNT * proven_count
    free_count = min(limit_count, wave.concurrency_limit_count) - view.active_count
    for members in view.waiting_by_domain():
        if free_count < 1:
            return
        if knowledge.drain_s_of:
            members.sort(key=lambda worker: knowledge.drain_s_of.get(worker, 0.0))
        for worker_id in members:
            if free_count < 1:
                return
            if budgets.try_reserve(worker_id):
                free_count -= 1
                yield PlannedStep(wave.wave_id, worker_id, StepStatus.DRAINING)
