"""Random histories of leaders that follow each other while workers are cut off."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import ExitStack, suppress
from typing import Any
from unittest.mock import patch

from cicadatrail_core.jobs.models import SubtaskName
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatrail_core.jobs.state import Run
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.leadership.acting_right import OUTAGE_LIMIT_S
from cicadatraild.platform.store import FencedError, KeyedRecord
from cicadatraild.scheduling import former_leases
from cicadatraild.scheduling.former_leases import FormerLeases
from cicadatraild.scheduling.last_answers import UNANSWERED_KEY, LastAnswers
from cicadatraild.scheduling.leader_right import ConfirmationRound
from cicadatraild.scheduling.leadership import SILENCE_LIMIT_S, Leadership
from features.support.crash_world import STEP_S
from features.support.job_world import definition
from features.support.leadership_topic import Answer
from features.support.series_world import SeriesWorld

# ruff: noqa: SLF001

WORKER_COUNT = 6
INSTANCE_COUNT = 4
JOB = "00000000000000a1"
ACTIONS = {
    "hand over": 8,
    "hand over at once": 3,
    "hand over unheard": 2,
    "kill": 2,
    "cut off the leader": 2,
    "cut off workers": 4,
    "join workers": 3,
    "restart workers under their ids": 2,
    "unlist workers": 2,
    "list workers": 2,
}


class SeriesHistory(SeriesWorld):
    """Actions drawn at random; ``doubles`` has the subtasks that ran twice at once.

    The clocks of workers run slow, and so does that of a leader which is cut off.
    """

    def __init__(self, stack: ExitStack, seed: int, has_old: bool) -> None:
        self.random = random.Random(seed)
        self.doubles: list[tuple[float, SubtaskName]] = []
        self.has_old = has_old
        # Workers whose requests arrive while their answers don't.
        self.unheard: set[str] = set()
        # Epoch of a leader that is cut off, until when it acts, and its workers.
        self.former: tuple[int, float, set[str]] = (0, 0.0, set())
        self.late: list[tuple[float, str, int, SubtaskName, int, int, float]] = []
        self.unlisted: set[str] = set()
        self.counts: Counter[str] = Counter()
        super().__init__(stack, INSTANCE_COUNT, WORKER_COUNT)
        self.durations_s[JOB] = 1e6
        plan = definition(4, 3, lasting=True, spread_limit_count=1)
        self.submit(JOB, plan)
        self.advance(1.0)

    def new_instance(self, position: int) -> Leadership:
        instance = super().new_instance(position)
        if self.has_old and position == INSTANCE_COUNT - 1:
            right: Any = instance.right
            right.last_answers.apply = lambda record: record.key == UNANSWERED_KEY
            right.handed_over = lambda epoch: KeyedRecord("other", b"x")
        return instance

    def play(self, action_count: int) -> None:
        names, weights = [*ACTIONS], [*ACTIONS.values()]
        for _ in range(action_count):
            (name,) = self.random.choices(names, weights)
            self.counts[name] += 1
            self.are_fresh = self.random.random() < 0.5
            getattr(self, name.replace(" ", "_"))()
            self.advance(self.random.choice((0.0, 0.1, 0.3, 1.0, 2.0, 4.0)))

    # Actions

    def hand_over_at_once(self) -> None:
        """Hand over to one that does so before it has taken over."""
        position = self.instances.index(self.leading)
        others = [i for k, i in enumerate(self.instances) if k != position]
        first = self.random.choice(others)
        self.store()
        self.call(self.leading.release(first._host))
        self.leading.claims_disabled = False
        self.follow()
        self.claim(first)
        self.leading = first
        self.hand_over()

    def hand_over_unheard(self) -> None:
        """Hand over by a record that is stored late, after a claim, or not at all."""
        self.store()
        self.topic.answer = Answer.LATE
        former = self.leading
        self.call(former.release(""))
        former.claims_disabled = False
        self.topic.answer = Answer.GIVEN
        late, self.topic.late = self.topic.late, None
        successor = self.random.choice(self.instances)
        self.wait(SILENCE_LIMIT_S + 0.1)
        turn = self.random.choice(("before", "after", "never"))
        if late is not None and turn == "before":
            self.topic.topic, _ = self.topic.topic.add(late)
        self.follow()
        self.claim(successor)
        if late is not None and turn == "after":
            with suppress(FencedError):
                self.topic.topic, _ = self.topic.topic.add(late)
        self.begin_term(successor)
        self.confirm(successor)

    def kill(self) -> None:
        self.store()
        position = self.instances.index(self.leading)
        self.instances[position] = self.new_instance(position)
        self.succeed(position)

    def cut_off_the_leader(self) -> None:
        """The leader goes on with some workers, with or without confirmations."""
        self.store()
        position = self.instances.index(self.leading)
        kept = set(self.random.sample(sorted(self.sims), 2))
        self.silent |= kept
        is_confirmed = self.random.random() < 0.5
        limit_s = OUTAGE_LIMIT_S if is_confirmed else 1.0
        until_s = self.renewed_s + limit_s / (1 - CLOCK_DRIFT)
        self.former = (self.scheduler.settings.epoch, until_s, kept)
        self.instances[position] = self.new_instance(position)
        self.succeed(position, can_confirm=not is_confirmed)

    def succeed(self, position: int, can_confirm: bool = True) -> None:
        self.wait(SILENCE_LIMIT_S + 0.1)
        self.follow()
        successor = self.instances[(position + 1) % INSTANCE_COUNT]
        self.claim(successor)
        self.begin_term(successor)
        if can_confirm and self.random.random() < 0.7:
            self.confirm(successor)

    def confirm(self, successor: Leadership) -> None:
        confirmed_s = {i._host: self.now_s for i in self.instances if i != successor}
        successor.apply_round(
            ConfirmationRound(successor.held_epoch, self.now_s, confirmed_s, False)
        )

    def cut_off_workers(self) -> None:
        for worker_id in self.random.sample(sorted(self.sims), 2):
            if self.random.random() < 0.5:
                self.unheard.add(worker_id)
            else:
                self.silent.add(worker_id)

    def join_workers(self) -> None:
        self.silent -= set(self.random.sample(sorted(self.sims), 3))
        self.unheard -= set(self.random.sample(sorted(self.sims), 3))

    def restart_workers_under_their_ids(self) -> None:
        if len(self.sims) < WORKER_COUNT - 1:
            return
        self.down_s = self.random.choice((0.5, 2.0, 5.0))
        self.crash(self.sims[self.random.choice(sorted(self.sims))])

    def unlist_workers(self) -> None:
        """Workers go on that are missing from the list."""
        self.unlisted |= set(self.random.sample(sorted(self.sims), 1))
        for worker_id in self.unlisted & {*self.scheduler.workers}:
            self.worker(worker_id).is_listed = False

    def list_workers(self) -> None:
        for worker_id in self.unlisted & {*self.sims}:
            self.scheduler.update_worker(self.facts(self.sims[worker_id]), self.now_s)
        self.unlisted.clear()

    def new_scheduler(self, epoch: int) -> Scheduler:
        sims = self.sims
        self.sims = {w: sim for w, sim in sims.items() if w not in self.unlisted}
        try:
            return super().new_scheduler(epoch)
        finally:
            self.sims = sims

    # What happens in each step

    def wait(self, seconds: float) -> None:
        """Let time pass without a leader that others reach."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.former_renews()
            self.tick(STEP_S)
            self.check()

    def advance_step(self) -> None:
        self.former_renews()
        self.start_late()
        for worker_id in self.silent | self.unheard:
            if worker_id in self.scheduler.workers:
                self.worker(worker_id).mark_failed(self.now_s)
        super().advance_step()
        self.check()

    def former_renews(self) -> None:
        epoch, until_s, kept = self.former
        for worker_id in kept & self.silent & {*self.sims}:
            sim = self.sims[worker_id]
            if self.now_s < until_s and sim.token <= epoch:
                self.grant(worker_id, self.now_s + 3.5)

    def grant(self, worker_id: str, deadline_s: float) -> None:
        """Renew a lease up to a time that a slow clock reaches late."""
        sim = self.sims[worker_id]
        left_s = (deadline_s - self.now_s) / (1 - CLOCK_DRIFT)
        sim.deadline_s = max(sim.deadline_s, self.now_s + left_s)

    def report(self, name: str, forget: bool = True) -> None:
        worker, sim = self.scheduler.workers.get(name), self.sims[name]
        if name not in self.unheard:
            super().report(name, forget)
        if worker is None:
            return
        sim.token = max(sim.token, self.scheduler.settings.epoch)
        deadline_ms = renew_lease(self.scheduler, worker, self.now_s)
        if deadline_ms is not None:
            self.grant(name, deadline_ms / 1000)
        if name in self.unheard:
            worker.mark_failed(self.now_s)

    def start(self, run: Run) -> None:
        worker_id = run.worker.facts.worker_id
        if self.random.random() > 0.2:
            super().start(run)
            return
        deadline_ms = renew_lease(self.scheduler, run.worker, self.now_s)
        if deadline_ms is None:
            return
        run.is_start_pending = False
        run.start_expires_s = run.worker.lease_expires_s
        run.mark_unanswered(self.now_s)
        self.silent.add(worker_id)
        left_s = (deadline_ms / 1000 - self.now_s) / (1 - CLOCK_DRIFT)
        self.late.append(
            (
                self.now_s + self.random.uniform(0, 4.0),
                worker_id,
                self.sims[worker_id].started_ms,
                run.subtask.name,
                run.number,
                self.scheduler.settings.epoch,
                self.now_s + left_s,
            )
        )

    def start_late(self) -> None:
        for entry in [*self.late]:
            due_s, worker_id, started_ms, name, number, epoch, deadline_s = entry
            if self.now_s < due_s:
                continue
            self.late.remove(entry)
            sim = self.sims.get(worker_id)
            if sim is None or sim.started_ms != started_ms:
                # Deadlines on the clock of an earlier life are not looked at here.
                continue
            is_new = number > max(sim.ended.get(name, 0), sim.running.get(name, 0))
            if self.now_s < deadline_s and sim.token <= epoch and is_new:
                sim.running[name] = number
                self.due_s[name, number] = 1e9
                sim.deadline_s = max(sim.deadline_s, deadline_s)
                self.counts["late start"] += 1

    def check(self) -> None:
        running = Counter(name for sim in self.sims.values() for name in sim.running)
        self.doubles += [(self.now_s, n) for n, count in running.items() if count > 1]


