"""A fleet of which a wave drains machines, and the upkeeps that it orders."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import Any
from unittest.mock import AsyncMock, patch

from cicadatrail_core.jobs.models import Machine, MachineState, Wave
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.scheduling.maintenance import WaveRunner
from features.support.crash_world import NEW_ID, CrashWorld
from features.support.job_world import SimulatedWorker

# ruff: noqa: SLF001

CHECK_S = 0.1
UPKEEP_S = 2.0


class Inventory:
    """The machines of a world's workers; an upkeep ends what runs on its machine."""

    def __init__(self, world: DrainWorld) -> None:
        self._world = world
        self.machines = {
            f"m-{name}": Machine(f"m-{name}", "pool", MachineState.UP, name)
            for name in world.sims
        }
        self.listed_s = world.now_s
        self.maintained: list[str] = []
        self.interrupted: list[str] = []

    async def refresh(self, age_limit_s: float) -> bool:
        self.listed_s = self._world.now_s
        return True

    def is_lease_valid(self) -> bool:
        return True

    def blocked(self) -> frozenset[str]:
        return frozenset()

    async def announce(self, names: list[str]) -> bool:
        return True

    async def maintain(self, name: str, wave: int) -> MachineOutcome:
        self.maintained.append(name)
        sim = self._world.sims.pop(name.removeprefix("m-"), None)
        if sim is not None:
            self.interrupted += [str(run) for run in sim.running]
            self._world.down.append((self._world.now_s + UPKEEP_S, sim))
        return MachineOutcome.DONE


class DrainWorld(CrashWorld):
    """All machines are named by a wave of which three may be down at once."""

    def __init__(self, stack: ExitStack, worker_count: int) -> None:
        super().__init__(stack, worker_count, 8, NEW_ID, down_s=1e6)
        module = "cicadatraild.scheduling.maintenance"
        stack.enter_context(patch(f"{module}.loop_now_s", lambda: self.now_s))
        for sim in self.sims.values():
            sim.percent = 100
        inventory: Any = Inventory(self)
        self.inventory = inventory
        self.wave = Wave(1, tuple(inventory.machines), 60.0, 3)
        self.runner = WaveRunner(
            inventory, AsyncMock(), self.scheduler, list, lambda: None
        )
        self.checked_s = 0.0

    def add_worker(self, name: str) -> None:
        sim = SimulatedWorker(name, 8, started_ms=self.now_ms)
        sim.percent = 100
        self.sims[name] = sim
        self.scheduler.update_worker(self.facts(sim), self.now_s)

    def restart_workers(self) -> None:
        super().restart_workers()
        for sim in self.sims.values():
            sim.percent = 100

    def advance_wave(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.advance(CHECK_S)
            asyncio.run(self.runner._advance(self.wave))
