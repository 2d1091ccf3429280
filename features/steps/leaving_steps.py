"""Steps about workers and entry instances that leave."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import Any

from behave import given, then, when

from cicadatrail_core.models.fleet import Team
from cicadatrail_core.models.loans import LoanRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.network.peer_client import LinkSettings, PeerDirectory
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.slot_loans import Demand, SlotLoans
from features.support import fold_histories as histories

OWNER = IncarnationId("entry-0.0")
PEER = IncarnationId("entry-1.0")


@given("an entry instance that owns two workers")
def step_owns(context: Any) -> None:
    names = ("w1", "w2")
    context.holdings = Holdings(OWNER)
    context.state = State(
        workers={name: histories.make_worker(name) for name in names},
        pool_of=dict.fromkeys(names, "bookings"),
        worker_holders=dict.fromkeys(names, OWNER),
    )
    assert context.holdings.usable(context.state).workers == set(names)


@when("a worker is reported as leaving by {signs}")
def step_leaving(context: Any, signs: str) -> None:
    if "list" in signs:
        context.holdings.listed_leaving = {"w1"}
    if signs == "its own signal":
        context.holdings.leaving_workers.add("w1")
    if signs.endswith("not its own"):
        context.holdings.leaving_workers.discard("w1")


@then("the instance may place tasks on {workers}")
def step_may_place(context: Any, workers: str) -> None:
    found = context.holdings.usable(context.state).workers
    assert found == set(workers.split(" and ")), found


def request_slots(context: Any, wanted_total: int, returned_total: int) -> None:
    """Answer a loan request of the peer at the instance."""
    context.number += 1
    request = LoanRequest(
        PEER, OWNER, "couriers", context.number, wanted_total, returned_total
    )

    async def answer() -> None:
        context.loans.answer(request)

    asyncio.run(answer())


@given("an entry instance that has lent {count:d} slots of a team to a peer")
def step_lent(context: Any, count: int) -> None:
    members = {
        name: Member(name, name, "127.0.0.1", 9000, histories.HOME, 0, 0, 0)
        for name in (OWNER, PEER)
    }
    context.number = 0
    context.loans = SlotLoans(
        OWNER,
        RightsTiming(),
        Holdings(OWNER),
        PeerDirectory(LinkSettings(OWNER, b"", 1, None), lambda *_: None),
        lambda: math.inf,
        dict,
        lambda: Demand({}, {}),
        lambda: None,
    )
    context.state = State(
        teams={"couriers": Team("couriers", 1.0, 10)},
        roster=members,
        slots={"couriers": {OWNER: 10}},
    )
    context.loans.take_state(context.state)
    request_slots(context, count, 0)
    assert context.loans.lent_count() == count


@when("the leaving instance is asked for {count:d} more slots")
def step_ask_leaving(context: Any, count: int) -> None:
    context.loans.leaving = True
    request_slots(context, context.loans.lent_count() + count, 0)


@when("the team is removed and the instance is asked to leave")
def step_remove_team(context: Any) -> None:
    context.loans.leaving = True
    context.loans.take_state(replace(context.state, teams={}))


@when("the peer returns {count:d} slots to the leaving instance")
def step_give_back(context: Any, count: int) -> None:
    request_slots(context, 0, count)


@then("it has lent {count:d} slots and {verdict}")
def step_may_leave(context: Any, count: int, verdict: str) -> None:
    assert context.loans.lent_count() == count, context.loans.lent_count()

    async def is_free_to_leave() -> bool:
        waiting = asyncio.ensure_future(context.loans.all_returned())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        free = waiting.done()
        waiting.cancel()
        return free

    assert asyncio.run(is_free_to_leave()) == (verdict == "may leave")
