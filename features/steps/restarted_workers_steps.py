"""Steps about workers that restart under their id while nobody looks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import msgpack
from behave import then, when

from cicadatrail_core.jobs.models import (
    RunningRow,
    SubtaskName,
    WorkerFacts,
    WorkerReport,
)
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatrail_core.jobs.state import StepState
from cicadatrail_core.jobs.worker_leases import lease_end_s, renew_lease
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.leadership.acting_right import CONFIRMATION_S
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.settings import PlatformSettings
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.platform.workers import OrderOutcome
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.long_leases import LongLeases
from cicadatraild.scheduling.worker_links import LIST_WAIT_MS
from cicadatraild.scheduling.worker_lives import WorkerLives
from features.steps.ended_lives_steps import StoppedStore
from features.support.job_world import LEASE_LIMIT_S, JobWorld, definition
from features.support.sampled_values import sample
from features.support.takeover_pair import TakeoverPair

OTHER = "00000000000000b9"
WORKER = "w0"
PAUSE_S = 0.2
WAIT_LIMIT_S = 20.0


def _take_over(context: Any) -> RunningRow:
    """Have a new leader restore a worker that isn't listed; return what runs there."""
    world, sim = context.world, context.busy
    row = RunningRow(context.name, sim.running[context.name], "", 10)
    # The entry has expired, so that only the stored list of workers has it.
    del world.sims[sim.worker_id]
    world.fail_over(2)
    context.worker = world.worker(sim.worker_id)
    (other,) = world.sims
    world.report(other)
    return row


@when("that worker had restarted before, and the new leader reads all of its lists")
def step_all_lists(context: Any) -> None:
    world = context.world
    row = _take_over(context)
    report = WorkerReport(world.now_ms, context.busy.started_ms + 5, (row,), ())
    apply_report(world.scheduler, context.worker, report, world.now_s, world.now_s)
    context.run = context.worker.runs[context.name, row.run]
    # Ends may have to be stored before the next poll renews the lease.
    world.former_leases.update()
    world.tick(0.1)


@then("the subtask still counts as running there, and starts nowhere else")
def step_still_running(context: Any) -> None:
    assert context.run in context.run.subtask.live_runs
    assert context.name not in [run.subtask.name for run in context.world.dispatch()]


@when(
    "the new leader does not reach that worker, and a later life is listed"
    " after {seconds:g} s"
)
def step_listed_later(context: Any, seconds: float) -> None:
    world, sim = context.world, context.busy
    world.silent.add(sim.worker_id)
    world.fail_over(2)
    context.changed_s = world.now_s
    world.advance(seconds)
    facts = world.worker(sim.worker_id).facts
    later = replace(facts, born_unix_ms=facts.born_unix_ms + 1000)
    world.scheduler.update_worker(later, world.now_s)
    world.advance(WAIT_LIMIT_S)


@then("the subtask starts again only when a lease up to the limit is over")
def step_waits_for_limit(context: Any) -> None:
    world = context.world
    (_, again_s) = world.start_times_s[context.name]
    least_s = CONFIRMATION_S + LEASE_LIMIT_S / (1 - CLOCK_DRIFT)
    assert again_s - context.changed_s >= least_s, again_s - context.changed_s


@when("their worker restarts, answers another start, and is then read as restarted")
def step_answers_start(context: Any) -> None:
    world = context.world
    worker = context.runs[0].worker
    sim = world.sims[worker.facts.worker_id]
    sim.running.clear()
    sim.started_ms += 1000
    for other in world.scheduler.workers.values():
        other.is_cordoned = other is not worker
    worker.facts = replace(worker.facts, capacity=Resources(16_000, 64_000))
    world.submit(OTHER, definition(1, 4))
    (context.run,) = world.run_all()
    world.now_s += 0.01
    row = RunningRow(context.run.subtask.name, context.run.number, "", 10)
    report = WorkerReport(world.now_ms, sim.started_ms, (row,), ())
    apply_report(world.scheduler, worker, report, world.now_s, world.now_s)


@then("that start still counts before the lease is renewed")
def step_start_counts(context: Any) -> None:
    context.world.tick(0.03)
    assert context.run in context.run.subtask.live_runs


@when("a worker is read as restarted and empty, answers a start and is cut off")
def step_read_empty(context: Any) -> None:
    world = context.world
    world.report_all()
    world.sims[WORKER].started_ms += 1000
    context.read_s = world.now_s
    world.report(WORKER)
    world.tick(0.01)
    for other in world.scheduler.workers.values():
        other.is_cordoned = other.facts.worker_id != WORKER
    world.submit(OTHER, definition(1, 4))
    (context.run,) = world.run_all()


