"""Steps about loans of team slots between a lender and a borrower."""

from typing import Any

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cicadatrail_core.fold import membership
from cicadatrail_core.models import records as rec
from cicadatrail_core.models.fleet import Place, Team
from cicadatrail_core.models.rights import IncarnationId, SlotRight
from cicadatrail_core.models.state import State
from cicadatrail_core.rights import demand
from cicadatrail_core.rights.borrower import BorrowedSlots
from cicadatrail_core.rights.lender import LentSlots
from cicadatrail_core.rights.timing import RightsTiming

POLICY = demand.LoanPolicy()
LENDER, BORROWER = IncarnationId("l"), IncarnationId("b")
SLOTS = 6
LEASE_S = 100.0


@given("a loan demand of {waiting:d} waiting and {free:d} free")
def make_demand(context: Any, waiting: int, free: int) -> None:
    context.loan_demand = demand.TeamDemand("a", waiting, free)


@given("loan offers of {offers}")
def make_offers(context: Any, offers: str) -> None:
    pairs = [pair.split("=") for pair in offers.split()]
    context.loan_offers = [
        demand.PeerOffer(IncarnationId(peer), "a", int(count)) for peer, count in pairs
    ]


@then("the loan requests are {asks}")
def requests_are(context: Any, asks: str) -> None:
    planned = demand.plan_requests(context.loan_demand, context.loan_offers, POLICY)
    text = " ".join(f"{one.lender}={one.slot_count}" for one in planned)
    assert (text or "nothing") == asks, text


@then("the lender lends {count:d} when idle for {idle:g} s")
def lends(context: Any, count: int, idle: float) -> None:
    lent = demand.lendable_count(context.loan_demand, idle, POLICY)
    assert lent == count, lent


@then("the lender recalls {count:d} of {lent:d} lent slots")
def recalls(context: Any, count: int, lent: int) -> None:
    recalled = demand.recalled_count(context.loan_demand, lent)
    assert recalled == count, recalled


def two_members() -> State:
    state = State(teams={"a": Team("a", 1.0, SLOTS)})
    for name in (LENDER, BORROWER):
        join = rec.JoinRecord(name, "n", "h", 1, Place("r0", "d"))
        state = membership.apply_join(state, 0, join)
    return state


class Pair:
    """A lender and a borrower whose messages are lost, repeated and reordered.

    Messages stay in ``requests`` and ``grants``; any may be delivered at any time.
    """

    def __init__(self, state: State) -> None:
        timing = RightsTiming(support_s=LEASE_S)
        self.state = state
        self.lender = LentSlots(LENDER, timing)
        self.borrower = BorrowedSlots(BORROWER, timing)
        self.now_s = 0.0
        self.requests: list[Any] = []
        self.grants: list[Any] = []
        self.own_count = 0
        self.loan_count = 0

    def step(self, kind: str, number: int) -> None:
        self.now_s += 0.1
        match kind:
            case "ask":
                asked = self.borrower.request(LENDER, "a", number, self.now_s)
                self.requests.append(asked)
            case "answer" if self.requests:
                request = self.requests[number % len(self.requests)]
                usable = self.lender.usable_count("a", SLOTS)
                self.grants.append(
                    self.lender.answer(
                        self.state, request, usable - self.own_count, SLOTS, LEASE_S
                    )
                )
            case "deliver" if self.grants:
                self.borrower.note_grant(self.grants[number % len(self.grants)])
            case "run":
                started = self.borrower.start(self.state, "a", self.now_s)
                self.loan_count += started is not None
            case "end" if self.loan_count:
                self.borrower.end(LENDER, "a")
                self.loan_count -= 1
            case "return" if self.borrower.loans():
                self.borrower.give_back(self.state, LENDER, "a", number)
            case "own" if self.lender.usable_count("a", SLOTS) > self.own_count:
                self.own_count += 1
            case "own ends" if self.own_count:
                self.own_count -= 1


KINDS = (
    *("ask", "answer", "answer", "deliver", "deliver", "return"),
    *("run", "end", "own", "own ends"),
)


@when("loan messages are lost, repeated and reordered in {count:d} random histories")
def lose_messages(context: Any, count: int) -> None:
    context.loans_used = 0
    steps = st.tuples(st.sampled_from(KINDS), st.integers(0, 9))

    @settings(max_examples=count)
    @drawn(st.lists(steps, min_size=10, max_size=80))
    def never_both(drawn_steps: list[tuple[str, int]]) -> None:
        pair = Pair(state)
        for kind, number in drawn_steps:
            pair.step(kind, number)
            free_count = pair.borrower.free_count(state, "a", pair.now_s)
            usable_count = max(pair.own_count, pair.lender.usable_count("a", SLOTS))
            assert usable_count + pair.loan_count + free_count <= SLOTS
            context.loans_used += pair.loan_count

    state = two_members()
    never_both()


@then("lender and borrower never use the same loan slot")
def never_same_slot(context: Any) -> None:
    assert context.loans_used > 0


@given("a loan of {lent:d} slots of which {running:d} run tasks")
def lend_slots(context: Any, lent: int, running: int) -> None:
    pair = Pair(two_members())
    claim = rec.ClaimRecord(LENDER, (SlotRight("a", SLOTS),))
    pair.state = membership.apply_claim(pair.state, 0, claim)
    for kind in ("ask", "answer", "deliver"):
        pair.step(kind, lent if kind == "ask" else 0)
    for _ in range(running):
        pair.step("run", 0)
    assert pair.loan_count == running
    context.loan_pair = pair


@when("the lender is retired and a snapshot skips the record that keeps the loan")
def skip_record_by_snapshot(context: Any) -> None:
    pair = context.loan_pair
    retire = rec.RetireRecord(LENDER, BORROWER)
    state = membership.apply_retire(pair.state, 1, retire)
    (takeover,) = pair.borrower.takeover_records(state)
    after = membership.apply_transfer(state, 2, takeover)
    context.loan_moved = pair.borrower.note_snapshot(pair.state, after)


@then("the loan counts {own:d} tasks as own and none as borrowed")
def counted_once(context: Any, own: int) -> None:
    assert context.loan_moved == (((LENDER, "a"), own),), context.loan_moved
    assert context.loan_pair.borrower.running_count(LENDER, "a") == 0
