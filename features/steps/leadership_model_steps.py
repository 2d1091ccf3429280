"""Steps that search the model of elections and of the right to act."""

from __future__ import annotations

from typing import Any

from behave import then, when

from features.support.leadership_scopes import search_scope, walk_for


@when('all orders of events in the scope "{scope}" are tried')
def try_scope(context: Any, scope: str) -> None:
    context.leadership_result = search_scope(scope)


@when('the scope "{scope}" is tried with "{mutant}"')
def try_mutant(context: Any, scope: str, mutant: str) -> None:
    context.leadership_result = search_scope(scope, mutant)


@when("four instances take random walks for {limit_s:g} s from seed {seed:d}")
def take_walks(context: Any, limit_s: float, seed: int) -> None:
    context.leadership_result = walk_for(limit_s, seed)


@then("the search is complete, and no leader acts against another")
def is_complete(context: Any) -> None:
    is_safe(context)
    assert context.leadership_result.is_complete


@then("no leader acts against another")
def is_safe(context: Any) -> None:
    result = context.leadership_result
    assert result.violation is None, (result.violation, result.trace)


@then("a leader acts against another")
def is_violated(context: Any) -> None:
    assert context.leadership_result.violation is not None
