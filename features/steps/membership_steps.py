"""Steps about the fold of membership and rights, and the balance of rights."""

from dataclasses import replace
from itertools import product
from typing import Any

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cicadatrail_core.fold import holdings, membership
from cicadatrail_core.models import records as rec
from cicadatrail_core.models.fleet import Place, Team, Worker
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    IncarnationId,
    PartitionRight,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.rights import balance
from cicadatrail_core.rights.balancer import Balancer
from features.support.rights_naive import NaiveRights

NAMES = st.sampled_from([IncarnationId(f"i{n}") for n in range(4)])
RETIRED = st.sampled_from([IncarnationId("i0"), IncarnationId("i1")])
OWNERS = st.sampled_from([IncarnationId(f"i{n}") for n in range(3)])
TEAMS = ("a", "b")
WORKERS = ("w0", "w1", "w2")
RIGHTS = st.lists(
    st.one_of(
        st.builds(WorkerRight, st.sampled_from(WORKERS)),
        st.builds(SlotRight, st.sampled_from(TEAMS), st.integers(0, 5)),
        st.builds(PartitionRight, st.integers(-1, 2)),
    ),
    max_size=3,
).map(tuple)
DEAD = st.lists(NAMES.filter(lambda name: name != "i0"), max_size=2).map(tuple)
SEQUENCES = st.integers(1, 4)
PLACES = st.sampled_from([Place("r0", "d"), Place("r0", "d"), Place("r1", "d")])
RIGHTS_CHANGES = st.one_of(
    st.builds(rec.ClaimRecord, OWNERS, RIGHTS),
    st.builds(rec.TransferRecord, OWNERS, OWNERS, RIGHTS, SEQUENCES, st.booleans()),
    st.builds(rec.ReleaseRecord, OWNERS, RIGHTS, SEQUENCES),
)
JOINS = st.builds(rec.JoinRecord, NAMES, st.just("n"), st.just("h"), st.just(1), PLACES)
RECORDS = st.one_of(
    JOINS,
    JOINS,
    st.builds(rec.PulseRecord, RETIRED, st.integers(1, 9), st.integers(0, 20)),
    st.builds(rec.LeaveRecord, NAMES),
    st.builds(rec.RetireRecord, RETIRED, NAMES),
    st.builds(rec.RetireAckRecord, RETIRED, NAMES),
    st.builds(rec.RetireAckRecord, RETIRED, NAMES),
    st.builds(rec.FreeRecord, RETIRED, NAMES, DEAD, st.booleans()),
    RIGHTS_CHANGES,
    RIGHTS_CHANGES,
    st.tuples(st.sampled_from(TEAMS), st.integers(0, 8)),
    st.tuples(st.sampled_from(WORKERS), st.booleans()),
)
FREEING = RETIRED.flatmap(
    lambda name: st.tuples(
        JOINS,
        st.builds(rec.PulseRecord, st.just(name), st.just(1), st.integers(0, 20)),
        JOINS,
        st.builds(rec.RetireRecord, st.just(name), NAMES),
        st.builds(rec.RetireAckRecord, st.just(name), NAMES),
        st.builds(rec.RetireAckRecord, st.just(name), NAMES),
        st.builds(rec.FreeRecord, st.just(name), NAMES, DEAD, st.booleans()),
    )
)
LOGS = st.lists(
    st.one_of(st.lists(RECORDS, min_size=1, max_size=12), FREEING.map(list)),
    min_size=1,
    max_size=6,
).map(lambda parts: [record for part in parts for record in part])
FOLDS: dict[type, Any] = {
    rec.JoinRecord: membership.apply_join,
    rec.PulseRecord: membership.apply_heartbeat,
    rec.LeaveRecord: membership.apply_leave,
    rec.RetireRecord: membership.apply_retire,
    rec.RetireAckRecord: membership.apply_retire_ack,
    rec.FreeRecord: membership.apply_free,
    rec.ClaimRecord: membership.apply_claim,
    rec.TransferRecord: membership.apply_transfer,
    rec.ReleaseRecord: membership.apply_release,
}
FIRST: tuple[Any, ...] = (
    ("a", 6),
    ("w0", True),
    ("w1", True),
    *(
        rec.JoinRecord(IncarnationId(f"i{n}"), "n", "h", 1, Place("r0", "d"))
        for n in range(3)
    ),
    rec.ClaimRecord(
        IncarnationId("i0"),
        (WorkerRight("w0"), SlotRight("a", 4), PartitionRight(1)),
    ),
)


def make_worker(worker_id: str) -> Worker:
    return Worker(worker_id, "h", 1, Place("r0", "d"), Resources())


