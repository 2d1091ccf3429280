"""Steps about admission, driven on a dispatcher with a virtual clock."""

from __future__ import annotations

import sys
from contextlib import nullcontext
from itertools import count
from math import log2
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from cicadatrail_core.admission.fair_queue import Ageing, FairQueue
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    TaskEnd,
)
from cicadatrail_core.placement.placer import Placer
from features.support.admission_faults import FAULTS
from features.support.admission_fleet import fleet, request
from features.support.admission_load import (
    BOUND_TURNS,
    CAPACITY,
    SMALL,
    ClosedLoop,
    make_loop,
)
from features.support.admission_machine import DispatcherMachine

WHOLE = Resources(8000, 8000)


def run_machine(examples: int, **more: Any) -> None:
    run_state_machine_as_test(
        DispatcherMachine,
        settings=settings(max_examples=examples, stateful_step_count=40, **more),
    )


@when("random operations on the dispatcher are checked by the oracle")
def step_drive(context: Any) -> None:
    profile = settings.default
    assert profile is not None
    run_machine(profile.max_examples)


@then("the oracle accepts every decision")
def step_oracle_accepts(context: Any) -> None:
    """Do nothing, as the previous step raises AssertionError on a rejection."""


@when("random operations on a dispatcher with {fault} are checked by the oracle")
def step_drive_broken(context: Any, fault: str) -> None:
    context.rejection = None
    with FAULTS[fault]():
        try:
            run_machine(200, phases=[Phase.generate], report_multiple_bugs=False)
        except AssertionError as error:
            context.rejection = error


@then("the oracle rejects a decision")
def step_oracle_rejects(context: Any) -> None:
    assert context.rejection is not None


def start_after_new_request() -> set[str]:
    loop = make_loop(1, [1.0, 1.0])
    loop.run_s = lambda request: 1e6
    loop.submit(request("first", size=WHOLE))
    loop.submit(request("waiting", team=1, size=WHOLE))
    loop.dispatcher.finish("first", TaskEnd.SUCCEEDED, 1.0)
    loop.submit(request("newcomer", size=WHOLE))
    return set(loop.started_s) - {"first"}


@when("a task ends and a new request arrives before the waiting one is placed")
def step_new_request(context: Any) -> None:
    context.started = start_after_new_request()


@when("the same requests come to a dispatcher with {fault}")
def step_new_request_broken(context: Any, fault: str) -> None:
    with FAULTS[fault]():
        context.started = start_after_new_request()


@then("the waiting request starts and the new one waits")
def step_waiting_starts(context: Any) -> None:
    assert context.started == {"waiting"}, context.started


@then("the new request starts and the waiting one still waits")
def step_new_request_starts(context: Any) -> None:
    assert context.started == {"newcomer"}, context.started


@given("a dispatcher over {workers:d} workers and teams of weight {weights}")
def step_fleet(context: Any, workers: int, weights: str) -> None:
    context.weights = [float(weight) for weight in weights.split(",")]
    context.workers = workers
    context.loop = make_loop(workers, context.weights)
    context.ids = count()


def feed(context: Any, team: int, size: Resources) -> None:
    name = f"{team}/{next(context.ids)}"
    assert context.loop.submit(request(name, team=team, size=size))


@when("every team always has more work waiting, with tasks of {sizes} for {span:d} s")
def step_saturate(context: Any, sizes: str, span: int) -> None:
    loop = context.loop
    amounts = [Resources(*map(int, size.split("x"))) for size in sizes.split(",")]
    # Different run times spread the ends, so that shares matter throughout.
    random = Random(1)
    loop.run_s = lambda request: random.uniform(0.5, 1.5)
    for team, size in enumerate(amounts):
        for _ in range(500):
            feed(context, team, size)

    def replace(placed: Placed) -> None:
        team = int(placed.request.team_id.removeprefix("team-"))
        feed(context, team, amounts[team])

    # Lent capacity must have been returned after two mean run times.
    loop.run_until(loop.now_s + 2.0, replace)
    loop.resource_seconds.clear()
    loop.run_until(loop.now_s + span, replace)
    context.shares = loop.dominant_shares(span)


