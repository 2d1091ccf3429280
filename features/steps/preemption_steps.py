"""Steps about preemption, driven on a dispatcher with a virtual clock."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.admission.preemption import PreemptionStep
from cicadatrail_core.models.fleet import DrainPolicy, Urgency
from cicadatrail_core.placement.dispatcher import TaskEnd
from features.support.admission_fleet import request
from features.support.admission_load import SMALL, ClosedLoop, make_loop


@given("a worker full of {policy} tasks that are {kind} and repeatable is {repeatable}")
def step_full_worker(context: Any, policy: str, kind: str, repeatable: str) -> None:
    loop = make_loop(1, [1.0, 1.0], policy=DrainPolicy(policy))
    loop.run_s = lambda request: 1e6
    for number in range(8):
        one = request(
            f"tenant-{number}",
            size=SMALL,
            urgency=Urgency(kind),
            repeatable=repeatable == "yes",
        )
        assert loop.submit(one)
    context.loop = loop


def run_preemption(
    loop: ClosedLoop, until_s: float, ends: bool
) -> dict[str, list[str]]:
    steps: dict[str, list[str]] = {}
    while loop.now_s < until_s:
        loop.run_until(loop.now_s + 0.1, lambda placed: None)
        for order in loop.dispatcher.next_preemptions(loop.now_s):
            steps.setdefault(order.request_id, []).append(order.step.value)
            if ends and order.step is PreemptionStep.STOP:
                loop.end(order.request_id, TaskEnd.CANCELLED, lambda placed: None)
    return steps


@when("an urgent request waits and preemption runs for {span:f} s")
def step_follow(context: Any, span: float) -> None:
    urgent = request("urgent", team=1, size=SMALL, urgency=Urgency.URGENT)
    context.loop.submit(urgent)
    context.steps = run_preemption(context.loop, span, ends=False)


@then("the preemption steps for a task are {steps}")
def step_steps(context: Any, steps: str) -> None:
    wanted = [] if steps == "none" else [steps.split(",")]
    assert list(context.steps.values()) == wanted, context.steps


@when("an urgent request waits and is cancelled once a task is throttled")
def step_cancel_claim(context: Any) -> None:
    loop = context.loop
    loop.submit(request("urgent", team=1, size=SMALL, urgency=Urgency.URGENT))
    context.steps = run_preemption(loop, 0.8, ends=False)
    assert loop.dispatcher.cancel("urgent", loop.now_s)
    for name, steps in run_preemption(loop, 5.0, ends=False).items():
        context.steps[name] += steps


@when("an urgent request waits and stopped tasks end")
def step_follow_and_end(context: Any) -> None:
    urgent = request("urgent", team=1, size=SMALL, urgency=Urgency.URGENT)
    context.loop.submit(urgent)
    run_preemption(context.loop, 10.0, ends=True)
    context.started_s = context.loop.started_s.get("urgent", float("inf"))


@given("a worker filled by one team while another of the same weight waits")
def step_one_above(context: Any) -> None:
    loop = make_loop(1, [1.0, 1.0])
    loop.run_s = lambda request: 1e6
    for number in range(8):
        loop.submit(request(f"first-{number}", size=SMALL))
    for number in range(8):
        loop.submit(request(f"second-{number}", team=1, size=SMALL))
    context.loop = loop


@when("preemption runs until it takes no further step")
def step_follow_to_end(context: Any) -> None:
    run_preemption(context.loop, 120.0, ends=True)


@then("the two teams have equal shares")
def step_equal(context: Any) -> None:
    counts = context.loop.dispatcher.running_counts
    assert counts == {"team-0": 4, "team-1": 4}, counts
