"""Entry instance of the rights model, built from the production classes."""

from __future__ import annotations

from typing import Any

from cicadatrail_core.models import records as rec
from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.rights import (
    IncarnationId,
)
from cicadatrail_core.models.state import State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.rights.borrower import BorrowedSlots
from cicadatrail_core.rights.freeing import Reclaimer
from cicadatrail_core.rights.key_freshness import Current, KeyFreshness, may_report
from cicadatrail_core.rights.lease_grantor import LeaseGrantor
from cicadatrail_core.rights.ledger import RightsLedger
from cicadatrail_core.rights.lender import LentSlots
from cicadatrail_core.rights.proof import DeathProofs
from cicadatrail_core.rights.rights_lease import RightsLease
from features.support.rights_actions import act_at_random
from features.support.rights_world import (
    DRIFT,
    TEAM,
    KeyWithdrawal,
    Refusal,
    Task,
    World,
)


class SimNode:
    """One incarnation of an instance; subclasses weaken single parts of the rule."""

    rights_lease_class = RightsLease
    lease_grantor_class = LeaseGrantor
    reclaimer_class = Reclaimer
    key_freshness_class = KeyFreshness
    borrower_class = BorrowedSlots
    lender_class = LentSlots

    def __init__(self, world: World, name: str, region: str, number: int) -> None:
        timing = world.timing
        self.world = world
        self.name = name
        self.region = region
        self.incarnation = IncarnationId(f"{name}.{number}")
        self.rate = 1 + world.rng.uniform(-DRIFT, DRIFT)
        self.base_s = world.rng.uniform(0, 1000)
        self.clock_stops = False
        self.stopped_s = 0.0
        self.alive = True
        self.leaving = False
        self.listed = False
        self.machine_lost = False
        self.frozen_until_s = 0.0
        self.state: State = world.log.states[0]
        self.rights_lease = self.rights_lease_class(self.incarnation, timing)
        self.lease_grantor = self.lease_grantor_class(self.incarnation, timing)
        self.reclaimer = self.reclaimer_class(self.incarnation, timing)
        self.key_freshness = self.key_freshness_class(self.incarnation, timing)
        self.lender = self.lender_class(self.incarnation, timing)
        self.borrower = self.borrower_class(self.incarnation, timing)
        self.proofs = DeathProofs(timing)
        self.ledger = RightsLedger(self.incarnation)
        self.grant_numbers: dict[IncarnationId, int] = {}
        self.loan_offsets: dict[IncarnationId, int] = {}
        self.attested: dict[IncarnationId, int] = {}
        self.own_tasks: list[Task] = []
        self.folded_withdrawal_s: float | None = None

    @property
    def clock_s(self) -> float:
        return self.base_s + self.rate * (self.world.now_s - self.stopped_s)

    @property
    def lease_end_s(self) -> float:
        """Return the end of the node's lease in true time."""
        until_s = self.rights_lease.leased_until_s(self.state)
        return (until_s - self.base_s) / self.rate + self.stopped_s

    def freeze(self, length_s: float) -> None:
        until_s = self.world.now_s + length_s
        if self.clock_stops:
            self.stopped_s += length_s
        self.frozen_until_s = max(self.frozen_until_s, until_s)

    @property
    def active(self) -> bool:
        return self.alive and self.world.now_s >= self.frozen_until_s

    @property
    def may_use_rights(self) -> bool:
        if self.leaving:
            return False
        return self.rights_lease.may_use_rights(self.state, self.clock_s)

    @property
    def log_until_s(self) -> float:
        return self.rights_lease.log_until_s

    # Event loop

    def tick(self) -> None:
        if not self.alive:
            return
        rng = self.world.rng
        if not self.active:
            wake_s = self.frozen_until_s - self.world.now_s
            self.world.call_later(wake_s + rng.uniform(0, 0.01), self.tick)
            return
        self.read_log()
        self.run_housekeeping()
        self.renew_lease()
        self.renew_tasks()
        act_at_random(self)
        next_s = rng.uniform(0.2, 0.4) * self.world.timing.support_s
        self.world.call_later(next_s * self.world.tick_ratio, self.tick)

    def receive(self, message: Any) -> None:
        if not self.alive:
            return
        if not self.active:
            delay_s = self.frozen_until_s - self.world.now_s
            self.world.call_later(delay_s, self.receive, message)
            return
        match message:
            case SupportRequest():
                reply = self.lease_grantor.answer(self.state, message, self.clock_s)
                self.world.send(self, message.asker, reply)
            case SupportReply():
                self.note_lease_reply(message)
            case LoanRequest():
                self.world.send(self, message.borrower, self.answer_loan(message))
            case LoanGrant():
                self.note_grant(message)
            case Refusal(incarnation):
                self.proofs.note_refused(incarnation, self.clock_s)

    # The log

    def read_log(self) -> None:
        log = self.world.log
        for offset in range(
            self.state.next_offset, self.world.readable_end_offset(self)
        ):
            before, self.state = self.state, log.states[offset + 1]
            match log.records[offset]:
                case rec.PulseRecord() as record:
                    if record.incarnation == self.incarnation:
                        self.note_own_heartbeat(record)
                case rec.TransferRecord() as record:
                    self.note_transfer(before, record)
                case rec.LeaveRecord(incarnation):
                    self.proofs.note_left(incarnation, self.clock_s)
                case KeyWithdrawal():
                    if self.folded_withdrawal_s is None:
                        self.folded_withdrawal_s = self.world.now_s

    def note_own_heartbeat(self, record: rec.PulseRecord) -> None:
        self.rights_lease.note_heartbeat(record)

    def note_transfer(self, before: State, record: rec.TransferRecord) -> None:
        if not record.borrowed or record.taker != self.incarnation:
            return
        moved = self.borrower.note_takeover(before, self.state, record)
        if moved == 0:
            return
        self.ledger.start(TEAM, moved)
        self.world.event_counts["loans kept"] += moved
        for task in self.own_tasks:
            if task.lender == record.giver and moved > 0:
                task.lender = None
                moved -= 1

    def append(self, record: Any) -> None:
        self.world.append(self, record)

    def dead_since_s(self) -> dict[IncarnationId, float]:
        return dict(self.proofs.dead_since_s(self.state))

    def run_housekeeping(self) -> None:
        self.ledger.settle(self.state)
        self.lender.write_off(self.state)
        self.end_tasks()
        for record in self.ledger.pending:
            self.append(record)
        lenders = self.borrower.unsettled_lenders()
        for ack in self.lease_grantor.acknowledgements(
            self.state, self.clock_s, lenders
        ):
            self.append(ack)
        for takeover in self.borrower.takeover_records(self.state):
            if not self.ledger.pending:
                self.append(takeover)
        dead = self.dead_since_s()
        for free in self.reclaimer.records_due(self.state, self.clock_s, dead):
            self.append(free)
            self.world.event_counts["free records"] += 1
        self.report()

    def report(self) -> None:
        offset = self.world.log.withdrawal_offset()
        if self.folded_withdrawal_s is None or offset is None:
            return
        if self.world.reported_s is None and self.may_report(offset):
            self.world.reported_s = self.world.now_s
            self.world.event_counts["withdrawals reported"] += 1

    def may_report(self, offset: int) -> bool:
        own = {self.incarnation: self.state.next_offset}
        return may_report(self.state, offset, {**self.attested, **own})

    # Lease

    def renew_lease(self) -> None:
        pulse = self.rights_lease.start_heartbeat(self.state, self.clock_s, self.listed)
        self.append(pulse)
        request = self.rights_lease.start_request(self.state, self.clock_s)
        if request is None:
            return
        for other in self.state.roster:
            if other != self.incarnation:
                self.world.send(self, other, request)

    def note_lease_reply(self, reply: SupportReply) -> None:
        sent_s = self.rights_lease.request_sent_s(reply.number)
        self.rights_lease.note_reply(reply, self.clock_s)
        known = self.attested.get(reply.supporter, 0)
        self.attested[reply.supporter] = max(known, reply.folded_offset)
        if sent_s is not None:
            self.key_freshness.note_reply(reply, sent_s)

    def serves_key(self) -> bool:
        """Return whether a request with the model's key would be served now."""
        if self.folded_withdrawal_s is not None or not self.may_use_rights:
            return False
        judged = self.key_freshness.evaluate(
            self.state, self.clock_s, self.log_until_s, self.dead_since_s()
        )
        if not isinstance(judged, Current):
            return False
        if self.clock_s >= self.log_until_s:
            self.world.event_counts["keys judged by attestation"] += 1
        return True

    # Tasks and loans

    def free_own(self) -> int:
        lent = self.lender.outstanding_count(TEAM)
        return self.ledger.free_count(self.state, TEAM, lent)

    def free_borrowed(self) -> int:
        return self.borrower.free_count(self.state, TEAM, self.clock_s)

    def start_task(self) -> None:
        if not self.may_use_rights:
            return
        lender = None
        if self.free_own() > 0:
            self.ledger.start(TEAM)
        else:
            lender = self.borrower.start(self.state, TEAM, self.clock_s)
            if lender is None:
                return
            self.world.event_counts["tasks on loans"] += 1
        duration_s = self.world.rng.expovariate(0.7) * self.world.timing.support_s
        task = Task(
            owner=self.incarnation,
            lender=lender,
            end_s=self.world.now_s + duration_s,
            lease_until_s=self.world.now_s + self.world.timing.task_lease_s,
            limit_offset=self.limit_offset(lender),
        )
        self.own_tasks.append(task)
        self.world.tasks.append(task)

    def renew_tasks(self) -> None:
        if not self.rights_lease.may_use_rights(self.state, self.clock_s):
            return
        for task in self.own_tasks:
            if task.runs(self.world.now_s):
                lease_s = self.world.timing.task_lease_s
                task.lease_until_s = self.world.now_s + lease_s

    def end_tasks(self) -> None:
        ended = [t for t in self.own_tasks if not t.runs(self.world.now_s)]
        self.own_tasks = [t for t in self.own_tasks if t.runs(self.world.now_s)]
        for task in ended:
            if task.lender is None:
                self.ledger.end(TEAM)
            else:
                self.borrower.end(task.lender, TEAM)
        self.borrower.forget_ended(self.state)

    def answer_loan(self, request: LoanRequest) -> LoanGrant:
        self.world.event_counts["loan requests"] += 1
        remaining_s = self.rights_lease.leased_until_s(self.state) - self.clock_s
        end_s = min(self.lease_end_s, self.world.now_s + self.world.timing.support_s)
        known_s = self.world.loan_ends_s.get(self.incarnation, 0.0)
        self.world.loan_ends_s[self.incarnation] = max(known_s, end_s)
        key = (self.incarnation, request.borrower, request.number)
        self.world.grant_offsets.setdefault(key, self.state.next_offset)
        return self.lender.answer(
            self.state,
            request,
            lendable_count=0 if self.leaving else self.free_own(),
            allowance_count=self.ledger.slot_count(self.state, TEAM),
            remaining_s=remaining_s,
        )

    def note_grant(self, grant: LoanGrant) -> None:
        self.borrower.note_grant(grant)
        if grant.number > self.grant_numbers.get(grant.lender, 0):
            key = (grant.lender, grant.borrower, grant.number)
            self.grant_numbers[grant.lender] = grant.number
            self.loan_offsets[grant.lender] = self.world.grant_offsets[key]

    def limit_offset(self, lender: IncarnationId | None) -> int:
        """Return the oldest offset whose limit may admit a task that starts now."""
        own = self.state.next_offset
        return own if lender is None else min(own, self.loan_offsets[lender])

    def read_instance_list(self) -> None:
        shown = self.world.shown_instances()
        self.listed = self.listed or self.name in shown
        self.proofs.note_list(self.state, shown, self.clock_s, self.clock_s)

    def ask_loan(self, lender: IncarnationId, count: int) -> None:
        request = self.borrower.request(lender, TEAM, count, self.clock_s)
        self.world.send(self, lender, request)

    def withdraw_key(self) -> None:
        self.append(KeyWithdrawal())

    def join(self) -> None:
        """Append a join record, and repeat it until it has been folded."""
        if not self.alive or self.incarnation in self.state.roster:
            return
        place = Place(self.region, f"{self.region}-d")
        self.append(rec.JoinRecord(self.incarnation, self.name, "127.0.0.1", 1, place))
        self.world.call_later(0.5 * self.world.timing.support_s, self.join)
