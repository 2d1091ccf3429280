"""Steps about service under scarcity and late jobs."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

from behave import given, then, when

from cicadatrail_core.jobs import dispatch
from cicadatrail_core.jobs.models import EndKind, JobDefinition, JobPhase, Step
from cicadatrail_core.jobs.scarcity import LateJob, Standing, judge
from cicadatrail_core.jobs.service_window import read_standing, reading_age_s
from cicadatrail_core.models.resources import Resources
from features.support.overload_world import OverloadWorld

WHOLE = Step(1, Resources(16_000, 10), 1000)
HUGE = Step(1, Resources(1_000_000, 10), 1000)
FORMER_S = 60.0


def _plan(team: str) -> JobDefinition:
    return JobDefinition("plain", team, "s", (WHOLE,))


class FullWorker:
    """One worker with room for one job at a time, which takes 1 s."""

    def __init__(self) -> None:
        self.world = OverloadWorld(1, 1.0, True).world
        for name in [*self.world.sims][1:]:
            self.world.scheduler.remove_worker(name, self.world.now_s, "gone")
            del self.world.sims[name]
        self.count = 0

    def submit(self, team: str, age_s: float = 0.0) -> str:
        self.count += 1
        job = self.world.submit(f"{self.count:016x}", _plan(team))
        job.accepted_s -= age_s
        return job.job_id

    def finish(self, team: str, taken_s: float, ended_ago_s: float) -> None:
        """Add a job that is done."""
        job = self.world.scheduler.jobs[self.submit(team, taken_s)]
        self.world.scheduler.finish(job, JobPhase.COMPLETED, self.world.now_s)
        job.ended_s -= ended_ago_s
        job.accepted_s -= ended_ago_s

    def play_second(self) -> list[str]:
        """Submit a job in time, let 1 s pass and return the teams that start."""
        self.submit("calm")
        started = []
        for _ in range(10):
            for sim in self.world.sims.values():
                runs = self.world.scheduler.workers[sim.worker_id].runs
                for (name, _), run in [*runs.items()]:
                    if self.world.now_s - run.sent_s >= 1 and name in sim.running:
                        sim.end(name, EndKind.DONE)
            self.world.tick(0.1)
            self.world.report_all()
            started += [
                r.subtask.step.job.definition.team for r in self.world.run_all()
            ]
        return started


def _play(late_count: int, limit_s: float, age_s: float = 6.0) -> list[str]:
    """Return the teams in order of start, until each late job has started."""
    full = FullWorker()
    started = full.play_second()
    for _ in range(late_count):
        full.submit("small", age_s)
    for _ in range(int(limit_s)):
        started += full.play_second()
        if started.count("small") == late_count:
            break
    return started


@given("a worker that is always full of work in time")
def step_full(context: Any) -> None:
    context.started = []


@when("{count:d} late jobs wait and it is played in this order and in the former one")
def step_both(context: Any, count: int) -> None:
    context.count = count
    context.started = _play(count, FORMER_S)
    with patch.object(dispatch, "read_standing_if_due", lambda *_: None):
        context.former = _play(count, FORMER_S)


@then("all of them start within {limit_s:d} s and in the former order none does")
def step_bounded(context: Any, limit_s: int) -> None:
    assert context.started.count("small") == context.count, context.started
    assert len(context.started) <= limit_s, context.started
    assert "small" not in context.former


@when("{count:d} late jobs of over 20 s wait until all have had their turn")
def step_many(context: Any, count: int) -> None:
    context.started = _play(count, FORMER_S, age_s=30.0)
    assert context.started.count("small") == count


@when("a late job larger than the worker waits before another late one")
def step_huge(context: Any) -> None:
    full = FullWorker()
    started = full.play_second()
    huge = full.world.submit("f" * 16, JobDefinition("plain", "hot", "s", (HUGE,)))
    huge.accepted_s -= 7.0
    full.submit("small", 6.0)
    while "small" not in started and len(started) < FORMER_S:
        started += full.play_second()
    context.started = started


@then("the other starts within {limit_s:d} s")
def step_other(context: Any, limit_s: int) -> None:
    assert "small" in context.started
    assert len(context.started) <= limit_s, context.started


@then("at least as many jobs in time have started")
def step_share(context: Any) -> None:
    assert context.started.count("calm") >= context.started.count("small")


@given(
    "a team with 1 of 4 jobs in time and one with all, of which 2 ended 11 s ago",
)
def step_shares(context: Any) -> None:
    full = context.full = FullWorker()
    for number in range(4):
        full.finish("small", 1.0 if number == 0 else 9.0, 1.0)
        full.finish("calm", 1.0, 1.0 if number % 2 else 11.0)
    full.finish("small", 9.0, 11.0)


@then("their shares are {small:g} and {calm:g}")
def step_their_shares(context: Any, small: float, calm: float) -> None:
    world = context.full.world
    standing = read_standing(world.scheduler, world.now_s)
    assert standing.team_shares == {"small": small, "calm": calm}, standing


@then("a successor that has seen no job end gives none")
def step_successor(context: Any) -> None:
    world = context.full.world
    queues = world.scheduler.queues
    world.fail_over(2)
    world.scheduler.queues.update(queues)
    assert all(job.is_final for job in world.scheduler.jobs.values())
    for job in world.scheduler.jobs.values():
        job.ended_s = world.now_s
    assert not read_standing(world.scheduler, world.now_s).team_shares


@given("a late job whose queue moves from one pool to another")
def step_moves(context: Any) -> None:
    context.standing = judge((), [LateJob("a", "one", 0, 0.0)], Standing(), 30.0)


@when("{seconds:d} seconds have passed")
def step_passed(context: Any, seconds: int) -> None:
    late = [LateJob("a", "other", 0, 0.0)]
    context.standing = judge((), late, context.standing, 30.0 + seconds)


@then("only the other pool has a turn")
def step_only_other(context: Any) -> None:
    assert [*context.standing.turns] == [("other", 0)], context.standing


@when("there are {count:d} jobs")
def step_many_jobs(context: Any, count: int) -> None:
    context.age_s = reading_age_s(count)


@then("a reading of them is used for {age:f} s")
def step_reading_age(context: Any, age: float) -> None:
    assert context.age_s == age, context.age_s
