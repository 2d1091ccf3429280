"""Steps of request_outcomes.feature: one request under one fault."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.support import edge_copies, edge_outcomes
from features.support.paused_loop import run_paused


@given("an entry instance whose only worker {fault}")
def only_worker(context: Any, fault: str) -> None:
    context.plan = edge_outcomes.FaultPlan(worker_faults=(fault,))


@given("an entry instance whose first worker {fault} and whose second is healthy")
def first_worker(context: Any, fault: str) -> None:
    context.plan = edge_outcomes.FaultPlan(worker_faults=(fault, "is well"))


@given("an entry instance without workers and a peer that {fault}")
def faulty_peer(context: Any, fault: str) -> None:
    context.plan = edge_outcomes.FaultPlan(peer_fault=fault)


@given("2 entry instances with one healthy worker each")
def well_instances(context: Any) -> None:
    context.plan = edge_outcomes.FaultPlan(instance_count=2)


@when("a caller sends a {kind} request")
def send_request(context: Any, kind: str) -> None:
    context.result = run_paused(edge_outcomes.send(context.plan, kind))


@when("a caller disconnects while its request {step}")
def disconnect_at(context: Any, step: str) -> None:
    context.result = run_paused(edge_outcomes.disconnect_at(context.plan, step))


@when("copies of a once request arrive {copies}")
def send_copies(context: Any, copies: str) -> None:
    context.result = run_paused(edge_copies.send_copies(context.plan, copies))


@when("callers send {count:d} repeatable requests")
def send_many(context: Any, count: int) -> None:
    context.result = run_paused(edge_outcomes.send_many(context.plan, count))


@then("the workers ran {least:d} to {most:d} requests")
def check_load(context: Any, least: int, most: int) -> None:
    total = sum(context.result.executions.values())
    assert least < total <= most, total


@when("a request waits 1 s for capacity while a peer is frozen")
def wait_beside_frozen(context: Any) -> None:
    context.result = run_paused(edge_outcomes.wait_beside_frozen(context.plan))


@when("a request arrives while no instance may use its rights")
def send_without_rights(context: Any) -> None:
    context.result = run_paused(edge_outcomes.send_without_rights(context.plan))


@when(
    "the body of a request ends while its instance may not use its rights for"
    " {without_s:g} s"
)
def end_body_without_rights(context: Any, without_s: float) -> None:
    context.result = run_paused(
        edge_outcomes.end_body_without_rights(context.plan, without_s)
    )


@then("the task started only once its instance might use its rights")
def check_not_started(context: Any) -> None:
    assert context.result.started_without_rights == 0


@when(
    "a task runs for {run_s:g} s and its instance may use its rights for {spend_s:g} s"
)
def run_leased(context: Any, run_s: float, spend_s: float) -> None:
    context.result = run_paused(edge_outcomes.run_leased(context.plan, run_s, spend_s))


@then("the request's outcome is {outcome} because of {reason}")
def check_outcome(context: Any, outcome: str, reason: str) -> None:
    answer = context.result.answers[0][1]
    found = (answer.outcome, answer.reason or "-")
    assert found == (outcome, reason), (found, answer)


@then("the requests' outcomes are {outcomes}")
def check_outcomes(context: Any, outcomes: str) -> None:
    found = [answer.outcome for _, answer in context.result.answers]
    assert found == outcomes.split(), context.result.answers


@then("the capacity is released at once")
def check_free_at_once(context: Any) -> None:
    assert context.result.freed_s <= 0.01, context.result.freed_s


@then("the capacity is released within {limit_s:g} s")
def check_free(context: Any, limit_s: float) -> None:
    assert context.result.freed_s <= limit_s, context.result.freed_s


@then("the task's lease was renewed {count:d} times and the task {end}")
def check_renewals(context: Any, count: int, end: str) -> None:
    assert context.result.renewal_count == count, context.result.renewal_count
    answer = context.result.answers[0][1]
    expected = "complete" if end == "completed" else "unknown"
    assert answer.outcome == expected, answer
    assert context.result.expired_lease_count == (end != "completed")


@then("the workers' ledger agrees and nothing remains charged")
def check_ledger(context: Any) -> None:
    assert not context.result.problems(), context.result.problems()
