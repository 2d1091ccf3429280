"""Steps of measures.feature."""

from __future__ import annotations

from typing import Any

from behave import then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st

from features.support.measures import VERSIONS, measure
from features.support.measures_deployments import DEPLOYMENTS
from features.support.measures_load import due_slots

WEIGHTS = {"a": 4.0, "b": 2.0, "c": 1.0, "d": 0.5}


@when("slots are divided among random teams for the measures")
def step_divide(context: Any) -> None:
    context.divisions = []
    wanted = st.fixed_dictionaries({team: st.integers(0, 30) for team in WEIGHTS})

    @given_examples(wanted, st.integers(0, 60))
    def divide(wants: dict[str, int], slots: int) -> None:
        context.divisions.append((wants, slots, due_slots(wants, WEIGHTS, slots)))

    divide()


@then("no team is due more than it wants and no slot is unused while one is wanted")
def step_whole(context: Any) -> None:
    assert len(context.divisions) > 20
    for wants, slots, due in context.divisions:
        assert all(due[team] <= wants[team] + 1e-6 for team in wants)
        assert abs(sum(due.values()) - min(slots, sum(wants.values()))) < 1e-6


@then("a team that is due less than it wants is due no less by weight than others")
def step_by_weight(context: Any) -> None:
    for wants, _, due in context.divisions:
        levels = {team: due[team] / WEIGHTS[team] for team in wants}
        for team in wants:
            if due[team] < wants[team] - 1e-6:
                assert levels[team] >= max(levels.values()) - 1e-6, due


@when("the balloon association is measured twice with seed {seed:d}")
def step_measure_twice(context: Any, seed: int) -> None:
    deployment = DEPLOYMENTS["the balloon association"]
    context.ours = [measure(deployment, VERSIONS[0], seed) for _ in range(2)]
    static = next(v for v in VERSIONS if v.name == "static split")
    context.static = measure(deployment, static, seed)


@then("both measures are equal and no budget was breached")
def step_measures_equal(context: Any) -> None:
    first, second = context.ours
    assert first == second
    assert first.breach_count == 0


@then("a static split misses more of the shares than this version")
def step_static_worse(context: Any) -> None:
    assert context.static.share_missed > context.ours[0].share_missed
