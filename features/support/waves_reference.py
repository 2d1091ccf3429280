"""Reference implementation of the rules for waves and moves, simple and slow."""

from __future__ import annotations

from dataclasses import dataclass, field

STEP_TRANSITIONS = {
    ("waiting", "draining"),
    ("draining", "maintaining"),
    ("draining", "failed"),
    ("maintaining", "done"),
    ("maintaining", "failed"),
}


@dataclass
class NaiveWave:
    """A wave with the step of each of its workers."""

    action: str
    concurrency: int
    failure_limit: int
    steps: dict[str, str]
    status: str = "running"


@dataclass
class NaiveMove:
    """A move of one worker between two pools."""

    worker: str
    source: str
    target: str
    status: str = "draining"


@dataclass
class NaiveFleet:
    """Pools, budgets, waves and moves, changed by the same records as the fold."""

    pool_of: dict[str, str]
    limits: list[tuple[str, int]]
    holder_of: dict[str, str]
    conditions: dict[str, str] = field(default_factory=dict)
    waves: dict[str, NaiveWave] = field(default_factory=dict)
    moves: dict[str, NaiveMove] = field(default_factory=dict)

    def is_out(self, worker: str) -> bool:
        return worker in self.conditions or self.is_held(worker)

    def is_held(self, worker: str) -> bool:
        for wave in self.waves.values():
            if wave.steps.get(worker) in ("draining", "maintaining"):
                return True
        return any(
            move.worker == worker and move.status == "draining"
            for move in self.moves.values()
        )

    def out_count(self, pool: str) -> int:
        return sum(self.is_out(w) for w, p in self.pool_of.items() if p == pool)

    def fits(self, pool: str, more: int) -> bool:
        out = self.out_count(pool) + more
        return all(out <= limit for p, limit in self.limits if p == pool)

    def condition(self, worker: str, condition: str, reporter: str) -> None:
        if condition in ("draining", "maintaining"):
            return
        if condition != "serving":
            self.conditions[worker] = condition
        elif self.holder_of.get(worker) in (None, reporter):
            self.conditions.pop(worker, None)

    def step(self, wave_id: str, worker: str, new: str) -> None:
        wave = self.waves.get(wave_id)
        if wave is None or worker not in wave.steps:
            return
        old = wave.steps[worker]
        in_order = (old, new) in STEP_TRANSITIONS
        if (old, new) == ("draining", "done"):
            in_order = wave.action == "drain"
        if (old, new) == ("draining", "waiting"):
            in_order = wave.status in ("paused", "aborted")
        if not in_order:
            return
        if new == "draining":
            active = [
                s for s in wave.steps.values() if s in ("draining", "maintaining")
            ]
            if wave.status != "running" or len(active) >= wave.concurrency:
                return
            already_out = worker in self.conditions
            if self.is_held(worker):
                return
            if not self.fits(self.pool_of[worker], 0 if already_out else 1):
                return
        if new == "maintaining" and not self.may_maintain(wave):
            return
        wave.steps[worker] = new
        if new == "failed":
            self.conditions[worker] = "failed"
        self._update_status(wave, new)

    def may_maintain(self, wave: NaiveWave) -> bool:
        steps = list(wave.steps.values())
        if steps.count("maintaining") > steps.count("done") * 16:
            return False
        if wave.status == "running":
            return True
        failed_conditions = ("failed", "ejected")
        return "failed" not in steps and not any(
            step == "done" and self.conditions.get(worker) in failed_conditions
            for worker, step in wave.steps.items()
        )

    def _update_status(self, wave: NaiveWave, new: str) -> None:
        if wave.status == "aborted":
            return
        steps = list(wave.steps.values())
        if new == "failed" and steps.count("failed") >= wave.failure_limit:
            wave.status = "paused"
        elif all(step in ("done", "failed") for step in steps):
            wave.status = "done"

    def pause(self, wave_id: str) -> None:
        if wave_id in self.waves and self.waves[wave_id].status == "running":
            self.waves[wave_id].status = "paused"

    def resume(self, wave_id: str) -> None:
        if wave_id not in self.waves or self.waves[wave_id].status != "paused":
            return
        wave = self.waves[wave_id]
        wave.status = "running"
        for worker, step in wave.steps.items():
            is_failed = self.conditions.get(worker) in ("failed", "ejected")
            if step == "failed" or (step == "done" and is_failed):
                wave.steps[worker] = "waiting"

    def abort(self, wave_id: str) -> None:
        if wave_id not in self.waves:
            return
        if self.waves[wave_id].status in ("running", "paused"):
            self.waves[wave_id].status = "aborted"

    def start_move(self, move_id: str, worker: str, source: str, target: str) -> None:
        if move_id in self.moves or source == target:
            return
        if self.pool_of[worker] != source or self.is_held(worker):
            return
        already_out = worker in self.conditions
        if not self.fits(source, 0 if already_out else 1):
            return
        if already_out and not self.fits(target, 1):
            return
        stays = sum(pool == source for pool in self.pool_of.values()) - 1
        for move in self.moves.values():
            stays -= move.status == "draining" and move.source == source
        if any(p == source and stays <= limit for p, limit in self.limits):
            return
        self.moves[move_id] = NaiveMove(worker, source, target)

    def abort_move(self, move_id: str) -> None:
        if move_id in self.moves and self.moves[move_id].status == "draining":
            self.moves[move_id].status = "aborted"

    def move_drained(self, move_id: str) -> None:
        move = self.moves.get(move_id)
        if move is None or move.status != "draining":
            return
        if move.worker in self.conditions and not self.fits(move.target, 1):
            return
        move.status = "done"
        self.pool_of[move.worker] = move.target
