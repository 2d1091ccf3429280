"""Invariants of the rights model that must hold at every instant."""

from __future__ import annotations

from cicadatrail_core.models.rights import IncarnationId
from features.support.rights_node import SimNode
from features.support.rights_world import (
    DRIFT,
    PARTITIONS,
    WORKERS,
    ViolationError,
    World,
)


def check_world(world: World) -> None:
    """Check all invariants.

    Raise ViolationError if two instances may use one right, if a limit or the
    end of a loan is exceeded, or if a withdrawn key is served for too long.
    """
    eligible = [n for n in world.nodes.values() if n.active and n.may_use_rights]
    _check_single_owner(world, eligible)
    _check_limit(world, eligible)
    _check_loans(world, eligible)
    _check_key(world, eligible)


def _check_single_owner(world: World, eligible: list[SimNode]) -> None:
    owners: dict[object, IncarnationId] = {}
    for node in eligible:
        used: list[object] = [
            w for w in WORKERS if node.ledger.may_place(node.state, w)
        ]
        used += [p for p in PARTITIONS if node.ledger.may_check_ids(node.state, p)]
        if used and node.clock_s >= node.log_until_s:
            world.event_counts["rights used by peers' support"] += 1
        for right in used:
            other = owners.setdefault(right, node.incarnation)
            if other != node.incarnation:
                raise ViolationError(
                    f"{world.now_s:.3f}: {other} and {node.incarnation} "
                    f"may both use {right}"
                )


def _check_limit(world: World, eligible: list[SimNode]) -> None:
    tasks = world.running_tasks()
    count = len(tasks)
    oldest_offset = len(world.log.records)
    for node in eligible:
        own, borrowed = node.free_own(), node.free_borrowed()
        count += own + borrowed
        if own or borrowed:
            oldest_offset = min(oldest_offset, node.state.next_offset)
        if borrowed:
            oldest_offset = min([oldest_offset, *node.loan_offsets.values()])
    oldest_offset = min([oldest_offset, *(task.limit_offset for task in tasks)])
    limit = max(world.log.limits[oldest_offset:])
    if count > limit:
        raise ViolationError(f"{world.now_s:.3f}: {count} tasks may run, limit {limit}")


def _check_loans(world: World, eligible: list[SimNode]) -> None:
    """Check that loans are used only while their lender's lease is valid."""
    late_s = 3 * DRIFT * world.timing.support_s
    for node in eligible:
        for lender, team_id in node.borrower.loans():
            if node.borrower.free_on(node.state, lender, team_id, node.clock_s) == 0:
                continue
            end_s = world.loan_ends_s[lender]
            if world.now_s > end_s + late_s:
                raise ViolationError(
                    f"{world.now_s:.3f}: {node.incarnation} may use a loan of "
                    f"{lender}, whose lease ended at {end_s:.3f}"
                )


def _check_key(world: World, eligible: list[SimNode]) -> None:
    folded_by = [
        n for n in world.nodes.values() if n.alive and n.folded_withdrawal_s is not None
    ]
    if not folded_by and world.reported_s is None:
        return
    late_s = world.timing.support_s / (1 - DRIFT)
    for node in eligible:
        if not node.serves_key():
            continue
        if world.reported_s is not None and world.now_s > world.reported_s + late_s:
            raise ViolationError(
                f"{world.now_s:.3f}: {node.incarnation} serves a key whose "
                f"withdrawal was reported at {world.reported_s:.3f}"
            )
        for other in folded_by:
            _check_known(world, node, other, late_s)


def _check_known(world: World, node: SimNode, other: SimNode, late_s: float) -> None:
    """Check a node that serves the key against a member that folded the withdrawal.

    Members that the node doesn't know, or knows as retired, don't count.
    """
    member = node.state.roster.get(other.incarnation)
    if member is None or member.retire_offset is not None:
        return
    assert other.folded_withdrawal_s is not None
    if world.now_s > other.folded_withdrawal_s + late_s:
        raise ViolationError(
            f"{world.now_s:.3f}: {node.incarnation} serves a key whose "
            f"withdrawal {other.incarnation} folded at {other.folded_withdrawal_s:.3f}"
        )