def patched(state: State, name: str, value: int | bool) -> State:
    """Set a team's limit (0 removes the team), or create or remove a worker."""
    if name in TEAMS:
        teams = {k: v for k, v in state.teams.items() if k != name}
        if value:
            teams[name] = Team(name, 1.0, int(value))
        return membership.drop_rights_of_removed(replace(state, teams=teams))
    workers = {k: v for k, v in state.workers.items() if k != name}
    if value:
        workers[name] = make_worker(name)
    return membership.drop_rights_of_removed(replace(state, workers=workers))


def folded(state: State, offset: int, record: Any) -> State:
    if isinstance(record, tuple):
        return patched(state, *record)
    return FOLDS[type(record)](state, offset, record)


def patch_naive(naive: NaiveRights, name: str, value: int | bool) -> None:
    if name in TEAMS:
        naive.limits[name] = int(value)
    elif value:
        naive.workers.add(name)
    else:
        naive.workers.discard(name)


def units_of(state: State) -> list[tuple[str, Any]]:
    """Return each single right with its owner, as ``NaiveRights.owned`` has them."""
    units: list[tuple[str, Any]] = []
    for worker_id, owner in state.worker_holders.items():
        units.append((owner, ("worker", worker_id)))
    for team_id, counts in state.slots.items():
        for owner, count in counts.items():
            units += [(owner, ("slot", team_id))] * count
    for partition, owner in state.partition_holders.items():
        units.append((owner, ("partition", partition)))
    return units


def compare(state: State, naive: NaiveRights) -> None:
    """Check that the folded state equals that of the reference implementation."""
    assert set(state.roster) == set(naive.members)
    for name, member in naive.members.items():
        folded_member = state.roster[IncarnationId(name)]
        assert folded_member.retire_offset == member.retired
        assert set(folded_member.acknowledged_by) == member.acks
        assert (folded_member.freed_offset is not None) == member.freed
    assert sorted(units_of(state), key=repr) == sorted(naive.owned, key=repr)
    for team_id in TEAMS:
        for name in state.roster:
            allowed = holdings.allowance(state, team_id, name)
            assert allowed == naive.allowance(name, team_id)


@when("the membership fold and its reference implementation fold {count:d} random logs")
def fold_both(context: Any, count: int) -> None:
    freed_counts = []

    @settings(max_examples=count)
    @drawn(LOGS)
    def agree(records: list[Any]) -> None:
        state, naive = State(), NaiveRights()
        for offset, record in enumerate([*FIRST, *records]):
            state = folded(state, offset, record)
            if isinstance(record, tuple):
                patch_naive(naive, *record)
            else:
                naive.fold(offset, record)
            compare(state, naive)
            freed_counts.append(any(m.freed_offset for m in state.roster.values()))

    agree()
    context.membership_freed = sum(freed_counts)


@then("the membership folds agreed on members, owners and allowances")
def folds_agreed(context: Any) -> None:
    assert context.membership_freed > 0, "no log freed part of the rights of a member"


@when("the membership fold lowers and raises limits in {count:d} random logs")
def mix_offsets(context: Any, count: int) -> None:
    counts = st.integers(1, 6)
    owners = st.sampled_from(MIXED)
    steps = st.one_of(
        st.tuples(st.just("claim"), owners, owners, counts),
        st.tuples(st.just("release"), owners, owners, counts),
        st.tuples(st.just("transfer"), owners, owners, counts),
        st.tuples(st.just("a"), st.integers(0, 12)),
    )

    @settings(max_examples=count)
    @drawn(st.lists(steps, min_size=2, max_size=6))
    def within(drawn_steps: list[Any]) -> None:
        states = [everyone_joined()]
        for number, step in enumerate(drawn_steps, start=1):
            states.append(mixed_step(states[-1], number, step))
        for offsets in product(range(len(states)), repeat=len(MIXED)):
            check_mixed(states, dict(zip(MIXED, offsets, strict=True)))

    within()
    context.membership_mixed = count


MIXED = [IncarnationId(f"i{n}") for n in range(3)]


def everyone_joined() -> State:
    """Return a state of three members, two of which own six of twelve slots each."""
    state = patched(State(), "a", 12)
    for name in MIXED:
        join = rec.JoinRecord(name, "n", "h", 1, Place("r0", "d"))
        state = membership.apply_join(state, 0, join)
    for name in MIXED[:2]:
        claim = rec.ClaimRecord(name, (SlotRight("a", 6),))
        state = membership.apply_claim(state, 0, claim)
    return state


def mixed_step(state: State, number: int, step: Any) -> State:
    match step:
        case ("a", int(limit)):
            return patched(state, "a", limit)
        case ("claim", name, _, count):
            record: Any = rec.ClaimRecord(name, (SlotRight("a", count),))
        case ("release", name, _, count):
            record = rec.ReleaseRecord(name, (SlotRight("a", count),), number)
        case (_, name, other, count):
            rights = (SlotRight("a", count),)
            record = rec.TransferRecord(name, other, rights, number)
    return folded(state, number, record)


