"""Steps about the lease that a leader's renewals give it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from behave import given, then, when

from cicadatraild.platform.store import StoreUnavailableError
from cicadatraild.scheduling.leader_record import HOLDER_KEY, decode_leader
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.membership import Membership
from features.support.lease_world import LeaseWorld


@given("a leader whose renewal is stored and not answered")
def step_unanswered(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        await world.claim()
        await world.renew()
        assert world.leadership.is_lease_valid()
        world.now_s += 0.3
        world.topic.lost_count = 1
        with suppress(StoreUnavailableError):
            await world.send_renewal()

    context.action = action


@when("the repeat is answered 1.1 s later")
def step_repeat(context: Any) -> None:
    world = context.world
    seen = context.seen = []

    async def action() -> None:
        await context.action()
        world.now_s += 1.1
        await world.renew()
        seen.append(world.leadership.may_start())
        await world.renew()
        seen.append(world.leadership.may_start())

    world.play(action)


@then("the lease is over, and the next renewal makes it valid")
def step_valid_again(context: Any) -> None:
    assert context.seen == [False, True], context.seen


@given("a leader that was suspended while another instance claimed")
def step_suspended(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        await world.claim()
        await world.renew()
        world.now_s += 5.0
        world.claim_of_another(world.leadership.held_epoch + 1)

    context.action = action


@when("its next renewal is acknowledged before it reads the claim")
def step_acknowledged(context: Any) -> None:
    world = context.world
    seen = context.seen = []

    async def action() -> None:
        await context.action()
        await world.send_renewal()
        seen.append(world.leadership.may_start())
        await world.leadership._follow()
        seen.append(world.leadership.held_epoch > 0)

    world.play(action)


@then("the lease is over, and it steps down when it reads the claim")
def step_deposed(context: Any) -> None:
    assert context.seen == [False, False], context.seen


@given("an instance whose claim is stored and not answered")
def step_open_claim(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        world.topic.lost_count = 1
        await world.leadership._claim()
        assert not world.leadership.held_epoch

    context.action = action


@when("it reads the claim 1.2 s later")
def step_read_late(context: Any) -> None:
    world = context.world
    seen = context.seen = []

    async def action() -> None:
        await context.action()
        world.now_s += 1.2
        await world.leadership._follow()
        assert world.leadership.held_epoch
        seen.append(world.leadership.may_start())
        await world.renew()
        seen.append(world.leadership.may_start())

    world.play(action)


@then("it leads without a lease until a renewal was read back")
def step_no_lease(context: Any) -> None:
    assert context.seen == [False, True], context.seen


@given("a claim of epoch 2 and after it a late renewal of epoch 1")
def step_hidden_claim(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def claim_twice() -> None:
        await world.claim()
        first = world.topic.records[-3:]
        world.leadership.step_down("suspended")
        world.fall_silent()
        await world.claim()
        assert world.leadership.held_epoch == 2
        world.topic.records.append(next(r for r in first if r.key == HOLDER_KEY))

    world.play(claim_twice)


@when("an instance reads only the newest records")
def step_read_newest(context: Any) -> None:
    world = context.world

    async def action() -> None:
        leadership = world.leadership
        context.seen = [leadership.promise(1), leadership.promise(2)]
        world.fall_silent()
        await leadership._claim()
        context.seen.append(leadership.held_epoch)

    world.play(action)


@then("it confirms no epoch before 2, and claims epoch 3")
def step_no_reuse(context: Any) -> None:
    assert context.seen == [False, True, 3], context.seen


@when("it reads the claim after another instance has claimed the same epoch")
def step_same_epoch(context: Any) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        world.claim_of_another(1)
        await world.leadership._follow()
        context.held_epoch = world.leadership.held_epoch

    world.play(action)


@then("it does not lead")
def step_no_leader(context: Any) -> None:
    assert context.held_epoch == 0, context.held_epoch


@given("an instance that suspects the leader, and whose history was dropped")
def step_dropped(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        world.claim_of_another(1)
        await world.leadership._follow()
        world.leadership.suspect(1)
        world.now_s += 5.0
        world.claim_of_another(2)
        world.topic.first_offset = len(world.topic.records)

    context.action = action


@when("it follows the topic")
def step_follow(context: Any) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await world.leadership.run()

    world.play(action)


@then("it has read the whole topic, and no claim lacks the end of the topic")
def step_read_whole(context: Any) -> None:
    world = context.world
    assert world.leadership.current.epoch >= 2, world.leadership.current
    assert None not in world.topic.claim_ends, world.topic.claim_ends


@given("a leader that acted without the store for 5 s and stepped down")
def step_acted(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        await world.claim()
        await world.renew()
        world.now_s += 5.0
        confirmed = ConfirmationRound(1, world.now_s, {}, False)
        world.leadership.apply_round(confirmed)
        assert world.leadership.may_start()
        context.ended_s = world.now_s
        world.leadership.step_down("a link failed")

    context.action = action


@when("it is elected again")
def step_elected_again(context: Any) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        world.now_s += 1.5
        world.fall_silent()
        await world.leadership._claim()
        assert world.leadership.held_epoch == 2

    world.play(action)


@then("it counts its former right as over from when it stepped down, not before")
def step_own_end(context: Any) -> None:
    until_s = context.world.leadership.right.former.until_s
    assert until_s >= context.ended_s, (until_s, context.ended_s)


@given("an instance that suspects the leader, whose record it has just read")
def step_suspects(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        world.claim_of_another(1)
        await world.leadership._follow()
        world.leadership.suspect(1)

    context.action = action


@when("{first:g} s and then {second:g} s have passed")
def step_passed(context: Any, first: float, second: float) -> None:
    world = context.world
    seen = context.seen = []

    async def action() -> None:
        await context.action()
        for passed_s in (first, second):
            world.leadership._seen_s -= passed_s
            seen.append(world.leadership._may_claim())

    world.play(action)


@then("it may claim only after the second time")
def step_claims_second(context: Any) -> None:
    assert context.seen == [False, True], context.seen


@given("a leader that drops an instance and steps down before its next renewal")
def step_drops(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        world.topic.records.append(Membership("h2").registration())
        await world.leadership._follow()
        await world.claim()
        await world.renew()
        world.leadership.members.drop("h2")
        world.leadership.step_down("a newer leader")

    context.action = action


@when("it is elected again and renews")
def step_elected_and_renews(context: Any) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        world.fall_silent()
        await world.claim()
        await world.renew()

    world.play(action)


@then("the instance is still registered, and known to the leader")
def step_still_registered(context: Any) -> None:
    members = context.world.leadership.members
    assert "h2" in members.hosts, members.hosts
    assert "h2" in members.known_hosts, members.known_hosts


@given("a leader whose reads of the topic fail")
def step_reads_fail(context: Any) -> None:
    world = context.world = LeaseWorld()

    async def action() -> None:
        await world.claim()
        await world.renew()

    context.action = action


@when("it has renewed for {seconds:d} s")
def step_renewed_on(context: Any, seconds: int) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        for _ in range(seconds * 2):
            world.now_s += 0.5
            await world.send_renewal()
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await world.leadership.renewals._renew(world.record())

    world.play(action)


@then("it has stepped down")
def step_stepped_down(context: Any) -> None:
    assert context.world.leadership.held_epoch == 0
    assert context.world.reasons == ["renewals can't be read back"]


@when("it releases its leadership")
def step_release(context: Any) -> None:
    world = context.world

    async def action() -> None:
        await context.action()
        await world.leadership.release("")

    world.play(action)


@then("the newest record of the leader is released")
def step_released(context: Any) -> None:
    stored = context.world.topic.records
    records = [decode_leader(r) for r in stored if r.key == HOLDER_KEY]
    leaders = [leader for leader in records if leader is not None]
    assert leaders[-1].released, leaders[-1]
