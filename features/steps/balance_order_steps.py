"""Steps about the orders that move machines and their announcement in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from behave import given, step, then, when

from cicadatrail_core.jobs.models import Machine, Step
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.scheduling.machine_inventory import MachineInventory
from cicadatraild.scheduling.pool_balance import PoolBalancer
from features.support.balance_world import CORES, STANDBY, BalanceWorld
from features.support.paused_loop import run_paused
from features.support.platform_cluster import (
    PlatformCluster,
    configuration,
    job,
    run_scenario,
)

IDS = [f"{number:016x}" for number in range(1, 13)]


def _standby_configuration() -> dict[str, Any]:
    services = [{"name": "pool"}, {"name": STANDBY, "standby": True}]
    return configuration(2, services=services)


async def _start_with_standby(cluster: PlatformCluster) -> str:
    """Put all workers after the first two on standby; return the leader's name."""
    for worker in cluster.workers[2:]:
        worker.go_to_standby(STANDBY)
    cluster.store.put_json("keyed.op", "config", _standby_configuration())
    for number in (1, 2):
        cluster.start(f"edge-{number}")
    await cluster.wait_until(cluster.leader)
    leader = cluster.leader()
    assert leader is not None
    await cluster.wait_until(lambda: cluster.instances[leader].is_ready)
    return leader


def _in_use(cluster: PlatformCluster) -> int:
    return sum(worker.pool == "pool" for worker in cluster.workers)


async def _submit_all(cluster: PlatformCluster, leader: str) -> None:
    for job_id in IDS:
        body = job(ms=1500, count=4, cpu=2000)
        status, _ = await cluster.call(leader, "POST", f"/q/{job_id}", body)
        assert status == 200, status


