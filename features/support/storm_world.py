"""Fleets whose workers restart again and again, whatever runs on them."""

from __future__ import annotations

import random
from contextlib import ExitStack

from cicadatrail_core.jobs.state import Run
from features.support.crash_world import SAME_ID, CrashWorld
from features.support.crashing_subtask import DEADLY
from features.support.job_world import definition

FAILED_CALL_S = 0.6
"""Time after which a poll without an answer is repeated."""


class StormWorld(CrashWorld):
    """Workers restart under their ids; a share of starts and polls gets no answer."""

    def __init__(
        self,
        stack: ExitStack,
        worker_count: int,
        down_s: float,
        seed: int,
        unanswered_share: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.unanswered_share = 0.0
        self.next_poll_s: dict[str, float] = {}
        self.job_ids: list[str] = []
        super().__init__(stack, worker_count, 16, SAME_ID, down_s)
        self.unanswered_share = unanswered_share

    def report(self, name: str, forget: bool = True) -> None:
        if self.now_s < self.next_poll_s.get(name, 0.0):
            return
        if self.random.random() < self.unanswered_share:
            self.next_poll_s[name] = self.now_s + FAILED_CALL_S
            self.worker(name).mark_failed(self.now_s)
            return
        super().report(name, forget)

    def start(self, run: Run) -> None:
        if self.random.random() < self.unanswered_share:
            run.start_expires_s = run.worker.lease_expires_s
            run.mark_unanswered(self.now_s)
            run.worker.mark_failed(self.now_s)
            return
        super().start(run)

    def submit_harmless(self, subtask_count: int, duration_s: float) -> None:
        job_id = f"{len(self.job_ids) + 1:016x}"
        self.job_ids.append(job_id)
        self.durations_s[job_id] = duration_s
        self.submit(job_id, definition(subtask_count, 2))

    def restart_half_in_turn(self, seconds: float, gap_s: float) -> None:
        """Let half of the workers fall silent and restart after each gap, then none."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            count = min(len(self.sims), len(self.scheduler.workers) // 2)
            for sim in self.random.sample([*self.sims.values()], count):
                self.crash(sim, is_silent=True)
            self.advance(gap_s)
        self.unanswered_share = 0.0


def play_half_restarting(
    stack: ExitStack, seed: int, unanswered_share: float, has_deadly: bool
) -> StormWorld:
    """Run 40 harmless subtasks of 4 s while half of 8 workers restart each 3 s."""
    world = StormWorld(stack, 8, 1.2, seed, unanswered_share)
    if has_deadly:
        world.submit_deadly(DEADLY, definition(1, 2))
    for _ in range(10):
        world.submit_harmless(4, 4.0)
    world.restart_half_in_turn(36.0, 3.0)
    world.advance(60.0)
    return world


def play_one_restarting(
    stack: ExitStack, seed: int, gap_s: float, has_deadly: bool
) -> StormWorld:
    """Run a steady load of harmless subtasks while one worker restarts in series."""
    world = StormWorld(stack, 6, 0.3, seed)
    choice = world.random
    if has_deadly:
        world.submit_deadly(DEADLY, definition(1, 2))
    until_s = world.now_s + 30.0
    next_s = world.now_s + gap_s
    while world.now_s < until_s:
        world.submit_harmless(choice.randint(1, 3), choice.uniform(1.0, 5.0))
        world.advance(0.15)
        if world.now_s >= next_s and "w0" in world.sims:
            world.crash(world.sims["w0"], is_silent=choice.random() < 0.5)
            next_s = world.now_s + gap_s * choice.uniform(0.8, 1.2)
    world.advance(60.0)
    return world
