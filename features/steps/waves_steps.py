"""Steps of waves.feature and waves_histories.feature."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from behave import given, then, when
from returns.result import Failure

from cicadatrail_core.fold import availability, maintenance
from cicadatrail_core.models import patches
from cicadatrail_core.models.fleet import DrainPolicy
from cicadatrail_core.models.maintenance import (
    StepStatus,
    Wave,
    WaveAction,
    WaveStatus,
    WorkingHours,
)
from cicadatrail_core.models.records import PauseRecord, StepRecord
from cicadatrail_core.waves.drain import RunningTask, decide_drain
from cicadatrail_core.waves.forecast import (
    WorkTimes,
    forecast_s,
    lower_bound_s,
    over_working_hours_s,
)
from cicadatrail_core.waves.planner import DrainingKnowledge, plan_waves
from features.support.waves_machine import run_machine
from features.support.waves_mutants import mutant
from features.support.waves_simulation import (
    FleetShape,
    WaveSimulation,
    draw_times,
    make_fleet,
)
from features.support.waves_small_fleet import REPORTER, small_state

HOUR_S = 3600.0
CI_HISTORY_COUNT = 100
MUTANT_HISTORY_COUNT = 1000
UNLIMITED_COUNT = 1000


@when("random histories of waves, moves and failures are folded")
def step_fold_histories(context: Any) -> None:
    run_machine(CI_HISTORY_COUNT)


@when("{count:d} random histories of waves, moves and failures are folded")
def step_fold_many_histories(context: Any, count: int) -> None:
    run_machine(count, seed=random.SystemRandom().randrange(10**6))


@then("the waves broke no rule")
def step_no_rule_broken(context: Any) -> None:
    """The previous step raises if a rule is broken."""


@when("the {kind} are folded by a mutant in which {broken}")
def step_fold_with_mutant(context: Any, kind: str, broken: str) -> None:
    context.detected = None
    try:
        with mutant(broken):
            run_machine(MUTANT_HISTORY_COUNT, shrink=False)
    except AssertionError as error:
        context.detected = error


@then("the random histories detect the mutant")
def step_mutant_detected(context: Any) -> None:
    assert context.detected is not None


FAULTY_WAVES = {
    "no target": Wave("v", WaveAction.REBOOT),
    "an unknown pool": Wave("v", WaveAction.REBOOT, pool_id="nowhere"),
    "two unknown workers": Wave("v", WaveAction.REBOOT, worker_ids=("x", "y")),
    "bad limits": Wave(
        "v",
        WaveAction.REBOOT,
        pool_id="a",
        concurrency_limit_count=0,
        failure_limit_count=0,
    ),
    "bad hours": Wave(
        "v", WaveAction.REBOOT, pool_id="a", working_hours=WorkingHours(-1, 25)
    ),
}


@when("a wave is started with {fault}")
def step_start_faulty(context: Any, fault: str) -> None:
    operation = patches.StartWave(FAULTY_WAVES[fault])
    context.result = maintenance.start_wave(small_state(), operation, "operations[2]")


@then("the wave is refused at {places}")
def step_refused_at(context: Any, places: str) -> None:
    match context.result:
        case Failure(findings):
            assert [finding.place for finding in findings] == places.split()
        case _:
            raise AssertionError(context.result)


def whole_fleet_wave(simulation: WaveSimulation, **options: Any) -> Wave:
    return Wave(
        **{
            "wave_id": "wave",
            "action": WaveAction.REBOOT,
            "worker_ids": tuple(simulation.state.workers),
            "concurrency_limit_count": UNLIMITED_COUNT,
            **options,
        }
    )


def make_simulation(context: Any, seed: int) -> WaveSimulation:
    fleet = make_fleet(context.shape)
    rng = random.Random(seed)
    times = draw_times(fleet, rng, context.drain_s, context.maintenance_s)
    return WaveSimulation(fleet, times)


@given("a wave over {pools:d} pools of {size:d} with a budget of {budget:d}")
@given(
    "two waves and a move over {pools:d} pools of {size:d} with a budget of {budget:d}"
)
def step_fleet(context: Any, pools: int, size: int, budget: int) -> None:
    context.shape = FleetShape(pools, size, limit_count=budget)
    context.drain_s, context.maintenance_s = 60.0, 120.0


@given("drains of about {drain:d} s and maintenance of about {maintenance:d} s")
def step_times(context: Any, drain: int, maintenance: int) -> None:
    context.drain_s, context.maintenance_s = float(drain), float(maintenance)


@when("the wave is run with {count:d} seeds")
def step_run_wave(context: Any, count: int) -> None:
    context.ratios = []
    context.forecasts = []
    context.simulations = []
    for seed in range(count):
        simulation = make_simulation(context, seed)
        simulation.start_wave(whole_fleet_wave(simulation))
        bound_s = drawn_lower_bound_s(simulation, "wave")
        half_s = bound_s / 2
        forecasts = [forecast_end_s(context, simulation)]
        simulation.run(half_s)
        forecasts.append(half_s + forecast_end_s(context, simulation))
        simulation.run()
        context.forecasts.append((forecasts, simulation.now_s))
        context.ratios.append(simulation.now_s / bound_s)
        context.simulations.append(simulation)


def forecast_end_s(context: Any, simulation: WaveSimulation) -> float:
    progress = simulation.state.waves["wave"]
    times = WorkTimes(context.drain_s, context.maintenance_s)
    end_s = forecast_s(simulation.state, progress, times, second_of_day=0.0)
    assert end_s is not None
    return end_s


@then("its forecasts at the start and halfway are within {part:d} % of the end")
def step_forecasts(context: Any, part: int) -> None:
    for forecasts, end_s in context.forecasts:
        for forecast in forecasts:
            assert abs(forecast - end_s) <= part / 100 * end_s, context.forecasts


def drawn_lower_bound_s(simulation: WaveSimulation, wave_id: str) -> float:
    """Return the bound for the drawn drain and maintenance times, in seconds."""
    work_s = {
        name: times.drain_s + times.maintenance_s
        for name, times in simulation.times.items()
    }
    progress = simulation.state.waves[wave_id]
    bound_s = lower_bound_s(simulation.state, progress, WorkTimes(0.0, 0.0, work_s))
    assert bound_s is not None
    return bound_s


@then("the wave takes at most {limit:f} times its lower bound on {measure}")
def step_ratio(context: Any, limit: float, measure: str) -> None:
    ratios = context.ratios
    ratio = max(ratios) if measure == "worst" else sum(ratios) / len(ratios)
    assert ratio <= limit, ratios


@then("the wave breaks no budget and writes no step that the fold refuses")
def step_no_breach(context: Any) -> None:
    for simulation in context.simulations:
        assert simulation.state.waves["wave"].status is WaveStatus.DONE
        assert simulation.breach_count == 0
        assert simulation.refused_count == 0


@when("{broken} don't return from maintenance")
def step_run_with_failures(context: Any, broken: str) -> None:
    simulation = make_simulation(context, seed=1)
    names = list(simulation.state.workers)
    counts = {"all workers": len(names), "the first rack": 4, "the first worker": 1}
    simulation.failing_workers = frozenset(names[: counts[broken]])
    simulation.start_wave(whole_fleet_wave(simulation))
    simulation.run()
    context.simulation = simulation


@then("the wave is {status} after at most {lost:d} lost workers")
def step_paused(context: Any, status: str, lost: int) -> None:
    simulation = context.simulation
    assert simulation.state.waves["wave"].status is WaveStatus(status)
    steps = [step for _, step in simulation.state.waves["wave"].steps]
    assert steps.count(StepStatus.FAILED) <= lost, steps


@then("no worker of the wave is held any more")
def step_none_held(context: Any) -> None:
    assert not availability.disrupted_workers(context.simulation.state)


@then("resuming the wave retries the failed workers")
def step_resumed(context: Any) -> None:
    simulation = context.simulation
    operation = patches.ResumeWave("wave")
    result = maintenance.resume_wave(simulation.state, operation, "operations[0]")
    simulation.state = result.unwrap()
    for worker_id in tuple(simulation.state.conditions):
        simulation.fail_worker(worker_id, simulation.now_s, repair_s=1.0)
    simulation.failing_workers = frozenset()
    simulation.run()
    steps = {step for _, step in simulation.state.waves["wave"].steps}
    assert steps == {StepStatus.DONE}


@when("workers fail at random while the waves run, with {count:d} seeds")
def step_overlap(context: Any, count: int) -> None:
    context.simulations = []
    for seed in range(count):
        simulation = make_simulation(context, seed)
        names = list(simulation.state.workers)
        simulation.start_wave(whole_fleet_wave(simulation, failure_limit_count=99))
        simulation.start_wave(
            whole_fleet_wave(simulation, wave_id="second", worker_ids=tuple(names[::2]))
        )
        start_a_move(simulation, names[-1])
        rng = random.Random(seed)
        for worker_id in rng.sample(names, 4):
            simulation.fail_worker(worker_id, rng.uniform(0, 1500), repair_s=400)
        simulation.run()
        context.simulations.append(simulation)


def start_a_move(simulation: WaveSimulation, worker_id: str) -> None:
    giver = simulation.state.pool_of[worker_id]
    taker = next(pool for pool in simulation.state.pools if pool != giver)
    operation = patches.StartMove("move", worker_id, giver, taker)
    result = maintenance.start_move(simulation.state, operation, "operations[0]")
    simulation.state = result.unwrap()
    simulation.drain_move("move", lambda: None)


@then("the waves broke no budget and all ended")
def step_overlap_ended(context: Any) -> None:
    for simulation in context.simulations:
        assert simulation.breach_count == 0
        for progress in simulation.state.waves.values():
            assert progress.status in (WaveStatus.DONE, WaveStatus.PAUSED), progress
            paused = progress.status is WaveStatus.PAUSED
            assert "failed" in progress.pause_reason if paused else True
        assert not availability.disrupted_workers(simulation.state)


@then("a wave with hours {start:d} to {end:d} {verb} drains at {hour:d}")
def step_hours(context: Any, start: int, end: int, verb: str, hour: int) -> None:
    wave = Wave(
        "v", WaveAction.REBOOT, pool_id="a", working_hours=WorkingHours(start, end)
    )
    operation = patches.StartWave(wave)
    state = maintenance.start_wave(small_state(), operation, "operations[0]").unwrap()
    plan = plan_waves(state, hour, DrainingKnowledge())
    assert bool(plan.steps) == (verb == "starts")


@then(
    "{work:d} h of work at {now:d} o'clock in hours {start:d} to {end:d}"
    " end after {hours:d} h"
)
def step_over_hours(
    context: Any, work: int, now: int, start: int, end: int, hours: int
) -> None:
    end_s = over_working_hours_s(work * HOUR_S, now * HOUR_S, WorkingHours(start, end))
    assert end_s == hours * HOUR_S, end_s / HOUR_S


@given("a task of a {policy} queue with {deadline:d} s to drain that is {task}")
def step_task(context: Any, policy: str, deadline: int, task: str) -> None:
    basis = RunningTask(
        request_id="r",
        policy=DrainPolicy(policy),
        drain_deadline_s=float(deadline),
        deadline_s=500.0,
        run_s=100.0,
        repeatable=False,
    )
    changes: dict[str, dict[str, Any]] = {
        "repeatable with time to run again": {"repeatable": True},
        "repeatable but nearly due": {"repeatable": True, "deadline_s": 150.0},
        "able to checkpoint": {"can_checkpoint": True},
        "not repeatable": {},
    }
    context.task = replace(basis, **changes[task])


@then("a drain tells it to {before} after 10 s and to {after} after 60 s")
def step_decisions(context: Any, before: str, after: str) -> None:
    for now_s, expected in ((10.0, before), (60.0, after)):
        (decision,) = decide_drain([context.task], drain_started_s=0.0, now_s=now_s)
        assert decision.action.value == expected, decision
        overdue = now_s >= 60.0 and expected == "wait"
        assert decision.overdue == overdue, decision


@when("a delayed writer maintains a drained worker of a paused wave with a failure")
def step_late_writer(context: Any) -> None:
    wave = Wave("v", WaveAction.REBOOT, pool_id="c", concurrency_limit_count=2)
    started = patches.StartWave(wave)
    state = maintenance.start_wave(small_state(), started, "operations[0]").unwrap()
    first, second = (worker for worker, _ in state.waves["v"].steps[:2])
    for worker, step in (
        (first, StepStatus.DRAINING),
        (second, StepStatus.DRAINING),
        (first, StepStatus.MAINTAINING),
        (first, StepStatus.FAILED),
    ):
        state = maintenance.apply_step(state, StepRecord("v", worker, step, REPORTER))
    context.state = maintenance.apply_pause(state, PauseRecord("v", "", REPORTER))
    context.record = StepRecord("v", second, StepStatus.MAINTAINING, REPORTER)


@then("the fold refuses it, but a mutant without the rule accepts it")
def step_late_refused(context: Any) -> None:
    assert maintenance.apply_step(context.state, context.record) is context.state
    with mutant("a stopped wave goes on after failures"):
        after = maintenance.apply_step(context.state, context.record)
    assert after is not context.state