@when("a worker of {age_s:g} s with a run answers a new leader and is cut off")
def step_young(context: Any, age_s: float) -> None:
    world = context.world
    world.report_all()
    world.submit(OTHER, definition(1, 4))
    (run,) = world.run_all()
    worker_id = run.worker.facts.worker_id
    world.fail_over(2)
    worker, born_ms = world.worker(worker_id), world.sims[worker_id].started_ms
    worker.may_hold_former_lease = True
    row = RunningRow(run.subtask.name, run.number, "", 10)
    report = WorkerReport(int(age_s * 1000), born_ms, (row,), ())
    apply_report(world.scheduler, worker, report, world.now_s, world.now_s)
    renew_lease(world.scheduler, worker, world.now_s)
    context.read_s = world.now_s
    context.run = worker.runs[run.subtask.name, run.number]


@then("that run counts for {least_s:g} s, and no longer than {most_s:g} s")
def step_counts(context: Any, least_s: float, most_s: float) -> None:
    world = context.world
    for seconds, counts in ((least_s, True), (most_s, False)):
        world.tick(context.read_s + seconds - world.now_s)
        assert (context.run in context.run.subtask.live_runs) is counts, seconds


class ReadingLeader:
    """A leader whose worker runs nothing, and each read of its lists.

    With ``has_more_ends`` its ends don't fit into one answer.
    """

    def __init__(self, has_more_ends: bool) -> None:
        self.read_count = 0
        self._has_more_ends = has_more_ends
        store: Any = StoppedStore()
        office = Leadership(store, "node", "host", lambda _: None, lambda _: None)
        self.leader = Leader(sample(PlatformSettings), store, office, 3, list)
        self.leader._client.read_lists = self._read  # type: ignore[assignment, method-assign]
        self._facts = replace(sample(WorkerFacts), worker_id=WORKER)
        self.know_worker()

    def know_worker(self) -> None:
        self.leader.scheduler.update_worker(self._facts, loop_now_s())

    async def _read(self, facts: WorkerFacts, *arguments: object) -> WorkerReport:
        self.read_count += 1
        await asyncio.sleep(PAUSE_S / 10)
        now_ms = int(loop_now_s() * 1000)
        is_complete = not self._has_more_ends
        return WorkerReport(now_ms, facts.born_unix_ms, (), (), is_complete)

    async def play(self, change: Callable[[], None]) -> None:
        """Read the worker for a while, before and after a change."""
        journal = asyncio.create_task(self.leader.journal.run())
        self.leader.links.follow_scheduler()
        await asyncio.sleep(PAUSE_S)
        change()
        self.leader.links.follow_scheduler()
        await asyncio.sleep(PAUSE_S)
        self.read_count = 0
        await asyncio.sleep(PAUSE_S)
        self.leader.links.close()
        journal.cancel()


@when("a new leader that awaits a listed life reads a stored lease of {left_s:g} s")
def step_reads_lease(context: Any, left_s: float) -> None:
    world = context.world = JobWorld(1)
    context.worker = world.worker(WORKER)
    context.worker.later_life_until_s = world.now_s + 6.8
    value = msgpack.packb([(WORKER, left_s)])
    LongLeases(world.scheduler).restore(value, world.now_s, world.now_s)


@then("it still awaits that life for {left_s:g} s")
def step_awaits(context: Any, left_s: float) -> None:
    assert context.worker.later_life_until_s >= context.world.now_s + left_s


@when("a leader stores its fleet before and after a restart, and another restores it")
def step_stores_fleet(context: Any) -> None:
    async def scenario() -> None:
        records = ReadingLeader(has_more_ends=False).leader._records
        worker = records._scheduler.workers[WORKER]
        stored: dict[str, KeyedRecord] = {}
        for _ in range(2):
            if records.has_changes():
                stored |= {record.key: record for record in records.collect()[0]}
            worker.born_unix_ms += 1000
            worker.facts = replace(worker.facts, born_unix_ms=worker.born_unix_ms)
        other = ReadingLeader(has_more_ends=False).leader
        other.scheduler.workers[WORKER].facts = replace(
            worker.facts, born_unix_ms=worker.born_unix_ms - 1000
        )
        other._records.restore([*stored.values()])
        context.worker = other.scheduler.workers[WORKER]

    asyncio.run(scenario())


@then("the other awaits no later life")
def step_awaits_none(context: Any) -> None:
    assert context.worker.later_life_until_s == 0.0


