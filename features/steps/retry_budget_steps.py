"""Steps about the budget of retries and the delays before them."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import then, when

from cicadatrail_core.admission.retry_budget import RetryBudget, RetrySettings


@when("first attempts and retries arrive at random")
def step_retries(context: Any) -> None:
    context.random = Random(5)
    context.budget = RetryBudget(RetrySettings())


@then("retries never exceed a tenth of the first attempts")
def step_tenth(context: Any) -> None:
    first = retries = 0
    for _ in range(20_000):
        if context.random.random() < 0.5:
            first += 1
            context.budget.count_first_attempt()
        else:
            retries += context.budget.try_acquire()
        assert retries <= first / 10, (retries, first)
    assert retries >= first / 10 - 1, "the retry budget is not used up"


@then("the delays before retries are spread up to the documented limits")
def step_delays(context: Any) -> None:
    limits = {1: 0.05, 2: 0.1, 3: 0.2, 9: 2.0, 1000: 2.0}
    for number, limit_s in limits.items():
        delays = [context.budget.delay_s(number, context.random) for _ in range(1000)]
        assert 0 <= min(delays) < 0.1 * limit_s
        assert 0.9 * limit_s < max(delays) <= limit_s
