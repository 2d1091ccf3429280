"""Capacity of a stand-in worker, and the judgement of starts against it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

CONTACT_S = 3.0
RESOURCES = ("cpu", "mem-mb", "gpu")


@dataclass
class WorkerRun:
    """A run in progress on a worker.

    ``need`` holds what it counts against the worker's capacity.
    """

    task: str
    run: int
    began_s: float
    duration_s: float
    fails: bool
    is_long_running: bool
    need: dict[str, int] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


def need_of(options: dict[str, str]) -> dict[str, int]:
    """Return what the options in a subtask's spec count against a capacity."""
    cpu = 0 if "fills" in options else int(options.get("cpu", "1000"))
    memory = int(options.get("mem", "0"))
    return {"cpu": cpu, "mem-mb": memory, "gpu": int(options.get("gpu", "0"))}


class WorkerCapacity:
    """A worker's capacity, which may change while it runs.

    A smaller one counts for starts only ``notice_s`` after the change: the time to
    the next heartbeat, which shows it, and the time to read that.
    """

    def __init__(self, cpu: int, memory: int, heartbeat_s: float) -> None:
        self.current = {"cpu": cpu, "mem-mb": memory, "gpu": 0}
        self.notice_s = CONTACT_S + heartbeat_s
        # Earlier capacities, each with the time of the change to the next one.
        self._earlier: list[tuple[float, dict[str, int]]] = []

    def change(self, now_s: float, capacity: dict[str, int]) -> None:
        """Change the capacity of the resources that ``capacity`` names."""
        self._earlier.append((now_s, self.current))
        self.current = self.current | capacity

    def forget_earlier(self) -> None:
        """Let only the current capacity count, as for a new incarnation."""
        self._earlier.clear()

    def counted(self, now_s: float) -> dict[str, int]:
        """Return the capacity that counts for a start: the highest within notice."""
        counted = [self.current] + [
            capacity
            for changed_s, capacity in self._earlier
            if now_s - changed_s <= self.notice_s
        ]
        return {name: max(each[name] for each in counted) for name in RESOURCES}

    def excess(self, runs: Iterable[WorkerRun], now_s: float) -> str:
        """Return which resources the runs use beyond the capacity, or ""."""
        runs = list(runs)
        counted = self.counted(now_s)
        used = {name: sum(run.need[name] for run in runs) for name in RESOURCES}
        return ", ".join(
            f"{used[name]} of {counted[name]} {name}"
            for name in RESOURCES
            if used[name] > counted[name]
        )