@when("more work is submitted than the pool holds, with machines on standby")
def step_peak(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        context.fleet = cluster.fleet
        leader = await _start_with_standby(cluster)
        await _submit_all(cluster, leader)
        await cluster.wait_until(lambda: _in_use(cluster) == 5)
        for job_id in IDS:
            await cluster.wait_for_state(leader, job_id, "completed", 20)
        context.completed = True
        await cluster.wait_until(lambda: _in_use(cluster) <= 3, 10)
        context.returned = True

    run_scenario(scenario, 5)


@then("machines of the standby pool join and all work is completed")
def step_joined(context: Any) -> None:
    assert context.completed


@then("they return to standby once the work is done")
def step_returned(context: Any) -> None:
    assert context.returned


@when("the machine service carries out a move and its answer is lost")
def step_lost_move(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = await _start_with_standby(cluster)
        assert cluster.machines is not None
        cluster.machines.lost_answers = 2
        await _submit_all(cluster, leader)
        await cluster.wait_until(lambda: _in_use(cluster) == 5, 12)
        for job_id in IDS:
            await cluster.wait_for_state(leader, job_id, "completed", 20)
        context.used = {
            worker_id
            for worker_id in cluster.fleet.worker_starts
            if "moved" in worker_id
        }

    run_scenario(scenario, 5)


@step("the machine is used where a later list shows it")
def step_used(context: Any) -> None:
    assert len(context.used) == 3, context.used


class _StubMachineService:
    """Carry out every move at once."""

    def __init__(self, machines: list[Machine] | None = None) -> None:
        self._machines = machines
        self.orders: list[str] = []

    async def list_machines(self) -> list[Machine] | None:
        return self._machines

    async def move(
        self, machine: str, pool: str, may_send: Callable[[], bool]
    ) -> MachineOutcome:
        if not may_send():
            return MachineOutcome.REFUSED
        self.orders.append(pool)
        return MachineOutcome.DONE


async def _flush_at_once() -> None:
    return None


def _inventory() -> MachineInventory:
    return MachineInventory(_StubMachineService(), lambda: True, 3.0, _flush_at_once)  # type: ignore[arg-type]


@given("a leader that has announced an order for m1")
def step_announced(context: Any) -> None:
    async def announce() -> MachineInventory:
        inventory = _inventory()
        await inventory.announce(["m1"])
        return inventory

    context.announce = announce


@when("a successor takes over with the stored record")
def step_successor(context: Any) -> None:
    async def succeed() -> list[MachineOutcome]:
        record = (await context.announce()).encode()
        inventory = _inventory()
        inventory.restore(record)
        await inventory.announce(["m1", "m2"])
        outcomes = [await inventory.move("m1", "a"), await inventory.move("m2", "a")]
        await asyncio.sleep(3.4)
        await inventory.announce(["m1"])
        return [*outcomes, await inventory.move("m1", "a")]

    context.outcomes = run_paused(succeed())


@then("it may order a move of m2 at once, but none of m1 before the gap is over")
def step_gap(context: Any) -> None:
    refused, done = MachineOutcome.REFUSED, MachineOutcome.DONE
    assert context.outcomes == [refused, done, done], context.outcomes


@then("it may order a move of m1 and none of m2")
def step_announced_only(context: Any) -> None:
    async def order() -> list[MachineOutcome]:
        inventory = await context.announce()
        return [await inventory.move("m1", "a"), await inventory.move("m2", "a")]

    assert run_paused(order()) == [MachineOutcome.DONE, MachineOutcome.REFUSED]


@then("it may no longer order a move of m1 {seconds:d} seconds later")
def step_too_late(context: Any, seconds: int) -> None:
    async def order() -> MachineOutcome:
        inventory = await context.announce()
        await asyncio.sleep(seconds)
        return await inventory.move("m1", "a")

    assert run_paused(order()) is MachineOutcome.REFUSED


@when("an order is announced while the store does not answer")
def step_stalled(context: Any) -> None:
    async def announce() -> tuple[float, MachineOutcome]:
        loop = asyncio.get_running_loop()
        never: asyncio.Future[None] = loop.create_future()

        async def flush() -> None:
            await never

        service = _StubMachineService()
        inventory = MachineInventory(service, lambda: True, 3.0, flush)  # type: ignore[arg-type]
        began_s = loop.time()
        await inventory.announce(["m1"])
        return loop.time() - began_s, await inventory.move("m1", "a")

    context.stalled = run_paused(announce())


@then("the announcement times out after {seconds:d} second, and no move may be ordered")
def step_timed_out(context: Any, seconds: int) -> None:
    took_s, outcome = context.stalled
    assert abs(took_s - seconds) < 0.1, took_s
    assert outcome is MachineOutcome.REFUSED


@when(
    "work for {count:d} machines waits in a, and {rate:d} orders a second are accepted"
)
def step_large_peak(context: Any, count: int, rate: int) -> None:
    world = context.world
    need = Resources(CORES * 1000, 10)
    for _ in range(count // 10):
        world.run(world.submit("a", Step(10, need, 2000)))
    context.ordered = _orders_to_a(world, float(rate))


def _orders_to_a(world: BalanceWorld, orders_per_s: float) -> int:
    """Return the number of machines that are ordered to pool a within a second."""

    async def run_balancer() -> int:
        service = _StubMachineService(list(world.machines.values()))
        inventory = MachineInventory(service, lambda: True, 3.0, _flush_at_once)  # type: ignore[arg-type]
        balance = PoolBalancer(world.scheduler, inventory, frozenset, orders_per_s)
        running = asyncio.create_task(balance.run())
        await asyncio.sleep(1.05)
        running.cancel()
        return service.orders.count("a")

    return run_paused(run_balancer())


@then("{count:d} machines have been ordered to a within 1 second")
def step_ordered(context: Any, count: int) -> None:
    assert context.ordered >= count, context.ordered


@then("at {rate:d} orders a second no more than {most:d} are ordered within 1 second")
def step_rate_kept(context: Any, rate: int, most: int) -> None:
    ordered = _orders_to_a(context.world, float(rate))
    assert 0 < ordered <= most, ordered


@when("both pools are idle and the store stops answering")
def step_idle_stalled(context: Any) -> None:
    world = context.world

    async def run_balancer() -> list[int]:
        loop = asyncio.get_running_loop()
        never: asyncio.Future[None] = loop.create_future()

        async def flush() -> None:
            await never

        service = _StubMachineService(list(world.machines.values()))
        inventory = MachineInventory(service, lambda: True, 3.0, flush)  # type: ignore[arg-type]
        balance = PoolBalancer(world.scheduler, inventory, frozenset, 64.0)
        running = asyncio.create_task(balance.run())
        cordoned = []
        for _ in range(30):
            await asyncio.sleep(0.1)
            workers = world.scheduler.workers.values()
            cordoned.append(sum(worker.is_cordoned for worker in workers))
        running.cancel()
        return cordoned

    context.cordoned = run_paused(run_balancer())


@then("machines are cordoned for {seconds:d} second at most, and then used again")
def step_used_again(context: Any, seconds: int) -> None:
    assert max(context.cordoned) > 0, "no move was planned"
    cordoned_s = sum(count > 0 for count in context.cordoned) * 0.1
    assert cordoned_s <= seconds + 0.2, context.cordoned
    assert context.cordoned[-1] == 0, context.cordoned
