"""Compares random histories of waves and moves with a reference implementation.

``python -m features.support.waves_machine --seed N --examples M`` runs more
histories than CI does.
"""

from __future__ import annotations

import argparse
import sys
from typing import Any

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from cicadatrail_core.fold import availability, maintenance
from cicadatrail_core.models import patches
from cicadatrail_core.models.maintenance import (
    Condition,
    DomainOrder,
    MoveStatus,
    StepStatus,
    Wave,
    WaveAction,
)
from cicadatrail_core.models.records import (
    ConditionRecord,
    MoveDrainedRecord,
    PauseRecord,
    StepRecord,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.waves import planner
from cicadatrail_core.waves.planner import DrainingKnowledge
from features.support.waves_reference import NaiveFleet, NaiveWave
from features.support.waves_small_fleet import (
    LIMITS,
    POOLS,
    REPORTER,
    WORKER_COUNT,
    WORKERS,
    naive_view,
    small_state,
    view,
)

some_worker = st.sampled_from(WORKERS)
picked_worker = st.tuples(
    st.sampled_from(("any", "out", "held", "done")), st.integers(0, WORKER_COUNT - 1)
)
"""Selects one of the workers in the named situation."""

some_pool = st.sampled_from(POOLS)
some_wave = st.sampled_from(("v0", "v1", "v2"))
FINISHED = ("done", "failed")
some_step = st.sampled_from((*StepStatus, *[StepStatus.DRAINING] * 3))
some_condition = st.sampled_from((*Condition, *[Condition.SERVING] * 6))
own_or_some_pool = st.sampled_from(("", "", "", "", *POOLS))
"""An empty text selects the worker's own pool."""

some_move = st.sampled_from(tuple(f"m{index}" for index in range(8)))


class MaintenanceMachine(RuleBasedStateMachine):
    """Write records of racing writers, with failures at any step."""

    def __init__(self) -> None:
        super().__init__()
        self.state = small_state()
        self.naive = NaiveFleet(
            pool_of=dict(self.state.pool_of),
            limits=list(LIMITS),
            holder_of=dict.fromkeys(WORKERS[::2], "holder"),
        )
        self.stale_steps: list[StepRecord] = []
        self.out_counts = dict.fromkeys(POOLS, 0)

    def pick(self, picked: tuple[str, int]) -> str:
        """Return a worker in the picked situation, or any if there is none."""
        situation, index = picked
        fleet = self.naive
        match situation:
            case "out":
                workers = list(fleet.conditions)
            case "held":
                workers = [worker for worker in WORKERS if fleet.is_held(worker)]
            case "done":
                waves = fleet.waves.values()
                finished = ("done", "failed")
                workers = [
                    w for v in waves for w, s in v.steps.items() if s in finished
                ]
            case _:
                workers = []
        workers = workers or list(WORKERS)
        return workers[index % len(workers)]

    def advance(self, after: State, may_breach: bool = False) -> None:
        """Take over a state; only a failure may push a pool over its budget."""
        self.state = after
        before = self.out_counts
        self.out_counts = {pool: self.naive.out_count(pool) for pool in POOLS}
        assert set(after.pool_of) == set(after.workers), "a worker has no pool"
        for pool, limit in LIMITS:
            count = self.out_counts[pool]
            grew = count > before[pool]
            assert may_breach or not grew or count <= limit, (pool, count, limit)
        held = [
            worker
            for progress in after.waves.values()
            for worker, step in progress.steps
            if step in (StepStatus.DRAINING, StepStatus.MAINTAINING)
        ]
        held += [
            move.worker_id
            for move in after.moves.values()
            if move.status is MoveStatus.DRAINING
        ]
        assert len(held) == len(set(held)), f"a worker is held twice: {held}"

    def operate(self, apply: Any, operation: Any) -> bool:
        result = apply(self.state, operation, "operations[0]")
        if not isinstance(result, Success):
            findings = result.failure()
            assert findings, "a refusal without a finding"
            assert all(f.place.startswith("operations[0].") for f in findings)
            return False
        self.advance(result.unwrap())
        return True

    @initialize(pools=st.tuples(some_pool, some_pool), concurrency=st.integers(1, 4))
    def start_overlapping_waves(self, pools: tuple[str, str], concurrency: int) -> None:
        for wave_id, pool in zip(("v0", "v1"), pools, strict=True):
            self.start_wave(
                wave_id, WaveAction.REBOOT, pool, DomainOrder.RACK, concurrency, 2
            )

    @rule(
        wave_id=some_wave,
        action=st.sampled_from(WaveAction),
        workers=st.one_of(
            some_pool, st.lists(some_worker, min_size=1, max_size=6, unique=True)
        ),
        order=st.sampled_from(DomainOrder),
        concurrency=st.integers(1, 4),
        failure_limit=st.integers(1, 3),
    )
    def start_wave(
        self,
        wave_id: str,
        action: WaveAction,
        workers: Any,
        order: DomainOrder,
        concurrency: int,
        failure_limit: int,
    ) -> None:
        wave = Wave(
            wave_id=wave_id,
            action=action,
            pool_id=workers if isinstance(workers, str) else "",
            worker_ids=() if isinstance(workers, str) else tuple(workers),
            order=order,
            concurrency_limit_count=concurrency,
            failure_limit_count=failure_limit,
        )
        if isinstance(workers, str):
            workers = [w for w, p in self.naive.pool_of.items() if p == workers]
        if workers and wave_id not in self.naive.waves:
            self.naive.waves[wave_id] = NaiveWave(
                action.value,
                concurrency,
                failure_limit,
                dict.fromkeys(workers, "waiting"),
            )
        self.operate(maintenance.start_wave, patches.StartWave(wave))

    @rule(
        wave_id=some_wave,
        kinds=st.sampled_from(
            (("pause",), ("resume",), ("abort",), ("pause", "resume"))
        ),
    )
    def change_wave(self, wave_id: str, kinds: tuple[str, ...]) -> None:
        operations: dict[str, Any] = {
            "pause": (maintenance.pause_wave, patches.PauseWave),
            "resume": (maintenance.resume_wave, patches.ResumeWave),
            "abort": (maintenance.abort_wave, patches.AbortWave),
        }
        for kind in kinds:
            getattr(self.naive, kind)(wave_id)
            apply, operation = operations[kind]
            self.operate(apply, operation(wave_id))

    @rule(wave_id=some_wave)
    def pause_by_record(self, wave_id: str) -> None:
        self.naive.pause(wave_id)
        record = PauseRecord(wave_id, "two failures", REPORTER)
        self.advance(maintenance.apply_pause(self.state, record))

    @rule(written=st.lists(st.tuples(some_wave, picked_worker, some_step), max_size=9))
    def write_steps(self, written: list[tuple[str, Any, StepStatus]]) -> None:
        for wave_id, picked, step in written:
            self.fold_step(StepRecord(wave_id, self.pick(picked), step, REPORTER))

    @rule(wave_id=some_wave, step=some_step)
    def write_step_for_all(self, wave_id: str, step: StepStatus) -> None:
        for worker in WORKERS:
            self.fold_step(StepRecord(wave_id, worker, step, REPORTER))

    def fold_step(self, record: StepRecord) -> None:
        self.naive.step(record.wave_id, record.worker_id, record.step.value)
        self.advance(maintenance.apply_step(self.state, record))

    @rule(
        picked=picked_worker,
        condition=some_condition,
        reporter=st.sampled_from(("holder", "other")),
    )
    def report_condition(
        self, picked: tuple[str, int], condition: Condition, reporter: str
    ) -> None:
        self.fold_condition(self.pick(picked), condition, reporter)

    def fold_condition(self, worker: str, condition: Condition, reporter: str) -> None:
        self.naive.condition(worker, condition.value, reporter)
        record = ConditionRecord(worker, condition, IncarnationId(reporter))
        after = maintenance.apply_condition(self.state, record)
        self.advance(after, may_breach=True)

    @rule(
        started=st.lists(
            st.tuples(some_move, picked_worker, own_or_some_pool, some_pool),
            min_size=1,
            max_size=6,
        )
    )
    def start_moves(self, started: list[tuple[str, Any, str, str]]) -> None:
        for move_id, picked, giver, taker in started:
            worker = self.pick(picked)
            giver = giver or self.naive.pool_of[worker]
            self.naive.start_move(move_id, worker, giver, taker)
            operation = patches.StartMove(move_id, worker, giver, taker)
            self.operate(maintenance.start_move, operation)

    @rule(move_id=some_move, late_record=st.booleans())
    def abort_move(self, move_id: str, late_record: bool) -> None:
        self.naive.abort_move(move_id)
        self.operate(maintenance.abort_move, patches.AbortMove(move_id))
        if late_record:
            self.finish_move(move_id)

    @rule(move_id=some_move)
    def finish_move(self, move_id: str) -> None:
        self.naive.move_drained(move_id)
        before = self.state
        record = MoveDrainedRecord(move_id, REPORTER)
        self.advance(maintenance.apply_move_drained(before, record))
        changed = [w for w in WORKERS if before.pool_of[w] != self.state.pool_of[w]]
        assert len(changed) <= 1

    @rule(move_id=some_move, more=st.integers(0, 3))
    def fail_while_moving(self, move_id: str, more: int) -> None:
        """Fail a moving worker and some of the pool that it moves to."""
        move = self.naive.moves.get(move_id)
        if move is None or move.status != "draining":
            return
        takers = [w for w, p in self.naive.pool_of.items() if p == move.target]
        for worker in [move.worker, *takers[:more]]:
            self.fold_condition(worker, Condition.FAILED, "holder")
        self.finish_move(move_id)

    @rule(drained=st.sets(some_worker), hour=st.integers(0, 23))
    def follow_plan(self, drained: set[str], hour: int) -> None:
        """Fold a fresh plan whole: each of its steps must be accepted."""
        plan = planner.plan_waves(
            self.state, hour, DrainingKnowledge(drained=frozenset(drained))
        )
        for planned in plan.steps:
            record = StepRecord(
                planned.wave_id, planned.worker_id, planned.step, REPORTER
            )
            self.fold_step(record)
            steps = dict(self.state.waves[planned.wave_id].steps)
            assert steps[planned.worker_id] is planned.step, f"refused: {planned}"
            self.stale_steps.append(record)

    @rule()
    def fold_a_late_plan(self) -> None:
        """Fold what a writer with an old state or a lost answer sends again."""
        for record in self.stale_steps:
            self.fold_step(record)

    @invariant()
    def same_as_naive(self) -> None:
        assert view(self.state) == naive_view(self.naive)
        for pool in POOLS:
            out = {w for w, p in self.naive.pool_of.items() if p == pool}
            out = {w for w in out if self.naive.is_out(w)}
            assert availability.unavailable_workers(self.state, pool) == out


def run_machine(examples: int, seed: int | None = None, shrink: bool = True) -> None:
    """Run random histories; raise on the first that breaks a rule."""
    settings = hypothesis.settings(
        max_examples=examples, stateful_step_count=40, print_blob=False
    )
    if not shrink:
        settings = hypothesis.settings(settings, phases=(hypothesis.Phase.generate,))
    machine: Any = MaintenanceMachine
    if seed is not None:
        settings = hypothesis.settings(settings, derandomize=False, database=None)
        machine = hypothesis.seed(seed)(type("Seeded", (MaintenanceMachine,), {}))
    run_state_machine_as_test(machine, settings=settings)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=2000)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}, {arguments.examples} histories of 40 records")
    run_machine(arguments.examples, seed=arguments.seed)
    print("no history broke a rule")
    return 0


if __name__ == "__main__":
    sys.exit(main())
