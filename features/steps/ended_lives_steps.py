"""Steps about workers that orders for their machines have ended."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import msgpack
from behave import given, step, then, when

from cicadatrail_core.jobs.models import SubtaskName, WorkerFacts
from cicadatraild.network.client_exchange import Address
from cicadatraild.platform.settings import PlatformSettings
from cicadatraild.platform.store import KeyedRecord, StoreClient
from cicadatraild.platform.workers import ListFailure, OrderOutcome
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.worker_list import WorkerList
from features.support.crash_world import CrashWorld
from features.support.job_world import LEASE_S, START_MS, SimulatedWorker, definition
from features.support.sampled_values import sample

JOB = "00000000000000e1"
ENDED = "w2"
LATER_MS = 5
SHORT_S = 0.1
WAIT_S = 8.0
FLEET_KEY = "fleet"
ENDED_KEY = "ended"
PAUSE_S = 0.05
DAMAGED = b"\xc1"
BIRTHS_MS = {
    "the same life": START_MS,
    "a later life": START_MS + LATER_MS,
    "a life without time of birth": 0,
}


class ListedWorld(CrashWorld):
    """Workers whose entries in the list may differ from what they are."""

    born_unix_ms: int | None = None

    def facts(self, sim: SimulatedWorker, draining: bool = False) -> WorkerFacts:
        facts = super().facts(sim, draining)
        if sim.worker_id != ENDED or self.born_unix_ms is None:
            return facts
        return replace(facts, born_unix_ms=self.born_unix_ms)


@given("3 workers, of which one is removed and still listed, as it was {reason}")
def step_removed(context: Any, reason: str) -> None:
    world = context.world = ListedWorld(context.stack, 3, 16)
    world.scheduler.remove_worker(ENDED, world.now_s, reason)
    world.silent.add(ENDED)
    world.submit(JOB, definition(1, 2))


@step("its entry is of a later life")
def step_later_life(context: Any) -> None:
    context.world.born_unix_ms = context.world.sims[ENDED].started_ms + LATER_MS


@step("its entry gives no time of birth")
def step_no_birth(context: Any) -> None:
    context.world.born_unix_ms = 0


@step("it is known again")
@when("the removed one is known again")
def step_known_again(context: Any) -> None:
    world = context.world
    world.scheduler.update_worker(world.facts(world.sims[ENDED]), world.now_s)
    world.store()


@step("it is known again, and the older record is left over")
def step_left_over(context: Any) -> None:
    world = context.world
    world.scheduler.update_worker(world.facts(world.sims[ENDED]), world.now_s)
    step_stored_first_part(context)


@step("the store has both records")
def step_stored_both(context: Any) -> None:
    context.world.store()


@step("the store has the fleet, but the older ended lives")
def step_stored_first_part(context: Any) -> None:
    """Have only the first part of a split append stored."""
    world = context.world
    older = world.stored.get(ENDED_KEY)
    world.store()
    if older is not None:
        world.stored[ENDED_KEY] = older


@step("the record of ended lives can't be read")
def step_damaged_ended(context: Any) -> None:
    context.world.stored[ENDED_KEY] = DAMAGED


@step("the record of the fleet can't be read")
def step_damaged_fleet(context: Any) -> None:
    context.world.stored[FLEET_KEY] = DAMAGED


@step("nothing happens")
def step_nothing(context: Any) -> None:
    """Leave everything as it is."""


@step("its entry has expired")
def step_entry_expired(context: Any) -> None:
    del context.world.sims[ENDED]


@step("a new leader takes over")
def step_one_takes_over(context: Any) -> None:
    context.world.fail_over(context.world.epoch + 1)
    context.world.store()


@when("{count:d} new leaders take over in turn")
def step_take_over(context: Any, count: int) -> None:
    world = context.world
    first = world.epoch + 1
    for epoch in range(first, first + count):
        world.fail_over(epoch)
        if epoch < first + count - 1:
            # Less than the workers need to answer the leader.
            world.store()
            world.now_s += SHORT_S
    context.taken_over_s = world.now_s
    world.advance(WAIT_S)
    context.started_s = world.start_times_s[SubtaskName(JOB, 0, 0, 0)][0]


@then("a subtask of a stored job starts within 1 s")
def step_starts(context: Any) -> None:
    assert context.started_s - context.taken_over_s < 1.0, context.started_s


@then("no subtask of a stored job starts before the leases are over")
def step_waits(context: Any) -> None:
    assert context.started_s - context.taken_over_s > LEASE_S, context.started_s


@when("another one is moved {seconds:d} seconds later")
def step_another(context: Any, seconds: int) -> None:
    world = context.world
    world.now_s += seconds
    world.scheduler.remove_worker("w1", world.now_s, "moved")
    world.store()


@then("the record has the later one only")
def step_later_only(context: Any) -> None:
    (row,) = msgpack.unpackb(context.world.stored[ENDED_KEY])
    assert row == ["w1", context.world.sims["w1"].started_ms]


@then("the record has both")
def step_both(context: Any) -> None:
    rows = msgpack.unpackb(context.world.stored[ENDED_KEY])
    assert sorted(worker_id for worker_id, _ in rows) == ["w1", ENDED], rows


@then("the record has none")
def step_none(context: Any) -> None:
    assert msgpack.unpackb(context.world.stored[ENDED_KEY]) == []


def _entry(born_unix_ms: int) -> KeyedRecord:
    entry = {
        "service": "pool",
        "address": "127.0.0.1:80",
        "zone": "z1",
        "state": "ready",
        "born": born_unix_ms,
        "capacity": {"cpu": 8000, "mem-mb": 64, "gpu": 0},
    }
    return KeyedRecord(ENDED, json.dumps(entry).encode())


@step("an entry of {life} is read {seconds:g} seconds later")
def step_read(context: Any, life: str, seconds: float) -> None:
    world = context.world
    world.now_s += seconds
    store = StoreClient(Address("10.0.0.1", 9000))
    worker_list = WorkerList(store, world.scheduler)
    with patch("cicadatraild.scheduling.worker_list.loop_now_s", lambda: world.now_s):
        worker_list._update(_entry(BIRTHS_MS[life]))


@step("that leader has it moved again")
def step_moved_again(context: Any) -> None:
    world = context.world
    world.scheduler.remove_worker(ENDED, world.now_s, "moved")
    world.store()


@then("that leader takes the worker for {state}")
def step_state(context: Any, state: str) -> None:
    assert (ENDED in context.world.scheduler.workers) == (state == "known")


class StoppedStore:
    """Answer appends only while the store is there, and note what it holds."""

    def __init__(self) -> None:
        self.is_there = asyncio.Event()
        self.is_there.set()
        self.stored: dict[str, bytes] = {}

    async def append(
        self, topic: str, records: list[KeyedRecord], *, producer: object
    ) -> None:
        await self.is_there.wait()
        self.stored |= {record.key: record.value or b"" for record in records}

    @property
    def worker_ids(self) -> set[str]:
        return {entry[0] for entry in msgpack.unpackb(self.stored[FLEET_KEY])}


async def _know_again(is_successor: bool) -> tuple[list[bool], list[bool]]:
    """Return whether each call found the worker stored, without and with a store."""
    store: Any = StoppedStore()
    office = Leadership(store, "node", "host", lambda epoch: None, lambda reason: None)
    facts = replace(sample(WorkerFacts), worker_id=ENDED)
    calls: list[bool] = []

    async def read_lists(facts: WorkerFacts, *arguments: object) -> ListFailure:
        calls.append(ENDED in store.worker_ids)
        await asyncio.sleep(PAUSE_S)
        return ListFailure(OrderOutcome.UNKNOWN)

    async def begin(epoch: int) -> Leader:
        leader = Leader(sample(PlatformSettings), store, office, epoch, list)
        leader._client.read_lists = read_lists  # type: ignore[assignment, method-assign]
        leader.scheduler.update_worker(facts, loop_now_s())
        stored = [KeyedRecord(key, value) for key, value in store.stored.items()]
        leader._records.restore(stored)
        leader.links.stored_ids = leader._records.stored_worker_ids
        tasks.append(asyncio.create_task(leader.journal.run()))
        return leader

    tasks: list[asyncio.Task[None]] = []
    leader = await begin(3)
    await leader.journal.flush()
    leader.scheduler.remove_worker(ENDED, loop_now_s(), "moved")
    await leader.journal.flush()
    if is_successor:
        leader = await begin(4)
        await leader.journal.flush()
    assert ENDED not in leader.scheduler.workers
    assert ENDED not in store.worker_ids
    store.is_there.clear()
    leader.scheduler.update_worker(facts, loop_now_s())
    leader.links.follow_scheduler()
    await asyncio.sleep(PAUSE_S)
    without = [*calls]
    store.is_there.set()
    await asyncio.sleep(PAUSE_S)
    leader.links.close()
    for task in tasks:
        task.cancel()
    return without, calls


@given("a leader without the store that knows a moved worker again, {which}")
def step_without_store(context: Any, which: str) -> None:
    context.is_successor = which == "whose predecessor had it moved"


@when("the worker's entry has been read")
def step_entry_read(context: Any) -> None:
    context.calls = asyncio.run(_know_again(context.is_successor))


@then("the leader calls the worker only once the store has it again")
def step_calls(context: Any) -> None:
    without, calls = context.calls
    assert not without, without
    assert calls and all(calls), calls