def check_mixed(states: list[State], offsets: dict[IncarnationId, int]) -> None:
    """Check the limit when each owner uses what it may by its own offset.

    An owner uses at most what it still owns at every later offset.
    """
    used = 0
    for name, offset in offsets.items():
        later = [s.slots.get("a", {}).get(name, 0) for s in states[offset:]]
        used += min(holdings.allowance(states[offset], "a", name), *later)
    seen = states[min(offsets.values()) :]
    limits = [s.teams["a"].upper_limit_tasks if "a" in s.teams else 0 for s in seen]
    assert used <= max(limits), (used, limits)


@then("the membership owners never exceed the highest limit in force")
def never_exceed(context: Any) -> None:
    assert context.membership_mixed > 0


@given("a membership of {members:d} members, {workers:d} workers and limit {limit:d}")
def make_membership(context: Any, members: int, workers: int, limit: int) -> None:
    state = State(
        teams={"a": Team("a", 1.0, limit)},
        workers={f"w{n:04d}": make_worker(f"w{n:04d}") for n in range(workers)},
        pool_of={f"w{n:04d}": f"p{n % 5}" for n in range(workers)},
    )
    for number in range(members):
        name = IncarnationId(f"i{number}")
        join = rec.JoinRecord(name, "n", "h", 1, Place("r0", "d"))
        state = membership.apply_join(state, number, join)
    context.membership_state = state


@when("the membership members claim and transfer rights until none move")
def settle_rights(context: Any) -> None:
    state = context.membership_state
    for _ in range(4):
        for name in state.roster:
            claim = rec.ClaimRecord(name, balance.fair_claim(state, name))
            state = membership.apply_claim(state, 0, claim)
        planned = [t for name in state.roster for t in balance.surplus(state, name)]
        for transfer in planned:
            state = membership.apply_transfer(state, 0, transfer)
    assert not any(balance.surplus(state, name) for name in state.roster)
    context.membership_state = state


@then("the membership rights are all owned and spread evenly to within one")
def all_even(context: Any) -> None:
    state = context.membership_state
    assert not holdings.unowned_rights(state)
    groups: dict[str, dict[str, int]] = {}
    for worker_id, owner in state.worker_holders.items():
        counts = groups.setdefault(state.pool_of[worker_id], {})
        counts[owner] = counts.get(owner, 0) + 1
    groups["slots"] = dict(state.slots["a"])
    groups["partitions"] = {}
    for owner in state.partition_holders.values():
        counts = groups["partitions"]
        counts[owner] = counts.get(owner, 0) + 1
    for name, counts in groups.items():
        owned = [counts.get(member, 0) for member in state.roster]
        assert max(owned) - min(owned) <= 1, (name, owned)


@when("one membership member hands over all its rights")
def hand_over(context: Any) -> None:
    state = context.membership_state
    context.membership_giver = next(iter(state.roster))
    for transfer in balance.handover(state, context.membership_giver):
        state = membership.apply_transfer(state, 0, transfer)
    context.membership_state = state


@then("the membership rights are all owned by the others")
def owned_by_others(context: Any) -> None:
    state, giver = context.membership_state, context.membership_giver
    assert not holdings.unowned_rights(state)
    if len(state.roster) > 1:
        assert not holdings.rights_of(state, giver)
        assert len(state.partition_holders) == PARTITION_COUNT


@when("a membership balancer plans, folds {count:d} heartbeats and plans again")
def plan_twice(context: Any, count: int) -> None:
    state = context.membership_state
    context.membership_balancer = Balancer(IncarnationId("i1"))
    context.membership_plans = [context.membership_balancer.plan(state)]
    for number in range(count):
        name = IncarnationId(f"i{number % 3}")
        pulse = rec.PulseRecord(name, number, 10 + number)
        state = membership.apply_heartbeat(state, 10 + number, pulse)
    context.membership_plans.append(context.membership_balancer.plan(state))
    context.membership_state = state


@then("the membership balancer reused its plan")
def reused_plan(context: Any) -> None:
    first, second = context.membership_plans
    assert first.claims
    assert first is second


@then("the membership balancer's plan matches a full search")
def matches_full_search(context: Any) -> None:
    state, name = context.membership_state, IncarnationId("i1")
    claimed = rec.ClaimRecord(name, balance.fair_claim(state, name))
    for changed in (state, membership.apply_claim(state, 99, claimed)):
        plan = context.membership_balancer.plan(changed)
        assert plan.claims == balance.fair_claim(changed, name)
        assert plan.transfers == balance.surplus(changed, name)
        assert plan.obsolete == holdings.obsolete_rights(changed, name)
