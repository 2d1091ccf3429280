"""Steps about ends that a successor reads while its predecessor may still act."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cicadatrail_core.jobs.models import EndKind, EndRow, SubtaskName
from cicadatrail_core.leadership.acting_right import OUTAGE_LIMIT_S
from features.support.job_world import definition
from features.support.takeover_pair import TakeoverPair

OWN_JOB = "00000000000000c2"


@given("a leader that a majority confirms, and its successor")
def step_pair(context: Any) -> None:
    pair = context.pair = TakeoverPair()
    pair.take_over()
    pair.ask(pair.former, ["c"])


@given("a leader that has released its term, and its successor")
def step_released(context: Any) -> None:
    pair = context.pair = TakeoverPair()
    pair.take_over(released=True)


@given("the successor has read that the leader's run goes on")
def step_adopted(context: Any) -> None:
    context.pair.poll(context.pair.successor_links)


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


@when("the third instance confirms the former leader again")
def step_confirm(context: Any) -> None:
    context.pair.ask(context.pair.former, ["c"])


@when("the former leader's last round of questions still counts")
def step_last_round(context: Any) -> None:
    with context.pair.patched():
        assert context.pair.former.may_start()
        assert not context.pair.former.is_lease_valid()


@when("the successor's own run ends on the worker")
def step_own(context: Any) -> None:
    pair = context.pair
    pair.jobs.worker("w1").is_cordoned = True
    pair.jobs.submit(OWN_JOB, definition(1))
    (run,) = pair.dispatch()
    pair.jobs.carry_out(run)
    context.own = run.subtask.step
    pair.sim.end(run.subtask.name, EndKind.DONE)
    pair.poll(pair.successor_links)


@then("the former leader repeats what the worker has lost, which isn't done")
def step_repeats(context: Any) -> None:
    pair = context.pair
    assert pair.repeated() == [pair.run.subtask.name]
    assert not context.was_noted, "starts after it was done"


@then("the former leader repeats nothing, as it may be done")
def step_no_repeat(context: Any) -> None:
    assert context.was_noted
    assert context.pair.repeated() == []


@then("it is done at once")
def step_noted(context: Any) -> None:
    assert context.was_noted
    assert not context.pair.sim.ends


@then("it isn't done, and its run still counts")
def step_counts(context: Any) -> None:
    pair = context.pair
    assert not pair.is_noted
    assert [run.number for run in pair.inherited.live_runs] == [pair.run.number]
    assert not pair.jobs.stops()
    assert len(pair.sim.ends) == 1


@then("the subtask isn't started anew before its end is noted")
def step_not_started(context: Any) -> None:
    pair = context.pair
    assert not pair.is_noted
    assert pair.dispatch() == []
    pair.ask(pair.successor, ["c"])
    pair.poll(pair.successor_links)
    assert pair.is_noted


@then("that one is done at once")
def step_own_done(context: Any) -> None:
    assert context.own.is_done


@then("an end of the leader's run after it is not")
def step_former_later(context: Any) -> None:
    pair = context.pair
    pair.end_run()
    pair.poll(pair.successor_links)
    assert not pair.is_noted
    name = SubtaskName(OWN_JOB, 0, 0, 0)
    assert EndRow(1, name, 2001, EndKind.DONE, "") not in pair.sim.ends
