"""Patch operations on pools, services, queues, teams, keys and workers.

Each function returns the changed state, or all findings with their places
below ``place``, such as ``operations[2]``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from cicadatrail_core.models import patches
from cicadatrail_core.models.fleet import Weights
from cicadatrail_core.models.maintenance import (
    Move,
    MoveStatus,
    StepStatus,
    WaveProgress,
    WaveStatus,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatrail_core.utils.mappings import with_entry, without_entry

FoldResult = Result[State, Findings]

MAX_NAME_LENGTH = 64
"""Maximum length of an identifier that a patch creates, in characters."""

MAX_TEAM_SLOTS = 1_000_000
"""Maximum upper limit of a team, in tasks."""

_SHA256_HEX_LENGTH = 64


def put_pool(state: State, operation: patches.PutPool, place: str) -> FoldResult:
    """Create or change a pool; only one pool may be the spare."""
    pool = operation.pool
    findings = _check_name(pool.pool_id, f"{place}.pool.pool_id")
    spares = {other.pool_id for other in state.pools.values() if other.spare}
    if pool.spare and spares - {pool.pool_id}:
        fault = f"the spare pool is {min(spares)} already"
        findings.append(Finding(f"{place}.pool.spare", fault))
    changed = replace(state, pools=with_entry(state.pools, pool.pool_id, pool))
    return _result(changed, findings)


def remove_pool(state: State, operation: patches.RemovePool, place: str) -> FoldResult:
    """Remove an empty pool that serves no service."""
    pool_id = operation.pool_id
    findings = _check_known(state.pools, pool_id, f"{place}.pool_id", "pool")
    if pool_id in state.pool_of.values():
        findings.append(Finding(f"{place}.pool_id", "the pool still holds workers"))
    if any(service.pool_id == pool_id for service in state.services.values()):
        findings.append(Finding(f"{place}.pool_id", "a service still uses the pool"))
    if any(_is_target(move, pool_id) for move in state.moves.values()):
        findings.append(Finding(f"{place}.pool_id", "a worker is moving to the pool"))
    return _result(replace(state, pools=without_entry(state.pools, pool_id)), findings)


def put_service(state: State, operation: patches.PutService, place: str) -> FoldResult:
    """Create or change a service; its pool must exist."""
    service = operation.service
    at = f"{place}.service"
    findings = _check_name(service.service_id, f"{at}.service_id")
    findings += _check_known(state.pools, service.pool_id, f"{at}.pool_id", "pool")
    if service.unavailable_limit_count < 0:
        fault = "must not be negative"
        findings.append(Finding(f"{at}.unavailable_limit_count", fault))
    services = with_entry(state.services, service.service_id, service)
    return _result(replace(state, services=services), findings)


def remove_service(
    state: State, operation: patches.RemoveService, place: str
) -> FoldResult:
    """Remove a service that has no queue left."""
    service_id = operation.service_id
    at = f"{place}.service_id"
    findings = _check_known(state.services, service_id, at, "service")
    if any(queue.service_id == service_id for queue in state.queues.values()):
        findings.append(Finding(at, "the service still has queues"))
    services = without_entry(state.services, service_id)
    return _result(replace(state, services=services), findings)


def put_queue(state: State, operation: patches.PutQueue, place: str) -> FoldResult:
    """Create or change a queue; an open queue requires an owner team."""
    queue = operation.queue
    at = f"{place}.queue"
    findings = _check_name(queue.queue_id, f"{at}.queue_id")
    findings += _check_known(
        state.services, queue.service_id, f"{at}.service_id", "service"
    )
    if queue.open_to_all or queue.owner_team_id:
        findings += _check_known(
            state.teams, queue.owner_team_id, f"{at}.owner_team_id", "team"
        )
    if queue.drain_deadline_s < 0:
        findings.append(Finding(f"{at}.drain_deadline_s", "must not be negative"))
    queues = with_entry(state.queues, queue.queue_id, queue)
    return _result(replace(state, queues=queues), findings)


def remove_queue(
    state: State, operation: patches.RemoveQueue, place: str
) -> FoldResult:
    """Remove a queue; requests waiting in it are refused as not run."""
    at = f"{place}.queue_id"
    findings = _check_known(state.queues, operation.queue_id, at, "queue")
    queues = without_entry(state.queues, operation.queue_id)
    return _result(replace(state, queues=queues), findings)


def put_team(state: State, operation: patches.PutTeam, place: str) -> FoldResult:
    """Create or change a team's share and upper limit."""
    team = operation.team
    findings = _check_name(team.team_id, f"{place}.team.team_id")
    if team.share_weight <= 0:
        findings.append(Finding(f"{place}.team.share_weight", "must be above 0"))
    if not 0 <= team.upper_limit_tasks <= MAX_TEAM_SLOTS:
        fault = f"must be from 0 to {MAX_TEAM_SLOTS}"
        findings.append(Finding(f"{place}.team.upper_limit_tasks", fault))
    teams = with_entry(state.teams, team.team_id, team)
    return _result(replace(state, teams=teams), findings)


def remove_team(state: State, operation: patches.RemoveTeam, place: str) -> FoldResult:
    """Remove a team and withdraw its keys."""
    team_id = operation.team_id
    findings = _check_known(state.teams, team_id, f"{place}.team_id", "team")
    if any(queue.owner_team_id == team_id for queue in state.queues.values()):
        findings.append(Finding(f"{place}.team_id", "a queue still counts for it"))
    keys = {
        key_id: replace(key, withdrawn=True) if key.team_id == team_id else key
        for key_id, key in state.keys.items()
    }
    teams = without_entry(state.teams, team_id)
    return _result(replace(state, teams=teams, keys=keys), findings)