@then("each team's share of the dominant resource is within {error:f} of its due share")
def step_shares(context: Any, error: float) -> None:
    """Check that the shares are proportional to the weights."""
    shares = [context.shares[f"team-{n}"] for n in range(len(context.weights))]
    level = sum(shares) / sum(context.weights)
    assert sum(shares) > 0.85, shares
    for share, weight in zip(shares, context.weights, strict=True):
        assert abs(share / (weight * level) - 1) <= error, shares


@when("only the first team has work for {span:d} s, with tasks of 1 s")
def step_one_team(context: Any, span: int) -> None:
    for _ in range(500):
        feed(context, 0, SMALL)
    loop = context.loop
    loop.run_until(loop.now_s + span, lambda placed: feed(context, 0, SMALL))
    context.shares = loop.dominant_shares(span)


@then("that team uses more than {least:f} of the fleet")
def step_uses(context: Any, least: float) -> None:
    assert context.shares["team-0"] > least, context.shares


@when("the first two teams submit requests until the queue refuses them")
def step_flood(context: Any) -> None:
    limit = DispatcherSettings().queue_limit_count
    submit = context.loop.submit
    taken = sum(submit(request(f"flood-{n}", team=n % 2)) for n in range(2 * limit))
    assert taken < limit


@then("normal and urgent requests of the other team are still accepted")
def step_not_kept_out(context: Any) -> None:
    limit = DispatcherSettings().queue_limit_count
    submit = context.loop.submit
    taken = sum(submit(request(f"other-{n}", team=2)) for n in range(limit))
    assert taken >= limit / 8, taken
    urgent = Urgency.URGENT
    taken = sum(
        submit(request(f"urgent-{n}", team=2, urgency=urgent)) for n in range(limit)
    )
    assert taken >= limit / 100, taken


@then("the queue length never exceeds its limit")
def step_bounded(context: Any) -> None:
    waiting = sum(context.loop.dispatcher.waiting_counts.values())
    assert waiting <= DispatcherSettings().queue_limit_count, waiting


def run_batch_under_urgent(ageing: Ageing) -> tuple[ClosedLoop, list[str]]:
    state = fleet([1], [1.0, 1.0], CAPACITY)
    dispatcher = Dispatcher(DispatcherSettings(ageing=ageing))
    slots = dict.fromkeys(state.teams, 10_000)
    dispatcher.configure(state, list(state.workers), slots, 0.0)
    random = Random(2)
    loop = ClosedLoop(state, dispatcher, run_s=lambda request: random.uniform(0.5, 1.5))
    ids = count()

    def feed_urgent(_: Any) -> None:
        name = f"urgent-{next(ids)}"
        loop.submit(request(name, urgency=Urgency.URGENT))

    for _ in range(100):
        feed_urgent(None)
    names = [f"batch-{number}" for number in range(20)]
    for name in names:
        loop.submit(request(name, team=1, urgency=Urgency.BATCH))
    loop.run_until(batch_start_bound_s(), feed_urgent)
    return loop, names


def batch_start_bound_s() -> float:
    """Return by when all batch requests must have started, in seconds.

    After the ageing limit each of the 20 requests waits for its turn of
    ``turn_count`` (8) placements, at 8 tasks per second. The factor of 1.5 covers
    the longest task, which runs half as long again as the mean.
    """
    placements = (20 + 1) * BOUND_TURNS.turn_count
    return BOUND_TURNS.limit_s + 1.5 * placements / 8


@when("urgent work always waits and 20 batch requests arrive")
def step_batch(context: Any) -> None:
    context.loop, context.names = run_batch_under_urgent(BOUND_TURNS)


@then("every batch request has started within the derived bound")
def step_batch_started(context: Any) -> None:
    assert all(name in context.loop.started_s for name in context.names)


@when("requests of the dispatcher no longer age")
def step_no_ageing(context: Any) -> None:
    context.loop, context.names = run_batch_under_urgent(Ageing(1e9, 8))


