"""Verdicts on patches, which are atomic and evaluated at their offset."""

from __future__ import annotations

from dataclasses import replace

from returns.result import Failure, Result, Success

from cicadatrail_core.fold import fleet_operations as fleet
from cicadatrail_core.fold import maintenance
from cicadatrail_core.fold.membership import drop_rights_of_removed
from cicadatrail_core.models import patches
from cicadatrail_core.models.patches import Accepted, Operation, Patch, Refused
from cicadatrail_core.models.state import HistoryEntry, State
from cicadatrail_core.utils.findings import Finding, Findings

VERDICT_LIMIT = 10_000
"""Number of verdicts kept, by patch id.

An older accepted patch that is sent again has a stale base version by then, so
it is refused and never applied twice.
"""

HISTORY_LIMIT = 1_000
"""Number of accepted patches kept in the history."""

OPERATION_LIMIT = 5_000
"""Maximum number of operations in one patch."""

FoldResult = Result[State, Findings]


def evaluate_patch(state: State, patch: Patch) -> FoldResult:
    """Return the state with every operation applied, or all findings."""
    findings = list(_check_patch(patch))
    draft = state
    for index, operation in enumerate(patch.operations[:OPERATION_LIMIT]):
        match apply_operation(draft, operation, f"operations[{index}]"):
            case Success(changed):
                draft = changed
            case Failure(faults):
                findings.extend(faults)
    if findings:
        return Failure(tuple(findings))
    return Success(drop_rights_of_removed(draft))


def apply_patch(state: State, offset: int, patch: Patch) -> State:
    """Record the verdict on a patch; a repeated id keeps its first verdict."""
    if patch.patch_id in state.verdicts:
        return state
    if patch.base_version != state.version:
        return _refuse(state, patch, _stale_finding(state, patch), stale=True)
    match evaluate_patch(state, patch):
        case Success(changed):
            return _accept(changed, offset, patch)
        case Failure(findings):
            return _refuse(state, patch, findings, stale=False)
    raise AssertionError("a result is a success or a failure")


def apply_operation(state: State, operation: Operation, place: str) -> FoldResult:
    """Apply one operation; the findings' places start with ``place``."""
    match operation:
        case patches.PutPool():
            return fleet.put_pool(state, operation, place)
        case patches.RemovePool():
            return fleet.remove_pool(state, operation, place)
        case patches.PutService():
            return fleet.put_service(state, operation, place)
        case patches.RemoveService():
            return fleet.remove_service(state, operation, place)
        case patches.PutQueue():
            return fleet.put_queue(state, operation, place)
        case patches.RemoveQueue():
            return fleet.remove_queue(state, operation, place)
        case patches.PutTeam():
            return fleet.put_team(state, operation, place)
        case patches.RemoveTeam():
            return fleet.remove_team(state, operation, place)
        case patches.GrantKey():
            return fleet.grant_key(state, operation, place)
        case patches.WithdrawKey():
            return fleet.withdraw_key(state, operation, place)
        case patches.AddWorker():
            return fleet.add_worker(state, operation, place)
        case patches.RemoveWorker():
            return fleet.remove_worker(state, operation, place)
        case patches.PutWeights():
            return fleet.put_weights(state, operation, place)
        case patches.StartMove():
            return maintenance.start_move(state, operation, place)
        case patches.AbortMove():
            return maintenance.abort_move(state, operation, place)
        case patches.StartWave():
            return maintenance.start_wave(state, operation, place)
        case patches.PauseWave():
            return maintenance.pause_wave(state, operation, place)
        case patches.ResumeWave():
            return maintenance.resume_wave(state, operation, place)
        case patches.AbortWave():
            return maintenance.abort_wave(state, operation, place)


def _check_patch(patch: Patch) -> Findings:
    findings = []
    if not patch.patch_id or len(patch.patch_id) > fleet.MAX_NAME_LENGTH:
        fault = f"must be 1 to {fleet.MAX_NAME_LENGTH} characters"
        findings.append(Finding("patch_id", fault))
    if not patch.operations:
        findings.append(Finding("operations", "is empty"))
    if len(patch.operations) > OPERATION_LIMIT:
        findings.append(Finding("operations", f"has over {OPERATION_LIMIT} entries"))
    return tuple(findings)


def _stale_finding(state: State, patch: Patch) -> Findings:
    fault = f"is {patch.base_version}, but the version in force is {state.version}"
    return (Finding("base_version", fault),)


def _accept(changed: State, offset: int, patch: Patch) -> State:
    version = changed.version + 1
    verdict = Accepted(patch.patch_id, version, offset)
    entry = HistoryEntry(version, patch.patch_id, offset, patch.operator)
    history = (*changed.history, entry)[-HISTORY_LIMIT:]
    with_verdict = _keep_verdict(changed, verdict)
    return replace(with_verdict, version=version, history=history)


def _refuse(state: State, patch: Patch, findings: Findings, *, stale: bool) -> State:
    since = tuple(
        entry.patch_id
        for entry in state.history
        if stale and entry.version > patch.base_version
    )
    verdict = Refused(patch.patch_id, state.version, findings, stale, since)
    return _keep_verdict(state, verdict)


def _keep_verdict(state: State, verdict: Accepted | Refused) -> State:
    verdicts = {**state.verdicts, verdict.patch_id: verdict}
    while len(verdicts) > VERDICT_LIMIT:
        del verdicts[next(iter(verdicts))]
    return replace(state, verdicts=verdicts)
