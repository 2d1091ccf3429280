"""Random histories of workers and leaders that restart while links are cut.

Real instances run beside stand-in workers whose clocks begin anew with each life.
``findings`` has what no caller or worker may see: a subtask that runs twice at once or
after its end, and accepted jobs that aren't completed once all faults are over.

    python -m features.support.lives_history --seed 1 --seeds 100
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import sys
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import Any

from cicadatraild.utils.output import format_record
from features.standins.platform_fleet import PlatformWorker
from features.support.lives_mutants import MUTANTS
from features.support.lives_world import LivesWorld, run_in_memory
from features.support.matrix_loop import OWNER
from features.support.platform_actions import start_instances, submit
from features.support.platform_cluster import job

# ruff: noqa: SLF001

INSTANCE_COUNT = 4
WORKER_COUNT = 5
EPISODE_COUNT = 4
CALM_S = (6.0, 9.0)
SUBMIT_S = 32.0
COMPLETION_LIMIT_S = 45.0
LASTING = "00000000000000aa"
LASTING_COUNT = 3
DOWN_S = (0.3, 3.0)
DARK_S = (0.1, 0.6)
SLOW_RATE = 0.98
SHORT_MS = (50, 900)
LONG_MS = (6000, 14_000)
LONG_FRACTION = 0.6
SUBTASK_CPU = 200

Action = Callable[[], Coroutine[Any, Any, None]]


class LivesHistory:
    """Actions drawn at random in a world; ``actions`` has when each began."""

    passes_late_calls_on = False

    def __init__(self, world: LivesWorld, seed: int) -> None:
        self.world = world
        self.loop = world.loop
        self.random = random.Random(seed)
        self.names = [f"edge-{k + 1}" for k in range(INSTANCE_COUNT)]
        self.accepted: set[str] = set()
        self.actions: list[tuple[float, str]] = []
        self.findings: list[str] = []
        self._late: dict[str, float] = {}
        world.network.late_s = self._late_s

    async def play(self) -> None:
        world = self.world
        await world.open(WORKER_COUNT)
        for worker in world.workers[::2]:
            worker.clock.rate = SLOW_RATE
        await start_instances(world, INSTANCE_COUNT)
        body = job(1, count=LASTING_COUNT, **{"long-running": True})
        await self._submit(LASTING, body | {"spec": f"lasts cpu={SUBTASK_CPU}"})
        pending = [self.loop.create_task(self._submit_jobs())]
        for _ in range(EPISODE_COUNT):
            for action in self._draw_episode():
                self.actions.append((self.loop.time(), action.__name__.lstrip("_")))
                pending.append(self.loop.create_task(action()))
                await asyncio.sleep(self.random.uniform(0.0, 1.2))
            await asyncio.sleep(self.random.uniform(*CALM_S))
        await asyncio.gather(*pending)
        await self._wait_for_completion()
        self.findings += world.fleet.violations

    def _draw_episode(self) -> list[Action]:
        """Return actions that overlap; leases end in the calm after them."""
        weights: dict[Action, int] = {
            self._restart_and_cut_off: 4,
            self._restart_cut_off_and_kill: 6,
            self._cut_off_worker: 1,
            self._lose_answers: 2,
            self._delay_orders: 2,
            self._kill_leader: 2,
            self._kill_two_leaders: 2,
            self._freeze_leader: 2,
            self._stop_leader: 1,
            self._cut_off_leader: 2,
            self._store_down: 1,
        }
        count = self.random.choice((1, 1, 2, 3))
        return self.random.choices([*weights], [*weights.values()], k=count)

    # Jobs

    async def _submit_jobs(self) -> None:
        until_s = self.loop.time() + SUBMIT_S
        submissions = []
        number = 0
        while self.loop.time() < until_s:
            number += 1
            is_long = self.random.random() < LONG_FRACTION
            ms = self.random.randint(*(LONG_MS if is_long else SHORT_MS))
            steps, count = self.random.randint(1, 2), self.random.randint(1, 3)
            body = job(ms, steps, count, cpu=SUBTASK_CPU)
            body["spec"] += f" cpu={SUBTASK_CPU}"
            submission = self._submit(f"{number:016x}", body)
            submissions.append(self.loop.create_task(submission))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        await asyncio.gather(*submissions)

    async def _submit(self, job_id: str, body: dict[str, Any]) -> None:
        for _ in range(6):
            names = sorted(self.world.instances)
            if names:
                name = self.random.choice(names)
                if await submit(self.world, name, job_id, body) == 200:
                    self.accepted.add(job_id)
                    return
            await asyncio.sleep(0.3)

    async def _wait_for_completion(self) -> None:
        until_s = self.loop.time() + COMPLETION_LIMIT_S
        waiting = sorted(self.accepted - {LASTING})
        while waiting and self.loop.time() < until_s:
            name = self.random.choice(sorted(self.world.instances))
            states = {i: await self.world.state(name, i) for i in waiting}
            waiting = [i for i in waiting if states[i] != "completed"]
            await asyncio.sleep(0.3)
        self.findings += [f"{i} is not completed: {states[i]}" for i in waiting]
        running = [t for t in self.world.fleet.running if t.startswith(LASTING)]
        count = sum(bool(self.world.fleet.running[t]) for t in running)
        if LASTING in self.accepted and count < LASTING_COUNT:
            self.findings.append(f"{count} subtasks of {LASTING} run")

    # Workers

    async def _restart_and_cut_off(self) -> None:
        """Restart workers unnoticed, and cut them off once they are back."""
        workers = [w for w in self.world.workers if not w.is_unlisted]
        count = min(len(workers), self.random.randint(1, 3))
        chosen = self.random.sample(workers, count)
        await asyncio.gather(*(self._restart_one(worker) for worker in chosen))

    async def _restart_one(self, worker: PlatformWorker) -> None:
        dark_s = self.random.uniform(*DARK_S)
        worker.loses_start_answers = self.random.random() < 0.5
        worker.restart_dark(dark_s)
        soon_s = self.random.choice((0.05, 1.5))
        await asyncio.sleep(dark_s + self.random.uniform(0.01, soon_s))
        worker.unresponsive = True
        await asyncio.sleep(self.random.uniform(5.0, 9.0))
        worker.unresponsive = worker.is_unlisted = worker.loses_start_answers = False

    async def _restart_cut_off_and_kill(self) -> None:
        """The same, and kill the leader meanwhile."""
        after_s = self.random.uniform(0.05, 0.8)
        await asyncio.gather(self._restart_and_cut_off(), self._kill_leader(after_s))

    async def _cut_off_worker(self) -> None:
        worker = self.random.choice(self.world.workers)
        if worker.unresponsive or worker.is_unlisted:
            return
        worker.unresponsive = worker.is_unlisted = True
        await asyncio.sleep(self.random.uniform(0.5, 9.0))
        worker.unresponsive = worker.is_unlisted = False

    async def _lose_answers(self) -> None:
        worker = self.random.choice(self.world.workers)
        if worker.loses_start_answers:
            return
        worker.loses_start_answers = True
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        worker.loses_start_answers = False

    async def _delay_orders(self) -> None:
        """Carry out half of a worker's orders late, and answer none of these."""
        worker_id = self.random.choice(self.world.workers).worker_id
        self._late[worker_id] = self.random.uniform(0.6, 3.0)
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        self._late.pop(worker_id, None)

    def _late_s(self, machine: str, call: str) -> float:
        is_order = call in ("run-start", "run-stop")
        if machine not in self._late or not is_order or self.random.random() < 0.5:
            return 0.0
        return self._late[machine]

    # Instances

    def _leader(self) -> str | None:
        """Return the instance that leads, or was elected last."""
        epochs = {
            name: instance._leader.epoch
            for name, instance in self.world.instances.items()
            if instance._leader is not None
        }
        return max(epochs, key=lambda name: epochs[name], default=None)

    async def _kill_leader(self, after_s: float = 0.0) -> None:
        await asyncio.sleep(after_s)
        name = self._leader()
        if name is not None:
            await self._kill(name)

    async def _kill(self, name: str) -> None:
        self.world.kill_at_once(name)
        await asyncio.sleep(self.random.uniform(*DOWN_S))
        self.world.start(name)

    async def _kill_two_leaders(self) -> None:
        """Kill a leader, and soon after its takeover its successor."""
        former = self._leader()
        if former is None:
            return
        killing = [self.loop.create_task(self._kill(former))]
        after_s = self.random.uniform(1.3, 4.0)
        await asyncio.sleep(after_s)
        successor = self._leader()
        if successor is not None:
            killing.append(self.loop.create_task(self._kill(successor)))
        await asyncio.gather(*killing)

    async def _freeze_leader(self) -> None:
        name = self._leader()
        if name is None or name in self.loop.frozen:
            return
        self.loop.freeze(name)
        await asyncio.sleep(self.random.uniform(0.15, 4.0))
        self.loop.wake(name)

    async def _stop_leader(self) -> None:
        name = self._leader()
        if name is None:
            return
        task = self.world.tasks[name]
        self.world.instances[name].stop()
        done, _ = await asyncio.wait({task}, timeout=8.0)
        if self.world.tasks.get(name) is not task:
            return
        if done:
            del self.world.tasks[name], self.world.instances[name]
        else:
            self.world.kill_at_once(name)
        await asyncio.sleep(self.random.uniform(*DOWN_S))
        self.world.start(name)

    async def _cut_off_leader(self) -> None:
        """Cut the leader off from the store, and maybe from all other instances."""
        name = self._leader()
        if name is None:
            return
        links = {(name, "tests"), ("tests", name)}
        if self.random.random() < 0.5:
            links = {(name, "tests")}
        if self.random.random() < 0.5:
            others = [other for other in self.names if other != name]
            links |= {(name, other) for other in others}
            links |= {(other, name) for other in others}
        self.world.network.lost |= links
        await asyncio.sleep(self.random.uniform(0.5, 7.0))
        self.world.network.lost -= links

    async def _store_down(self) -> None:
        self.world.store.faults.down = True
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.world.store.faults.down = False


