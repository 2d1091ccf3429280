"""Steps about machines whose workers are not listed during a change of leader."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from dataclasses import replace
from typing import Any
from unittest.mock import AsyncMock, patch

from behave import given, then, when

from cicadatrail_core.jobs.models import Machine, MachineState, Wave
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.scheduling.machine_inventory import (
    ORDER_LIMIT_S,
    MachineInventory,
)
from cicadatraild.scheduling.maintenance import WaveRunner
from cicadatraild.scheduling.pool_balance import PoolBalancer
from features.support.balance_world import BalanceWorld
from features.support.crash_world import CrashWorld
from features.support.job_world import SimulatedWorker, definition

JOB = "00000000000000a1"
LONG_S = 1000.0
CHECK_S = 0.1
GAP_S = 3.0


class FakeInventory:
    """The machines of a world's workers, and the upkeeps that were ordered."""

    def __init__(self, world: CrashWorld) -> None:
        self.machines = {
            f"m-{name}": Machine(f"m-{name}", "pool", MachineState.UP, name)
            for name in ("w0", "w1", "w2")
        }
        self.world = world
        self.listed_s = world.now_s
        self.blocked_machines: frozenset[str] = frozenset()
        self.maintained: list[str] = []

    async def refresh(self, age_limit_s: float) -> bool:
        return True

    def is_lease_valid(self) -> bool:
        return True

    def blocked(self) -> frozenset[str]:
        return self.blocked_machines

    def order_due_s(self, name: str) -> float:
        return self.world.now_s + ORDER_LIMIT_S

    async def announce(self, names: list[str]) -> bool:
        return True

    async def maintain(self, name: str, wave: int) -> MachineOutcome:
        self.maintained.append(name)
        return MachineOutcome.DONE


@given("a long-running subtask runs on a worker whose machine a wave names")
def step_runs(context: Any) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = CrashWorld(stack, 3, 8)
    for module in ("maintenance", "pool_balance"):
        stack.enter_context(
            patch(f"cicadatraild.scheduling.{module}.loop_now_s", lambda: world.now_s)
        )
    world.durations_s[JOB] = LONG_S
    for sim in world.sims.values():
        sim.percent = 100
    world.submit(JOB, definition(1, 2, lasting=True, may_miss_count=1))
    world.advance(1.0)
    (context.used,) = [name for name, sim in world.sims.items() if sim.running]
    context.machine = f"m-{context.used}"


def _take_over(context: Any) -> None:
    """Change the leader while the list lacks the used worker."""
    world = context.world
    context.sim = world.sims.pop(context.used)
    world.fail_over(2)
    inventory: Any = FakeInventory(world)
    context.inventory = inventory
    context.wave = Wave(1, (context.machine,), 60.0, 1)
    context.runner = WaveRunner(
        inventory, AsyncMock(), world.scheduler, list, lambda: None
    )


def _advance(context: Any, seconds: float) -> None:
    world = context.world
    until_s = world.now_s + seconds
    while world.now_s < until_s:
        world.advance(CHECK_S)
        asyncio.run(context.runner._advance(context.wave))


@when("a new leader takes over while the entry of that worker has expired")
def step_take_over(context: Any) -> None:
    _take_over(context)


@then("the upkeep of the machine is not ordered while the subtask runs there")
def step_not_ordered(context: Any) -> None:
    _advance(context, 1.0)
    assert context.sim.running
    assert context.inventory.maintained == []


@then("it is ordered once the worker has answered and the subtask was moved")
def step_ordered(context: Any) -> None:
    world = context.world
    world.sims[context.used] = context.sim
    world.scheduler.update_worker(world.facts(context.sim), world.now_s)
    _advance(context, 2.0)
    assert not context.sim.running
    assert context.inventory.maintained == [context.machine]
    assert sum(len(sim.running) for sim in world.sims.values()) == 1


@when("the former leader may have sent an order for the machine")
def step_may_have_sent(context: Any) -> None:
    inventory = context.inventory
    inventory.blocked_machines = frozenset((context.machine,))
    scheduler = context.world.scheduler
    balancer = PoolBalancer(scheduler, inventory, lambda: frozenset(), 20.0)
    balancer.cordon_blocked()


@then("the worker gets no starts when its entry is back")
def step_no_starts(context: Any) -> None:
    world = context.world
    world.sims[context.used] = context.sim
    world.scheduler.update_worker(world.facts(context.sim), world.now_s)
    world.submit("00000000000000a2", definition(12, 2))
    world.advance(0.3)
    assert len(context.sim.running) == 1, context.sim.running
    assert len(world.starts) > 1, world.starts


