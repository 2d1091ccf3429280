"""Steps of fold.feature."""

from __future__ import annotations

import unittest.mock
from contextlib import nullcontext
from dataclasses import replace
from typing import Any

import msgpack
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st
from returns.result import Success

from cicadatrail_core.fold import apply as fold
from cicadatrail_core.fold import patches as patch_fold
from cicadatrail_core.fold.snapshots import SnapshotAssembler, snapshot_records
from cicadatrail_core.models import patches, records
from cicadatrail_core.models.fleet import Key, Pool, Queue, Team
from cicadatrail_core.models.patches import Accepted, Operation, Patch, Refused
from cicadatrail_core.models.records import SnapshotRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from features.support import fold_histories as histories

NEW_TEAM = patches.PutTeam(Team("florists", 1.0, 5))
OPERATIONS: dict[str, tuple[Operation, ...]] = {
    "a new team": (NEW_TEAM,),
    "no operation": (),
    "a queue of nothing known": (patches.PutQueue(Queue("q", "nowhere")),),
    "three faults in two operations": (
        patches.PutTeam(Team("florists", 0.0, -1)),
        patches.RemovePool("nowhere"),
    ),
    "a second spare pool": (patches.PutPool(Pool("other", spare=True)),),
    "a pool removed that holds workers": (patches.RemovePool("bookings"),),
    "a key with a plain hash": (
        patches.GrantKey(Key("k9", "couriers", "salt", "secret")),
    ),
    "a withdrawn key granted again": (
        patches.WithdrawKey("k1"),
        patches.GrantKey(histories.make_key("k1", "couriers")),
    ),
    "a worker added twice": (
        patches.AddWorker(histories.make_worker("worker-0"), "portal"),
    ),
}
BASE_VERSIONS = {
    "a new team against an old version": 0,
    "a new team against a later version": 2,
}


def with_patch(state: State, patch: Patch) -> State:
    record = records.PatchRecord(patch)
    return fold.fold_record(state, state.next_offset, record)


@given("the fold of a small fleet")
def step_small_fleet(context: Any) -> None:
    patch = Patch("set-up", 0, histories.small_fleet_operations())
    context.state = with_patch(State(), patch)
    assert isinstance(context.state.verdicts["set-up"], Accepted), context.state


@when("the fold applies two patches made against the same version")
def step_race(context: Any) -> None:
    for patch_id in ("first", "second"):
        context.state = with_patch(context.state, Patch(patch_id, 1, (NEW_TEAM,)))


@when("the fold applies an accepted and a refused patch twice each")
def step_twice(context: Any) -> None:
    faulty = OPERATIONS["three faults in two operations"]
    for _ in range(2):
        context.state = with_patch(context.state, Patch("bad", 1, faulty))
        context.state = with_patch(context.state, Patch("good", 1, (NEW_TEAM,)))


@when("the fold applies {name}")
def step_fold_patch(context: Any, name: str) -> None:
    operations = OPERATIONS.get(name, (NEW_TEAM,))
    patch = Patch("tried", BASE_VERSIONS.get(name, 1), operations)
    context.before = context.state
    context.state = with_patch(context.state, patch)


@then('its verdict is {verdict} with findings at "{places}"')
def step_verdict(context: Any, verdict: str, places: str) -> None:
    match context.state.verdicts["tried"]:
        case Accepted(version=version):
            assert (verdict, version) == ("accepted", 2)
            assert context.state.version == 2
        case Refused(findings=findings, stale=stale):
            assert verdict == ("stale" if stale else "refused"), findings
            assert [finding.place for finding in findings] == places.split(), findings
            assert context.state.version == 1


@then('its verdict is {verdict} with findings at ""')
def step_verdict_without(context: Any, verdict: str) -> None:
    step_verdict(context, verdict, "")


@then("only the verdicts and the offset of the fold have changed")
def step_nothing_changed(context: Any) -> None:
    before = replace(
        context.before,
        verdicts=context.state.verdicts,
        next_offset=context.state.next_offset,
    )
    assert context.state == before


@then("the first is accepted, and the second is stale and names the first")
def step_race_verdicts(context: Any) -> None:
    first, second = (context.state.verdicts[name] for name in ("first", "second"))
    assert first == Accepted("first", 2, 1), first
    assert isinstance(second, Refused) and second.stale, second
    assert (second.current_version, second.changed_since) == (2, ("first",)), second


@then("the fold has one verdict for each and one new version")
def step_first_verdicts(context: Any) -> None:
    assert isinstance(context.state.verdicts["bad"], Refused)
    assert not context.state.verdicts["bad"].stale
    assert context.state.verdicts["good"] == Accepted("good", 2, 2)
    assert context.state.version == 2


def _apply_up_to_fault(state: State, patch: Patch) -> Any:
    draft = state
    for operation in patch.operations:
        match patch_fold.apply_operation(draft, operation, "$"):
            case Success(changed):
                draft = changed
            case _:
                break
    return Success(draft)


def _forget_verdict(state: State, verdict: object) -> State:
    return state


def _weakened_fold(name: str) -> Any:
    """Return a context in which the named weakened variant of the fold runs."""
    match name:
        case "as released":
            return nullcontext()
        case "with stale patches let through":
            original = patch_fold.apply_patch

            def let_through(state: State, offset: int, patch: Patch) -> State:
                current = replace(patch, base_version=state.version)
                return original(state, offset, current)

            return unittest.mock.patch.object(fold, "apply_patch", let_through)
        case "with verdicts forgotten":
            return unittest.mock.patch.object(
                patch_fold, "_keep_verdict", _forget_verdict
            )
        case "with operations applied up to a fault":
            return unittest.mock.patch.object(
                patch_fold, "evaluate_patch", _apply_up_to_fault
            )
        case "with sequences ignored":
            return unittest.mock.patch.object(
                fold,
                "_fold_envelope",
                lambda state, offset, envelope: fold.fold_record(
                    state, offset, envelope.record
                ),
            )
    raise AssertionError(name)


