"""Prints the CPU time of one wave plan and one move plan, by fleet size.

``python -m features.support.waves_cost`` plans in the middle of a wave over the
whole fleet while a second wave waits.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial

from cicadatrail_core.fold.maintenance import apply_step
from cicadatrail_core.models.maintenance import StepStatus, Wave, WaveAction
from cicadatrail_core.models.records import StepRecord
from cicadatrail_core.models.state import State
from cicadatrail_core.moves.buffers import expected_pools, serving_counts
from cicadatrail_core.moves.demand import (
    DemandTrends,
    PoolObservation,
    move_timing,
    observe,
)
from cicadatrail_core.moves.planner import MoveInputs, plan_moves
from cicadatrail_core.waves.planner import DrainingKnowledge, plan_waves
from features.support.waves_simulation import (
    REPORTER,
    FleetShape,
    WaveSimulation,
    draw_times,
    make_fleet,
)

SHAPES = (
    FleetShape(5, 6, 4, 3, limit_count=1),
    FleetShape(10, 30, 20, 3, limit_count=2),
    FleetShape(20, 45, 40, 10, limit_count=3),
    FleetShape(20, 90, 40, 10, limit_count=5),
)
ROUND_COUNT = 100


def time_ms(call: Callable[[], object]) -> float:
    """Return the mean CPU time of one call in milliseconds."""
    started_s = time.process_time()
    for _ in range(ROUND_COUNT):
        call()
    return (time.process_time() - started_s) / ROUND_COUNT * 1000


def main() -> None:
    print("milliseconds for one plan of waves, of moves when no pool and when every")
    print("pool lacks workers, and for folding one step record")
    print("workers  pools     waves  moves: 0     all      step")
    for shape in SHAPES:
        fleet = make_fleet(shape)
        times = draw_times(fleet, random.Random(1), 60.0, 120.0)
        simulation = WaveSimulation(fleet, times)
        for wave_id in ("first", "second"):
            simulation.start_wave(
                Wave(
                    wave_id,
                    WaveAction.REBOOT,
                    worker_ids=tuple(fleet.workers),
                    concurrency_limit_count=1000,
                )
            )
        simulation.run(240.0)
        state = simulation.state
        knowledge = DrainingKnowledge(frozenset(simulation.drained))
        waiting = next(
            w for w, s in state.waves["first"].steps if s is StepStatus.WAITING
        )
        record = StepRecord("first", waiting, StepStatus.DRAINING, REPORTER)
        calls = (
            partial(plan_waves, state, 9, knowledge),
            partial(plan_moves, state, move_inputs(state, arriving_workers=4.0)),
            partial(plan_moves, state, move_inputs(state, arriving_workers=400.0)),
            partial(apply_step, state, record),
        )
        columns = "".join(f"{time_ms(call):10.3f}" for call in calls)
        print(f"{len(fleet.workers):7d}{len(fleet.pools):7d}{columns}")


def move_inputs(state: State, arriving_workers: float) -> MoveInputs:
    """Return the move planner's inputs after every pool was seen with this load."""
    timing = move_timing(state.weights, 60.0)
    seen = [PoolObservation(pool, arriving_workers, 0.0) for pool in state.pools]
    counts = serving_counts(expected_pools(state))
    memory = observe(DemandTrends(), seen, counts, timing, 0.0)
    return MoveInputs(memory, timing, now_s=timing.move_s)


if __name__ == "__main__":
    main()
