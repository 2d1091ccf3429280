"""Preemption of running tasks: throttle, then checkpoint, then stop.

Each task goes through the steps in this order, with a delay between them in which
capacity may become free without further steps. Tasks of queues whose drain policy
is NEVER_CUT are never preempted, and a task that may not be repeated is
checkpointed at most. Only tasks chosen for preemption are throttled; the throttle
is lifted once no open claim needs their capacity.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import DrainPolicy, Urgency
from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class PreemptionSettings:
    """Delays of preemption, in seconds.

    An urgent request may preempt others once it has waited for ``urgent_wait_s``, any
    other request after ``wait_s``. Consecutive steps on a task are at least
    ``grace_s`` apart.
    """

    urgent_wait_s: float = 0.5
    wait_s: float = 5.0
    grace_s: float = 1.0


class PreemptionStep(Enum):
    """What a worker does with a task; RESUME lifts a throttle."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class PreemptionOrder:
    """One preemption step for one running task."""

    request_id: str
    worker_id: str
    step: PreemptionStep


@dataclass(frozen=True, slots=True)
class Claim:
    """Request that is next in order but does not fit on any worker.

    ``share`` is the weighted share of its team; ``free`` maps each worker on which
    tasks may be placed to its free capacity.
    """

    request_id: str
    team_id: str
    urgency: Urgency
    size: Resources
    share: float
    waited_s: float
    free: Mapping[str, Resources]


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """Running task that might be preempted.

    ``share`` is the weighted share of its team, ``task_share`` the part of it that
    this task accounts for.
    """

    request_id: str
    worker_id: str
    team_id: str
    urgency: Urgency
    repeatable: bool
    policy: DrainPolicy
    charge: Resources
    share: float
    task_share: float
    started_s: float


@dataclass(slots=True)
class _Progress:
    worker_id: str
    claim_id: str
    step: PreemptionStep
    since_s: float


class PreemptionEscalator:
    """Escalate the preemption of as few tasks as each claim needs.

    There is at most one claim per pool at a time.
    """

    __slots__ = ("_progress", "_settings")

    def __init__(self, settings: PreemptionSettings) -> None:
        self._settings = settings
        self._progress: dict[str, _Progress] = {}

    def must_wait(self, urgency: Urgency, waited_s: float) -> bool:
        """Return whether a request has waited too short a time to preempt others."""
        if urgency is Urgency.URGENT:
            return waited_s < self._settings.urgent_wait_s
        return waited_s < self._settings.wait_s

    def next_orders(
        self, claim: Claim, candidates: Iterable[PreemptionCandidate], now_s: float
    ) -> tuple[PreemptionOrder, ...]:
        """Return the steps that are due now for one claim."""
        if self.must_wait(claim.urgency, claim.waited_s):
            return ()
        eligible = [
            candidate for candidate in candidates if _may_preempt(claim, candidate)
        ]
        chosen = _choose(claim, eligible, self._started_worker(claim))
        orders = (self._advance(claim, candidate, now_s) for candidate in chosen)
        return tuple(order for order in orders if order is not None)

    def release(self, open_claim_ids: Collection[str]) -> tuple[PreemptionOrder, ...]:
        """Return the steps that lift the throttles of claims that have closed."""
        released = [
            (request_id, progress.worker_id)
            for request_id, progress in self._progress.items()
            if progress.step is PreemptionStep.THROTTLE
            and progress.claim_id not in open_claim_ids
        ]
        for request_id, _ in released:
            del self._progress[request_id]
        return tuple(
            PreemptionOrder(request_id, worker_id, PreemptionStep.RESUME)
            for request_id, worker_id in released
        )

    def forget(self, request_id: str) -> None:
        """Drop the state of a task that has ended."""
        self._progress.pop(request_id, None)

    def _started_worker(self, claim: Claim) -> str | None:
        """Return the worker on which preemption for this claim has started."""
        for progress in self._progress.values():
            if progress.claim_id == claim.request_id:
                return progress.worker_id
        return None

    def _advance(
        self, claim: Claim, candidate: PreemptionCandidate, now_s: float
    ) -> PreemptionOrder | None:
        progress = self._progress.get(candidate.request_id)
        step: PreemptionStep | None = PreemptionStep.THROTTLE
        if progress is not None:
            progress.claim_id = claim.request_id
            step = self._due_step(progress, candidate, now_s)
        if step is None:
            return None
        self._progress[candidate.request_id] = _Progress(
            candidate.worker_id, claim.request_id, step, now_s
        )
        return PreemptionOrder(candidate.request_id, candidate.worker_id, step)

    def _due_step(
        self, progress: _Progress, candidate: PreemptionCandidate, now_s: float
    ) -> PreemptionStep | None:
        if now_s - progress.since_s < self._settings.grace_s:
            return None
        return _step_after(progress.step, candidate)