@when("sending a start fails unexpectedly at a worker that has answered")
def step_start_fails(context: Any) -> None:
    async def scenario() -> None:
        leader = ReadingLeader(has_more_ends=False).leader
        scheduler, worker = leader.scheduler, leader.scheduler.workers[WORKER]
        now_s = loop_now_s()
        report = WorkerReport(60_000, worker.born_unix_ms, (), ())
        apply_report(scheduler, worker, report, now_s, now_s)
        job = scheduler.accept(OTHER, definition(1), now_s)
        context.run = scheduler.place(
            StepState(job, 0, 0).subtasks[0], worker, loop_now_s()
        )
        with patch.object(leader._client, "start", side_effect=KeyError(OTHER)):
            await leader.orders._start_or_keep(context.run)
        context.left_s = lease_end_s(context.run) - loop_now_s()

    asyncio.run(scenario())


@then("its lease may last for {least_s:g} s")
def step_lease_lasts(context: Any, least_s: float) -> None:
    assert context.left_s >= least_s, context.left_s


@when("a worker's former life is heard of {seconds:g} s after the present one")
def step_former_life_late(context: Any, seconds: float) -> None:
    client: Any = None
    context.lives, context.worker = WorkerLives(client), JobWorld(1).worker(WORKER)
    born_unix_ms = context.worker.born_unix_ms
    with patch("cicadatraild.scheduling.worker_lives.boot_now_s") as clock:
        clock.return_value = 1.0
        context.lives.record_answer(context.worker, born_unix_ms)
        clock.return_value += seconds
        context.lives.record_answer(context.worker, born_unix_ms - 1)
        context.is_same = context.lives.is_same(context.worker)


@then("the present life does not count as having just answered")
def step_not_same(context: Any) -> None:
    assert not context.is_same


@when("the order to bar a late start fails unexpectedly at first")
def step_bar_fails(context: Any) -> None:
    async def scenario() -> None:
        leader = ReadingLeader(has_more_ends=False).leader
        worker, name = leader.scheduler.workers[WORKER], SubtaskName(OTHER, 0, 0, 0)
        worker.unanswered_starts[name, 1] = loop_now_s()
        outcomes = [KeyError(OTHER), OrderOutcome.DONE]
        with patch.object(leader._client, "stop", side_effect=outcomes) as stop:
            await leader.orders._bar(worker, name, 1)
        context.bar_count = stop.call_count

    asyncio.run(scenario())


@then("it is sent again, and the start is barred")
def step_barred(context: Any) -> None:
    assert context.bar_count == 2


@when("a start gets no answer, its stop is acknowledged, and the worker restarts")
def step_stopped_before(context: Any) -> None:
    world = context.world
    world.report_all()
    world.submit(OTHER, definition(1, 4))
    (context.run,) = world.dispatch()
    run, worker = context.run, context.run.worker
    run.mark_unanswered(world.now_s)
    world.scheduler.stop(run)
    assert world.stops() == [run]
    world.now_s += 0.1
    run.stop_acked_s = world.now_s
    world.now_s += 0.1
    world.sims[worker.facts.worker_id].started_ms += 1000
    world.report(worker.facts.worker_id)


@then("that run counts until the next life has acknowledged its stop")
def step_stopped_again(context: Any) -> None:
    world, run = context.world, context.run
    assert run in run.subtask.live_runs
    assert world.stops() == [run]
    run.stop_acked_s = world.now_s
    world.now_s += 0.1
    world.report(run.worker.facts.worker_id)
    assert run not in run.subtask.live_runs


@when("a worker is removed and known again before the next scheduling pass")
def step_know_again(context: Any) -> None:
    async def scenario() -> None:
        context.reading = reading = ReadingLeader(has_more_ends=False)

        def change() -> None:
            reading.leader.scheduler.remove_worker(WORKER, loop_now_s(), "moved")
            reading.know_worker()

        await reading.play(change)

    asyncio.run(scenario())


@then("the leader reads its lists again")
def step_reads_again(context: Any) -> None:
    assert context.reading.read_count


@when("a worker leaves the list before all of its ends were read")
def step_leaves(context: Any) -> None:
    async def scenario() -> None:
        context.reading = reading = ReadingLeader(has_more_ends=True)
        (worker,) = reading.leader.scheduler.workers.values()
        await reading.play(lambda: setattr(worker, "is_listed", False))

    asyncio.run(scenario())


@then("the leader still waits for them")
def step_waits(context: Any) -> None:
    assert WORKER in context.reading.leader.scheduler.workers
    assert context.reading.read_count


@when("a leader has read the end of a run, and goes on polling its worker")
def step_poll_on(context: Any) -> None:
    context.pair = pair = TakeoverPair()
    pair.end_run()
    pair.calls.clear()
    for _ in range(5):
        pair.poll(pair.former_links)


@then("one call that did not wait acknowledged the end, and no other call")
def step_one_call(context: Any) -> None:
    calls = context.pair.calls
    assert [call for call in calls if call[0]] == [(1, 0)], calls
    assert [wait_ms for _, wait_ms in calls].count(LIST_WAIT_MS) >= 2, calls
