"""Steps about ends that a successor reads while its predecessor may still act."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.leadership.acting_right import OUTAGE_LIMIT_S
from features.support.takeover_pair import TakeoverPair


@given("a leader that a majority confirms, and its successor")
def step_pair(context: Any) -> None:
    pair = context.pair = TakeoverPair()
    pair.take_over()
    pair.ask(pair.former, ["c"])


@given("a leader whose worker has restarted, and its successor")
def step_restarted(context: Any) -> None:
    pair = context.pair = TakeoverPair()
    pair.restart_worker()
    pair.take_over()


@given("a leader that has released its term, and its successor")
def step_released(context: Any) -> None:
    pair = context.pair = TakeoverPair()
    pair.take_over(released=True)


@when("the successor reads that the leader's run is done")
def step_read(context: Any) -> None:
    pair = context.pair
    pair.end_run()
    # The poll after that acknowledges what was noted.
    pair.poll(pair.successor_links)
    pair.poll(pair.successor_links)
    context.was_noted = pair.is_noted


@when("the third instance follows the successor")
def step_promise(context: Any) -> None:
    context.pair.ask(context.pair.successor, ["c"])


@when("the former leader's time without the store is over")
def step_limit(context: Any) -> None:
    context.pair.jobs.now_s += OUTAGE_LIMIT_S / 0.98 - 1.5


@when("the worker restarts, and the former leader reads that")
def step_restart(context: Any) -> None:
    pair = context.pair
    pair.restart_worker()
    pair.poll(pair.former_links)


@when("the former leader reads that a worker has restarted")
def step_read_restart(context: Any) -> None:
    context.pair.poll(context.pair.former_links)


@when("the former leader's worker is replaced, restarts and is known again")
def step_known_again(context: Any) -> None:
    context.pair.know_worker_again()


@when("the third instance confirms the former leader again")
def step_confirm(context: Any) -> None:
    context.pair.ask(context.pair.former, ["c"])


@when("the former leader's last round of questions still counts")
def step_last_round(context: Any) -> None:
    with context.pair.patched():
        assert context.pair.former.may_start()
        assert not context.pair.former.is_lease_valid()


@then("the former leader repeats what the worker has lost")
def step_repeats(context: Any) -> None:
    pair = context.pair
    assert pair.repeated() == [pair.run.subtask.name]
    assert not pair.is_noted


@then("the former leader repeats nothing, as it may be done")
def step_no_repeat(context: Any) -> None:
    assert context.was_noted
    assert context.pair.repeated() == [], "starts after it was done"


@then("it is done at once")
def step_noted(context: Any) -> None:
    assert context.was_noted
    assert not context.pair.sim.ends
