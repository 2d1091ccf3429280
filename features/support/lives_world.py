"""Real instances and stand-in workers with clocks of their own, on paused time."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from contextvars import copy_context
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from features.standins.platform_fleet import PlatformWorker
from features.support.matrix_loop import OWNER, MachineLoop, machine_of
from features.support.memory_network import MemoryNetwork
from features.support.platform_cluster import PlatformCluster

CLOCK_MODULES = ("leadership", "last_answers", "worker_lives", "leader_right", "entry")
UNIX_MODULES = ("scheduling.leader", "scheduling.leader_records", "platform.callers")
PORTS = (7100, 7101, 7102, 7103)
UNIX_BEGIN_MS = 1_700_000_000_000


class LivesLoop(MachineLoop):
    """A loop without sockets: when nothing is ready the clock advances at once."""

    def _poll_briefly(self) -> Any:
        return []


class LivesWorld(PlatformCluster):
    """A cluster in memory whose instances can be killed, frozen and cut off.

    ``unix_steps_ms`` has by how much the time of day is off on a machine.
    """

    def __init__(self, loop: LivesLoop, stack: ExitStack) -> None:
        self.loop = loop
        self.network = MemoryNetwork(loop)
        self.network.life = self._life
        self.incarnations: dict[str, int] = {}
        self.unix_steps_ms: dict[str, int] = {}
        stack.enter_context(self.network.in_place())
        for module in CLOCK_MODULES:
            name = f"cicadatraild.scheduling.{module}.boot_now_s"
            stack.enter_context(patch(name, loop.time))
        for module in UNIX_MODULES:
            name = f"cicadatraild.{module}.unix_now_ms"
            stack.enter_context(patch(name, self.unix_now_ms))
        unix = SimpleNamespace(time=lambda: self.unix_now_ms() / 1000)
        stack.enter_context(patch("features.standins.platform_fleet.time", unix))
        super().__init__()
        # Nothing is bound, and what sets of addresses hold must not differ.
        self.ports = list(PORTS)

    def host(self, name: str) -> str:
        return f"127.9.9.{10 + int(name.rsplit('-', 1)[1])}"

    def _life(self, machine: str) -> int:
        return sum(w.started_ms for w in self.workers if w.worker_id == machine)

    def unix_now_ms(self) -> int:
        step_ms = self.unix_steps_ms.get(machine_of(OWNER.get()), 0)
        return UNIX_BEGIN_MS + int(self.loop.time() * 1000) + step_ms

    async def add_worker(self, worker_id: str) -> PlatformWorker:
        context = copy_context()
        context.run(OWNER.set, worker_id)
        adding = self.loop.create_task(super().add_worker(worker_id), context=context)
        return await adding

    def start(self, name: str) -> None:
        number = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        context = copy_context()
        context.run(OWNER.set, f"{name}#{number}")
        context.run(super().start, name)

    def owner(self, name: str) -> str:
        return f"{name}#{self.incarnations[name]}"

    def kill_at_once(self, name: str) -> None:
        """End an instance as SIGKILL does: none of its code runs any more."""
        self.loop.kill(self.owner(name))
        del self.tasks[name], self.instances[name]


def run_in_memory(main: Any, seed: int) -> Any:
    """Run ``main(world)`` on virtual time, and return its result."""
    random.seed(seed)
    loop = LivesLoop()
    asyncio.set_event_loop(loop)
    with ExitStack() as stack:
        try:
            world = LivesWorld(loop, stack)
            return loop.run_until_complete(main(world))
        finally:
            loop.set_exception_handler(lambda *_: None)
            loop.release_all()
            tasks = asyncio.all_tasks(loop)
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.wait(tasks, timeout=5.0))
            asyncio.set_event_loop(None)
            loop.close()
