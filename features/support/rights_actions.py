"""Actions that instances of the rights model take at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail_core.models import records as rec
from cicadatrail_core.models.rights import (
    IncarnationId,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)
from features.support.rights_world import (
    LIMIT,
    PARTITIONS,
    TEAM,
    WORKERS,
    LimitPatch,
    WorkerPatch,
)

if TYPE_CHECKING:
    from features.support.rights_node import SimNode

EVERY_RIGHT: tuple[Right, ...] = (
    *(WorkerRight(worker_id) for worker_id in WORKERS),
    SlotRight(TEAM, LIMIT),
    *(PartitionRight(partition) for partition in PARTITIONS),
)


def act_at_random(node: SimNode) -> None:
    """Take the random actions of one tick, or leave or shut down in order."""
    rng = node.world.rng
    renew_loans(node)
    if node.leaving:
        leave_when_idle(node)
        return
    if node.world.scripted:
        return
    if node.world.faults_ended:
        run_daemon_duties(node)
        return
    for _ in range(2):
        if rng.random() < 0.5:
            node.start_task()
    if rng.random() < 0.25:
        others = [o for o in node.state.roster if o != node.incarnation]
        if others:
            node.ask_loan(rng.choice(others), rng.randint(1, 3))
    claim_unowned_rights(node)
    if rng.random() < 0.15:
        give_up_rights(node)
    propose_retirement(node)
    if rng.random() < 0.02:
        append_patch(node)
    if rng.random() < 0.3:
        node.read_instance_list()


def run_daemon_duties(node: SimNode) -> None:
    """Exit if retired, and retire silent members, as the daemon does."""
    own = node.state.roster.get(node.incarnation)
    if own is None or own.retire_offset is not None:
        node.world.end_process(node)
        return
    node.read_instance_list()
    for member in node.state.roster.values():
        silent_count = node.state.next_offset - member.last_pulse_offset
        if member.retire_offset is None and silent_count > 60:
            node.append(rec.RetireRecord(member.incarnation, node.incarnation))


def renew_loans(node: SimNode) -> None:
    rng = node.world.rng
    for lender, team_id in node.borrower.loans():
        idle = node.borrower.idle_count(lender, team_id)
        if idle and rng.random() < 0.2 and not node.world.scripted:
            count = rng.randint(1, idle)
            node.borrower.give_back(node.state, lender, team_id, count)
        node.ask_loan(lender, 0)


def give_up_rights(node: SimNode) -> None:
    """Release random rights or transfer them to a random member."""
    rng = node.world.rng
    if node.ledger.pending:
        return
    rights: list[Right] = []
    for worker_id in WORKERS:
        if node.ledger.may_place(node.state, worker_id) and rng.random() < 0.5:
            rights.append(WorkerRight(worker_id))
    for partition in PARTITIONS:
        if node.ledger.may_check_ids(node.state, partition) and rng.random() < 0.5:
            rights.append(PartitionRight(partition))
    free = spare_slots(node)
    if free:
        rights.append(SlotRight(TEAM, rng.randint(1, free)))
    if not rights:
        return
    sequence = node.ledger.next_sequence(node.state)
    new_owner = rng.choice(list(node.state.roster) or [node.incarnation])
    record: rec.TransferRecord | rec.ReleaseRecord
    if rng.random() < 0.5:
        record = rec.ReleaseRecord(node.incarnation, tuple(rights), sequence)
    else:
        record = rec.TransferRecord(
            node.incarnation, new_owner, tuple(rights), sequence
        )
    node.ledger.stop_using(record)
    node.append(record)


def spare_slots(node: SimNode) -> int:
    """Return the number of owned slots that neither a task nor a loan uses."""
    owned = node.state.slots.get(TEAM, {}).get(node.incarnation, 0)
    used = node.ledger.running_count(TEAM) + node.lender.outstanding_count(TEAM)
    return max(0, owned - used)


def claim_unowned_rights(node: SimNode) -> None:
    rng = node.world.rng
    unowned = [
        right
        for right in EVERY_RIGHT
        if not isinstance(right, WorkerRight)
        or right.worker_id not in node.state.worker_holders
    ]
    if unowned and rng.random() < 0.4:
        rights = tuple(rng.sample(unowned, min(4, len(unowned))))
        node.append(rec.ClaimRecord(node.incarnation, rights))


def propose_retirement(node: SimNode) -> None:
    """Propose to retire the member silent for longest, or sometimes any other."""
    rng = node.world.rng
    others = [o for o in node.state.roster if o != node.incarnation]
    if not others or not node.may_use_rights or rng.random() > 0.25:
        return
    target = rng.choice(others)
    if rng.random() < 0.9:
        target = min(others, key=lambda other: last_pulse_offset(node, other))
        silent_count = node.state.next_offset - last_pulse_offset(node, target)
        if silent_count < 3 * len(node.state.roster):
            return
    node.append(rec.RetireRecord(target, node.incarnation))


def last_pulse_offset(node: SimNode, incarnation: IncarnationId) -> int:
    """Return the offset of a member's last heartbeat, as the node has folded it."""
    return node.state.roster[incarnation].last_pulse_offset


def leave_when_idle(node: SimNode) -> None:
    """Append the leave record once no task runs and no slot is lent."""
    if node.incarnation not in node.state.roster:
        node.world.end_process(node)
    elif not node.own_tasks and not node.lender.outstanding_count(TEAM):
        node.append(rec.LeaveRecord(node.incarnation))
        node.world.event_counts["leave records"] += 1


def append_patch(node: SimNode) -> None:
    """Change the team's limit, or remove a worker or create it again."""
    rng = node.world.rng
    if rng.random() < 0.5:
        node.append(LimitPatch(rng.choice((0, 2, 4, LIMIT, LIMIT))))
    else:
        node.append(WorkerPatch(rng.choice(WORKERS), rng.random() < 0.7))
