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
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leadership import Leadership
from features.support.crash_world import CrashWorld
from features.support.job_world import LEASE_S, SimulatedWorker, definition
from features.support.outer_names import sample

JOB = "00000000000000e1"
ENDED = "w2"
LATER_MS = 5
SHORT_S = 0.1
WAIT_S = 8.0
FLEET_KEY = "fleet"
ENDED_KEY = "ended"
DAMAGED = b"\xc1"
BIRTHS_MS = {
    "the same life": 100,
    "a later life": 105,
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
def step_known_again(context: Any) -> None:
    world = context.world
    world.scheduler.update_worker(world.facts(world.sims[ENDED]), world.now_s)
    world.store()


@step("it is known again, and the older record is left over")
def step_left_over(context: Any) -> None:
    """Have only the first part of a split append stored."""
    world = context.world
    older = world.stored.get(ENDED_KEY)
    step_known_again(context)
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


@when("{count:d} new leaders take over in turn")
def step_take_over(context: Any, count: int) -> None:
    world = context.world
    for epoch in range(2, 2 + count):
        world.fail_over(epoch)
        if epoch <= count:
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


async def _read_after_move(born_unix_ms: int, seconds: float) -> bool:
    """Return whether a leader knows a moved worker after reading an entry of it."""
    store = StoreClient(Address("10.0.0.1", 9000))
    office = Leadership(store, "node", "host", lambda epoch: None, lambda reason: None)
    leader = Leader(sample(PlatformSettings), store, office, 3, list)
    now_s = 100.0
    with patch("cicadatraild.scheduling.leader.loop_now_s", lambda: now_s):
        leader._update_worker(_entry(BIRTHS_MS["the same life"]))
        leader.scheduler.remove_worker(ENDED, now_s, "moved")
        now_s += seconds
        leader._update_worker(_entry(born_unix_ms))
    return ENDED in leader.scheduler.workers


@given("a leader whose only worker is moved")
def step_leader(context: Any) -> None:
    """Have the leader made with its event loop, in the next step."""


@when("an entry of {life} is read {seconds:g} seconds later")
def step_read(context: Any, life: str, seconds: float) -> None:
    context.is_known = asyncio.run(_read_after_move(BIRTHS_MS[life], seconds))


@then("that leader takes the worker for {state}")
def step_state(context: Any, state: str) -> None:
    assert context.is_known == (state == "known")
