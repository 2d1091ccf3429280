"""Steps about starts of long-running subtasks that are stored before they leave."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import msgpack
from behave import given, then, when

from cicadatrail_core.jobs.models import SubtaskName, WorkerReport
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatrail_core.jobs.state import Run, StepState
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.jobs.worker_state import LATE_START_S
from cicadatrail_core.leadership.acting_right import CONFIRMATION_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.workers import OrderAnswer, OrderOutcome
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader import Leader
from features.steps.restarted_workers_steps import WORKER, ReadingLeader
from features.support.crash_world import CrashWorld
from features.support.job_world import LEASE_LIMIT_S, definition
from features.support.platform_actions import JOB

STARTS_KEY = "lasting-starts"
LONG_S = 1000.0
WAIT_LIMIT_S = 20.0
SOON_S = 0.3
FIRST = SubtaskName(JOB, 0, 0, 0)

Change = Callable[[Leader, Run], None]


class _StoreAway:
    """A leader whose store is away as it sends a start, and what left nevertheless.

    Each start that left has the names and workers that were stored then.
    """

    def __init__(self) -> None:
        self.leader = ReadingLeader(has_more_ends=False).leader
        self.store: Any = self.leader._store
        self.starts: list[Any] = []
        self.early_count = 0

    async def _start(self, *arguments: Any) -> OrderAnswer:
        *_, may_leave = arguments
        if not may_leave():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        value = self.store.stored.get(STARTS_KEY)
        self.starts.append(value and msgpack.unpackb(value))
        return OrderAnswer(OrderOutcome.DONE, int(loop_now_s() * 1000))

    async def play(self, is_lasting: bool, change: Change) -> None:
        """Send a start, change something, and let the store come back."""
        leader = self.leader
        scheduler, worker = leader.scheduler, leader.scheduler.workers[WORKER]
        worker.facts = replace(worker.facts, capacity=Resources(8000, 64_000))
        now_s = loop_now_s()
        report = WorkerReport(int(now_s * 1000), worker.born_unix_ms, (), ())
        apply_report(scheduler, worker, report, now_s, now_s)
        tasks = [
            asyncio.create_task(leader.journal.run()),
            asyncio.create_task(leader._dispatch()),
        ]
        await leader.journal.flush()
        self.store.is_there.clear()
        job = scheduler.accept(JOB, definition(1, lasting=is_lasting), now_s)
        # An append is under way already, so that the start is in none yet.
        scheduler.changed_jobs[JOB] = None
        leader.journal.flush_soon()
        await asyncio.sleep(SOON_S)
        self.run = scheduler.place(StepState(job, 0, 0).subtasks[0], worker, now_s)
        with (
            patch.object(leader._client, "start", self._start),
            patch.object(leader.orders, "_is_fenced_for", return_value=True),
            patch.object(leader._client, "stop", return_value=OrderOutcome.UNKNOWN),
        ):
            leader.orders.send()
            await asyncio.sleep(SOON_S)
            change(leader, self.run)
            self.early_count = len(self.starts)
            self.store.is_there.set()
            await asyncio.sleep(SOON_S)
        self.pending_count = len(leader.orders._tasks)
        leader.orders.close()
        leader.links.close()
        for task in tasks:
            task.cancel()


def _play(context: Any, is_lasting: bool, change: Change) -> None:
    async def scenario() -> None:
        context.away = _StoreAway()
        await context.away.play(is_lasting, change)

    asyncio.run(scenario())


@when("a leader starts a {kind} subtask while the store is away")
def step_start(context: Any, kind: str) -> None:
    context.is_lasting = kind == "long-running"
    _play(context, context.is_lasting, lambda leader, run: None)


@then("{count:d} starts have left, and the one that waited has when the store is back")
def step_left(context: Any, count: int) -> None:
    assert context.away.early_count == count, context.away.early_count
    assert len(context.away.starts) == 1, context.away.starts


@then("the start was stored with its worker as it left, if it is long-running")
def step_stored(context: Any) -> None:
    (stored,) = context.away.starts
    assert stored == ([[str(FIRST), WORKER]] if context.is_lasting else None), stored


@when(
    "a leader starts a long-running subtask while the store is away, and"
    " the run is stopped"
)
def step_stopped(context: Any) -> None:
    _play(context, True, lambda leader, run: leader.scheduler.stop(run))


@when(
    "a leader starts a long-running subtask while the store is away, and"
    " its worker is removed"
)
def step_removed_meanwhile(context: Any) -> None:
    def remove(leader: Leader, run: Run) -> None:
        leader.scheduler.remove_worker(WORKER, loop_now_s(), "replaced")

    _play(context, True, remove)


@then("no start has left when the store is back, and none waits")
def step_given_up(context: Any) -> None:
    away = context.away
    assert not away.starts, away.starts
    assert not away.pending_count
    assert away.run not in away.run.subtask.live_runs


@when("a long-running start is refused and repeated on the same worker at once")
def step_repeated(context: Any) -> None:
    async def scenario() -> None:
        leader = ReadingLeader(has_more_ends=False).leader
        scheduler, records = leader.scheduler, leader._records
        worker, now_s = scheduler.workers[WORKER], loop_now_s()
        job = scheduler.accept(JOB, definition(1, lasting=True), now_s)
        subtask = StepState(job, 0, 0).subtasks[0]
        context.are_stored = []
        for _ in range(2):
            run = scheduler.place(subtask, worker, now_s)
            storing = asyncio.create_task(records.lasting_starts.store(run))
            await asyncio.sleep(0)
            if records.has_changes():
                records.collect()[1]()
            await asyncio.sleep(0)
            context.are_stored.append(storing.done())
            scheduler.release_refused(run, now_s, "late")
            storing.cancel()

    asyncio.run(scenario())


@then("both have been stored before they leave")
def step_both_stored(context: Any) -> None:
    assert context.are_stored == [True, True], context.are_stored


@given(
    "{count:d} long-running subtasks on a worker that is lost as the leader is killed"
)
def step_lost(context: Any, count: int, **step: Any) -> None:
    world = context.world = CrashWorld(context.stack, 2, 8)
    world.worker("w1").is_cordoned = True
    world.durations_s[JOB] = LONG_S
    world.submit(JOB, definition(count, 1, lasting=True, **step))
    world.advance(1.0)
    assert len(world.sims["w0"].running) == count
    world.silent.add("w0")


@given(
    "a gang of {count:d} long-running subtasks on a worker that is lost as the"
    " leader is killed"
)
def step_gang_lost(context: Any, count: int) -> None:
    step_lost(context, count, gang=True)


def _put(context: Any, record: str) -> None:
    rows = {
        "the start of the first on that worker": [[str(FIRST), "w0"]],
        "the start of the first on an unknown worker": [[str(FIRST), "gone"]],
        "the start of another occurrence there": [
            [str(SubtaskName(JOB, 1, 0, 0)), "w0"]
        ],
        "more starts on that worker than are stored": [
            [str(SubtaskName(JOB, 0, 0, 2 + index)), "w0"] for index in range(1001)
        ],
    }
    stored = context.world.stored
    if record == "a record of starts that can't be read":
        stored[STARTS_KEY] = b"\xc1"
    elif record in rows:
        stored[STARTS_KEY] = msgpack.packb(rows[record])
    else:
        assert record == "no start", record
    _fail_over(context, 2)


def _fail_over(context: Any, epoch: int) -> None:
    context.changed_s = context.world.now_s
    context.world.fail_over(epoch)


@when("the store has {record}, and the successor is killed after {seconds:g} s")
def step_killed_in_turn(context: Any, record: str, seconds: float) -> None:
    _put(context, record)
    context.world.advance(seconds)
    _fail_over(context, 3)
    context.world.advance(WAIT_LIMIT_S)


@when("the store has {record}, for {seconds:g} s")
def step_has_for(context: Any, record: str, seconds: float) -> None:
    _put(context, record)
    context.world.advance(seconds)


@when("the store has {record}, and that worker answers without it")
def step_answers_without(context: Any, record: str) -> None:
    sim = context.world.sims["w0"]
    del sim.running[FIRST]
    context.world.worker("w1").is_cordoned = False
    step_answers(context, record)


@when("the store has {record}, and that worker answers")
def step_answers(context: Any, record: str) -> None:
    _put(context, record)
    context.world.advance(0.5)
    context.world.silent.clear()
    context.world.advance(0.5)


@when("the store has {record}, and that worker is removed")
def step_removed(context: Any, record: str) -> None:
    _put(context, record)
    context.world.advance(0.5)
    context.world.scheduler.remove_worker("w0", context.world.now_s, "replaced")
    context.world.advance(0.5)


@when("the store has {record}")
def step_has(context: Any, record: str) -> None:
    _put(context, record)
    context.world.advance(WAIT_LIMIT_S)


@then("these of them start again only when a lease up to the limit is over: {waiting}")
def step_wait(context: Any, waiting: str) -> None:
    world = context.world
    least_s = CONFIRMATION_S + LEASE_LIMIT_S / (1 - CLOCK_DRIFT)
    late = []
    for index in range(2):
        (_, again_s) = world.start_times_s[SubtaskName(JOB, 0, 0, index)]
        if again_s - context.changed_s >= least_s:
            late.append(str(index))
    assert late == ([] if waiting == "none" else waiting.split()), world.start_times_s


@then("the successor stores one start, of any subtask on that worker")
def step_one_row(context: Any) -> None:
    assert msgpack.unpackb(context.world.stored[STARTS_KEY]) == [["", "w0"]]


@then("no start is stored any more, and the first waits for none")
def step_dropped(context: Any) -> None:
    world = context.world
    assert msgpack.unpackb(world.stored[STARTS_KEY]) == []
    subtask = world.scheduler.jobs[JOB].subtask(FIRST)
    assert subtask is not None
    assert not subtask.may_run_unseen


@then(
    "the first starts on that worker again, and stays stored until it can't be"
    " started late"
)
def step_starts_there(context: Any) -> None:
    world = context.world
    subtask = world.scheduler.jobs[JOB].subtask(FIRST)
    assert subtask is not None
    assert [run.worker.facts.worker_id for run in subtask.live_runs] == ["w0"]
    assert msgpack.unpackb(world.stored[STARTS_KEY]) == [[str(FIRST), "w0"]]
    world.advance(LATE_START_S)
    world.store()
    assert msgpack.unpackb(world.stored[STARTS_KEY]) == []
