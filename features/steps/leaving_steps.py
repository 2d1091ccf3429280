from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatraild.sharing.holdings import Holdings
from features.support import fold_histories as histories

HOLDER = IncarnationId("entry-0.0")


@given("an entry instance that holds two workers")
def step_holds(context: Any) -> None:
    names = ("w1", "w2")
    context.holdings = Holdings(HOLDER)
    context.state = State(
        workers={name: histories.a_worker(name) for name in names},
        pool_of=dict.fromkeys(names, "bookings"),
        worker_holders=dict.fromkeys(names, HOLDER),
    )
    assert context.holdings.spendable(context.state).workers == set(names)


@when("the worker is leaving by {signs}")
def step_leaving(context: Any, signs: str) -> None:
    if "list" in signs:
        context.holdings.listed_leaving = {"w1"}
    if signs == "its own signal":
        context.holdings.leaving_workers.add("w1")
    if signs.endswith("not its own"):
        context.holdings.leaving_workers.discard("w1")


@then("the instance may place on {workers}")
def step_may_place(context: Any, workers: str) -> None:
    found = context.holdings.spendable(context.state).workers
    assert found == set(workers.split(" and ")), found