def grant_key(state: State, operation: patches.GrantKey, place: str) -> FoldResult:
    """Grant a key to a team; key ids are never reused."""
    key = operation.key
    at = f"{place}.key"
    findings = _check_name(key.key_id, f"{at}.key_id")
    findings += _check_known(state.teams, key.team_id, f"{at}.team_id", "team")
    if key.key_id in state.keys:
        findings.append(Finding(f"{at}.key_id", "is in use or was withdrawn"))
    if not _is_hex(key.hash_hex, _SHA256_HEX_LENGTH):
        findings.append(Finding(f"{at}.hash_hex", "must be a SHA-256 in hex"))
    if len(key.salt_hex) < 32 or not _is_hex(key.salt_hex, len(key.salt_hex)):
        findings.append(Finding(f"{at}.salt_hex", "must be 16 bytes or more in hex"))
    if key.withdrawn:
        findings.append(Finding(f"{at}.withdrawn", "a new key can't be withdrawn"))
    keys = with_entry(state.keys, key.key_id, key)
    return _result(replace(state, keys=keys), findings)


def withdraw_key(
    state: State, operation: patches.WithdrawKey, place: str
) -> FoldResult:
    """Withdraw a key permanently; withdrawing it again changes nothing."""
    key = state.keys.get(operation.key_id)
    if key is None:
        return Failure((Finding(f"{place}.key_id", "is no known key"),))
    keys = with_entry(state.keys, key.key_id, replace(key, withdrawn=True))
    return Success(replace(state, keys=keys))


def add_worker(state: State, operation: patches.AddWorker, place: str) -> FoldResult:
    """Add a worker to one pool."""
    worker = operation.worker
    at = f"{place}.worker"
    findings = _check_name(worker.worker_id, f"{at}.worker_id")
    findings += _check_known(state.pools, operation.pool_id, f"{place}.pool_id", "pool")
    if worker.worker_id in state.workers:
        findings.append(Finding(f"{at}.worker_id", "is in the fleet already"))
    if not 0 < worker.port < 65536:
        findings.append(Finding(f"{at}.port", "must be from 1 to 65535"))
    if worker.capacity.cpu_millicores <= 0 or worker.capacity.memory_mib <= 0:
        findings.append(Finding(f"{at}.capacity", "needs processors and memory"))
    if worker.capacity.accelerator_count < 0:
        fault = "must not be negative"
        findings.append(Finding(f"{at}.capacity.accelerator_count", fault))
    changed = replace(
        state,
        workers=with_entry(state.workers, worker.worker_id, worker),
        pool_of=with_entry(state.pool_of, worker.worker_id, operation.pool_id),
    )
    return _result(changed, findings)


def remove_worker(
    state: State, operation: patches.RemoveWorker, place: str
) -> FoldResult:
    """Remove a worker that is in no active move and no unfinished wave."""
    worker_id = operation.worker_id
    at = f"{place}.worker_id"
    findings = _check_known(state.workers, worker_id, at, "worker")
    if any(
        move.worker_id == worker_id and move.status is MoveStatus.DRAINING
        for move in state.moves.values()
    ):
        findings.append(Finding(at, "the worker is moving"))
    if _is_in_open_wave(state, worker_id):
        findings.append(Finding(at, "a wave still covers the worker"))
    changed = replace(
        state,
        workers=without_entry(state.workers, worker_id),
        pool_of=without_entry(state.pool_of, worker_id),
        conditions=without_entry(state.conditions, worker_id),
    )
    return _result(changed, findings)


def put_weights(state: State, operation: patches.PutWeights, place: str) -> FoldResult:
    """Change the weights of the operators' objectives."""
    findings = [
        Finding(f"{place}.weights.{name}", "must not be negative")
        for name, value in _weights_by_name(operation.weights)
        if value < 0
    ]
    return _result(replace(state, weights=operation.weights), findings)


def _weights_by_name(weights: Weights) -> tuple[tuple[str, float], ...]:
    return (
        ("buffer_cost", weights.buffer_cost),
        ("roll_out_time", weights.roll_out_time),
        ("moves", weights.moves),
        ("share", weights.share),
    )


def _is_target(move: Move, pool_id: str) -> bool:
    return move.to_pool_id == pool_id and move.status is MoveStatus.DRAINING


def _is_in_open_wave(state: State, worker_id: str) -> bool:
    """Return whether a wave has not yet finished with the worker."""
    return any(_has_open_step(progress, worker_id) for progress in state.waves.values())


def _has_open_step(progress: WaveProgress, worker_id: str) -> bool:
    waiting_counts = progress.status in (WaveStatus.RUNNING, WaveStatus.PAUSED)
    open_steps = {StepStatus.DRAINING, StepStatus.MAINTAINING}
    if waiting_counts:
        open_steps.add(StepStatus.WAITING)
    return any(
        other == worker_id and step in open_steps for other, step in progress.steps
    )


def _check_name(name: str, place: str) -> list[Finding]:
    fits = 0 < len(name) <= MAX_NAME_LENGTH
    if fits and name.isascii() and name.replace("-", "").replace("_", "").isalnum():
        return []
    fault = f"must be 1 to {MAX_NAME_LENGTH} ASCII letters, digits, '-' or '_'"
    return [Finding(place, fault)]


def _check_known(
    entries: Mapping[str, object], name: str, place: str, kind: str
) -> list[Finding]:
    if name in entries:
        return []
    return [Finding(place, f"is no known {kind}")]


def _is_hex(text: str, length: int) -> bool:
    return len(text) == length and not set(text) - set("0123456789abcdef")


def _result(changed: State, findings: list[Finding]) -> FoldResult:
    return Failure(tuple(findings)) if findings else Success(changed)
