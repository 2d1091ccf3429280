"""One cell of the fault matrix."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from features.support.matrix_checks import Callers, Invariants
from features.support.paused_cluster import POOL, Entry, PausedCluster


@dataclass(slots=True)
class Cell:
    """One fault at one step, and optionally another during its recovery."""

    world: PausedCluster
    callers: Callers
    checks: Invariants
    stack: AsyncExitStack
    victim: str = "entry-a"
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    worker_id: str = f"{POOL}-a0"
    load: asyncio.Task[Any] | None = None
    leaving_entry: Entry | None = None
    leaving_incarnation: int = 0

    def mark_reached(self) -> None:
        self.reached.set()

    def start_victim(self) -> None:
        if not self.world.entries[self.victim].alive:
            self.world.start_entry(self.victim)

    @property
    def peers(self) -> list[str]:
        return [name for name in self.world.entries if name != self.victim]
