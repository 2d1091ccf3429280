"""Steps of http.feature: malformed requests, slow callers and limits."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support import edge_http, edge_http_checks
from features.support.paused_loop import run_paused


@given("an entry instance with a steady caller")
def make_edge(context: Any) -> None:
    context.result = None


@when("an HTTP caller sends a request with {fault}")
def send_fault(context: Any, fault: str) -> None:
    context.result = run_paused(edge_http.send_fault(fault))


@when("HTTP callers {behaviour}")
def run_behaviour(context: Any, behaviour: str) -> None:
    context.result = run_paused(edge_http.run_behaviour(behaviour))


@then('the HTTP response is a {status:d} "not-run" that names {places}')
def check_answer(context: Any, status: int, places: str) -> None:
    answer = context.result.answers[0]
    assert (answer.status, answer.outcome) == (status, "not-run"), answer
    if places != "-":
        found = sorted(finding["place"] for finding in answer.findings)
        assert found == sorted(places.split(", ")), answer
    assert b"Traceback" not in answer.body


@then("the HTTP result is {result}")
def check_result(context: Any, result: str) -> None:
    problem = edge_http_checks.RESULTS[result](context.result)
    assert not problem, (problem, context.result)


@then("the steady caller is still served")
def check_steady(context: Any) -> None:
    steady = context.result.steady
    assert len(steady) >= 2, steady
    assert all(answer.outcome == "complete" for answer in steady), steady
    assert context.result.charged_count == 0, context.result.charged_count
