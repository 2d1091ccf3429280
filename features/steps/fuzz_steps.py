"""Steps of fuzz.feature."""

from __future__ import annotations

from typing import Any

from behave import then, when

from features.support import fuzz


@when("the fuzzer sends {count:d} inputs from seed {seed:d}")
def feed(context: Any, count: int, seed: int) -> None:
    context.counts = fuzz.run(seed, count)


@then("the fuzzer saw every entry point answer or close")
def check(context: Any) -> None:
    assert set(context.counts) == set(fuzz.ENTRY_POINTS), context.counts
