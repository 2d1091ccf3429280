"""Wider random histories: more troubles, up to four at once, on long-running jobs too.

python -m features.support.lives_wide --seed 1 --seeds 60
"""

from __future__ import annotations

import asyncio
import sys

from features.standins.platform_fleet import PlatformWorker
from features.support.lives_history import (
    COMPLETION_LIMIT_S,
    DARK_S,
    DOWN_S,
    SUBMIT_S,
    SUBTASK_CPU,
    Action,
    LivesHistory,
    main,
)
from features.support.lives_world import LivesWorld
from features.support.platform_cluster import job

OVERLAP_COUNTS = (1, 2, 2, 3, 4)
LASTING_PAUSE_S = (0.5, 2.0)
CANCELLED_FRACTION = 0.3
LATE_S = (2.0, 12.0)
RESTART_PAUSE_S = (0.05, 1.2)
CUT_OFF_S = (4.0, 9.0)
CLOCK_STEPS_MS = (-8000, -2000, 2000, 8000)


class WideHistory(LivesHistory):
    """A history in which late orders outlive the lives that they were sent to.

    Long-running jobs are submitted all along, and some of them cancelled. Most troubles
    of workers in an episode hit the same one.
    """

    passes_late_calls_on = True

    def __init__(self, world: LivesWorld, seed: int) -> None:
        super().__init__(world, seed)
        self._lasting: dict[str, int] = {}
        self._cancelled: set[str] = set()
        self._worker_hit: PlatformWorker | None = None

    def _draw_episode(self) -> list[Action]:
        self._worker_hit = self.random.choice(self.world.workers)
        weights: dict[Action, int] = {
            self._restart_in_series: 6,
            self._delay_orders: 5,
            self._restart_and_cut_off: 2,
            self._restart_cut_off_and_kill: 5,
            self._kill_all: 2,
            self._kill_leader: 2,
            self._kill_two_leaders: 1,
            self._cut_off_one_way_and_kill: 3,
            self._freeze_leader: 1,
            self._stop_leader: 1,
            self._cut_off_leader: 1,
            self._lose_answers: 1,
            self._lose_store_answers: 2,
            self._refuse_leader: 2,
            self._store_down: 1,
            self._step_time_of_day: 2,
        }
        count = self.random.choice(OVERLAP_COUNTS)
        return self.random.choices([*weights], [*weights.values()], k=count)

    def _draw_worker(self) -> PlatformWorker:
        if self._worker_hit is not None and self.random.random() < 0.7:
            return self._worker_hit
        return self.random.choice(self.world.workers)

    # Jobs

    async def _submit_jobs(self) -> None:
        await asyncio.gather(super()._submit_jobs(), self._submit_lasting_jobs())

    async def _submit_lasting_jobs(self) -> None:
        until_s = self.loop.time() + SUBMIT_S
        submissions = []
        number = 0
        while self.loop.time() < until_s:
            number += 1
            submission = self._submit_lasting(f"1{number:015x}")
            submissions.append(self.loop.create_task(submission))
            await asyncio.sleep(self.random.uniform(*LASTING_PAUSE_S))
        await asyncio.gather(*submissions)

    async def _submit_lasting(self, job_id: str) -> None:
        """Submit a long-running job, and maybe cancel it some time after."""
        count = self.random.randint(1, 3)
        body = job(1, count=count, cpu=SUBTASK_CPU, **{"long-running": True})
        await self._submit(job_id, body | {"spec": f"lasts cpu={SUBTASK_CPU}"})
        if job_id not in self.accepted:
            return
        # It never completes.
        self.accepted.remove(job_id)
        if self.random.random() >= CANCELLED_FRACTION:
            self._lasting[job_id] = count
            return
        await asyncio.sleep(self.random.uniform(0.1, 12.0))
        names = sorted(self.world.instances)
        if names:
            name = self.random.choice(names)
            status, _ = await self.world.call(name, "DELETE", f"/q/{job_id}")
            if status == 200:
                self._cancelled.add(job_id)

    async def _wait_for_completion(self) -> None:
        until_s = self.loop.time() + COMPLETION_LIMIT_S
        await super()._wait_for_completion()
        while self._lasting_findings() and self.loop.time() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(0.3)
        self.findings += self._lasting_findings()

    def _lasting_findings(self) -> list[str]:
        """Return which long-running subtasks don't run, or run though cancelled."""
        running = {
            task for task, workers in self.world.fleet.running.items() if workers
        }
        subtasks = {
            f"{job_id}.0.0.{index}"
            for job_id, count in self._lasting.items()
            for index in range(count)
        }
        at = f"at {self.loop.time():.3f} s"
        findings = [f"{task} doesn't run {at}" for task in sorted(subtasks - running)]
        cancelled = {task for task in running if task[:16] in self._cancelled}
        return findings + [f"{task} is cancelled and runs {at}" for task in cancelled]

    # Workers

    async def _restart_in_series(self) -> None:
        """Restart a worker two to four times in a row, then cut it off."""
        worker = self._draw_worker()
        for _ in range(self.random.randint(2, 4)):
            worker.loses_start_answers = self.random.random() < 0.4
            worker.restart_dark(self.random.uniform(*DARK_S))
            await asyncio.sleep(self.random.uniform(*RESTART_PAUSE_S))
        worker.is_unlisted = self.random.random() < 0.5
        await self._cut_off_from_instances(worker)
        worker.is_unlisted = worker.loses_start_answers = False

    async def _cut_off_from_instances(self, worker: PlatformWorker) -> None:
        """Cut a worker off; calls that are under way may still arrive."""
        links = {(name, worker.worker_id) for name in self.names}
        links |= {(target, source) for source, target in links}
        self.world.network.lost |= links
        await asyncio.sleep(self.random.uniform(*CUT_OFF_S))
        self.world.network.lost -= links

    async def _delay_orders(self) -> None:
        """Carry out half of a worker's orders seconds late, without an answer."""
        worker_id = self._draw_worker().worker_id
        self._late[worker_id] = self.random.uniform(*LATE_S)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        self._late.pop(worker_id, None)

    # Instances

    async def _kill_all(self) -> None:
        """Kill all instances at once, as a worker restarts."""
        restart = self.loop.create_task(self._restart_one(self._draw_worker()))
        await asyncio.sleep(self.random.uniform(0.0, 0.8))
        killed = sorted(self.world.instances)
        for name in killed:
            self.world.kill_at_once(name)
        await asyncio.sleep(self.random.uniform(*DOWN_S))
        for name in killed:
            self.world.start(name)
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await restart

    async def _cut_off_one_way_and_kill(self) -> None:
        """Cut the leader off one way from some workers and peers, and kill it."""
        leader = self._leader()
        if leader is None:
            return
        workers = [worker.worker_id for worker in self.world.workers]
        others = workers + [name for name in self.names if name != leader]
        cut = self.random.sample(others, self.random.randint(1, 4))
        links = {(leader, other) for other in cut}
        if self.random.random() < 0.5:
            links = {(other, leader) for other in cut}
        self.world.network.lost |= links
        await asyncio.sleep(self.random.uniform(0.1, 2.5))
        if leader in self.world.instances:
            await self._kill(leader)
        self.world.network.lost -= links

    async def _lose_store_answers(self) -> None:
        self.world.store.faults.lost_answers += self.random.randint(1, 12)

    async def _refuse_leader(self) -> None:
        """Let the store refuse the leader's host."""
        name = self._leader()
        if name is None:
            return
        refused = self.world.store.faults.refused_hosts
        refused.add(name)
        await asyncio.sleep(self.random.uniform(0.5, 7.0))
        refused.discard(name)

    async def _step_time_of_day(self) -> None:
        """Step the time of day of one machine, and later step it back."""
        name = self.random.choice(self.names)
        self.world.unix_steps_ms[name] = self.random.choice(CLOCK_STEPS_MS)
        await asyncio.sleep(self.random.uniform(1.0, 8.0))
        self.world.unix_steps_ms.pop(name, None)


if __name__ == "__main__":
    sys.exit(main(WideHistory))