def _verdict_text(verdict: Accepted | Refused) -> str:
    match verdict:
        case Accepted(version=version):
            return f"accepted {version}"
        case Refused(stale=stale):
            return "stale" if stale else "refused"


def _agrees_with_naive(drawn: list[Patch]) -> bool:
    state, reference = State(), histories.ReferencePatches()
    for patch in drawn:
        state = with_patch(state, patch)
        reference.fold_patch(patch)
    texts = {name: _verdict_text(verdict) for name, verdict in state.verdicts.items()}
    return (
        texts == reference.verdicts
        and state.version == reference.version
        and state.teams == reference.teams
        and set(state.pools) == reference.pools
        and state.pool_of == reference.workers
        and set(state.workers) == set(reference.workers)
        and state.keys == reference.keys
    )


@when("random patches are folded {name}")
def step_random_patches(context: Any, name: str) -> None:
    answers = []

    @given_examples(histories.patch_lists())
    def compare(found: list[Patch]) -> None:
        answers.append(_agrees_with_naive(found))

    with _weakened_fold(name):
        compare()
    context.agreed = all(answers)


@then("the reference implementation {agrees}")
def step_agreed(context: Any, agrees: str) -> None:
    assert context.agreed == (agrees == "agrees")


def _without_offsets(state: State) -> Any:
    """Return the parts of a state that must not depend on log offsets."""
    holdings = (state.worker_holders, state.slots, state.partition_holders)
    verdicts = {name: _verdict_text(v) for name, v in state.verdicts.items()}
    return (
        state.version,
        verdicts,
        state.teams,
        state.pool_of,
        state.keys,
        set(state.roster),
        holdings,
    )


@when(
    "random records are folded, each repeated at random later offsets, {name}",
)
def step_repeated(context: Any, name: str) -> None:
    answers = []

    @given_examples(histories.histories(), st.integers(0, 1000))
    def compare(found: Any, seed: int) -> None:
        payloads = histories.encode_all(found)
        once = histories.fold_all(payloads)
        twice = histories.fold_all(histories.with_repetitions(payloads, seed))
        answers.append(_without_offsets(once) == _without_offsets(twice))

    with _weakened_fold(name):
        compare()
    context.same = all(answers)


@then("the state with repetitions is {same} the one without")
def step_same(context: Any, same: str) -> None:
    assert context.same == (same == "the same as")


@when("random records are folded with a snapshot at a random offset")
def step_snapshot(context: Any) -> None:
    context.pairs = []

    @given_examples(histories.histories(), st.data())
    def compare(found: Any, data: Any) -> None:
        payloads = histories.encode_all(found)
        cut = data.draw(st.integers(0, len(payloads)))
        early = histories.fold_all(payloads[:cut])
        assembler = SnapshotAssembler()
        for part in snapshot_records(early):
            assembler.take(part)
        assert assembler.newest is not None
        late = histories.fold_all(payloads[cut:], assembler.newest)
        context.pairs.append((histories.fold_all(payloads), late))

    compare()


@then("folding on from the snapshot gives the same state")
def step_snapshot_same(context: Any) -> None:
    assert len(context.pairs) > 20
    for whole, late in context.pairs:
        assert whole == late


@when("random bytes are folded and read as parts of snapshots")
def step_damaged(context: Any) -> None:
    context.counts = []

    @given_examples(st.lists(st.binary(max_size=40), max_size=6))
    def damaged(payloads: list[bytes]) -> None:
        state = histories.fold_all(payloads)
        assembler = SnapshotAssembler()
        for payload in payloads:
            assembler.take(SnapshotRecord(3, 0, 1, payload))
        context.counts.append((state.unreadable_count, len(payloads)))
        assert assembler.newest is None

    damaged()


@then("no exception is raised and each is counted as unreadable")
def step_counted(context: Any) -> None:
    assert context.counts
    for unreadable, count in context.counts:
        assert unreadable == count


def _join(state: State, name: str, record_format: int) -> State:
    record = records.JoinRecord(
        IncarnationId(name), name, "127.0.0.1", 9000, histories.HOME, record_format
    )
    return fold.fold_record(state, state.next_offset, record)


@when("members of formats 1 and 2 join, and the older one leaves")
def step_formats(context: Any) -> None:
    mixed = _join(_join(State(), "old", 1), "new", 2)
    leave = records.LeaveRecord(IncarnationId("old"))
    context.mixed = mixed
    context.state = fold.fold_record(mixed, mixed.next_offset, leave)


@then("format 2 takes effect only after it left, also for a later old release")
def step_in_force(context: Any) -> None:
    assert context.mixed.record_format == 1
    assert context.state.record_format == 2
    late = _join(context.state, "late", 1)
    assert "late" not in late.roster
    assert late.record_format == 2


@then("an old release that reads a record of format 2 then stops")
def step_old_stops(context: Any) -> None:
    payload = msgpack.packb([2, "new", 1, {"type": "of-the-future"}])
    skipped = fold.fold_payload(context.mixed, context.mixed.next_offset, payload)
    assert skipped.unreadable_count == 1
    try:
        fold.fold_payload(context.state, context.state.next_offset, payload)
    except fold.ReleaseTooOldError:
        return
    raise AssertionError("the old release continued after a record of format 2")
