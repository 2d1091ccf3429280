"""Steps about the choice of a leader's successor."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given, then, when

from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.messages import CandidateIs, Reply, Request


class _Peers:
    """Peers whose strength their host tells."""

    def __init__(self) -> None:
        self.are_strong_able = True
        self.asked: list[Counter[str]] = []

    async def call(self, host: str, _: Request, __: float) -> Reply:
        self.asked[-1][host] += 1
        is_strong = host.startswith("strong")
        return CandidateIs(self.are_strong_able or not is_strong, is_strong, 1.0)


@given("a leader with {small:d} small peers and {strong:d} strong ones")
def step_peers(context: Any, small: int, strong: int) -> None:
    hosts = [f"small-{n}" for n in range(small)] + [
        f"strong-{n}" for n in range(strong)
    ]
    context.peers = peers = _Peers()
    leadership: Any = None
    client: Any = peers
    candidate = CandidateIs(False, False, 0.0)
    context.entry = Entry(
        leadership, client, "own", (*hosts, "own"), lambda: None, lambda: candidate
    )


@given("no strong one is able to lead")
def step_unable(context: Any) -> None:
    context.peers.are_strong_able = False


@when("it chooses its successor {count:d} times")
def step_choose(context: Any, count: int) -> None:
    context.chosen = []
    for _ in range(count):
        context.peers.asked.append(Counter())
        context.chosen.append(asyncio.run(context.entry.choose_successor()))


@then("it chooses {kind} ones each time, and asks each peer once at most")
def step_chosen(context: Any, kind: str) -> None:
    assert all(host.startswith(kind) for host in context.chosen), context.chosen
    assert all(max(asked.values()) == 1 for asked in context.peers.asked)


@then("it asks {count:d} peers each time")
def step_asked(context: Any, count: int) -> None:
    assert all(len(asked) == count for asked in context.peers.asked)
