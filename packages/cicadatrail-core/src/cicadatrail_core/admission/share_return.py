"""Room taken back for a request that is due to start: throttle, checkpoint, stop.

The steps come in that order for each task, with time between them for the
room to come free by itself. Tasks of queues that are never cut are left alone,
and a task that may not be repeated is checkpointed at most. Only tasks that are
to give way are throttled, and the throttle is lifted once nobody claims their
room any more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.fleet import DrainPolicy, Urgency
from cicadatrail_core.models.resources import Resources


@dataclass(frozen=True, slots=True)
class ShareReturnSettings:
    """Set when room is taken back.

    An urgent request asks for room once it has waited ``urgent_patience_s``,
    any other after ``patience_s``. ``grace_s`` lies between two steps.
    """

    urgent_patience_s: float = 0.5
    patience_s: float = 5.0
    grace_s: float = 1.0


class ReturnStep(Enum):
    """Say what a worker is to do with a task; RESUME lifts a throttle."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class ReturnOrder:
    """Order one step for one running task."""

    request_id: str
    worker_id: str
    step: ReturnStep


@dataclass(frozen=True, slots=True)
class Claim:
    """State that a request is due to start and finds no room.

    ``share`` is its team's weighted share; ``free`` tells what is free on each
    worker that could hold it.
    """

    request_id: str
    team_id: str
    urgency: Urgency
    size: Resources
    share: float
    waited_s: float
    free: Mapping[str, Resources]


@dataclass(frozen=True, slots=True)
class Tenant:
    """Describe a running task that might give room back.

    ``share`` is its team's weighted share, ``own_share`` this task's part.
    """

    request_id: str
    worker_id: str
    team_id: str
    urgency: Urgency
    repeatable: bool
    policy: DrainPolicy
    charge: Resources
    share: float
    own_share: float
    started_s: float


@dataclass(slots=True)
class _Progress:
    worker_id: str
    claim_id: str
    step: ReturnStep
    since_s: float


class ShareReturn:
    """Escalate the steps on as few tasks as one claim per pool needs."""

    __slots__ = ("_progress", "_settings")

    def __init__(self, settings: ShareReturnSettings) -> None:
        self._settings = settings
        self._progress: dict[str, _Progress] = {}

    def is_patient(self, urgency: Urgency, waited_s: float) -> bool:
        """Tell whether a request has not waited long enough to claim room."""
        if urgency is Urgency.URGENT:
            return waited_s < self._settings.urgent_patience_s
        return waited_s < self._settings.patience_s

    def next_orders(
        self, claim: Claim, tenants: Iterable[Tenant], now_s: float
    ) -> tuple[ReturnOrder, ...]:
        """Return the steps that are due now for one claim."""
        if self.is_patient(claim.urgency, claim.waited_s):
            return ()
        givers = [tenant for tenant in tenants if _may_give(claim, tenant)]
        chosen = _choose(claim, givers, self._begun_worker(claim))
        orders = (self._advance(claim, tenant, now_s) for tenant in chosen)
        return tuple(order for order in orders if order is not None)

    def release(self, open_claim_ids: Collection[str]) -> tuple[ReturnOrder, ...]:
        """Return the lifting of throttles whose claims are no longer open."""
        released = [
            (request_id, progress.worker_id)
            for request_id, progress in self._progress.items()
            if progress.step is ReturnStep.THROTTLE
            and progress.claim_id not in open_claim_ids
        ]
        for request_id, _ in released:
            del self._progress[request_id]
        return tuple(
            ReturnOrder(request_id, worker_id, ReturnStep.RESUME)
            for request_id, worker_id in released
        )

    def forget(self, request_id: str) -> None:
        """Drop a task that has ended."""
        self._progress.pop(request_id, None)

    def _begun_worker(self, claim: Claim) -> str | None:
        """Return the worker on which steps for this claim have begun."""
        for progress in self._progress.values():
            if progress.claim_id == claim.request_id:
                return progress.worker_id
        return None

    def _advance(
        self, claim: Claim, tenant: Tenant, now_s: float
    ) -> ReturnOrder | None:
        progress = self._progress.get(tenant.request_id)
        step: ReturnStep | None = ReturnStep.THROTTLE
        if progress is not None:
            progress.claim_id = claim.request_id
            step = self._due_step(progress, tenant, now_s)
        if step is None:
            return None
        self._progress[tenant.request_id] = _Progress(
            tenant.worker_id, claim.request_id, step, now_s
        )
        return ReturnOrder(tenant.request_id, tenant.worker_id, step)

    def _due_step(
        self, progress: _Progress, tenant: Tenant, now_s: float
    ) -> ReturnStep | None:
        if now_s - progress.since_s < self._settings.grace_s:
            return None
        return _step_after(progress.step, tenant)


