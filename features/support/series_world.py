"""A fleet whose leaders are stopped one after the other, each handing over to the next.

Built on ``CrashWorld``, with the product's ``Leadership`` of several instances on one
topic. The store answers at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any
from unittest.mock import AsyncMock, patch

from cicadatraild.scheduling.former_leases import FormerLeases
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.leader_records import LeaderRecords
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import SILENCE_LIMIT_S, Leadership
from cicadatraild.scheduling.machine_inventory import MachineInventory
from cicadatraild.scheduling.pool_balance import PoolBalancer
from cicadatraild.scheduling.renewals import RENEWAL_S
from features.support.crash_world import SAME_ID, CrashWorld
from features.support.leadership_topic import Store

# ruff: noqa: SLF001

ORDER_GAP_S = 3.0

CLOCKS = {
    "leadership": ("boot_now_s", "loop_now_s"),
    "leader_right": ("boot_now_s", "loop_now_s"),
    "renewals": ("loop_now_s",),
    "machine_inventory": ("loop_now_s",),
    "pool_balance": ("loop_now_s",),
}


class SeriesWorld(CrashWorld):
    """Instances of which one leads; all of them follow the leader's topic."""

    def __init__(self, stack: ExitStack, instance_count: int, workers: int) -> None:
        for module, names in CLOCKS.items():
            for name in names:
                target = f"cicadatraild.scheduling.{module}.{name}"
                stack.enter_context(patch(target, lambda: self.now_s))
        self.now_s = 100.0
        self.loop = asyncio.new_event_loop()
        stack.callback(self.loop.close)
        self.topic = Store()
        self.are_fresh = False
        self.instances = [self.new_instance(k) for k in range(instance_count)]
        self.leading = self.instances[0]
        self.renewed_s = 0.0
        for instance in self.instances:
            self.call(instance._follow())
            self.call(instance._register())
        self.follow()
        self.claim(self.leading)
        super().__init__(stack, workers, 8, SAME_ID, down_s=1e6)

    def new_instance(self, position: int) -> Leadership:
        store: Any = self.topic
        node, host = f"n{position}", f"h{position}"
        return Leadership(store, node, host, lambda _epoch: None, lambda _why: None)

    def call(self, step: Coroutine[Any, Any, Any]) -> None:
        self.loop.run_until_complete(step)

    def claim(self, instance: Leadership) -> None:
        """Let an instance claim; ``renew`` stands for its renewals."""
        self.call(instance._claim())
        instance.renewals.stop()
        self.call(asyncio.sleep(0))

    def follow(self) -> None:
        for instance in self.instances:
            self.call(instance._follow())

    def new_records(self) -> LeaderRecords:
        self.scheduler.is_lease_valid = self.leading.is_lease_valid
        self.former_leases = FormerLeases(self.scheduler, self.leading.right)
        records = LeaderRecords(self.scheduler, self.former_leases)
        self.inventory = MachineInventory(
            AsyncMock(), lambda: True, ORDER_GAP_S, self.flush
        )
        self.balancer = PoolBalancer(self.scheduler, self.inventory, frozenset, 20.0)
        waves: Any = SimpleNamespace(encode=list)
        records.attach(self.inventory, waves)
        return records

    async def flush(self) -> None:
        self.store()

    def announce(self, worker_id: str) -> None:
        """Store that a worker's machine may get an order, which is never sent."""
        self.call(self.inventory.announce([f"m-{worker_id}"]))

    def renew(self) -> None:
        leading = self.leading
        epoch = leading.held_epoch
        record = LeaderRecord(epoch, leading._node, leading._host, leading._process_id)
        self.call(leading.renewals.append(record))
        self.renewed_s = self.now_s
        self.follow()

    def advance_step(self) -> None:
        if self.now_s - self.renewed_s >= RENEWAL_S:
            self.renew()
        super().advance_step()
        self.balancer._uncordon(self.now_s)

    def hand_over(self) -> None:
        """Stop the leader, which names the next instance; the latter takes over.

        With ``are_fresh`` the next instance has been restarted just before.
        """
        position = (self.instances.index(self.leading) + 1) % len(self.instances)
        if self.are_fresh:
            self.instances[position] = self.new_instance(position)
            self.follow()
        successor = self.instances[position]
        self.store()
        self.call(self.leading.release(successor._host))
        self.leading.claims_disabled = False
        self.follow()
        self.claim(successor)
        self.begin_term(successor)

    def replace_killed(self) -> None:
        """Kill the leader; the next instance takes over, and the others promise it."""
        position = self.instances.index(self.leading)
        self.instances[position] = self.new_instance(position)
        self.follow()
        successor = self.instances[(position + 1) % len(self.instances)]
        self.now_s += SILENCE_LIMIT_S + 0.1
        self.claim(successor)
        confirmed_s = {i._host: self.now_s for i in self.instances if i != successor}
        self.begin_term(successor)
        successor.apply_round(
            ConfirmationRound(successor.held_epoch, self.now_s, confirmed_s, False)
        )

    def begin_term(self, successor: Leadership) -> None:
        assert successor.held_epoch > 0
        self.leading = successor
        self.fail_over(successor.held_epoch)
        self.balancer.cordon_blocked()
        self.renew()
