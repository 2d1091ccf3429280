"""Balancing of pools: moves idle machines to pools that need them, or to standby."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import asdict

from cicadatrail_core.jobs.balance import (
    PlannedMove,
    PoolNeed,
    plan_moves,
    pool_needs,
)
from cicadatrail_core.jobs.demand import Demand
from cicadatrail_core.jobs.ended_lives import MOVED
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.turn_forecast import TurnForecast
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.machine_inventory import MachineInventory

logger = logging.getLogger("cicadatrail.balance")

PLAN_INTERVAL_S = 0.2
"""Interval between plans."""

LIST_AGE_LIMIT_S = 1.0
"""Largest age of the machine list that a plan uses; own orders are added to it."""

RETRY_S = 3.0
"""Delay after a failed move of a machine, or for all moves after a failed
announcement; a move takes 1.5 s."""

PEAK_WINDOW_S = 2.0
"""Window of the peak of a pool's need; two moves cost about as much as a machine
costs in two seconds."""

FALL_PEAK_WINDOW_S = 1.2
"""The same for a pool whose demand is past a peak."""

ORDER_RATE_FRACTION = 0.95
"""Fraction of the machine service's order rate that moves may use; the few orders of
waves need the rest."""


class PoolBalancer:
    """Plan moves of machines between pools and carry them out.

    ``wave_machines`` returns the machines that a wave needs, which aren't moved.
    ``orders_per_s`` is the rate at which the machine service accepts orders.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        inventory: MachineInventory,
        wave_machines: Callable[[], frozenset[str]],
        orders_per_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._inventory = inventory
        self._wave_machines = wave_machines
        self._orders_per_plan_count = max(
            1, int(orders_per_s * ORDER_RATE_FRACTION * PLAN_INTERVAL_S)
        )
        self._demand = Demand()
        self.turns = TurnForecast()
        self._recent_needs: dict[str, deque[tuple[float, int]]] = {}
        self._retry_s: dict[str, float] = {}
        self._cordoned: dict[str, WorkerState] = {}
        self.needs: dict[str, PoolNeed] = {}
        self.move_count = 0

    def cordon_blocked(self) -> None:
        """Cordon workers on machines that an earlier leader may have sent an order for.

        The order may still be carried out, and would end what runs on the machine.
        """
        now_s = loop_now_s()
        for name in self._inventory.blocked():
            worker = self._scheduler.worker_on(name)
            due_s = self._inventory.order_due_s(name)
            if worker is not None and due_s > now_s:
                worker.is_cordoned = True
                self._cordoned[name] = worker
                self._retry_s[name] = due_s

    async def run(self) -> None:
        """Balance the pools until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self._inventory.is_lease_valid() and await self._inventory.refresh(
                LIST_AGE_LIMIT_S
            ):
                await self._balance(loop_now_s())

    async def _balance(self, now_s: float) -> None:
        machines = self._inventory.machines
        self._uncordon(now_s)
        needs = pool_needs(self._scheduler, self._demand, machines, now_s, self.turns)
        self.needs = needs
        peaks = {
            name: self._recent_peak(name, need, now_s) for name, need in needs.items()
        }
        waiting = {name for name, due_s in self._retry_s.items() if due_s > now_s}
        excluded = (
            self._wave_machines() | frozenset(waiting) | self._inventory.blocked()
        )
        moves = plan_moves(self._scheduler, needs, peaks, machines, excluded)
        if not moves:
            return
        logger.info(
            "balance: moves planned.",
            extra={
                "moves": len(moves),
                "needs": {name: list(asdict(n).values()) for name, n in needs.items()},
                "list_age_s": round(now_s - self._inventory.listed_s, 3),
            },
        )
        moves = moves[: self._orders_per_plan_count]
        workers = {
            move.machine: self._scheduler.worker_on(move.machine) for move in moves
        }
        for worker in workers.values():
            if worker is not None:
                # Nothing may start there while the announcement is being stored.
                worker.is_cordoned = True
        if await self._inventory.announce(workers):
            await asyncio.gather(
                *[self._move(move, workers[move.machine], now_s) for move in moves]
            )
            return
        for worker in workers.values():
            if worker is not None:
                worker.is_cordoned = False
        self._scheduler.on_change()
        await asyncio.sleep(RETRY_S)

    def _recent_peak(self, pool: str, need: PoolNeed, now_s: float) -> int:
        """Return the most machines that a pool has needed within the peak window."""
        recent = self._recent_needs.setdefault(pool, deque())
        recent.append((now_s, need.needed_count))
        window_s = FALL_PEAK_WINDOW_S if need.is_falling else PEAK_WINDOW_S
        while recent[0][0] < now_s - window_s:
            recent.popleft()
        return max(count for _, count in recent)

    async def _move(
        self, move: PlannedMove, worker: WorkerState | None, now_s: float
    ) -> None:
        outcome = await self._inventory.move(move.machine, move.target)
        if outcome is MachineOutcome.DONE:
            self.move_count += 1
            if worker is not None:
                worker_id = worker.facts.worker_id
                self._scheduler.remove_worker(worker_id, loop_now_s(), MOVED)
            return
        self._retry_s[move.machine] = now_s + RETRY_S
        if worker is None:
            return
        if outcome is MachineOutcome.UNKNOWN:
            # The move may have been carried out.
            self._cordoned[move.machine] = worker
            return
        worker.is_cordoned = False
        self._scheduler.on_change()

    def _uncordon(self, now_s: float) -> None:
        """Uncordon workers that still answer long after their machine's order."""
        for name, worker in list(self._cordoned.items()):
            due_s = self._retry_s[name]
            if now_s < due_s or worker.is_suspect:
                continue
            if worker.answered_s is None or worker.answered_s < due_s:
                continue
            del self._cordoned[name]
            worker.is_cordoned = False
            self._scheduler.on_change()
