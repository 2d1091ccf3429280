"""Scripted histories for cases that random walks reach too rarely.

Each script uses the same world, nodes and checks as the random walk; the seed
still decides clocks, delays and tick times.
"""

from __future__ import annotations

from collections.abc import Callable

from cicadatrail_core.models import records as rec
from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.rights import IncarnationId
from features.support.rights_actions import EVERY_RIGHT
from features.support.rights_model import Run
from features.support.rights_node import SimNode
from features.support.rights_world import (
    LIMIT,
    LimitPatch,
    ViolationError,
    WorkerPatch,
)

START_S = 1.0


class Directed(Run):
    """Run of three nodes in one region, in which n0 owns every right at first."""

    def __init__(self, seed: int, node_class: type[SimNode]) -> None:
        super().__init__(seed, node_class)
        world = self.world
        world.tick_ratio = 0.25
        world.scripted = True
        world.faults.loss_ratio = 0.0
        world.faults.late_ratio = 0.0
        world.faults.repeat_ratio = 0.0
        self.first: dict[str, SimNode] = {}

    def play(self, script: Callable[[Directed], None], length_s: float = 8.0) -> None:
        """Run a script; raise ViolationError if it breaks an invariant."""
        for index in range(3):
            self.start(f"n{index}", "r0")
        self.world.run(0.4)
        self.first = {node.name: node for node in self.world.nodes.values()}
        self.world.log.append(rec.ClaimRecord(self.node(0).incarnation, EVERY_RIGHT))
        self.world.run(START_S)
        script(self)
        self.world.call_later(0.0, self.check)
        self.world.run(START_S + length_s)

    def check(self) -> None:
        super().check()
        for node in self.world.nodes.values():
            if node.active and node.name not in ("n0", "n1"):
                self.world.append(node, rec.ClaimRecord(node.incarnation, EVERY_RIGHT))

    def append(self, record: rec.Record) -> None:
        self.world.log.append(record)

    def node(self, index: int) -> SimNode:
        return self.first[f"n{index}"]

    def incarnation(self, index: int) -> IncarnationId:
        return self.node(index).incarnation

    def cut_log(self, index: int, *, read: bool = True, append: bool = True) -> None:
        name = f"n{index}"
        if read:
            self.world.faults.read_cut.add(name)
        if append:
            self.world.faults.append_cut.add(name)

    def restore_log_of(self, index: int) -> None:
        self.world.faults.read_cut.discard(f"n{index}")
        self.world.faults.append_cut.discard(f"n{index}")

    def cut(self, source: int, target: int) -> None:
        self.world.faults.links.add((f"n{source}", f"n{target}"))

    def isolate(self, index: int) -> None:
        for other in {0, 1, 2} - {index}:
            self.cut(index, other)
            self.cut(other, index)

    def retire(self, index: int, by: int = 2) -> None:
        record = rec.RetireRecord(self.incarnation(index), self.incarnation(by))
        self.world.log.append(record)

    def end_process(self, index: int) -> None:
        self.world.end_process(self.node(index))


def retired_at_its_pulse(run: Directed) -> None:
    """Retire an owner that just read its heartbeat and can't read the retire record."""
    run.isolate(0)
    run.world.call_later(1.2, run.cut_log, 0)
    run.world.call_later(1.2, run.retire, 0)


def supporter_reads_late(run: Directed) -> None:
    """Let the only lease grantor read the retire record late, after a grant."""
    run.cut_log(0)
    run.cut_log(1)
    run.retire(0)
    run.world.call_later(1.6, run.restore_log_of, 1)


def supporter_dies(run: Directed) -> None:
    """Kill the only lease grantor, which never read the retire record."""
    run.cut_log(0)
    run.cut_log(1)
    run.retire(0)
    run.world.call_later(1.6, run.end_process, 1)


def pulse_read_late(run: Directed) -> None:
    """Let an isolated owner read its own heartbeat late, but no retire record."""
    run.isolate(0)
    run.world.call_later(1.15, run.cut_log, 0)
    run.world.call_later(1.2, _retire_behind_heartbeat, run)


def _retire_behind_heartbeat(run: Directed) -> None:
    run.world.faults.read_limits["n0"] = len(run.world.log.records)
    run.retire(0)
    run.world.call_later(0.95, run.restore_log_of, 0)


def lender_loses_support(run: Directed) -> None:
    """Isolate a lender while its borrower keeps a lease granted by peers."""
    _lend(run)
    run.world.call_later(0.6, run.cut_log, 0)
    for other in (1, 2):
        run.world.call_later(0.6, run.cut, other, 0)
    run.world.call_later(0.6, run.cut, 0, 2)


def lender_dies_with_tasks(run: Directed) -> None:
    """Kill a lender while a borrower without the log runs tasks on its loan."""
    _lend(run)
    run.world.call_later(0.7, run.cut_log, 1)
    run.world.call_later(0.7, _start_long_tasks, run)
    run.world.call_later(0.8, run.end_process, 0)
    run.world.call_later(0.9, run.retire, 0)


