"""Steps about a burst on full pools."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support.burst_world import BurstWorld, QueueBound
from features.support.overload_world import Outcome

SEEDS = (21, 22, 23)


def _play(term_s: float, bound: QueueBound | None) -> Outcome:
    """Return what the callers of all seeds got."""
    outcomes = []
    for seed in SEEDS:
        world = BurstWorld(seed, term_s, bound)
        world.play_terms()
        outcomes.append(world.outcome())
    names = ("asked", "in_objective", "late", "useless", "refused")
    return Outcome(*(sum(getattr(o, name) for o in outcomes) for name in names))


@given("three bursts and a new leader each {term:d} s")
def step_bursts(context: Any, term: int) -> None:
    context.term_s = float(term)


@when("they are played with admission and with a bound on the queue")
def step_bound(context: Any) -> None:
    context.admission = _play(context.term_s, None)
    context.bound = _play(context.term_s, QueueBound())


@then("at least as many jobs end in time")
def step_as_many(context: Any) -> None:
    admission, bound = context.admission, context.bound
    assert admission.in_objective >= bound.in_objective, (admission, bound)


@then("not more accepted jobs come to nothing")
def step_nothing(context: Any) -> None:
    admission, bound = context.admission, context.bound
    assert admission.useless <= bound.useless, (admission, bound)
