"""Steps about the registry of instances and the confirmation of a leader."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import MagicMock

from behave import given, then, when

from cicadatrail_core.leadership.acting_right import CONFIRMATION_S, LEADERSHIP_LEASE_S
from cicadatraild.platform.store import KeyedRecord, StoreUnavailableError
from cicadatraild.scheduling.leader_record import LeaderRecord, encode_leader
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.membership import Membership
from cicadatraild.scheduling.messages import Refused
from features.support.platform_actions import run_on_cluster, start_instances
from features.support.platform_cluster import PlatformCluster

LEASE_OVER_S = LEADERSHIP_LEASE_S + CONFIRMATION_S + 0.3


@when("the store is down and one of three instances does not confirm the leader")
def step_unconfirmed(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        leader = cluster.instances[await start_instances(cluster, 3)]
        other = next(i for i in cluster.instances.values() if i is not leader)
        confirm = other._entry._confirm_holder
        other._entry._confirm_holder = lambda epoch: Refused("")  # type: ignore[method-assign]
        cluster.store.faults.down = True
        await asyncio.sleep(LEASE_OVER_S)
        running = leader._leader
        assert running is not None
        workers = [*running.scheduler.workers.values()]
        context.may_start = leader.may_start
        context.deadlines = [
            running.links._next_deadline_ms(worker, 0.0) for worker in workers
        ]
        other._entry._confirm_holder = confirm  # type: ignore[method-assign]
        await cluster.wait_until(lambda: leader.may_start, 2.0)

    run_on_cluster(context, scenario)


@then("the leader may neither start subtasks nor renew leases until it does")
def step_no_right(context: Any) -> None:
    assert not context.may_start
    assert context.deadlines == [None] * len(context.deadlines), context.deadlines


@when("the store is down and one of three instances has been killed")
def step_killed(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        name = await start_instances(cluster, 3)
        other = next(n for n in cluster.instances if n != name)
        await cluster.kill(other)
        cluster.store.faults.down = True
        context.seen = []
        for _ in range(20):
            await asyncio.sleep(0.1)
            context.seen.append(cluster.instances[name].may_start)

    run_on_cluster(context, scenario)


@then("the leader may start subtasks all the while")
def step_goes_on(context: Any) -> None:
    assert all(context.seen), context.seen


@when("the store is down and two of three instances have been killed")
def step_two_killed(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        name = await start_instances(cluster, 3)
        for other in [n for n in cluster.instances if n != name]:
            await cluster.kill(other)
        cluster.store.faults.down = True
        await asyncio.sleep(LEASE_OVER_S)
        leader = cluster.instances[name]
        running = leader._leader
        assert running is not None
        context.may_start = leader.may_start
        context.deadlines = [
            running.links._next_deadline_ms(worker, 0.0)
            for worker in running.scheduler.workers.values()
        ]

    run_on_cluster(context, scenario)


@then("the leader may neither start subtasks nor renew leases after its lease")
def step_no_right_alone(context: Any) -> None:
    step_no_right(context)


@when("an instance has started and not read the leader's topic")
def step_unread(context: Any) -> None:
    async def run() -> None:
        store = MagicMock()

        async def read_newest(topic: str) -> tuple[list[KeyedRecord], int]:
            return [encode_leader(LeaderRecord(5, "b", "h2", "p2"))], 5

        store.read_newest = read_newest
        leadership = Leadership(store, "a", "h", lambda epoch: None, lambda why: None)
        context.seen = [leadership.promise(4), leadership.promise(5)]
        await leadership._follow()
        context.seen += [leadership.promise(4), leadership.promise(5)]

    asyncio.run(run())


@then("it confirms no leader, and after reading only the newest")
def step_confirms_newest(context: Any) -> None:
    assert context.seen == [False, False, False, True], context.seen


@when("an instance has claimed leadership and got no answer")
def step_open_claim(context: Any) -> None:
    async def run() -> None:
        store = MagicMock()

        async def read_newest(topic: str) -> tuple[list[KeyedRecord], int]:
            return [], 5

        async def append(*args: Any, **kwargs: Any) -> int:
            raise StoreUnavailableError("no answer", may_have_run=True)

        async def read(*args: Any) -> tuple[list[KeyedRecord], int]:
            return [KeyedRecord("i/another", b"\xc3")], 6

        store.read_newest, store.append, store.read = read_newest, append, read
        leadership = Leadership(store, "a", "h", lambda epoch: None, lambda why: None)
        await leadership._follow()
        await leadership._claim()
        context.seen = [leadership.promise(1)]
        await leadership._follow()
        context.seen.append(leadership.promise(1))

    asyncio.run(run())


@then("it confirms the leader only after the topic has moved on")
def step_confirms(context: Any) -> None:
    assert context.seen == [False, True], context.seen


@given("a leader that knows two instances")
def step_two(context: Any) -> None:
    context.leader = Membership("first")
    context.second = Membership("second")
    context.third = Membership("third")
    _pass_on(context, context.leader.registration())
    _pass_on(context, context.second.registration())
    _renew(context)
    assert "second" in context.second.known_hosts


def _pass_on(context: Any, record: KeyedRecord) -> None:
    for membership in (context.leader, context.second, context.third):
        assert membership.apply(record)


def _renew(context: Any) -> None:
    for record in context.leader.collect_changes(0):
        _pass_on(context, record)


@when("a third registers")
def step_third(context: Any) -> None:
    assert not context.third.is_registered
    _pass_on(context, context.third.registration())


@then("the third is known to the leader with its next renewal, and not before")
def step_known(context: Any) -> None:
    assert context.third.is_registered
    assert "third" not in context.third.known_hosts
    _renew(context)
    assert "third" in context.third.known_hosts
    assert context.leader.hosts == {"first", "second", "third"}
    assert context.leader.collect_changes(0) == []


@when("the leader drops the second one")
def step_drop(context: Any) -> None:
    context.leader.drop("second")
    assert "second" in context.leader.hosts, "it counts until the store has it"
    _renew(context)


@then("the second is no longer registered, and is known only after it has registered")
def step_dropped(context: Any) -> None:
    assert context.leader.hosts == {"first"}
    assert not context.second.is_registered
    assert "second" not in context.second.known_hosts
    _pass_on(context, context.second.registration())
    assert "second" not in context.second.known_hosts
    _renew(context)
    assert "second" in context.second.known_hosts
