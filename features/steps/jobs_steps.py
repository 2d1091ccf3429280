"""Steps about the scheduler, driven without a network by ``JobWorld``."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from behave import given, step, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from cicadatrail_core.jobs.durations import Durations
from cicadatrail_core.jobs.evacuation import evacuate
from cicadatrail_core.jobs.models import (
    EndKind,
    JobDefinition,
    JobPhase,
    Step,
    SubtaskName,
    Team,
)
from cicadatrail_core.jobs.pacing import plan_pace
from cicadatrail_core.jobs.records import (
    apply_progress,
    decode_definition,
    encode_definition,
    encode_progress,
)
from cicadatrail_core.jobs.state import (
    JobState,
    RunPhase,
    StepState,
    SubtaskPhase,
)
from cicadatrail_core.jobs.worker_leases import renew_lease
from cicadatrail_core.jobs.worker_state import LATE_START_S
from cicadatrail_core.models.resources import Resources
from features.support.job_world import (
    LATEST_START_S,
    LEASE_S,
    JobWorld,
    RandomHistory,
    configuration,
    definition,
)

JOB = "00000000000000a1"
OTHER = "00000000000000b2"
RESTART_S = 0.3


@given("a scheduler with {count:d} workers of {cores:d} cores")
@given("a scheduler with {count:d} worker of {cores:d} cores")
def step_scheduler(context: Any, count: int, cores: int) -> None:
    context.world = JobWorld(count, cores)
    context.world.report_all()


@step("{count:d} subtasks of {cores:d} cores run")
def step_run(context: Any, count: int, cores: int) -> None:
    context.job = context.world.submit(JOB, definition(count, cores))
    context.runs = context.world.run_all()
    assert len(context.runs) == count, context.runs


@step("the team may have {cores:d} cores running")
def step_limit(context: Any, cores: int) -> None:
    scheduler = context.world.scheduler
    scheduler.configuration = configuration(Resources(cores * 1000))


@when("{count:d} subtasks of {cores:d} cores are ready")
def step_ready(context: Any, count: int, cores: int) -> None:
    context.job = context.world.submit(JOB, definition(count, cores))
    context.count = count
    context.runs = context.world.run_all()


@then("{count:d} are started and the rest wait")
def step_started(context: Any, count: int) -> None:
    assert len(context.runs) == count, len(context.runs)
    waiting = context.job.occurrences[0][0].ready
    assert len(waiting) == context.count - count


@when("one of them is stopped")
def step_stop(context: Any) -> None:
    context.world.submit(OTHER, definition(1, 4))
    context.world.scheduler.stop(context.runs[0])


@then("no other subtask starts before its end is listed")
def step_none_before(context: Any) -> None:
    assert context.world.dispatch() == []
    context.world.report_all()
    assert context.world.dispatch() == []


@then("another subtask starts after its end is listed")
def step_after_end(context: Any) -> None:
    sim = context.world.sims["w0"]
    sim.end(context.runs[0].subtask.name, EndKind.STOPPED)
    context.world.report_all()
    assert len(context.world.dispatch()) == 1


@given("two teams with weights {light:d} and {heavy:d} that submit much more than fits")
def step_two_teams(context: Any, light: int, heavy: int) -> None:
    world = context.world
    teams = {
        "light": Team("light", ("a",), light),
        "heavy": Team("heavy", ("b",), heavy),
    }
    world.scheduler.configure(replace(configuration(), version=2, teams=teams))
    plan = definition(1, 1)
    for number in range(60):
        world.submit(f"{number:016x}", replace(plan, team="light"))
        world.submit(f"{number + 100:016x}", replace(plan, team="heavy"))


@when("subtasks end one after the other")
def step_end_in_turn(context: Any) -> None:
    world = context.world
    world.run_all()
    context.used = []
    for sim in [*world.sims.values()] * 20:
        sim.end(next(iter(sim.running)), EndKind.DONE)
        world.report(sim.worker_id)
        world.run_all()
        used = world.scheduler.team_used
        context.used.append(
            (used["light"].cpu_millicores, used["heavy"].cpu_millicores)
        )


@then("the teams share the pool at about {light:d} to {heavy:d}")
def step_shares(context: Any, light: int, heavy: int) -> None:
    few, many = context.used[-1]
    share = few / (few + many)
    assert abs(share - light / (light + heavy)) <= 0.1, context.used[-3:]


@when("the worker restarts while a start request is in flight")
def step_restart_in_flight(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1, 3))
    (context.run,) = world.dispatch()
    sim = world.sims[context.run.worker.facts.worker_id]
    sim.started_ms += 1
    world.report(sim.worker_id)


@then("the subtask starts nowhere else while the request is in flight")
def step_request_in_flight(context: Any) -> None:
    world = context.world
    for _ in range(3):
        world.tick(0.1)
        world.report_all()
        assert world.dispatch() == []
        assert world.stops() == []


@then("the run counts once the new incarnation has received the request")
def step_request_received(context: Any) -> None:
    world = context.world
    world.carry_out(context.run)
    world.report_all()
    assert world.dispatch() == []
    assert context.run in context.run.subtask.live_runs


@when("a start gets no answer and the worker does not list it")
def step_unanswered(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1))
    (context.run,) = world.dispatch()
    renew_lease(world.scheduler, context.run.worker, world.now_s)
    context.run.start_expires_s = context.run.worker.lease_expires_s
    context.run.mark_unanswered(world.now_s)
    world.now_s += 0.01
    world.report_all()


@then("the run is sent again to its worker and the subtask starts nowhere else")
def step_unanswered_repeated(context: Any) -> None:
    assert context.world.stops() == []
    assert context.world.dispatch() == [context.run]
    assert context.run.subtask.live_runs == [context.run]
    assert context.run.worker.used.cpu_millicores == 3000


@then("after a stop it starts again only once the first order can't be carried out")
def step_unanswered_resolved(context: Any) -> None:
    world = context.world
    sent_s = world.now_s
    context.run.mark_refused(world.now_s)
    world.scheduler.stop(context.run)
    assert world.stops() == [context.run]
    context.run.stop_acked_s = world.now_s
    world.now_s += 0.01
    assert world.dispatch() == []
    changes: list[float] = []
    world.scheduler.on_change = lambda: changes.append(world.now_s)
    while world.now_s < sent_s + LATEST_START_S:
        world.report_all()
        assert world.dispatch() == []
        changes.clear()
        world.tick(1.0)
        assert changes, "no scheduling pass would follow"
    assert not context.run.subtask.live_runs
    world.tick(LATE_START_S - LATEST_START_S)
    world.report_all()
    (run,) = world.dispatch()
    assert run.number > context.run.number


@when("a start gets no answer and the worker lists it as running")
def step_unanswered_listed(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1))
    (context.run,) = world.dispatch()
    context.run.mark_unanswered(world.now_s)
    sim = world.sims[context.run.worker.facts.worker_id]
    sim.running[context.run.subtask.name] = context.run.number
    world.now_s += 0.01
    world.report_all()


@when("a start is listed before its call ends without an answer")
def step_listed_first(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1))
    (context.run,) = world.dispatch()
    sim = world.sims[context.run.worker.facts.worker_id]
    sim.running[context.run.subtask.name] = context.run.number
    world.report_all()
    context.run.mark_unanswered(world.now_s)


@then("nothing is polled for its outcome")
def step_not_polled(context: Any) -> None:
    assert context.run.unanswered_s is None
    assert not context.run.is_start_unknown


@then("the run counts as running")
def step_is_running(context: Any) -> None:
    assert context.run.phase is RunPhase.RUNNING
    assert context.world.stops() == []


@when("their worker is silent")
def step_silent(context: Any) -> None:
    context.silent = context.runs[0].worker.facts.worker_id
    context.moved = [
        run for run in context.runs if run.worker.facts.worker_id == context.silent
    ]


@when("their worker is silent while it is polled repeatedly")
def step_silent_polled(context: Any) -> None:
    step_silent(context)
    context.world.worker(context.silent).is_suspect = True


@when("one of its workers is silent and another is evacuated")
def step_silent_evacuated(context: Any) -> None:
    world = context.world
    context.runs[0].worker.is_suspect = True
    context.runs[1].worker.is_cordoned = True
    evacuate(world.scheduler, context.runs[1].worker, world.now_s, world.now_s)


@then("no subtask is stopped")
def step_none_stopped(context: Any) -> None:
    assert context.world.stops() == []


def _report_others(context: Any) -> None:
    silent = context.world.worker(context.silent)
    if silent.is_suspect:
        # A retry of the call requests a new lease deadline to send.
        renew_lease(context.world.scheduler, silent, context.world.now_s)
    for name in context.world.sims:
        if name != context.silent:
            context.world.report(name)


@then("nothing is restarted before the lease can have expired")
def step_not_before(context: Any) -> None:
    world = context.world
    began_s = world.now_s
    while world.now_s < began_s + LEASE_S:
        world.tick(0.25)
        _report_others(context)
        assert world.dispatch() == [], world.now_s - began_s


@then("everything is restarted elsewhere after that")
def step_elsewhere(context: Any) -> None:
    world = context.world
    world.tick(0.5)
    _report_others(context)
    runs = world.dispatch()
    assert len(runs) == len(context.moved)
    assert all(run.worker.facts.worker_id != context.silent for run in runs)


@when("a job of two steps has one subtask of the first step left")
def step_two_steps(context: Any) -> None:
    world = context.world
    need = Resources(1000, 10)
    steps = (Step(3, need), Step(2, need, after=(0,)))
    world.submit(JOB, JobDefinition("q", "team", "s", steps))
    context.runs = world.run_all()
    assert len(context.runs) == 3
    for run in context.runs[:2]:
        world.sims[run.worker.facts.worker_id].end(run.subtask.name, EndKind.DONE)
    world.report_all()


@then("nothing of the second step starts")
def step_no_second(context: Any) -> None:
    assert context.world.dispatch() == []


@then("it starts when the last one is done")
def step_second(context: Any) -> None:
    world = context.world
    run = context.runs[2]
    world.sims[run.worker.facts.worker_id].end(run.subtask.name, EndKind.DONE)
    world.report_all()
    assert len(world.dispatch()) == 2


@when("an older run's failed end arrives after a newer one's")
def step_older_end(context: Any) -> None:
    world = context.world
    context.job = world.submit(JOB, definition(1))
    (first,) = world.run_all()
    silent = first.worker.facts.worker_id
    (other,) = [name for name in world.sims if name != silent]
    world.sims[silent].end(first.subtask.name, EndKind.FAILED)
    world.worker(silent).is_suspect = True
    while world.now_s <= world.worker(silent).lease_expires_s:
        world.tick(0.3)
        world.report(other)
    (second,) = world.run_all()
    world.sims[other].end(second.subtask.name, EndKind.FAILED)
    world.report(other)
    world.report(silent)


@then("both failures are counted")
def step_both(context: Any) -> None:
    assert len(context.job.occurrences[0][0].subtasks[0].failed_runs) == 2


@when("the last attempt of a subtask is lost with a silent worker")
def step_last_attempt(context: Any) -> None:
    world = context.world
    context.job = world.submit(JOB, definition(1))
    for _ in range(2):
        (run,) = world.run_all()
        sim = world.sims[run.worker.facts.worker_id]
        sim.end(run.subtask.name, EndKind.FAILED)
        world.report_all()
    (run,) = world.run_all()
    context.silent = run.worker.facts.worker_id
    world.worker(context.silent).is_suspect = True
    (context.known,) = [name for name in world.sims if name != context.silent]
    while world.now_s <= world.worker(context.silent).lease_expires_s + 1:
        world.tick(0.3)
        world.report(context.known)


@then("it does not start again before the worker reports how it ended")
def step_outcome_awaited(context: Any) -> None:
    world = context.world
    assert world.dispatch() == []
    world.report(context.silent)
    assert len(world.dispatch()) == 1


@when("a failed end is listed in two reports and to a successor")
def step_repeated_end(context: Any) -> None:
    world = context.world
    world.submit(JOB, definition(1))
    (run,) = world.run_all()
    name = run.worker.facts.worker_id
    world.sims[name].end(run.subtask.name, EndKind.FAILED)
    world.report(name, forget=False)
    world.report(name, forget=False)
    world.fail_over(2)
    world.report(name, forget=False)


@then("one failure is counted")
def step_one_failure(context: Any) -> None:
    job = context.world.scheduler.jobs[JOB]
    assert len(job.occurrences[0][0].subtasks[0].failed_runs) == 1


@given("a successor with {count:d} workers and an inherited job")
def step_successor(context: Any, count: int) -> None:
    context.world = JobWorld(count)
    context.world.report_all()
    context.world.submit(JOB, definition(2))
    context.former = context.world.run_all()
    context.world.fail_over(2)


@when("one worker has answered and the other has not")
def step_one_answered(context: Any) -> None:
    world = context.world
    context.silent = context.former[0].worker.facts.worker_id
    (context.known,) = [name for name in world.sims if name != context.silent]
    world.sims[context.known].running.clear()
    world.report(context.known)


@then("nothing of the inherited job starts")
def step_inherited_waits(context: Any) -> None:
    assert context.world.dispatch() == []


@then("a new job starts on the worker that has answered")
def step_new_starts(context: Any) -> None:
    context.world.submit(OTHER, definition(1))
    (run,) = context.world.run_all()
    assert run.worker.facts.worker_id == context.known
    assert run.subtask.step.job.job_id == OTHER


@then("the inherited job starts after the other worker's lease has expired")
def step_inherited_starts(context: Any) -> None:
    world = context.world
    while world.now_s < world.worker(context.silent).lease_expires_s:
        assert world.dispatch() == []
        world.tick(0.3)
        world.report(context.known)
    runs = world.dispatch()
    assert [run.subtask.step.job.job_id for run in runs] == [JOB, JOB][: len(runs)]
    assert runs


@when("both workers answer and one lists a run of the job")
def step_adopts(context: Any) -> None:
    world = context.world
    kept = context.former[0]
    for sim in world.sims.values():
        sim.running = {
            name: run for name, run in sim.running.items() if name == kept.subtask.name
        }
    world.report_all()
    context.kept = kept.subtask.name


@then("that subtask is not started again and the others are")
def step_adopted(context: Any) -> None:
    runs = context.world.dispatch()
    assert [run.subtask.name for run in runs] == [SubtaskName(JOB, 0, 0, 1)]
    assert context.kept == SubtaskName(JOB, 0, 0, 0)


@then("its run numbers are above those of the epoch before")
def step_numbers(context: Any) -> None:
    for sim in context.world.sims.values():
        sim.running.clear()
    context.world.report_all()
    runs = context.world.dispatch()
    most = max(run.number for run in context.former)
    assert runs and all(run.number > most for run in runs)


@when("a gang of {count:d} subtasks of {cores:d} cores is ready")
def step_gang(context: Any, count: int, cores: int) -> None:
    context.world.submit(JOB, definition(count, cores, gang=True))


@then("nothing starts")
def step_nothing(context: Any) -> None:
    assert context.world.dispatch() == []


@then("with another worker all three start with one run number")
def step_gang_starts(context: Any) -> None:
    world = context.world
    sim = type(world.sims["w0"])("w9", 8)
    world.sims["w9"] = sim
    world.scheduler.update_worker(world.facts(sim), world.now_s)
    world.report_all()
    runs = world.dispatch()
    assert len(runs) == 3
    assert len({run.number for run in runs}) == 1


@when("a job repeats 3 times, every 2 seconds from 5 seconds on")
def step_repeats(context: Any) -> None:
    world = context.world
    plan = JobDefinition(
        "q",
        "team",
        "s",
        (Step(1, Resources(1000, 1)),),
        repeat_count=3,
        first_due_unix_ms=world.now_ms + 5000,
        interval_ms=2000,
    )
    context.began_s = world.now_s
    world.submit(JOB, plan)


@then("0, 1, 2 and 3 occurrences have started 4, 5.1, 7.1 and 9.1 seconds on")
def step_occurrences(context: Any) -> None:
    world = context.world
    started = 0
    seen = []
    for due_s in (4.0, 5.1, 7.1, 9.1):
        while world.now_s < context.began_s + due_s:
            world.tick(0.05)
            world.report_all()
            started += len(world.run_all())
        seen.append(started)
    assert seen == [0, 1, 2, 3], seen


@step("a long-running step of 3 subtasks that may miss 1 is at work")
def step_long_running(context: Any) -> None:
    world = context.world
    plan = definition(3, 2, lasting=True, may_miss_count=1, spread_limit_count=3)
    job = world.submit(JOB, plan)
    # One on each worker, independent of the placement policy.
    context.runs = [
        world.scheduler.place(subtask, world.worker(name), world.now_s)
        for subtask, name in zip(
            job.occurrences[0][0].subtasks, world.sims, strict=True
        )
    ]
    world.scheduler.starts.clear()
    for run in context.runs:
        world.carry_out(run)
        run.percent = 100
    for sim in world.sims.values():
        sim.percent = 100
    assert len({run.worker.facts.worker_id for run in context.runs}) == 3


@when("two of its workers are evacuated")
def step_evacuated(context: Any) -> None:
    world = context.world
    for run in context.runs[:2]:
        run.worker.is_cordoned = True
    for run in context.runs[:2]:
        evacuate(world.scheduler, run.worker, world.now_s, world.now_s)


@then("one subtask is stopped at a time")
def step_one_stopped(context: Any) -> None:
    world = context.world
    first, second, _ = context.runs
    assert world.stops() == [first]
    sim = world.sims[first.worker.facts.worker_id]
    sim.end(first.subtask.name, EndKind.STOPPED)
    world.report(sim.worker_id)
    (again,) = world.run_all()
    evacuate(world.scheduler, second.worker, world.now_s, world.now_s)
    assert world.stops() == [], "the moved subtask is not at work yet"
    again.percent = 100
    evacuate(world.scheduler, second.worker, world.now_s, world.now_s)
    assert world.stops() == [second]


@when("one of them is draining")
def step_drains(context: Any) -> None:
    world = context.world
    facts = world.facts(world.sims["w0"], draining=True)
    world.scheduler.update_worker(facts, world.now_s)
    world.submit(JOB, definition(6, 2))
    context.runs = world.run_all()


@then("every start goes to the other")
def step_other(context: Any) -> None:
    assert context.runs
    assert {run.worker.facts.worker_id for run in context.runs} == {"w1"}


@when("the worker reports a newer incarnation")
def step_new_incarnation(context: Any) -> None:
    sim = context.world.sims["w0"]
    sim.running.clear()
    sim.started_ms += 5
    context.world.now_s += RESTART_S
    context.world.report("w0")


@when("the worker reports a newer incarnation that runs one of them")
def step_new_incarnation_one(context: Any) -> None:
    sim = context.world.sims["w0"]
    del sim.running[context.runs[0].subtask.name]
    sim.started_ms += 5
    context.world.now_s += RESTART_S
    context.world.report("w0")


@then("only the other is ready again")
def step_one_ready(context: Any) -> None:
    ready = context.job.occurrences[0][0].ready
    assert list(ready.values()) == [context.runs[0].subtask]
    assert context.world.worker("w0").used.cpu_millicores == 4000


@then("both subtasks are ready again and its capacity is free")
def step_capacity_free(context: Any) -> None:
    worker = context.world.worker("w0")
    assert worker.used == Resources()
    assert len(context.job.occurrences[0][0].ready) == 2


@when("the job is cancelled and a successor takes over before the runs have ended")
def step_cancel_succeed(context: Any) -> None:
    world = context.world
    world.scheduler.cancel(context.job, world.now_s)
    assert context.job.has_runs
    world.fail_over(2)
    world.report_all()


@then("the successor stops the runs and counts them until they have ended")
def step_counted(context: Any) -> None:
    world = context.world
    assert len(world.stops()) == 2
    world.submit(OTHER, definition(1, 4))
    assert world.dispatch() == []
    sim = world.sims["w0"]
    for name in list(sim.running):
        sim.end(name, EndKind.STOPPED)
    world.report_all()
    assert len(world.dispatch()) == 1
    assert not world.scheduler.jobs[JOB].has_runs


@when("a call to the worker fails after its ends were stored")
def step_suspect(context: Any) -> None:
    world = context.world
    world.sims["w0"].end(context.runs[0].subtask.name, EndKind.DONE)
    world.report_all()
    assert world.worker("w0").acknowledged_end == 1
    world.worker("w0").is_suspect = True


@then("the next call acknowledges no end and nothing starts there")
def step_no_acknowledgement(context: Any) -> None:
    world = context.world
    assert world.worker("w0").acknowledged_end == 0
    world.submit(OTHER, definition(1, 1))
    assert world.dispatch() == []
    world.report_all()
    assert len(world.dispatch()) == 1


@step("a serving subtask with a target of 100 ms and a best-effort one run there")
def step_best_effort(context: Any) -> None:
    world = context.world
    serving = definition(1, 2, lasting=True, target_tail_ms=100)
    world.submit(JOB, serving)
    world.submit(OTHER, definition(1, 8, filler=True))
    context.runs = world.run_all()
    assert len(context.runs) == 2, (
        "a best-effort subtask's processor time is not reserved"
    )
    context.serving = next(r for r in context.runs if not r.subtask.step.spec.filler)
    context.best_effort = next(r for r in context.runs if r.subtask.step.spec.filler)


@then("a tail latency of 150 ms throttles best-effort work to 30 and then to 0 percent")
def step_throttles(context: Any) -> None:
    context.serving.measurement = 150
    worker = context.world.worker("w0")
    for percent in (30, 0):
        planned = plan_pace(worker, context.world.now_s)
        assert planned == [(context.best_effort, percent)], planned
        context.best_effort.paced_percent = percent
    assert plan_pace(worker, context.world.now_s) == []


@then("a tail latency of 50 ms restores its speed in steps after a delay")
def step_recovers(context: Any) -> None:
    context.serving.measurement = 50
    worker = context.world.worker("w0")
    now_s = context.world.now_s
    assert plan_pace(worker, now_s) == []
    assert plan_pace(worker, now_s + 1.0) == []
    assert plan_pace(worker, now_s + 1.6) == [(context.best_effort, 20)]


@step("the queue needs advice")
def step_advice(context: Any) -> None:
    scheduler = context.world.scheduler
    queue = replace(scheduler.queues["q"], needs_advice=True)
    scheduler.queues["q"] = queue


@then("with a ticket for one worker both start there until the ticket expires")
def step_ticket(context: Any) -> None:
    world = context.world
    state = context.job.occurrences[0][0]
    state.tickets = {"w1": "ticket"}
    state.tickets_expire_s = world.now_s - 0.1
    assert world.dispatch() == []
    state.tickets_expire_s = world.now_s + 5
    runs = world.dispatch()
    assert [run.worker.facts.worker_id for run in runs] == ["w1", "w1"]


@then("estimates that are off by a factor of ten are corrected to within a half")
def step_durations(context: Any) -> None:
    durations = Durations()
    choice = random.Random(1)
    for _ in range(100):
        durations.learn("q", int(800 * choice.choice((0.1, 1, 10))), 0.8)
    for estimate_ms in (80, 8000):
        expected_ms = durations.expected_ms("q", estimate_ms)
        assert 400 < expected_ms < 1200, expected_ms
    assert durations.expected_ms("other", 80) == 80


_NEEDS = st.builds(Resources, st.integers(0, 9999), st.integers(0, 99), st.just(0))


@st.composite
def _steps(draw: Any) -> tuple[Step, ...]:
    steps = []
    for position in range(draw(st.integers(1, 4))):
        after = draw(st.sets(st.integers(0, position - 1))) if position else set()
        steps.append(
            Step(
                draw(st.integers(1, 20)),
                draw(_NEEDS),
                draw(st.integers(0, 9000)),
                tuple(sorted(after)),
                saves_progress=draw(st.booleans()),
                lasting=draw(st.booleans()),
                image=draw(st.sampled_from(["", "image"])),
                may_miss_count=draw(st.integers(0, 3)),
            )
        )
    return tuple(steps)


@then("random jobs and their progress decode to what was encoded")
def step_coding(context: Any) -> None:
    @any_of(_steps(), st.text(max_size=20), st.randoms())
    def survive(steps: tuple[Step, ...], spec: str, choice: Any) -> None:
        plan = JobDefinition("q", "t", spec, steps, submitted_unix_ms=5)
        assert decode_definition(encode_definition(plan)) == plan
        job = JobState(JOB, plan, 0.0)
        job.occurrences[0] = [StepState(job, 0, k) for k in range(len(steps))]
        for state in job.occurrences[0]:
            for subtask in state.subtasks:
                if choice.random() < 0.4:
                    subtask.phase = SubtaskPhase.DONE
                    state.done_count += 1
                elif choice.random() < 0.5:
                    subtask.failed_runs = {7, 77}
                    subtask.checkpoint = "abc"
        restored = JobState(JOB, plan, 0.0)
        apply_progress(restored, encode_progress(job))
        assert restored.phase is JobPhase.PENDING
        assert encode_progress(restored) == encode_progress(job)

    survive()


@then("random histories of starts, ends, silence and successors violate no invariant")
def step_histories(context: Any) -> None:
    @any_of(st.integers(0, 10**9))
    def keeps(seed: int) -> None:
        RandomHistory(seed).play(150)

    keeps()
