"""Stateful Hypothesis test that checks a dispatcher against the ``Judge`` oracle."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cicadatrail_core.admission.fair_queue import Ageing
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.usage import TaskUsage, UsageReport
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    Rejected,
    RejectReason,
    TaskEnd,
    Waiting,
)
from cicadatrail_core.placement.ejection import EjectionSettings
from cicadatrail_core.placement.estimates import EstimateSettings
from features.support.admission_fleet import fleet, request
from features.support.admission_judge import Judge

CAPACITY = Resources(8000, 8000, 1)
STATE = fleet([3, 2], [1.0, 2.0, 1.0], CAPACITY)
WORKERS = tuple(STATE.workers)
TEAMS = tuple(STATE.teams)
QUEUE_LIMIT = 30
SETTINGS = DispatcherSettings(
    queue_limit_count=QUEUE_LIMIT,
    shared_queue_fraction=1.0,
    urgent_queue_fraction=0.0,
    # Learned estimates and ejection are tested separately (placement.feature);
    # here they are disabled, so that sizes are as declared.
    estimates=EstimateSettings(min_sample_count=10**9),
    ejection=EjectionSettings(min_failure_weight=1e9),
    share_delay_s=0.0,
    settle_s=1e9,
    ageing=Ageing(limit_s=1e9),
)

small = st.integers(0, 4).map(lambda thousands: 1000 * thousands)
sizes = st.builds(
    Resources,
    st.integers(1, 9).map(lambda thousands: 1000 * thousands),
    st.integers(1, 9).map(lambda thousands: 1000 * thousands),
    st.integers(0, 1),
)
choices = st.fixed_dictionaries(
    {
        "team": st.integers(0, 2),
        "pool": st.sampled_from([0, 0, 0, 1]),
        "queue": st.sampled_from("ab"),
        "size": sizes,
        "urgency": st.sampled_from(Urgency),
        "patience_s": st.sampled_from([0.0, 5.0, 1e6, 1e6, 1e6]),
        "forwarded": st.sampled_from([False, False, False, True]),
    }
)


class DispatcherMachine(RuleBasedStateMachine):
    """Compare every decision with what the judge allows."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.count = 0
        self.dispatcher = Dispatcher(SETTINGS)
        self.judge = Judge(STATE)
        self.configure(set(WORKERS), dict.fromkeys(TEAMS, 9))

    @rule(choices=st.lists(choices, min_size=1, max_size=8))
    def submit(self, choices: list[dict[str, Any]]) -> None:
        for choice in choices:
            self.submit_one(**choice)

    @rule(
        count=st.integers(1, 5),
        cpu=st.sampled_from([2000, 4000]),
        elsewhere=st.sampled_from(TEAMS),
    )
    def crowd(self, count: int, cpu: int, elsewhere: str) -> None:
        """Let all teams want the same, so that only shares tell them apart."""
        self.hear_peers(elsewhere, 12_000, 0)
        size = Resources(cpu, 1000)
        for number in range(3 * count):
            self.submit_one(
                1e6,
                False,
                team=number % 3,
                pool=0,
                queue="a",
                size=size,
                urgency=Urgency.NORMAL,
            )

    def submit_one(self, patience_s: float, forwarded: bool, **choice: Any) -> None:
        self.count += 1
        # Keeps to as many lines as a dispatcher tries in one round of a pool.
        if choice["urgency"] is not Urgency.NORMAL:
            choice["queue"] = "a"
        deadline_s = self.now_s + patience_s
        one = request(f"request-{self.count}", deadline_s=deadline_s, **choice)
        fits = one.size.fits_in(CAPACITY)
        if forwarded:
            placed = self.dispatcher.try_place(one, self.now_s)
            if placed is not None:
                assert fits
                self.judge.check_placed(placed, self.now_s)
            return
        match self.dispatcher.submit(one, self.now_s):
            case Placed() as placed:
                self.judge.check_placed(placed, self.now_s)
            case Waiting():
                assert fits
                assert patience_s > 0
                assert len(self.judge.waiting) < QUEUE_LIMIT
                self.judge.waiting.append(one)
            case Rejected(reason=RejectReason.FITS_NO_WORKER):
                assert not fits
            case Rejected(reason=RejectReason.DEADLINE):
                assert patience_s == 0
            case Rejected(reason=RejectReason.QUEUE_FULL):
                assert len(self.judge.waiting) >= QUEUE_LIMIT
            case other:
                raise AssertionError(other)
        self.place()

    @rule(
        pick=st.integers(0),
        ended=st.sampled_from(TaskEnd),
        count=st.integers(1, 6),
        at_once=st.booleans(),
    )
    def finish(self, pick: int, ended: TaskEnd, count: int, at_once: bool) -> None:
        running = sorted(self.judge.running)
        for request_id in running[pick % max(1, len(running)) :][:count]:
            del self.judge.running[request_id]
            self.dispatcher.finish(request_id, ended, self.now_s)
        if at_once:
            self.place()

    @rule(pick=st.integers(0))
    def cancel(self, pick: int) -> None:
        if not self.judge.waiting:
            return
        one = self.judge.waiting.pop(pick % len(self.judge.waiting))
        assert self.dispatcher.cancel(one.request_id, self.now_s)
        assert not self.dispatcher.cancel(one.request_id, self.now_s)
        self.place()

    @rule(pick=st.integers(0))
    def cancel_running(self, pick: int) -> None:
        if self.judge.running:
            running = sorted(self.judge.running)
            request_id = running[pick % len(running)]
            assert not self.dispatcher.cancel(request_id, self.now_s)

    @rule(
        held=st.sets(st.sampled_from(WORKERS), min_size=1),
        slots=st.fixed_dictionaries(
            {team: st.sampled_from([0, 2, 9, 20]) for team in TEAMS}
        ),
    )
    def configure(self, held: set[str], slots: dict[str, int]) -> None:
        self.judge.outside = {
            worker_id: load
            for worker_id, load in self.judge.outside.items()
            if worker_id in held
        }
        self.judge.held, self.judge.slots = held, slots
        self.dispatcher.configure(STATE, sorted(held), slots, self.now_s)
        self.place()

    @rule(team=st.sampled_from(TEAMS), cpu=small, memory=small)
    def hear_peers(self, team: str, cpu: int, memory: int) -> None:
        self.judge.peers = {team: Resources(cpu, memory)}
        self.dispatcher.configure_peer_usage(self.judge.peers)
        self.place()

    @rule(worker_id=st.sampled_from(WORKERS), more=small, alien=small)
    def report(self, worker_id: str, more: int, alien: int) -> None:
        """Report each task as larger by ``more``, and a task of someone else."""
        self.wait(0.25)
        usages = []
        for request_id, placed in self.judge.running.items():
            if placed.worker_id != worker_id:
                continue
            before = self.judge.reported.get(request_id, Resources())
            used = (placed.size + Resources(more, 0)).at_least(before)
            usages.append(TaskUsage(request_id, used))
            if worker_id in self.judge.held:
                self.judge.reported[request_id] = used
        usages.append(TaskUsage("alien", Resources(alien, 0)))
        if worker_id in self.judge.held:
            self.judge.outside[worker_id] = Resources(alien, 0)
        report = UsageReport(worker_id, self.now_s, tuple(usages))
        self.dispatcher.report_usage(report, self.now_s)
        self.place()

    @rule(passed_s=st.sampled_from([0.5, 3.0]))
    def wait(self, passed_s: float) -> None:
        self.now_s += passed_s
        late = [one for one in self.judge.waiting if one.deadline_s <= self.now_s]
        self.judge.waiting = [one for one in self.judge.waiting if one not in late]
        expired = self.dispatcher.expire(self.now_s)
        assert {one.request_id for one in expired} == {one.request_id for one in late}
        assert all(one.reason is RejectReason.DEADLINE for one in expired)
        self.place()

    def place(self) -> None:
        all_placed = self.dispatcher.next_placements(self.now_s)
        self.judge.see_reservations(self.reservations())
        for placed in all_placed:
            assert placed.request in self.judge.waiting, "did not wait"
            self.judge.check_placed(placed, self.now_s)
        self.judge.check_settled(self.now_s)

    def reservations(self) -> dict[str, tuple[str, str]]:
        """Look inside, as no decision shows whose room is kept."""
        reservations = self.dispatcher._placer.reservations
        found = {pool_id: reservations.of_pool(pool_id) for pool_id in STATE.pools}
        return {
            pool_id: (one.request_id, one.worker_id)
            for pool_id, one in found.items()
            if one is not None
        }

    @invariant()
    def counts_agree(self) -> None:
        waiting = self.dispatcher.waiting_counts
        running = self.dispatcher.running_counts
        assert sum(waiting.values()) == len(self.judge.waiting)
        for team in TEAMS:
            assert running.get(team, 0) == self.judge.team_running(team)
        for pool_id in STATE.pools:
            free = Resources()
            for worker_id in self.judge.held:
                if STATE.pool_of[worker_id] == pool_id:
                    free += self.judge.free(worker_id)
            assert self.dispatcher.free_room(pool_id) == free, pool_id
