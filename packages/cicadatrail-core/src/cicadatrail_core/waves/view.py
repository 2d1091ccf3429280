"""The planner's view of one wave, built in one pass over its steps."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cicadatrail_core.fold.availability import failed_in_wave
from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.models.maintenance import StepStatus, WaveProgress
from cicadatrail_core.models.state import State

Domain = tuple[str, ...]


@dataclass(slots=True)
class _DomainView:
    waiting: list[str] = field(default_factory=list)
    started: bool = False
    finished: bool = True
    failed: bool = False


@dataclass(slots=True)
class WaveView:
    """A wave's workers by step status.

    A step that is being appended to the log counts as taken: such a worker is
    neither waiting nor draining. ``draining`` names the workers whose next step
    may be planned. ``started_domain_failed`` is true if a worker failed in a domain
    that is started and not finished.
    """

    progress: WaveProgress
    failed: list[str] = field(default_factory=list)
    draining: list[str] = field(default_factory=list)
    done_count: int = 0
    active_count: int = 0
    maintaining_count: int = 0
    started_domain_failed: bool = False
    _domains: dict[Domain, _DomainView] = field(default_factory=dict)

    @classmethod
    def of(
        cls, state: State, progress: WaveProgress, requested: frozenset[str]
    ) -> WaveView:
        """Return a view; ``requested`` names workers with a step being appended."""
        view = cls(progress)
        order = progress.wave.order
        workers, conditions = state.workers, state.conditions
        for worker_id, step in progress.steps:
            worker = workers.get(worker_id)
            if worker is None:
                continue
            key = domain_of(worker, order)
            domain = view._domains.get(key)
            if domain is None:
                domain = view._domains[key] = _DomainView()
            view._count(domain, worker_id, step, worker_id in requested)
            may_have_failed = step is StepStatus.FAILED or worker_id in conditions
            if may_have_failed and failed_in_wave(state, worker_id, step):
                view.failed.append(worker_id)
                domain.failed = True
        view.started_domain_failed = any(
            domain.failed and not domain.finished for domain in view._domains.values()
        )
        return view

    def _count(
        self, domain: _DomainView, worker_id: str, step: StepStatus, requested: bool
    ) -> None:
        match step:
            case StepStatus.WAITING if not requested:
                domain.waiting.append(worker_id)
                domain.finished = False
                return
            case StepStatus.WAITING:
                self.active_count += 1
                domain.finished = False
            case StepStatus.DRAINING:
                self.active_count += 1
                self.maintaining_count += requested
                domain.finished = False
                if not requested:
                    self.draining.append(worker_id)
            case StepStatus.MAINTAINING:
                self.active_count += 1
                self.maintaining_count += 1
                domain.finished = False
            case StepStatus.DONE:
                self.done_count += 1
        domain.started = True

    def waiting_by_domain(self) -> Iterator[list[str]]:
        """Yield the waiting workers of each started domain, then of the others.

        While a started, unfinished domain has a failure, no further one is started.
        """
        domains = self._domains.values()
        yield from (d.waiting for d in domains if d.started and d.waiting)
        if not self.started_domain_failed:
            yield from (d.waiting for d in domains if not d.started)
