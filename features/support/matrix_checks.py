"""Invariants that are checked while faults are injected into a paused cluster."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from cicadatrail_core.models.maintenance import MoveStatus, StepStatus, WaveStatus
from cicadatrail_core.models.state import State
from cicadatraild.utils import identifiers
from features.support.load import Load, TeamLoad
from features.support.paused_cluster import (
    LIMITS,
    POOL,
    UNAVAILABLE_LIMIT_COUNT,
    Entry,
    PausedCluster,
)

CHECK_INTERVAL_S = 0.1
CONFIG_DELAY_LIMIT_S = 5.0
WITHDRAWAL_LIMIT_S = 3.0
LEAVING_LIMIT_S = 2.0
RETRY_LIMIT_COUNT = 12
"""Times that a caller retries a request whose connection broke."""

PROBE_INTERVAL_S = 0.5
TICK_S = 0.04
"""Time in which a team sends at most one request."""

OUT_STEPS = (StepStatus.DRAINING, StepStatus.MAINTAINING)


def taken_out(state: State) -> set[str]:
    """Return the workers that waves and moves keep out of service."""
    out = {
        worker_id
        for progress in state.waves.values()
        if progress.status is not WaveStatus.DONE
        for worker_id, step in progress.steps
        if step in OUT_STEPS
    }
    moving = (m for m in state.moves.values() if m.status is MoveStatus.DRAINING)
    return out | {move.worker_id for move in moving}


class Callers(Load):
    """Sends traffic and retries, with the same id, requests that may not have run."""

    def __init__(self, world: PausedCluster) -> None:
        super().__init__([], world.seed)
        self._pool = world.pool
        self.world = world
        self.outcomes_of: dict[str, list[str]] = {}

    @property
    def is_busy(self) -> bool:
        return bool(self._tasks)

    def team(self, label: str, team_id: str, mean_per_s: float = 4.0) -> TeamLoad:
        key = self.world.keys[label].text
        repeatable = team_id == "stock-control"
        run_ms = 300 if repeatable else 900
        return TeamLoad(
            team_id, key, POOL, POOL, mean_per_s, run_ms, 500, repeatable=repeatable
        )

    async def _drive(self, team: TeamLoad, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while (at_s := loop.time() - begin_s) < duration_s:
            factor = 2.0 if at_s % team.cycle_s < team.cycle_s / 2 else 0.3
            if self._random.random() < team.mean_per_s * factor * TICK_S:
                task = loop.create_task(self.send(team))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(TICK_S)

    async def send(self, team: TeamLoad, request_id: str = "") -> str:
        known = request_id or str(identifiers.new_uuid7())
        outcome = await super().send(team, known)
        self.outcomes_of.setdefault(known, []).append(outcome)
        if request_id or team.repeatable:
            return outcome
        for _ in range(RETRY_LIMIT_COUNT):
            if self.outcomes_of[known][-1] in ("complete", "unknown"):
                break
            if self.outcomes_of[known] == ["not-run"]:
                break
            await asyncio.sleep(1.0)
            self.outcomes_of[known].append(await super().send(team, known))
        return outcome


@dataclass(slots=True)
class Invariants:
    """Checks instances, workers and answers and collects the violations."""

    world: PausedCluster
    callers: Callers
    violations: list[str] = field(default_factory=list)
    disturbed_s: dict[str, float] = field(default_factory=dict)
    all_disturbed_until_s: float = 0.0
    withdrawn_s: float | None = None
    withdrawn_ids: list[str] = field(default_factory=list)
    leaving_s: dict[str, float] = field(default_factory=dict)
    _versions: dict[int, int] = field(default_factory=dict)
    _seen_offset: int = 0
    _probed_s: float = 0.0
    _late_ids: Counter[str] = field(default_factory=Counter)

    def report(self, text: str) -> None:
        if text not in self.violations:
            self.violations.append(text)

    async def watch(self) -> None:
        """Check until cancelled."""
        self.world.task_hooks.append(self._check_new_task)
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        self._check_budgets()
        for entry in self.world.live():
            if entry.instance is not None:
                self._check_entry(entry)
        self._check_crashes()
        self._check_maintenance()
        self._probe_withdrawn_key()

    def finish(self) -> None:
        """Compare all answers with what the workers ran."""
        ledger = self.world.ledger
        result = self.callers.result
        for text in result.faults:
            self.report(text)
        for team_id, peak in ledger.peak_running.items():
            if peak > LIMITS[team_id]:
                self.report(f"{team_id} had {peak} running, limit {LIMITS[team_id]}")
        for request_id, outcomes in self.callers.outcomes_of.items():
            self._check_outcomes(request_id, outcomes, ledger.executions[request_id])
        for request_id in self.withdrawn_ids:
            if ledger.executions[request_id]:
                self.report("a withdrawn key's request ran after 3 s")

    def _check_outcomes(self, request_id: str, outcomes: list[str], count: int) -> None:
        if count > 1 and request_id not in self.callers.result.repeatable_ids:
            self.report(f"{request_id} ran {count} times with the outcomes {outcomes}")
        if count and set(outcomes) <= {"not-run", "no-connection"}:
            self.report(f"{request_id} ran, but had the outcomes {outcomes}")
        if "complete" in outcomes and not count:
            self.report(f"{request_id} was answered as complete, but never ran")
        if "none" in outcomes:
            self.report(f"{request_id} got an answer without an outcome")

    def _check_entry(self, entry: Entry) -> None:
        state: State = entry.instance.components.replica.state
        key = id(entry.instance)
        if state.version < self._versions.get(key, 0):
            self.report(f"{entry.name} went back to version {state.version}")
        self._versions[key] = max(state.version, self._versions.get(key, 0))
        if state.pool_of.keys() != state.workers.keys():
            self.report(f"{entry.name}: a worker is in no pool or in two")
        truth = self.world.log.states[state.next_offset]
        if (state.version, state.pool_of) != (truth.version, truth.pool_of):
            self.report(f"{entry.name} folds offset {state.next_offset} differently")
        self._check_config_delay(entry, state)

    def _check_config_delay(self, entry: Entry, state: State) -> None:
        now_s = self.world.loop.time()
        if self.world.stopped(entry) or entry.instance.incarnation not in state.roster:
            self.disturbed_s[entry.name] = now_s
        quiet_s = max(self.disturbed_s.get(entry.name, 0.0), self.all_disturbed_until_s)
        for version, accepted_s in self.world.log.accepted_s.items():
            late = now_s - max(accepted_s, quiet_s) > CONFIG_DELAY_LIMIT_S
            if late and state.version < version:
                self.report(f"{entry.name} lacks version {version} after 5 s")

    def _check_budgets(self) -> None:
        """Check that each new state takes out no worker beyond the budget."""
        states = self.world.log.states
        for before, after in zip(
            states[self._seen_offset :], states[self._seen_offset + 1 :], strict=False
        ):
            if not taken_out(after) - taken_out(before):
                continue
            out = taken_out(after) | set(after.conditions)
            count = sum(after.pool_of.get(worker_id) == POOL for worker_id in out)
            if count > UNAVAILABLE_LIMIT_COUNT:
                self.report(f"{count} workers were taken out or were out already")
        self._seen_offset = len(states) - 1

    def _check_crashes(self) -> None:
        for entry in self.world.entries.values():
            done = entry.serving is not None and entry.serving.done()
            if done and entry.serving is not None and entry.serving.exception():
                self.report(f"{entry.name} crashed: {entry.serving.exception()!r}")

    def _check_maintenance(self) -> None:
        now_s = self.world.loop.time()
        ends_s: dict[str, float] = self.world.maintenance._ends_s
        worked = {job.rpartition(".")[2] for job, end in ends_s.items() if end > now_s}
        if len([name for name in worked if name.startswith(POOL)]) > 2:
            self.report(f"{worked} were maintained at once")
        for worker_id in worked:
            if self.world.workers[worker_id].tasks:
                self.report(f"{worker_id} was maintained while a task ran there")

    def _check_new_task(self, what: str, worker_id: str, holder: str) -> None:
        left_s = self.leaving_s.get(worker_id)
        if what != "begin" or left_s is None:
            return
        if self.world.loop.time() - left_s > LEAVING_LIMIT_S:
            self.report(f"{worker_id} got new work though it leaves")

    def _probe_withdrawn_key(self) -> None:
        now_s = self.world.loop.time()
        key_id = self.world.keys["old"].entry.key_id
        if self.withdrawn_s is None:
            if self.world.log.truth.keys[key_id].withdrawn:
                self.withdrawn_s = now_s
            return
        due = now_s - max(self.withdrawn_s + WITHDRAWAL_LIMIT_S, self._probed_s)
        if due < (PROBE_INTERVAL_S if self._probed_s else 0.0):
            return
        self._probed_s = now_s
        for entry in self.world.live():
            self.world.loop.create_task(self._probe(entry))

    async def _probe(self, entry: Entry) -> None:
        load = Callers(self.world)
        load.addresses = [entry.caller]
        # A repeatable request is admitted even while no instance owns its id.
        team = replace(load.team("old", "weddings"), repeatable=True)
        request_id = str(identifiers.new_uuid7())
        self.withdrawn_ids.append(request_id)
        await Load.send(load, team, request_id)


def outdated_entries(entries: list[Entry], truth: State) -> list[str]:
    """Return the names of instances that lack the newest configuration."""
    outdated: list[Any] = []
    for entry in entries:
        state = entry.instance.components.replica.state
        same = (state.version, state.pool_of) == (truth.version, truth.pool_of)
        if not same:
            outdated.append(entry.name)
    return outdated
