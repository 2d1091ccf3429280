"""Prints the four capacity measures of this version and the baselines.

``python -m features.support.measures --seed N [--plot FILE.svg]`` calculates on
a virtual clock how the planners of waves and moves and the fair queue serve a
synthetic trace: every queue peaks in turn at five times its mean for 10 s and
falls to a twentieth, one queue's mean doubles for 20 minutes, a rack is lost for
10 minutes, and a wave reboots every worker. No cluster is simulated.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from cicadatrail_core.fold.availability import disrupted_workers
from cicadatrail_core.fold.maintenance import resume_wave, start_move
from cicadatrail_core.models.fleet import Weights
from cicadatrail_core.models.maintenance import Wave, WaveAction, WaveStatus
from cicadatrail_core.models.patches import ResumeWave, StartMove
from cicadatrail_core.models.state import State
from cicadatrail_core.moves.buffers import expected_pools, serving_counts
from cicadatrail_core.moves.demand import needed_count
from cicadatrail_core.moves.planner import MoveInputs, PlannedMove, plan_moves
from cicadatrail_core.waves.forecast import WorkTimes, lower_bound_s
from cicadatrail_core.waves.planner import DrainingKnowledge, WavePlan, plan_waves
from features.support.measures_deployments import DEPLOYMENTS, Deployment
from features.support.measures_load import (
    FairOrder,
    FifoOrder,
    LoadSimulation,
    OrderFactory,
    StaticSplit,
)
from features.support.measures_plot import plot
from features.support.moves_simulation import MovePolicy
from features.support.waves_simulation import (
    WavePolicy,
    WaveSimulation,
    draw_times,
    make_fleet,
)

TRACE_S = 3600.0
WAVE_START_S = 120.0
GROWTH_S = (1200.0, 2400.0)
RACK_LOSS_S = (2700.0, 600.0)
PEAK_S = 10.0
PEAK_FACTOR = 5.0
LULL_FACTOR = 1 / 20
MEAN_WORKERS = 1.8
UNLIMITED_COUNT = 1000


@dataclass(frozen=True, slots=True)
class Version:
    """Named set of policies to be measured."""

    name: str
    waves: WavePolicy
    moves: MovePolicy
    order: OrderFactory
    shares_buffer: bool = True


@dataclass(frozen=True, slots=True)
class Measurement:
    """The four measures, smaller being better, with the mean wait and breaches."""

    buffer_workers: float
    roll_out_ratio: float
    move_count: int
    share_missed: float
    mean_wait_s: float
    breach_count: int

    def values(self) -> tuple[float, float, float, float]:
        return (
            self.buffer_workers,
            self.roll_out_ratio,
            float(self.move_count),
            self.share_missed,
        )


def one_by_one(state: State, hour: int, knowledge: DrainingKnowledge) -> WavePlan:
    """Plan to drain and maintain one worker of the fleet at a time."""
    plan = plan_waves(state, hour, knowledge)
    held = disrupted_workers(state)
    others = tuple(step for step in plan.steps if step.worker_id in held)
    if held or knowledge.requested:
        return WavePlan(others, plan.pauses)
    return WavePlan(plan.steps[:1], plan.pauses)


def no_moves(state: State, inputs: MoveInputs) -> tuple[PlannedMove, ...]:
    return ()


def moves_at_once(state: State, inputs: MoveInputs) -> tuple[PlannedMove, ...]:
    """Move a spare worker to the first pool with a queue, and back without a queue."""
    counts = serving_counts(expected_pools(state))
    spare = next(pool.pool_id for pool in state.pools.values() if pool.spare)
    for pool_id, trend in sorted(inputs.demand.trends.items()):
        if pool_id == spare:
            continue
        lacks = needed_count(trend, inputs.timing) > counts[pool_id]
        if trend.queued_work_s > 0 and lacks:
            giver, taker = spare, pool_id
        elif trend.queued_work_s == 0 and counts[pool_id] > 6:
            giver, taker = pool_id, spare
        else:
            continue
        for worker_id in sorted(w for w, p in state.pool_of.items() if p == giver):
            move_id = f"{state.version}-{worker_id}"
            operation = StartMove(move_id, worker_id, giver, taker)
            if start_move(state, operation, "move").value_or(None) is not None:
                return (PlannedMove(operation, "first pool in order of name"),)
    return ()


VERSIONS = (
    Version("this version", plan_waves, plan_moves, FairOrder),
    Version("first come first served", plan_waves, moves_at_once, FifoOrder),
    Version("static split", plan_waves, no_moves, StaticSplit, shares_buffer=False),
    Version("one-by-one wave", one_by_one, plan_moves, FairOrder),
)


def demand(pool_id: str, now_s: float) -> float:
    index = int(pool_id.removeprefix("pool"))
    is_peak = int(now_s // PEAK_S) % 5 == index
    grown = index == 0 and GROWTH_S[0] <= now_s < GROWTH_S[1]
    mean = MEAN_WORKERS * (4.0 if grown else 1.0)
    return mean * (PEAK_FACTOR if is_peak else LULL_FACTOR)


def measure(deployment: Deployment, version: Version, seed: int) -> Measurement:
    """Run the trace once and return what was measured."""
    rng = random.Random(seed)
    fleet = replace(make_fleet(deployment.shape), weights=deployment.weights)
    times = draw_times(fleet, rng, deployment.drain_s, deployment.maintenance_s)
    waves = WaveSimulation(fleet, times, policy=version.waves)
    team_weights = {f"team{i}": w for i, w in enumerate(deployment.team_weights)}
    load = LoadSimulation(
        waves,
        demand,
        deployment.drain_s,
        policy=version.moves,
        order=version.order(team_weights),
        weights=team_weights,
        rng=rng,
        shares_buffer=version.shares_buffer,
    )
    load.run(WAVE_START_S)
    wave = Wave(
        "wave",
        WaveAction.REBOOT,
        worker_ids=tuple(fleet.workers),
        concurrency_limit_count=UNLIMITED_COUNT,
        failure_limit_count=UNLIMITED_COUNT,
    )
    waves.start_wave(wave)
    work_s = {name: t.drain_s + t.maintenance_s for name, t in times.items()}
    bound_s = lower_bound_s(
        waves.state, waves.state.waves["wave"], WorkTimes(0.0, 0.0, work_s)
    )
    assert bound_s is not None
    rack = next(iter(fleet.workers.values())).place.rack
    for worker in fleet.workers.values():
        if worker.place.rack == rack:
            waves.fail_worker(worker.worker_id, *RACK_LOSS_S)
    ended_s = _run_and_time_wave(load)
    return Measurement(
        buffer_workers=load.buffer_sum / (load.tick_count // 60),
        roll_out_ratio=(ended_s - WAVE_START_S) / bound_s,
        move_count=load.done_count,
        share_missed=load.missed_slots / max(1.0, load.full_slots),
        mean_wait_s=load.waited_s / load.task_count,
        breach_count=waves.breach_count,
    )


def _run_and_time_wave(load: LoadSimulation) -> float:
    """Run the trace, and on until the wave ends; return its end time in seconds.

    An operator resumes a paused wave once all failed workers are repaired.
    """
    ended_s = 0.0
    while load.waves.now_s < TRACE_S or not ended_s:
        load.run(load.waves.now_s + 1.0)
        status = load.state.waves["wave"].status
        if status is WaveStatus.PAUSED and not load.state.conditions:
            resumed = resume_wave(load.state, ResumeWave("wave"), "operations[0]")
            load.waves.state = resumed.unwrap()
        if not ended_s and status is WaveStatus.DONE:
            ended_s = load.waves.now_s
        assert load.waves.now_s < 4 * TRACE_S, "the wave doesn't end"
    return ended_s


def scores(measured: Mapping[str, Measurement], weights: Weights) -> dict[str, float]:
    """Return each version's weighted mean of its measures, smaller being better.

    Each measure is divided by the largest value that any version has.
    """
    parts = (weights.buffer_cost, weights.roll_out_time, weights.moves, weights.share)
    columns = zip(*(m.values() for m in measured.values()), strict=True)
    largest = [max(column) or 1.0 for column in columns]
    return {
        name: sum(
            part * value / top
            for part, value, top in zip(parts, m.values(), largest, strict=True)
        )
        / sum(parts)
        for name, m in measured.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    charts = {}
    breaches = 0
    for deployment in DEPLOYMENTS.values():
        measured = {v.name: measure(deployment, v, arguments.seed) for v in VERSIONS}
        scored = scores(measured, deployment.weights)
        print(f"\n{deployment.name}, seed {arguments.seed} (smaller is better)")
        print(
            f"{'':24}{'buffer':>8}{'roll-out':>10}{'moves':>7}"
            f"{'share':>8}{'score':>7}{'wait':>8}{'breaches':>10}"
        )
        print(f"{'':24}{'workers':>8}{'/bound':>10}{'':>7}{'missed':>8}{'':>7}{'s':>8}")
        for name, m in measured.items():
            breaches += m.breach_count
            print(
                f"{name:24}{m.buffer_workers:8.2f}{m.roll_out_ratio:10.3f}"
                f"{m.move_count:7d}{m.share_missed:8.3f}{scored[name]:7.3f}"
                f"{m.mean_wait_s:8.2f}{m.breach_count:10d}"
            )
        charts[deployment.name] = (measured, scored)
    if arguments.plot:
        rows = {
            name: {v: (*m.values(), scored[v]) for v, m in measured.items()}
            for name, (measured, scored) in charts.items()
        }
        arguments.plot.write_text(plot(rows, arguments.seed))
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
