"""What must hold at every instant of the rights model."""

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
    """Raise where two may use one right, a limit or a withdrawal is broken."""
    spenders = [n for n in world.nodes.values() if n.active and n.may_spend]
    _check_single_holder(world, spenders)
    _check_limit(world, spenders)
    _check_loans(world, spenders)
    _check_key(world, spenders)


def _check_single_holder(world: World, spenders: list[SimNode]) -> None:
    holders: dict[object, IncarnationId] = {}
    for node in spenders:
        used: list[object] = [
            w for w in WORKERS if node.ledger.may_place(node.state, w)
        ]
        used += [p for p in PARTITIONS if node.ledger.may_check_ids(node.state, p)]
        if used and node.clock_s >= node.log_until_s:
            world.seen["rights used by peers' support"] += 1
        for right in used:
            other = holders.setdefault(right, node.incarnation)
            if other != node.incarnation:
                raise ViolationError(
                    f"{world.now_s:.3f}: {other} and {node.incarnation} "
                    f"may both use {right}"
                )


def _check_limit(world: World, spenders: list[SimNode]) -> None:
    tasks = world.running_tasks()
    count = len(tasks)
    floor = len(world.log.records)
    for node in spenders:
        own, borrowed = node.free_own(), node.free_borrowed()
        count += own + borrowed
        if own or borrowed:
            floor = min(floor, node.state.next_offset)
        if borrowed:
            floor = min([floor, *node.loan_floors.values()])
    floor = min([floor, *(task.floor_offset for task in tasks)])
    limit = max(world.log.limits[floor:])
    if count > limit:
        raise ViolationError(f"{world.now_s:.3f}: {count} tasks may run, limit {limit}")


def _check_loans(world: World, spenders: list[SimNode]) -> None:
    """Check that a loan is spent only while its lender knew it was supported."""
    late_s = 3 * DRIFT * world.timing.support_s
    for node in spenders:
        for lender, team_id in node.borrower.loans():
            if node.borrower.free_on(node.state, lender, team_id, node.clock_s) == 0:
                continue
            end_s = world.loan_ends_s[lender]
            if world.now_s > end_s + late_s:
                raise ViolationError(
                    f"{world.now_s:.3f}: {node.incarnation} may spend a loan of "
                    f"{lender}, which was supported until {end_s:.3f}"
                )


def _check_key(world: World, spenders: list[SimNode]) -> None:
    folded_by = [
        n for n in world.nodes.values() if n.alive and n.folded_withdrawal_s is not None
    ]
    if not folded_by and world.reported_s is None:
        return
    late_s = world.timing.support_s / (1 - DRIFT)
    for node in spenders:
        if not node.serves_key():
            continue
        if world.reported_s is not None and world.now_s > world.reported_s + late_s:
            raise ViolationError(
                f"{world.now_s:.3f}: {node.incarnation} serves a key reported "
                f"withdrawn at {world.reported_s:.3f}"
            )
        for other in folded_by:
            _check_known(world, node, other, late_s)


def _check_known(world: World, node: SimNode, other: SimNode, late_s: float) -> None:
    """Check that no live member that is known to the node knows better."""
    member = node.state.roster.get(other.incarnation)
    if member is None or member.retire_offset is not None:
        return
    assert other.folded_withdrawal_s is not None
    if world.now_s > other.folded_withdrawal_s + late_s:
        raise ViolationError(
            f"{world.now_s:.3f}: {node.incarnation} serves a key that "
            f"{other.incarnation} knew withdrawn at {other.folded_withdrawal_s:.3f}"
        )