def play_lives(
    seed: int,
    mutant: str = "",
    passes_late_calls_on: bool = False,
    kind: type[LivesHistory] = LivesHistory,
) -> LivesHistory:
    """Play a random history, in which a rule may be left out of the product.

    Late orders end with the life that they were sent to, or are passed on.
    """

    async def main(world: LivesWorld) -> LivesHistory:
        history = kind(world, seed)
        passes_on = passes_late_calls_on or kind.passes_late_calls_on
        world.network.passes_late_calls_on = passes_on
        await history.play()
        return history

    with ExitStack() as stack:
        if mutant:
            stack.enter_context(MUTANTS[mutant]())
        result: LivesHistory = run_in_memory(main, seed)
        return result


class _VirtualTimeHandler(logging.Handler):
    """Print each line with the machine that logs it and the time of the history."""

    def emit(self, record: logging.LogRecord) -> None:
        now_s = asyncio.get_running_loop().time()
        print(f"{now_s:.3f} {OWNER.get()} {format_record(record)}")


def main(kind: type[LivesHistory] = LivesHistory) -> int:
    description = sys.modules[kind.__module__].__doc__
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, from --seed on"
    )
    parser.add_argument("--mutant", default="", choices=["", *MUTANTS])
    parser.add_argument(
        "--late", action="store_true", help="let late orders outlive their worker"
    )
    parser.add_argument("--logs", action="store_true", help="show the instances' logs")
    arguments = parser.parse_args()
    if arguments.logs:
        logging.basicConfig(level=logging.INFO, handlers=[_VirtualTimeHandler()])
    else:
        logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        history = play_lives(seed, arguments.mutant, arguments.late, kind)
        failed += bool(history.findings)
        if history.findings or arguments.logs:
            print(f"seed {seed}: {history.findings}", flush=True)
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