def _lend(run: Directed) -> None:
    run.node(1).ask_loan(run.incarnation(0), 3)


def _start_long_tasks(run: Directed) -> None:
    node = run.node(1)
    for _ in range(3):
        node.start_task()
    for task in node.own_tasks:
        task.end_s = run.world.now_s + 10.0


def attested_late(run: Directed) -> None:
    """Delay an attestation sent just before the withdrawal was folded."""
    run.cut_log(0)
    run.cut_log(1)
    run.world.call_later(1.2, run.world.faults.slow_s.__setitem__, ("n2", "n0"), 0.9)
    run.world.call_later(1.5, run.cut, 2, 0)
    run.world.call_later(1.5, run.node(2).withdraw_key)


def joined_twice(run: Directed) -> None:
    """Append a join record again after its incarnation's rights were freed."""
    run.cut_log(0)
    run.retire(0)
    member = run.node(0)
    place = Place(member.region, "r0-d")
    join = rec.JoinRecord(member.incarnation, "n0", "127.0.0.1", 1, place)
    run.world.call_later(4.0, run.append, join)


def clock_stops(run: Directed) -> None:
    """Suspend an owner together with its monotonic clock."""
    run.node(0).clock_stops = True
    run.node(0).freeze(5.0)
    run.cut_log(0)
    run.retire(0)


def two_without_log(run: Directed) -> None:
    """Cut an owner and one lease grantor off from the log."""
    run.cut_log(0)
    run.cut_log(1)
    run.retire(0)


def roster_grows(run: Directed) -> None:
    """Let members join of which the two without the log don't know."""
    run.cut_log(0)
    run.cut_log(1)
    _join_three(run)
    run.world.call_later(0.6, run.retire, 0)


def roster_grows_unread(run: Directed) -> None:
    """Let the owner append heartbeats to the log but not read it."""
    run.cut_log(0, append=False)
    run.cut_log(1)
    _join_three(run)
    run.world.call_later(0.9, run.retire, 0)


def _join_three(run: Directed) -> None:
    for number in range(3):
        run.start(f"j{number}", "r0")


def grant_comes_late(run: Directed) -> None:
    """Delay the replies of a lease grantor that reads the retire record late."""
    run.cut_log(0)
    run.cut_log(1)
    run.world.faults.slow_s["n1", "n0"] = 0.9
    run.retire(0)
    run.world.call_later(1.6, run.restore_log_of, 1)


def withdrawn_by_minority(run: Directed) -> None:
    """Withdraw the key at the only node with the log, isolated from the others."""
    run.cut_log(0)
    run.cut_log(1)
    run.isolate(2)
    run.node(2).withdraw_key()


def teller_dies(run: Directed) -> None:
    """Kill the only node with the log right after it folded a withdrawal."""
    run.cut_log(0)
    run.cut_log(1)
    run.world.call_later(1.5, run.node(2).withdraw_key)
    run.world.call_later(1.8, run.end_process, 2)


def created_again(run: Directed) -> None:
    """Remove a worker and create it again while its owner can't read the log."""
    run.cut_log(0)
    run.cut_log(1)
    for patch in (WorkerPatch("w0", False), WorkerPatch("w0", True)):
        run.world.log.append(patch)


def lowered_and_raised(run: Directed) -> None:
    """Lower the team's limit and raise it while the slots' owner can't read the log."""
    run.cut_log(0)
    run.cut_log(1)
    for limit in (2, LIMIT):
        run.world.log.append(LimitPatch(limit))


def released_twice(run: Directed) -> None:
    """Append a release record again after its owner reclaimed the rights."""
    node = run.node(0)
    record = rec.ReleaseRecord(node.incarnation, EVERY_RIGHT, 1)
    run.append(record)
    run.append(rec.ClaimRecord(node.incarnation, EVERY_RIGHT))
    run.world.call_later(1.5, run.cut_log, 0)
    run.world.call_later(1.6, run.append, record)


SCRIPTS: dict[str, Callable[[Directed], None]] = {
    "two without the log": two_without_log,
    "roster grows": roster_grows,
    "roster grows unread": roster_grows_unread,
    "retired at its pulse": retired_at_its_pulse,
    "grant comes late": grant_comes_late,
    "supporter reads late": supporter_reads_late,
    "supporter dies": supporter_dies,
    "pulse read late": pulse_read_late,
    "lender loses support": lender_loses_support,
    "lender dies with tasks": lender_dies_with_tasks,
    "attested late": attested_late,
    "joined twice": joined_twice,
    "withdrawn by a minority": withdrawn_by_minority,
    "teller dies": teller_dies,
    "worker created again": created_again,
    "limit lowered and raised": lowered_and_raised,
    "released twice": released_twice,
    "clock stops": clock_stops,
}


def play_once(script: str, seed: int, node_class: type[SimNode]) -> str | None:
    """Run a script and return the violation, or None if every invariant held."""
    run = Directed(seed, node_class)
    try:
        run.play(SCRIPTS[script])
    except ViolationError as violation:
        return str(violation)
    return None
