"""Maintenance waves: drain machines, have them maintained, and return them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgpack

from cicadatrail_core.jobs.drain_conflicts import workers_to_give_back
from cicadatrail_core.jobs.ended_lives import MAINTENANCE
from cicadatrail_core.jobs.evacuation import evacuate
from cicadatrail_core.jobs.models import MachineState, Wave
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatraild.platform.machines import MachineOutcome
from cicadatraild.platform.store import (
    STATUS_TOPIC,
    WAVE_KEY_PREFIX,
    KeyedRecord,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.platform.waves import encode_wave_state
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.machine_inventory import MachineInventory

logger = logging.getLogger("cicadatrail.maintenance")

CHECK_INTERVAL_S = 0.1
"""Interval between checks of the machines that are being drained."""

LIST_INTERVAL_S = 0.5
"""Interval between lists of machines while some are under maintenance."""

RETRY_S = 0.5
"""Delay before a machine whose order failed is tried again."""

GIVE_BACK_AFTER_S = 3.0
"""Time for which a machine is drained before it may be given back: an earlier order
without an answer may move it until then, and most short work ends."""

GIVEN_BACK_S = 3.0
"""Delay before a machine that was given back to waiting work is drained again."""

DRAINED_POOL_FRACTION = 0.34
"""Largest fraction of a pool that a wave drains or maintains at once."""


@dataclass(slots=True)
class WaveProgress:
    """The progress of a wave.

    ``started_machines`` are those whose maintenance has started, or never can;
    ``in_maintenance`` maps machines to the time of their order, ``draining`` to the
    start of their draining, ``retry_s`` to the time of the next attempt.
    ``reported`` is the state last written for operators.
    """

    wave: Wave
    started_machines: set[str] = field(default_factory=set)
    in_maintenance: dict[str, float] = field(default_factory=dict)
    draining: dict[str, float] = field(default_factory=dict)
    retry_s: dict[str, float] = field(default_factory=dict)
    reported: bytes = b""
    is_completed: bool = False
    first_seen_s: float = 0.0


class WaveRunner:
    """Run the waves that operators have requested.

    ``on_progress`` is called after each change that a successor must know.
    """

    def __init__(
        self,
        inventory: MachineInventory,
        store: StoreClient,
        scheduler: Scheduler,
        waves: Callable[[], list[Wave]],
        on_progress: Callable[[], None],
    ) -> None:
        self._inventory = inventory
        self._store = store
        self._scheduler = scheduler
        self._waves = waves
        self._on_progress = on_progress
        self._restored: dict[int, tuple[set[str], bool]] = {}
        self._progress: dict[int, WaveProgress] = {}

    def pending_machines(self) -> frozenset[str]:
        """Return the machines that a wave still has to maintain or is maintaining."""
        held: set[str] = set()
        for wave in self._waves():
            progress = self._progress.get(wave.number)
            if progress is None:
                held |= set(wave.machines)
            elif not progress.is_completed:
                held |= set(wave.machines) - progress.started_machines
                held |= set(progress.in_maintenance)
        return frozenset(held)

    def restore(self, number: int, record: bytes) -> None:
        """Restore a wave's progress from an earlier leader's record.

        Raises ValueError or TypeError if the record is invalid.
        """
        started, is_completed = msgpack.unpackb(record)
        if not all(isinstance(name, str) for name in started):
            raise ValueError(f"machines can't be {started!r}")
        self._restored[number] = (set(started), is_completed is True)

    def encode(self) -> Iterator[tuple[int, bytes]]:
        """Yield the number and record of each wave."""
        for number, progress in self._progress.items():
            record = [sorted(progress.started_machines), progress.is_completed]
            yield number, msgpack.packb(record)

    async def run(self) -> None:
        """Run waves until cancelled."""
        while True:
            for wave in self._waves():
                await self._advance(wave)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _advance(self, wave: Wave) -> None:
        progress = self._progress.get(wave.number)
        if progress is None:
            progress = WaveProgress(wave, first_seen_s=loop_now_s())
            started, is_completed = self._restored.get(wave.number, (set(), False))
            progress.started_machines |= started
            progress.is_completed = is_completed
            self._progress[wave.number] = progress
        await self._report_state(progress)
        if progress.is_completed:
            return
        if not await self._inventory.refresh(
            LIST_INTERVAL_S if progress.in_maintenance else 2 * LIST_INTERVAL_S
        ):
            return
        self._remove_finished(progress)
        self._give_back(progress)
        self._start_draining(progress)
        drained = [
            name
            for name, since_s in list(progress.draining.items())
            if self._is_drained(name, since_s)
        ]
        if drained and self._inventory.is_lease_valid():
            await self._inventory.announce(drained)
            await asyncio.gather(*[self._maintain(progress, name) for name in drained])
        self._check_completed(progress)

    def _remove_finished(self, progress: WaveProgress) -> None:
        """Remove machines that a newer list shows as up or no longer names."""
        for name, ordered_s in list(progress.in_maintenance.items()):
            machine = self._inventory.machines.get(name)
            is_up = machine is not None and machine.state is MachineState.UP
            if (is_up or machine is None) and self._inventory.listed_s > ordered_s:
                del progress.in_maintenance[name]
                logger.info(
                    "maintenance: machine has left maintenance.",
                    extra={"machine": name, "wave": progress.wave.number},
                )

    def _give_back(self, progress: WaveProgress) -> None:
        """Stop draining machines for long-running subtasks that fit on no others.

        Their drains might wait for those subtasks in turn. The balancer orders nothing
        for a wave's machines, but may have done so just before.
        """
        now_s = loop_now_s()
        names = {
            worker.facts.worker_id: name
            for name, since_s in progress.draining.items()
            if now_s - since_s > GIVE_BACK_AFTER_S
            and (worker := self._scheduler.worker_on(name)) is not None
        }
        drained = [self._scheduler.workers[worker_id] for worker_id in names]
        for worker in workers_to_give_back(self._scheduler, drained, now_s):
            name = names[worker.facts.worker_id]
            since_s = progress.draining.pop(name)
            progress.retry_s[name] = now_s + GIVEN_BACK_S
            worker.is_cordoned = False
            self._scheduler.on_change()
            logger.info(
                "maintenance: machine given back; waiting work fits on no other.",
                extra={
                    "machine": name,
                    "wave": progress.wave.number,
                    "run_count": len(worker.runs),
                    "duration_s": round(now_s - since_s, 3),
                },
            )

    def _start_draining(self, progress: WaveProgress) -> None:
        """Start draining the least loaded machines, within the wave's limit."""
        wave = progress.wave
        now_s = loop_now_s()
        # The list may not show the last orders of an earlier leader yet.
        blocked = self._inventory.blocked()
        unavailable = {
            name
            for name in wave.machines
            if name in self._inventory.machines
            and self._inventory.machines[name].state is MachineState.MAINTENANCE
        }
        unavailable |= blocked & set(wave.machines)
        busy = len(progress.draining) + len(unavailable | set(progress.in_maintenance))
        candidates = [
            name
            for name in wave.machines
            if name not in progress.started_machines
            and name not in blocked
            and name not in progress.draining
            and progress.retry_s.get(name, 0) <= now_s
            and name in self._inventory.machines
            and self._inventory.machines[name].state is MachineState.UP
        ]
        self._scheduler.next_maintenance_machines = frozenset(candidates)
        candidates.sort(key=self._load)
        for name in candidates:
            if busy >= wave.limit_count:
                return
            if self._pool_is_full(progress, name):
                continue
            progress.draining[name] = now_s
            busy += 1
            worker = self._scheduler.worker_on(name)
            if worker is not None:
                worker.is_cordoned = True
            logger.info(
                "maintenance: draining machine.",
                extra={
                    "machine": name,
                    "wave": wave.number,
                    "run_count": len(worker.runs) if worker else 0,
                    "list_age_s": round(now_s - self._inventory.listed_s, 3),
                },
            )

    def _pool_is_full(self, progress: WaveProgress, name: str) -> bool:
        pool = self._inventory.machines[name].pool
        size = sum(
            1 for machine in self._inventory.machines.values() if machine.pool == pool
        )
        taken = sum(
            1
            for other in (*progress.draining, *progress.in_maintenance)
            if other in self._inventory.machines
            and self._inventory.machines[other].pool == pool
        )
        known = self._scheduler.configuration.pools.get(pool)
        if known is not None and known.standby:
            return False
        return taken + 1 > max(1, int(size * DRAINED_POOL_FRACTION))

    def _load(self, name: str) -> tuple[float, int]:
        """Return the used fraction of a machine's pool and the machine's run count."""
        worker = self._scheduler.worker_on(name)
        if worker is None:
            return (0.0, 0)
        used = capacity = 0
        for other in self._scheduler.workers.values():
            if other.facts.pool == worker.facts.pool:
                used += other.used.cpu_millicores
                capacity += other.facts.capacity.cpu_millicores
        return (used / max(1, capacity), len(worker.runs))

    def _is_drained(self, name: str, since_s: float) -> bool:
        """Return whether a machine is drained; evacuate the runs that must leave."""
        worker = self._scheduler.worker_on(name)
        if worker is None:
            return True
        worker.is_cordoned = True
        evacuate(self._scheduler, worker, since_s, loop_now_s())
        return worker.is_reconciled and not worker.runs

    async def _maintain(self, progress: WaveProgress, name: str) -> None:
        # The order ends the life that is known now, not one that begins after it.
        worker = self._scheduler.worker_on(name)
        outcome = await self._inventory.maintain(name, progress.wave.number)
        self._apply_outcome(progress, name, worker, outcome)

    def _apply_outcome(
        self,
        progress: WaveProgress,
        name: str,
        worker: WorkerState | None,
        outcome: MachineOutcome,
    ) -> None:
        now_s = loop_now_s()
        del progress.draining[name]
        match outcome:
            case MachineOutcome.DONE:
                progress.started_machines.add(name)
                progress.in_maintenance[name] = now_s
                if worker is not None:
                    self._scheduler.remove_worker(
                        worker.facts.worker_id, now_s, MAINTENANCE
                    )
                self._on_progress()
                return
            case MachineOutcome.NOT_IN_WAVE | MachineOutcome.UNKNOWN_MACHINE:
                progress.started_machines.add(name)
                self._on_progress()
            case MachineOutcome.UNKNOWN:
                # It may have started, so it counts until a list shows it as up.
                progress.in_maintenance[name] = now_s
        if worker is not None:
            worker.is_cordoned = False
            self._scheduler.on_change()
        progress.retry_s[name] = now_s + RETRY_S

    def _check_completed(self, progress: WaveProgress) -> None:
        open_machines = [
            name
            for name in progress.wave.machines
            if name in self._inventory.machines
            and name not in progress.started_machines
        ]
        if open_machines or progress.in_maintenance or progress.draining:
            return
        progress.is_completed = True
        self._on_progress()
        logger.info(
            "maintenance: wave completed.",
            extra={
                "wave": progress.wave.number,
                "duration_s": round(loop_now_s() - progress.first_seen_s, 3),
            },
        )

    async def _report_state(self, progress: WaveProgress) -> None:
        """Store the wave's state for operators when it has changed."""
        number = progress.wave.number
        value = encode_wave_state(number, progress.is_completed)
        if progress.reported == value:
            return
        try:
            await self._store.append(
                STATUS_TOPIC, [KeyedRecord(f"{WAVE_KEY_PREFIX}{number}", value)]
            )
            progress.reported = value
        except StoreUnavailableError as error:
            logger.warning(
                "maintenance: failed to store the wave's state.",
                extra={"reason": str(error)},
            )
