"""Simulated workers whose capacity changes, and random histories of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cicadatrail_core.jobs.models import JobDefinition, Step, SubtaskName, WorkerFacts
from cicadatrail_core.jobs.state import Run
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatraild.platform.workers import OrderAnswer, OrderOutcome
from cicadatraild.scheduling.worker_orders import WorkerOrders
from features.support.job_world import JobWorld, RandomHistory, SimulatedWorker

NOTICE_S = 3.5
"""Time for which a capacity still counts for starts after it has shrunk."""


class CapacityWorld(JobWorld):
    """Workers whose capacity can be changed; each starts with 8 cores and 2 GPUs."""

    def __init__(self, worker_count: int, capacity: Resources) -> None:
        self.capacities: dict[str, Resources] = {}
        self.initial = capacity
        super().__init__(worker_count, capacity.cpu_millicores // 1000)

    def facts(self, sim: SimulatedWorker, draining: bool = False) -> WorkerFacts:
        facts = super().facts(sim, draining)
        capacity = self.capacities.setdefault(sim.worker_id, self.initial)
        return replace(facts, capacity=capacity)

    def change(self, name: str, **capacity: int) -> None:
        """Change a worker's capacity and let the scheduler read its entry."""
        self.capacities[name] = replace(self.capacities[name], **capacity)
        self.scheduler.update_worker(self.facts(self.sims[name]), self.now_s)

    def submit_steps(self, number: int, *steps: Step) -> None:
        plan = JobDefinition("q", "team", "spec", steps)
        self.submit(f"{number:016x}", plan)

    def used(self, name: str) -> Resources:
        """Return what the runs on a worker reserve."""
        total = NO_RESOURCES
        for subtask in self.sims[name].running:
            total = total + self.reserved(subtask)
        return total

    def reserved(self, name: SubtaskName) -> Resources:
        definition = self.scheduler.jobs[name.job_id].definition
        return definition.steps[name.step].reserved


class HeldClient:
    """A client of workers that holds each start until it is released.

    Like the real one, it asks whether the start is still wanted right before it
    would send it.
    """

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.sent: list[str] = []
        self.on_send: Callable[[], None] = lambda: None

    async def start(self, _worker: WorkerFacts, subtask: str, *rest: Any) -> Any:
        is_wanted = rest[-1]
        await self.released.wait()
        if not is_wanted():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        self.sent.append(subtask)
        return OrderAnswer(OrderOutcome.DONE)


class HeldLeadership:
    """A leadership whose lease is always valid."""

    def is_lease_valid(self) -> bool:
        return True

    def step_down(self, reason: str) -> None:
        raise AssertionError(reason)


async def send_after(
    world: JobWorld, runs: list[Run], change: Callable[[], None]
) -> list[str]:
    """Apply a change while the orders to start wait; return the subtasks sent."""
    client = HeldClient()
    orders = WorkerOrders(
        world.scheduler,
        client,  # type: ignore[arg-type]
        HeldLeadership(),  # type: ignore[arg-type]
    )
    for run in runs:
        orders.lives.record_answer(run.worker, run.worker.born_unix_ms)
    world.scheduler.starts += runs
    orders.send()
    await asyncio.sleep(0)
    change()
    client.released.set()
    while orders._tasks:  # noqa: ASYNC110 - the orders have no common event
        await asyncio.sleep(0)
    return client.sent


class CapacityHistory(RandomHistory):
    """Random histories in which capacities shrink and grow.

    Each start is checked when it is placed, against the capacity that the scheduler
    has read, and when it is carried out, against the highest of the last
    ``NOTICE_S``.
    """

    # The leader can't know what capacity a life has that it has not called.
    passes_late_starts_on = False

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.world: CapacityWorld = CapacityWorld(4, Resources(8000, 64_000, 2))
        # For each worker, when its capacity became what; the entry may come later.
        self.changes: dict[str, list[tuple[float, Resources]]] = {
            name: [(0.0, self.world.initial)] for name in self.world.sims
        }
        self.start_count = 0
        self.over_count = 0

    def submit(self) -> None:
        self.jobs += 1
        choose = self.random.choice
        need = Resources(
            choose((500, 1000, 2000, 4000, 8000)),
            choose((10, 1000, 8000, 24_000)),
            choose((0, 0, 0, 1, 2)),
        )
        gang = self.random.random() < 0.2
        steps = (
            Step(choose((1, 2, 3)), need, 300, gang=gang),
            Step(1, need, 300, after=(0,), filler=self.random.random() < 0.3),
        )
        self.world.submit_steps(self.jobs, *steps)

    def _change(self, name: str, capacity: Resources) -> None:
        self.changes[name].append((self.world.now_s, capacity))

    def shrink(self) -> None:
        name = self.random.choice(list(self.world.sims))
        capacity = self.changes[name][-1][1]
        part = self.random.choice((0.0, 0.25, 0.5))
        resource = self.random.choice(
            ("cpu_millicores", "memory_mib", "accelerator_count")
        )
        smaller = int(getattr(capacity, resource) * part)
        self._change(name, replace(capacity, **{resource: smaller}))

    def grow(self) -> None:
        self._change(self.random.choice(list(self.world.sims)), self.world.initial)

    def show(self) -> None:
        """Let the scheduler read every worker's entry, as after a heartbeat."""
        for name, changes in self.changes.items():
            self.world.capacities[name] = changes[-1][1]
            sim = self.world.sims[name]
            self.world.scheduler.update_worker(self.world.facts(sim), self.world.now_s)

    def wait(self) -> None:
        """Let time pass; capacities may change, and heartbeats show them."""
        if self.random.random() < 0.5:
            self.random.choice((self.shrink, self.grow))()
        super().wait()
        self.show()

    def settle(self) -> None:
        for name in self.world.sims:
            self._change(name, self.world.initial)
        self.show()
        super().settle()

    def start(self) -> None:
        for run in self.world.dispatch():
            worker = run.worker
            is_repeated = bool(run.unanswered_count)
            assert is_repeated or worker.used.fits_in(worker.facts.capacity), (
                f"{run.subtask.name} is placed over {worker.facts}"
            )
            self._send_start(run, self.random.random() < 0.85)
        self._send_stops()

    def _start_run(
        self,
        sim: SimulatedWorker,
        name: SubtaskName,
        run: int,
        epoch: int,
        until_s: float,
    ) -> None:
        was_running = name in sim.running
        super()._start_run(sim, name, run, epoch, until_s)
        if was_running or name not in sim.running:
            return
        self.start_count += 1
        # An order that is carried out late was sent up to a lease ago.
        since_s = min(self.world.now_s, until_s - 3.5) - NOTICE_S
        counted = self._counted(sim.worker_id, since_s)
        used = self.world.used(sim.worker_id)
        assert used.fits_in(counted), f"{name} brings {sim.worker_id} over {counted}"

    def _counted(self, name: str, since_s: float) -> Resources:
        """Return the highest capacity since a time, of each resource."""
        changes = self.changes[name]
        counted = changes[-1][1]
        for (_, earlier), (changed_s, _) in zip(changes, changes[1:], strict=False):
            if changed_s >= since_s:
                counted = counted.at_least(earlier)
        return counted

    def check(self) -> None:
        """Check the accounting; what runs may be over a capacity that has shrunk."""
        for worker in self.world.scheduler.workers.values():
            total = Resources()
            for run in worker.runs.values():
                total = total + run.subtask.step.spec.reserved
            assert total == worker.used
        for name, changes in self.changes.items():
            self.over_count += not self.world.used(name).fits_in(changes[-1][1])
