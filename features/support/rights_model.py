"""Random-walk model of rights that runs the production code under faults.

Run ``python -m features.support.rights_model --runs 20000 --seed 1``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter

from cicadatrail_core.models import records as rec
from cicadatrail_core.rights.timing import RightsTiming
from features.support.rights_actions import EVERY_RIGHT
from features.support.rights_checks import check_world
from features.support.rights_node import SimNode
from features.support.rights_world import DRIFT, Faults, ViolationError, World

RUN_S = 12.0
SETTLE_S = 24.0
CHECK_S = 0.06


class Run:
    """One run of the model, determined by its seed."""

    def __init__(self, seed: int, node_class: type[SimNode] = SimNode) -> None:
        self.rng = random.Random(seed)
        self.node_class = node_class
        timing = RightsTiming(
            support_s=1.0,
            task_lease_s=self.rng.choice((0.05, 0.05, 1.0)),
            list_lag_s=self.rng.choice((0.5, 2.0)),
            drift_ratio=DRIFT,
        )
        self.world = World(self.rng, timing)
        self.start_counts: Counter[str] = Counter()
        self.fault_rate = self.rng.choice((0.2, 0.8, 1.6))

    def walk(self) -> Counter[str]:
        """Run the random walk and return its event counts.

        Raise ViolationError if an invariant is broken.
        """
        world = self.world
        for index in range(self.rng.choice((2, 3, 3, 3, 4, 5))):
            two_regions = index >= 3 and self.rng.random() < 0.5
            self.start(f"n{index}", "r1" if two_regions else "r0")
        world.run(0.3)
        for node in world.nodes.values():
            rights = tuple(self.rng.sample(EVERY_RIGHT, 4))
            world.log.append(rec.ClaimRecord(node.incarnation, rights))
        world.call_later(self.rng.uniform(0.3, 1.0), self.inject_fault)
        world.call_later(0.1, self.check)
        if self.rng.random() < 0.7:
            world.call_later(self.rng.uniform(0.7, 2.0), self.cut_off_nodes)
        world.call_later(self.rng.uniform(1.0, 8.0), self.withdraw)
        world.run(RUN_S)
        world.event_counts["rights freed"] += sum(
            isinstance(record, rec.FreeRecord) for record in world.log.records
        )
        return world.event_counts

    def settle(self) -> None:
        """End all faults and check that all dead members are removed.

        Rights of a dead member that stays in the membership are quarantined
        forever. Raise ViolationError in that case.
        """
        world = self.world
        self.world.faults_ended = True
        world.log.down = False
        world.faults = Faults()
        world.run(RUN_S + SETTLE_S)
        roster = world.log.states[-1].roster
        remaining = [
            member.incarnation
            for member in roster.values()
            if member.listed and not world.nodes[member.incarnation].alive
        ]
        alive = any(node.alive for node in world.nodes.values())
        if remaining and alive:
            raise ViolationError(f"dead members not removed: {sorted(remaining)}")

    def start(self, name: str, region: str) -> None:
        self.start_counts[name] += 1
        node = self.node_class(self.world, name, region, self.start_counts[name])
        self.world.nodes[node.incarnation] = node
        self.world.record_running_instances()
        node.join()
        self.world.call_later(0.05, node.tick)

    def check(self) -> None:
        check_world(self.world)
        self.world.call_later(CHECK_S, self.check)

    def withdraw(self) -> None:
        """Withdraw the key at a node that can reach the log, if there is any."""
        faults = self.world.faults
        for node in self.world.nodes.values():
            if node.active and node.name not in faults.append_cut:
                node.withdraw_key()
                return

    def inject_fault(self) -> None:
        """Inject a random fault and schedule the next one."""
        rng, world = self.rng, self.world
        if self.world.faults_ended:
            return
        alive = [node for node in world.nodes.values() if node.alive]
        self.world.call_later(rng.expovariate(self.fault_rate), self.inject_fault)
        if not alive:
            return
        length_s = rng.choice((0.3, 1.0, 2.0, 4.0)) * rng.uniform(0.5, 1.5)
        node = rng.choice(alive)
        match rng.randrange(12):
            case 0:
                node.freeze(length_s)
            case 1 | 2:
                self.cut_links(node, length_s)
            case 3:
                self.add_temporarily(world.faults.append_cut, node.name, length_s)
            case 4:
                self.add_temporarily(world.faults.read_cut, node.name, length_s)
            case 5:
                self.add_temporarily(world.faults.append_cut, node.name, length_s)
                self.add_temporarily(world.faults.read_cut, node.name, length_s)
            case 6:
                self.add_temporarily(world.faults.stale, node.name, length_s)
            case 7:
                world.log.down = True
                world.call_later(length_s, self.restore_log)
            case 8:
                self.kill(node)
            case 9:
                self.add_temporarily(
                    world.faults.links, self.random_link(alive), length_s
                )

    def cut_off_nodes(self) -> None:
        """Cut some nodes off from the log for long and let others join.

        This is the hardest case for the rule: nodes that are cut off may grant
        each other leases while the rest retires them, and memberships differ.
        """
        rng, world = self.rng, self.world
        names = sorted({n.name for n in world.nodes.values() if n.alive})
        if not names:
            return
        cut_off = rng.sample(names, rng.randint(1, len(names)))
        length_s = rng.uniform(3.0, 8.0)
        apart = rng.random() < 0.5
        kinds = rng.choice(("both", "both", "read", "append"))
        for name in cut_off:
            if kinds != "append":
                self.add_temporarily(world.faults.read_cut, name, length_s)
            if kinds != "read":
                self.add_temporarily(world.faults.append_cut, name, length_s)
            for other in sorted(set(names) - set(cut_off)) if apart else ():
                self.add_temporarily(world.faults.links, (name, other), length_s)
                self.add_temporarily(world.faults.links, (other, name), length_s)
        for number in range(rng.choice((0, 0, 1, 2, 3))):
            world.call_later(rng.uniform(0, 2.0), self.start, f"j{number}", "r0")
        victim = world.nodes[rng.choice(sorted(world.nodes))]
        if rng.random() < 0.5:
            world.call_later(rng.uniform(0, 4.0), self.kill, victim)

    def random_link(self, alive: list[SimNode]) -> tuple[str, str]:
        return self.rng.choice(alive).name, self.rng.choice(alive).name

    def cut_links(self, node: SimNode, length_s: float) -> None:
        """Cut the links from a node to some others, usually in both directions."""
        both = self.rng.random() < 0.7
        for other in sorted({n.name for n in self.world.nodes.values()}):
            if self.rng.random() < 0.3:
                continue
            self.add_temporarily(self.world.faults.links, (node.name, other), length_s)
            if both:
                self.add_temporarily(
                    self.world.faults.links, (other, node.name), length_s
                )

    def cut_log_but_for(self, node: SimNode, length_s: float) -> None:
        faults = self.world.faults
        for other in sorted({n.name for n in self.world.nodes.values()} - {node.name}):
            self.add_temporarily(faults.append_cut, other, length_s)
            self.add_temporarily(faults.read_cut, other, length_s)

    def add_temporarily(self, faults: set, fault: object, length_s: float) -> None:
        faults.add(fault)
        self.world.call_later(length_s, faults.discard, fault)

    def restore_log(self) -> None:
        self.world.log.down = False

    def kill(self, node: SimNode) -> None:
        if not node.alive:
            return
        node.machine_lost = self.rng.random() < 0.4
        self.world.end_process(node)
        self.replace(node)

    def replace(self, node: SimNode) -> None:
        """Start a new instance after a delay, possibly with the same instance id."""
        delay_s = self.rng.choice((0.05, 0.5, 2.0))
        name = node.name if self.rng.random() < 0.5 else f"x{len(self.world.nodes)}"
        self.world.call_later(delay_s, self.start, name, node.region)


def walk(
    seed: int, runs: int, node_class: type[SimNode] = SimNode
) -> tuple[Counter[str], list[tuple[int, str]]]:
    """Run the model with ``runs`` seeds from ``seed`` on.

    Return the event counts and, for each violation, the seed and the message.
    """
    seen: Counter[str] = Counter()
    broken: list[tuple[int, str]] = []
    for number in range(seed, seed + runs):
        try:
            seen += Run(number, node_class).walk()
        except ViolationError as violation:
            broken.append((number, str(violation)))
    return seen, broken


def run_once(seed: int, node_class: type[SimNode]) -> str | None:
    """Return the violation of one random walk, or None."""
    try:
        Run(seed, node_class).walk()
    except ViolationError as violation:
        return str(violation)
    return None


def settle_once(seed: int, node_class: type[SimNode]) -> str | None:
    """Return the violation of one random walk and of its settling, or None."""
    run = Run(seed, node_class)
    try:
        run.walk()
        run.settle()
    except ViolationError as violation:
        return str(violation)
    return None


def main() -> int:
    """Run the model and return the exit code: 1 if an invariant was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started_s = time.monotonic()
    seen, broken = walk(options.seed, options.runs)
    took_s = time.monotonic() - started_s
    print(f"runs {options.runs}, seeds from {options.seed}, {took_s:.0f} s")
    for name, count in sorted(seen.items()):
        print(f"  {name}: {count}")
    for seed, message in broken[:20]:
        print(f"  seed {seed}: {message}")
    print(f"{len(broken)} runs broke an invariant")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
