"""Steps about the memory of request ids of one partition."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from behave import then, when
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from cicadatrail_core.admission.request_ids import (
    AlreadyDone,
    FirstSeen,
    IdVerdict,
    NotRun,
    PartitionMemory,
    RequestIdSettings,
    Unknowable,
    partition_of,
)
from features.support.request_ids_machine import (
    FAULTS,
    START_S,
    RequestIdMachine,
    make_id,
)


def run_machine(examples: int, **more: Any) -> None:
    run_state_machine_as_test(
        RequestIdMachine,
        settings=settings(max_examples=examples, stateful_step_count=50, **more),
    )


@when("random operations on ids run while the partition changes its owner")
def step_drive(context: Any) -> None:
    profile = settings.default
    assert profile is not None
    run_machine(2 * profile.max_examples)


@then("the record of runs confirms every verdict")
def step_verdicts_confirmed(context: Any) -> None:
    """Do nothing, as the previous step raises AssertionError for a wrong verdict."""


@when("random operations run on a memory with the fault {fault}")
def step_drive_broken(context: Any, fault: str) -> None:
    context.contradiction = None
    with FAULTS[fault]():
        try:
            run_machine(1000, phases=[Phase.generate], report_multiple_bugs=False)
        except AssertionError as error:
            context.contradiction = error


@then("the record of runs contradicts a verdict")
def step_verdict_contradicted(context: Any) -> None:
    assert context.contradiction is not None


def verdict_after_owner_loss() -> IdVerdict:
    """Return the new owner's verdict on an id that has run at the old one.

    The clocks of the two owners differ by the whole skew.
    """
    limits = RequestIdSettings()
    ahead_s = START_S + limits.clock_skew_s
    before = PartitionMemory(limits, START_S - 1000)
    name = make_id(ahead_s + limits.clock_skew_s, 1)
    assert before.begin(name, ahead_s) == FirstSeen()
    after = PartitionMemory.after_unknown_holder(limits, START_S)
    return after.begin(name, START_S + 2 * limits.clock_skew_s)


@when(
    "an id as far ahead as allowed has run and its owner is replaced by one "
    "whose clock is behind"
)
def step_lose_owner(context: Any) -> None:
    context.verdict = verdict_after_owner_loss()


@then("the id is unknowable to the new owner")
def step_unknowable(context: Any) -> None:
    assert context.verdict == Unknowable(), context.verdict


@when("the new owner's memory has {fault}")
def step_break_memory(context: Any, fault: str) -> None:
    with FAULTS[fault]():
        context.verdict = verdict_after_owner_loss()


@then("the id would run twice")
def step_twice(context: Any) -> None:
    assert context.verdict == FirstSeen(), context.verdict


@when("the id {request_id} is looked up in a new memory")
def step_ask(context: Any, request_id: str) -> None:
    memory = PartitionMemory(RequestIdSettings(), START_S - 1000)
    context.verdict = memory.begin(request_id, START_S)


@then("the verdict on the id is not run")
def step_not_run(context: Any) -> None:
    assert isinstance(context.verdict, NotRun), context.verdict


@when("{count:d} requests end with answers of {size:d} bytes in one partition")
def step_answers(context: Any, count: int, size: int) -> None:
    context.memory = PartitionMemory(RequestIdSettings(), START_S - 1000)
    context.ids = [make_id(START_S, number) for number in range(count)]
    for name in context.ids:
        assert context.memory.begin(name, START_S) == FirstSeen()
        context.memory.finish(name, bytes(size))


@then("the memory of the partition keeps at most {limit:d} bytes of answers")
def step_bytes(context: Any, limit: int) -> None:
    kept = [entry.answer or b"" for entry in context.memory.copy().entries]
    assert 0 < sum(map(len, kept)) <= limit


@then("each of the {count:d} ids is reported as done")
def step_all_done(context: Any, count: int) -> None:
    verdicts = [context.memory.begin(name, START_S) for name in context.ids]
    assert len(verdicts) == count
    assert all(isinstance(verdict, AlreadyDone) for verdict in verdicts)


@when("{count:d} ids are generated with the same timestamp")
def step_make(context: Any, count: int) -> None:
    random = Random(6)
    context.ids = [make_id(START_S, random.getrandbits(62)) for _ in range(count)]


@then("each partition has between {least:d} and {most:d} of the ids")
def step_partitions(context: Any, least: int, most: int) -> None:
    counts = Counter(partition_of(name) for name in context.ids)
    assert len(counts) == 256
    assert least <= min(counts.values())
    assert max(counts.values()) <= most
