"""Steps about requests that have no reply while the fleet recovers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from behave import given, then, when

from cicadatrail_core.leadership.request_rules import RULES, RequestState, Verdict
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.messages import (
    Cancel,
    PhaseIs,
    QueuedCount,
    Refused,
    Stored,
)
from features.support.recovery_world import (
    FakeStore,
    RoutedEntry,
    new_leader,
    submission,
)

# ruff: noqa: SLF001

VERDICTS = {
    "refused": Verdict.REFUSE,
    "asked again": Verdict.ASK_AGAIN,
    "unknown": Verdict.UNKNOWN,
}


@then("a request with {state} waits {wait} s and is then {verdict}")
def step_rule(context: Any, state: str, wait: str, verdict: str) -> None:
    rule = RULES[RequestState[state.replace(" ", "_").upper()]]
    assert (rule.wait_s, rule.verdict) == (float(wait), VERDICTS[verdict])


@given("a leader whose store fails")
def step_failing_store(context: Any) -> None:
    context.store = FakeStore()


@given("a leader whose store takes 0.8 s")
def step_slow_store(context: Any) -> None:
    context.store = FakeStore(takes_s=0.8)
    context.store.answers.set()


@when("a job is submitted each 0.3 s")
def step_submit_each(context: Any) -> None:
    async def scenario() -> None:
        leader = new_leader(context.store)
        running = asyncio.create_task(leader.journal.run())
        calls = []
        for name in "abcd":
            calls.append(asyncio.create_task(leader._submit(submission(name))))
            await asyncio.sleep(0.3)
        context.replies = await asyncio.gather(*calls)
        running.cancel()

    asyncio.run(scenario())


@then("all are accepted")
def step_all_accepted(context: Any) -> None:
    assert context.replies == [Stored()] * 4, context.replies


def _submit(context: Any, names: tuple[str, str]) -> None:
    """Submit one job and, 0.1 s later, another; then let the store answer."""

    async def scenario() -> None:
        context.leader = leader = new_leader(context.store)
        running = asyncio.create_task(leader.journal.run())
        first, second = (submission(name) for name in names)
        began_s = loop_now_s()
        calls = [asyncio.create_task(leader._submit(first))]
        await asyncio.sleep(0.1)
        calls.append(asyncio.create_task(leader._submit(second)))
        await asyncio.wait({calls[1]}, timeout=0.6)
        context.early = [call.result() if call.done() else None for call in calls]
        context.early_s = loop_now_s() - began_s
        context.store.answers.set()
        context.late = await asyncio.gather(*calls)
        context.retried = await leader._submit(second)
        running.cancel()

    asyncio.run(scenario())


@when("two jobs are submitted, one while the append of the other is under way")
def step_two(context: Any) -> None:
    _submit(context, ("a", "b"))


@when("a job is submitted again while its append is under way")
def step_again(context: Any) -> None:
    _submit(context, ("a", "a"))


@then("the second is refused after 0.5 s, and the first is not")
def step_second_refused(context: Any) -> None:
    assert context.early[0] is None
    assert isinstance(context.early[1], Refused), context.early
    assert context.early_s < 0.6
    assert isinstance(context.late[0], Stored)


@then("the second is accepted once it is sent again to the store that answers")
def step_retried(context: Any) -> None:
    assert isinstance(context.retried, Stored)
    assert context.store.keys == ["j/a", "j/b"], context.store.keys


@then("neither is refused, and both are answered once the store answers")
def step_neither_refused(context: Any) -> None:
    assert context.early == [None, None], context.early
    assert context.late == [Stored(), Stored()]
    assert context.store.keys == ["j/a"]


@when("a job is submitted again, is stored, and changes while the next append fails")
def step_stored_first(context: Any) -> None:
    async def scenario() -> None:
        context.leader = leader = new_leader(context.store)
        running = asyncio.create_task(leader.journal.run())
        calls = [asyncio.create_task(leader._submit(submission("a")))]
        await asyncio.sleep(0.1)
        for name in "ab":
            calls.append(asyncio.create_task(leader._submit(submission(name))))
        context.store.answers.set()
        await calls[0]
        context.store.answers.clear()
        leader.scheduler.changed_jobs["a"] = None
        await asyncio.wait({calls[1]}, timeout=1.0)
        context.early = [call.result() if call.done() else None for call in calls]
        context.store.answers.set()
        await asyncio.gather(*calls)
        running.cancel()

    asyncio.run(scenario())


@then("both submissions are acknowledged, and the leader still has the job")
def step_kept(context: Any) -> None:
    assert context.early == [Stored(), Stored(), None], context.early
    assert "a" in context.leader.scheduler.jobs


@when("a job is cancelled while it waits for the append of another")
def step_cancel(context: Any) -> None:
    async def scenario() -> None:
        leader = new_leader(context.store)
        running = asyncio.create_task(leader.journal.run())
        calls = [asyncio.create_task(leader._submit(submission("a")))]
        await asyncio.sleep(0.1)
        calls.append(asyncio.create_task(leader._submit(submission("b"))))
        await asyncio.sleep(0)
        cancelling = asyncio.create_task(leader._cancel(Cancel("b")))
        await asyncio.wait({calls[1]}, timeout=1.0)
        context.store.answers.set()
        context.late = await asyncio.gather(*calls)
        context.cancelled = await cancelling
        running.cancel()

    asyncio.run(scenario())


@then("the job is refused, and its cancel tells that it is not known")
def step_not_known(context: Any) -> None:
    assert isinstance(context.late[1], Refused), context.late
    assert context.cancelled == PhaseIs(""), context.cancelled


@given("an instance whose leader answers nothing")
def step_silent_leader(context: Any) -> None:
    context.entry = RoutedEntry(answers_after_s=None)


@given("an instance whose leader answers after 1 s")
def step_slow_leader(context: Any) -> None:
    context.entry = RoutedEntry(answers_after_s=1.0)


@when("a request is sent, and a successor is elected 1 s later")
def step_successor(context: Any) -> None:
    context.reply, context.took_s = context.entry.ask(then_epoch=2)


@when("a request is sent, and the leader's record is read again meanwhile")
def step_same_leader(context: Any) -> None:
    context.reply, context.took_s = context.entry.ask(then_epoch=1)


@then("the successor answers the request at once")
def step_successor_answers(context: Any) -> None:
    assert context.reply == QueuedCount(2), context.reply
    assert context.took_s < 1.2, context.took_s


@then("the leader that was asked answers it, and is asked once")
def step_asked_once(context: Any) -> None:
    assert context.reply == QueuedCount(1), context.reply
    assert context.entry.asked == ["host-1"]


@given("a leader that can't read the store")
def step_not_ready(context: Any) -> None:
    context.leader = SimpleNamespace(_has_ended=False, ready=asyncio.Event())


@then("it refuses the request after 2.2 s, which was sent to it once")
def step_not_kept(context: Any) -> None:
    entry = RoutedEntry(None, context.leader)
    reply, took_s = entry.ask(1)
    assert isinstance(reply, Refused), reply
    assert 2.0 < took_s < 2.8, took_s
    assert entry.asked == ["host-1"], entry.asked