def _step_after(step: ReturnStep, tenant: Tenant) -> ReturnStep | None:
    if tenant.policy is DrainPolicy.NEVER_CUT:
        return None
    match step:
        case ReturnStep.THROTTLE if tenant.policy is DrainPolicy.CHECKPOINT:
            return ReturnStep.CHECKPOINT
        case ReturnStep.THROTTLE | ReturnStep.CHECKPOINT if tenant.repeatable:
            return ReturnStep.STOP
        case _:
            return None


def _may_give(claim: Claim, tenant: Tenant) -> bool:
    """Tell whether the claim comes before the task.

    An urgent claim comes before all batch work. Otherwise a team gives only
    what it has above the claimant's share, so that nothing swings back.
    """
    if tenant.urgency is Urgency.URGENT or tenant.worker_id not in claim.free:
        return False
    if not _can_be_cut(tenant):
        return False
    if claim.urgency is Urgency.URGENT and tenant.urgency is Urgency.BATCH:
        return True
    if tenant.urgency.rank < claim.urgency.rank or tenant.team_id == claim.team_id:
        return False
    return tenant.share - tenant.own_share >= claim.share


def _can_be_cut(tenant: Tenant) -> bool:
    """Tell whether the steps end in the task giving its room back."""
    match tenant.policy:
        case DrainPolicy.NEVER_CUT:
            return False
        case DrainPolicy.CHECKPOINT:
            return True
        case DrainPolicy.WAIT:
            return tenant.repeatable


def _choose(
    claim: Claim, tenants: Sequence[Tenant], begun_worker_id: str | None
) -> tuple[Tenant, ...]:
    """Return the fewest tasks of one worker whose room covers the claim.

    A worker on which steps have begun is kept to while it can cover the claim.
    """
    by_worker: dict[str, list[Tenant]] = {}
    for tenant in tenants:
        by_worker.setdefault(tenant.worker_id, []).append(tenant)
    best: tuple[Tenant, ...] = ()
    for worker_id, found in by_worker.items():
        enough = _enough(claim.size, claim.free[worker_id], found)
        if enough and worker_id == begun_worker_id:
            return enough
        if enough and (not best or _cost(enough) < _cost(best)):
            best = enough
    return best


def _enough(
    size: Resources, free: Resources, tenants: list[Tenant]
) -> tuple[Tenant, ...]:
    taken: list[Tenant] = []
    room = free
    for tenant in sorted(tenants, key=_order_of_giving):
        if size.fits_in(room):
            break
        if _helps(size, room, tenant.charge):
            taken.append(tenant)
            room += tenant.charge
    return tuple(taken) if size.fits_in(room) else ()


def _order_of_giving(tenant: Tenant) -> tuple[int, float, float, str]:
    """Batch first, then the team furthest above, then the least work lost."""
    return (
        -tenant.urgency.rank,
        -tenant.share,
        -tenant.started_s,
        tenant.request_id,
    )


def _helps(size: Resources, room: Resources, charge: Resources) -> bool:
    missing = size - room
    return any(
        lacks > 0 and gives > 0
        for lacks, gives in (
            (missing.cpu_millicores, charge.cpu_millicores),
            (missing.memory_mib, charge.memory_mib),
            (missing.accelerator_count, charge.accelerator_count),
        )
    )


def _cost(tenants: tuple[Tenant, ...]) -> tuple[int, str]:
    return len(tenants), tenants[0].worker_id