@then("some batch request has not started within the derived bound")
def step_batch_waits(context: Any) -> None:
    assert any(name not in context.loop.started_s for name in context.names)


def run_large_among_small(workers: int, span_s: float) -> float:
    loop = make_loop(workers, [1.0, 1.0])
    random = Random(3)
    loop.run_s = lambda request: random.uniform(0.5, 1.5)
    ids = count()

    def feed_small(_: Any) -> None:
        loop.submit(request(f"small-{next(ids)}", size=SMALL))

    for _ in range(200):
        feed_small(None)
    loop.submit(request("large", team=1, size=WHOLE))
    loop.run_until(span_s, feed_small)
    return loop.started_s.get("large", float("inf"))


@when("small requests always wait and one arrives that needs a whole worker")
def step_large(context: Any) -> None:
    context.started_s = run_large_among_small(context.workers, 60.0)


@then("it starts within {limit:f} s")
def step_starts_within(context: Any, limit: float) -> None:
    assert context.started_s <= limit, context.started_s


@when("the dispatcher no longer reserves capacity")
def step_no_reservation(context: Any) -> None:
    with patch.object(Placer, "reserve", lambda *arguments: False):
        context.started_s = run_large_among_small(context.workers, 60.0)


@then("it has not started after {limit:d} s")
def step_not_started(context: Any, limit: int) -> None:
    assert context.started_s > limit, context.started_s


def cancellation_cost(many: int, teams: int, order: str) -> float:
    """Return the mean number of Python lines executed per cancellation."""
    state = fleet([1], [1.0] * teams, CAPACITY)
    limits = DispatcherSettings(queue_limit_count=20_000, shared_queue_fraction=1.0)
    dispatcher = Dispatcher(limits)
    slots = dict.fromkeys(state.teams, 10_000)
    dispatcher.configure(state, list(state.workers), slots, 0.0)
    dispatcher.submit(request("whole", size=WHOLE), 0.0)
    names = [f"request-{number}" for number in range(many)]
    for number, name in enumerate(names):
        one = request(name, team=number % teams, deadline_s=1e6 + number % 977)
        dispatcher.submit(one, 0.0)
    match order:
        case "last":
            names.reverse()
        case "random":
            Random(4).shuffle(names)
    lines = 0

    def trace(frame: Any, event: str, argument: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        for name in names:
            assert dispatcher.cancel(name, 1.0)
    finally:
        sys.settrace(before)
    assert not dispatcher.waiting_counts
    return lines / many


@when("{many:d} waiting requests of {teams:d} teams are cancelled in {order} order")
def step_cancel(context: Any, many: int, teams: int, order: str) -> None:
    context.wave = teams, order, nullcontext
    context.many, context.cost = many, cancellation_cost(many, teams, order)


@when("{many:d} waiting requests of {teams:d} teams are cancelled by a scan")
def step_cancel_scanning(context: Any, many: int, teams: int) -> None:
    real = FairQueue.remove

    def scan(queue: FairQueue, request_id: str) -> Any:
        for name in queue._entries:
            if name == request_id:
                break
        return real(queue, request_id)

    context.wave = teams, "last", lambda: patch.object(FairQueue, "remove", scan)
    with patch.object(FairQueue, "remove", scan):
        context.many, context.cost = many, cancellation_cost(many, teams, "last")


def cost_among(context: Any, few: int) -> float:
    teams, order, fault = context.wave
    with fault():
        return cancellation_cost(few, teams, order)


@then("each costs at most twice as much as among {few:d} requests")
def step_logarithmic(context: Any, few: int) -> None:
    """Allow twice the cost: the logarithm doubles from 100 to 10,000 requests."""
    assert log2(context.many) <= 2 * log2(few) + 1e-9
    cost = cost_among(context, few)
    assert context.cost <= 2 * cost, (context.cost, cost)


@then("each costs more than twice as much as among {few:d} requests")
def step_not_logarithmic(context: Any, few: int) -> None:
    cost = cost_among(context, few)
    assert context.cost > 2 * cost, (context.cost, cost)
