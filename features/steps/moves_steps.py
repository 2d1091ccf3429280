"""Steps of moves.feature."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any
from unittest import mock

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st

from cicadatrail_core.fold.domains import domain_of
from cicadatrail_core.models.fleet import Weights
from cicadatrail_core.models.maintenance import DomainOrder
from cicadatrail_core.moves import demand
from cicadatrail_core.moves.buffers import loss_buffer_count, serving_counts
from cicadatrail_core.moves.demand import move_timing
from features.support.measures_deployments import DEPLOYMENTS
from features.support.moves_exact import Counts, least_moves
from features.support.moves_simulation import Demand, MoveSimulation
from features.support.waves_simulation import (
    FleetShape,
    WaveSimulation,
    WorkerTimes,
    make_fleet,
)

MOVE_S = 30.0
PHASE_COUNT = 6
EQUAL = Weights()
SMALL_SHAPE = FleetShape(3, 4, rack_size=1, limit_count=1, mixed_racks=False)
HOME: Counts = (4, 4, 4)


def simulate(
    shape: FleetShape, work: Demand, weights: Weights = EQUAL, tick_s: float = 1
) -> MoveSimulation:
    fleet = replace(make_fleet(shape), weights=weights)
    times = {worker: WorkerTimes(MOVE_S, 120.0) for worker in fleet.workers}
    return MoveSimulation(WaveSimulation(fleet, times), work, MOVE_S, tick_s=tick_s)


@given("{count:d} small fleets whose needs change every {phase:d} durations of a move")
def step_small_fleets(context: Any, count: int, phase: int) -> None:
    context.cases = []
    phase_s = phase * MOVE_S
    for seed in range(count):
        rng = random.Random(seed)
        phases: list[Counts] = [
            (rng.choice((1, 2, 4, 5)), rng.choice((1, 2, 4, 5)), 1)
            for _ in range(PHASE_COUNT)
        ]
        context.cases.append((phases, phased_simulation(phases, phase_s)))
    context.phase_s = phase_s


def phased_simulation(phases: list[Counts], phase_s: float) -> MoveSimulation:
    """Return a simulation whose pools need exactly what each phase names."""

    def work(pool_id: str, now_s: float) -> float:
        index = int(now_s / phase_s)
        if index >= len(phases):
            return 0.5
        needed = phases[index][int(pool_id.removeprefix("pool"))]
        return needed * demand.TARGET_UTILISATION - 0.05

    return simulate(SMALL_SHAPE, work, tick_s=10.0)


@when("the move planner runs on them")
def step_serve(context: Any) -> None:
    context.unmet = []
    for phases, simulation in context.cases:
        for index, needs in enumerate(phases):
            simulation.run((index + 1) * context.phase_s)
            counts = serving_counts(simulation.state.pool_of)
            for pool, need in zip(simulation.state.pools, needs, strict=True):
                if counts[pool] < need:
                    context.unmet.append((phases, index, pool, counts[pool], need))
        simulation.run(simulation.waves.now_s + 60 * MOVE_S)


@then("every need is met in the end and every worker is back in its home pool")
def step_needs_met(context: Any) -> None:
    assert not context.unmet, context.unmet
    for _, simulation in context.cases:
        assert set(serving_counts(simulation.state.pool_of).values()) == {4}


@then("the moves are at most {limit:f} times the fewest that {counted}")
def step_fewest(context: Any, limit: float, counted: str) -> None:
    giving_back = counted == "give workers back at once"
    made = sum(simulation.done_count for _, simulation in context.cases)
    fewest = [least_moves(HOME, phases, giving_back) for phases, _ in context.cases]
    assert None not in fewest
    least = sum(count or 0 for count in fewest)
    print(f"moves {made}, fewest {least}, ratio {made / least:.3f}")
    assert made <= limit * least, (made, least)


def peaking(pool_id: str, now_s: float) -> float:
    mean = 1.8
    is_peak = int(now_s // 10) % 5 == int(pool_id.removeprefix("pool"))
    return 5 * mean if is_peak else mean / 20


@given("queues that in turn peak at five times their mean for 10 s")
def step_peaks(context: Any) -> None:
    context.simulation = simulate(FleetShape(), peaking)


@when("the move planner runs for an hour")
def step_run_hour(context: Any) -> None:
    context.simulation.run(3600.0)


@then("{count:d} moves were made")
def step_moves_made(context: Any, count: int) -> None:
    assert context.simulation.done_count == count


@then("without the planner's delays some moves are made")
def step_without_delays(context: Any) -> None:
    impatient = mock.patch.multiple(
        demand, BASE_QUEUE_CLEARING_MOVES=0.2, BASE_SURPLUS_TOLERANCE_MOVES=0.2
    )
    without_persistence = mock.patch(
        "cicadatrail_core.moves.planner.deficit_persists",
        lambda trend, timing, now_s: trend.deficit_since_s is not None,
    )
    with impatient, without_persistence:
        simulation = simulate(FleetShape(), peaking)
        simulation.run(600.0)
    assert simulation.planned


@given("the weights of {deployment}")
def step_weights(context: Any, deployment: str) -> None:
    context.weights = DEPLOYMENTS[deployment].weights


@given("a queue whose mean doubles for half an hour")
def step_doubling(context: Any) -> None:
    def work(pool_id: str, now_s: float) -> float:
        grown = pool_id == "pool0" and 1800.0 <= now_s < 3600.0
        return 6.4 if grown else 3.2 if pool_id == "pool0" else 1.0

    context.simulation = simulate(FleetShape(), work, context.weights)


@when("the move planner runs for two hours")
def step_run_two_hours(context: Any) -> None:
    context.simulation.run(7200.0)


@then(
    "the queue is served, {count:d} moves were made"
    " and all workers are back in their home pools"
)
def step_served(context: Any, count: int) -> None:
    simulation = context.simulation
    assert simulation.queued_s["pool0"] == 0.0
    assert simulation.done_count == count, simulation.planned
    assert set(serving_counts(simulation.state.pool_of).values()) == {6}


@then(
    "the balloon association moves workers sooner"
    " and Toča Mreže keeps surplus workers longer"
)
def step_delays(context: Any) -> None:
    association = move_timing(DEPLOYMENTS["the balloon association"].weights, MOVE_S)
    hail_nets = move_timing(DEPLOYMENTS["Toča Mreže"].weights, MOVE_S)
    assert association.queue_clearing_s < hail_nets.queue_clearing_s
    assert association.surplus_tolerance_s < hail_nets.surplus_tolerance_s


@when("buffers are computed for random fleets")
def step_buffers(context: Any) -> None:
    context.pairs = []
    fleet = make_fleet(FleetShape(3, 4, rack_size=3))
    needs = st.dictionaries(st.sampled_from(tuple(fleet.pools)), st.integers(0, 5))
    pool_of = st.fixed_dictionaries(
        {worker: st.sampled_from(tuple(fleet.pools)) for worker in fleet.workers}
    )

    @given_examples(pool_of, needs, st.sampled_from(DomainOrder))
    def compute(pools: dict[str, str], needed: dict[str, int], order: Any) -> None:
        found = loss_buffer_count(fleet, pools, needed, order)
        context.pairs.append((found, naive_buffer(fleet, pools, needed, order)))

    compute()


def naive_buffer(fleet: Any, pools: Any, needed: Any, order: Any) -> int:
    """Return the largest rise of the shortage of all pools over every domain's loss."""

    def shortage(workers: list[str]) -> int:
        counts = serving_counts({worker: pools[worker] for worker in workers})
        return sum(max(0, need - counts[pool]) for pool, need in needed.items())

    domains = {name: domain_of(w, order) for name, w in fleet.workers.items()}
    losses = [
        shortage([name for name in pools if domains[name] != lost])
        - shortage(list(pools))
        for lost in set(domains.values())
    ]
    return max(losses)


@then("they equal the reference sum over every domain that may be lost")
def step_buffers_equal(context: Any) -> None:
    assert len(context.pairs) > 20
    for found, expected in context.pairs:
        assert found == expected