def play_series(seed: int, has_old: bool = False, fault: str = "") -> SeriesHistory:
    """Play a random history, in which a rule of the hand-over may be left out."""
    with ExitStack() as stack:
        if fault:
            stack.enter_context(FAULTS[fault]())
        world = SeriesHistory(stack, seed, has_old)
        world.play(25)
        return world


def _all_unanswered() -> Any:
    """Return a patch that tells of every worker what is known of those not reached."""

    clock: Any = former_leases

    def unanswered(leases: FormerLeases) -> dict[str, float]:
        now_s = clock.loop_now_s()
        return {w: leases._until_s(w) - now_s for w in leases._known_first}

    return patch.object(FormerLeases, "unanswered", unanswered)


def _any_epoch() -> Any:
    begin = LastAnswers.begin

    def begin_any(answers: LastAnswers, epoch: int) -> None:
        begin(answers, answers._stored.epoch)

    return patch.object(LastAnswers, "begin", begin_any)


def _none_before() -> Any:
    record = LastAnswers.record

    def record_none(answers: LastAnswers, epoch: int, former_left_s: float) -> Any:
        return record(answers, epoch, 0.0)

    return patch.object(LastAnswers, "record", record_none)


FAULTS = {
    "earlier leaders are told of as over": _none_before,
    "workers that were reached are told of": _all_unanswered,
    "an older record counts": _any_epoch,
}