@when("a new leader takes over after the machine has got a new worker")
def step_new_worker(context: Any) -> None:
    _take_over(context)
    world = context.world
    context.fresh = SimulatedWorker("w9", 8, started_ms=world.now_ms)
    facts = replace(world.facts(context.fresh), machine=context.machine)
    world.scheduler.update_worker(facts, world.now_s)


@then("the new worker counts as the one on the machine")
def step_new_counts(context: Any) -> None:
    scheduler = context.world.scheduler
    assert scheduler.workers[context.used].facts.machine == context.machine
    assert scheduler.worker_on(context.machine) is scheduler.workers["w9"]


@given("a pool with idle machines, of which one had another worker before")
def step_former_worker(context: Any) -> None:
    world = context.balance = BalanceWorld(6, 1, 0)
    # The machine whose idle worker a plan would move first.
    (first, *_) = world.moves()
    context.before = (world.needs(), world.moves())
    worker = world.scheduler.worker_on(first.machine)
    assert worker is not None
    former = WorkerState(replace(worker.facts, worker_id="former", born_unix_ms=0))
    former.is_listed = False
    former.is_cordoned = True
    world.scheduler.workers["former"] = former


@then("pools need the same machines as without that worker, and as many may move")
def step_same_needs(context: Any) -> None:
    world = context.balance
    assert (world.needs(), world.moves()) == context.before


@when("a new leader takes over that finds no record of machines")
def step_no_machines(context: Any) -> None:
    context.world.stored.pop("fleet-machines", None)
    _take_over(context)


@then("it knows the worker, and learns of its machine when its entry is back")
def step_learns(context: Any) -> None:
    world = context.world
    assert world.worker(context.used).facts.machine == ""
    world.scheduler.update_worker(world.facts(context.sim), world.now_s)
    assert world.scheduler.worker_on(context.machine) is world.worker(context.used)


class Clock:
    now_s = 100.0


def _inventory(record: bytes | None = None) -> MachineInventory:
    async def flush() -> None:
        pass

    inventory = MachineInventory(AsyncMock(), lambda: True, GAP_S, flush)
    if record is not None:
        inventory.restore(record)
    return inventory


def _announce(context: Any, name: str) -> None:
    asyncio.run(context.inventory.announce([name]))
    context.record = context.inventory.encode()


@given("a leader has announced an order for a machine")
def step_announced(context: Any) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    clock = context.clock = Clock()
    module = "cicadatraild.scheduling.machine_inventory"
    stack.enter_context(patch(f"{module}.loop_now_s", lambda: clock.now_s))
    context.inventory = _inventory()
    _announce(context, "m-1")


@when("the next leader announces one for another machine, and a third takes over")
def step_next_announces(context: Any) -> None:
    context.clock.now_s += 1.5
    context.inventory = _inventory(context.record)
    context.clock.now_s += 0.5
    _announce(context, "m-2")
    context.clock.now_s += 0.5
    context.inventory = _inventory(context.record)


@then("the third leader sends no orders for either machine in its gap")
def step_either_blocked(context: Any) -> None:
    context.clock.now_s += GAP_S
    assert context.inventory.blocked() == {"m-1", "m-2"}, context.inventory.blocked()
    context.clock.now_s += 1.0
    assert context.inventory.blocked() == set()


@when("the next leader announces one for another machine after its gap")
def step_announces_late(context: Any) -> None:
    context.inventory = _inventory(context.record)
    context.clock.now_s += GAP_S + 1.0
    _announce(context, "m-2")


@then("a third leader sends no orders in its gap for the other machine only")
def step_other_blocked(context: Any) -> None:
    assert _inventory(context.record).blocked() == {"m-2"}


@when("it announces nothing for 5 s and its gap")
def step_announces_nothing(context: Any) -> None:
    assert not context.inventory.drop_old_announcements()
    context.clock.now_s += GAP_S + 5.0
    if context.inventory.drop_old_announcements():
        context.record = context.inventory.encode()


@then(
    "its record is stored anew, and a successor sends orders for all machines at once"
)
def step_none_blocked(context: Any) -> None:
    assert _inventory(context.record).blocked() == set()
    assert not context.inventory.drop_old_announcements()


@when("its successor announces nothing in its gap")
def step_successor_quiet(context: Any) -> None:
    context.inventory = _inventory(context.record)
    assert not context.inventory.drop_old_announcements()
    context.clock.now_s += GAP_S + 1.0
    if context.inventory.drop_old_announcements():
        context.record = context.inventory.encode()