def _step_after(
    step: PreemptionStep, candidate: PreemptionCandidate
) -> PreemptionStep | None:
    if candidate.policy is DrainPolicy.NEVER_CUT:
        return None
    match step:
        case PreemptionStep.THROTTLE if candidate.policy is DrainPolicy.CHECKPOINT:
            return PreemptionStep.CHECKPOINT
        case PreemptionStep.THROTTLE | PreemptionStep.CHECKPOINT if (
            candidate.repeatable
        ):
            return PreemptionStep.STOP
        case _:
            return None


def _may_preempt(claim: Claim, candidate: PreemptionCandidate) -> bool:
    """Return whether the claim takes precedence over the task.

    An urgent claim takes precedence over all batch tasks. Otherwise a team yields
    only what it uses above the claimant's share, so that the two teams do not preempt
    each other in turn.
    """
    if candidate.urgency is Urgency.URGENT or candidate.worker_id not in claim.free:
        return False
    if not _is_preemptible(candidate):
        return False
    if claim.urgency is Urgency.URGENT and candidate.urgency is Urgency.BATCH:
        return True
    if (
        candidate.urgency.rank < claim.urgency.rank
        or candidate.team_id == claim.team_id
    ):
        return False
    return candidate.share - candidate.task_share >= claim.share


def _is_preemptible(candidate: PreemptionCandidate) -> bool:
    """Return whether the steps can end with the task releasing its capacity."""
    match candidate.policy:
        case DrainPolicy.NEVER_CUT:
            return False
        case DrainPolicy.CHECKPOINT:
            return True
        case DrainPolicy.WAIT:
            return candidate.repeatable


def _choose(
    claim: Claim,
    candidates: Sequence[PreemptionCandidate],
    started_worker_id: str | None,
) -> tuple[PreemptionCandidate, ...]:
    """Return the fewest tasks of one worker whose capacity satisfies the claim.

    A worker on which preemption has started is kept as long as it can satisfy the
    claim.
    """
    by_worker: dict[str, list[PreemptionCandidate]] = {}
    for candidate in candidates:
        by_worker.setdefault(candidate.worker_id, []).append(candidate)
    best: tuple[PreemptionCandidate, ...] = ()
    for worker_id, found in by_worker.items():
        sufficient = _sufficient_set(claim.size, claim.free[worker_id], found)
        if sufficient and worker_id == started_worker_id:
            return sufficient
        if sufficient and (not best or _cost(sufficient) < _cost(best)):
            best = sufficient
    return best


def _sufficient_set(
    size: Resources, free: Resources, candidates: list[PreemptionCandidate]
) -> tuple[PreemptionCandidate, ...]:
    selected: list[PreemptionCandidate] = []
    available = free
    for candidate in sorted(candidates, key=_preemption_sort_key):
        if size.fits_in(available):
            break
        if _frees_missing(size, available, candidate.charge):
            selected.append(candidate)
            available += candidate.charge
    return tuple(selected) if size.fits_in(available) else ()


def _preemption_sort_key(
    candidate: PreemptionCandidate,
) -> tuple[int, float, float, str]:
    """Return the sort key of the order in which tasks are preempted.

    Batch tasks come first, then tasks of the team with the largest share, then those
    that lose the least work.
    """
    return (
        -candidate.urgency.rank,
        -candidate.share,
        -candidate.started_s,
        candidate.request_id,
    )


def _frees_missing(size: Resources, available: Resources, charge: Resources) -> bool:
    missing = size - available
    return any(
        lacking > 0 and freed > 0
        for lacking, freed in (
            (missing.cpu_millicores, charge.cpu_millicores),
            (missing.memory_mib, charge.memory_mib),
            (missing.accelerator_count, charge.accelerator_count),
        )
    )


def _cost(candidates: tuple[PreemptionCandidate, ...]) -> tuple[int, str]:
    return len(candidates), candidates[0].worker_id
