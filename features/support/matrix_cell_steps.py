"""The steps of requests and changes at which the matrix injects its faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

from cicadatrail_core.models.fleet import Team
from cicadatrail_core.models.maintenance import StepStatus, Wave, WaveAction
from cicadatrail_core.models.patches import PutTeam, StartWave
from cicadatrail_core.models.records import (
    ClaimRecord,
    JoinRecord,
    LeaveRecord,
    MoveDrainedRecord,
    PatchRecord,
    Record,
    StepRecord,
    TransferRecord,
)
from cicadatrail_core.models.rights import PartitionRight
from cicadatraild.sharing.appender import Appender
from features.support.matrix_cell import Cell
from features.support.matrix_faults import submit_move
from features.support.paused_cluster import POOL

STEP_LIMIT_S = 15.0


def _on_record(cell: Cell, kind: type, step: StepStatus | None = None) -> None:
    """Reach the step when the log accepts a record, with its writer as the victim."""

    def hook(envelope: Any) -> None:
        record = envelope.record
        if cell.reached.is_set() or not isinstance(record, kind):
            return
        if step is not None and getattr(record, "step", None) is not step:
            return
        writer = envelope.writer.partition(".")[0]
        if writer in cell.world.entries:
            cell.victim = writer
        cell.mark_reached()

    cell.world.log.hooks.append(hook)


def _on_task(cell: Cell, what: str) -> None:
    def hook(event: str, worker_id: str, holder: str) -> None:
        if event == what and not cell.reached.is_set() and holder:
            cell.victim, cell.worker_id = holder.partition(".")[0], worker_id
            cell.mark_reached()

    cell.world.task_hooks.append(hook)


async def _reach_when(cell: Cell, holds: Callable[[Any], bool]) -> None:
    """Reach the step at the first instance for which ``holds`` is true."""

    def found() -> bool:
        for entry in cell.world.live():
            if entry.instance is not None and holds(entry.instance):
                cell.victim = entry.name
                return True
        return False

    if await cell.world.until(found, STEP_LIMIT_S):
        cell.mark_reached()


async def waiting(cell: Cell) -> None:
    await _reach_when(
        cell, lambda instance: instance.components.dispatch_queue.waiting_count > 2
    )


async def sent(cell: Cell) -> None:
    _on_task(cell, "begin")


async def answered(cell: Cell) -> None:
    _on_task(cell, "end")


async def forwarded(cell: Cell) -> None:
    before = {
        e.name: e.instance.components.attempt_runner.forwarded_count
        for e in cell.world.live()
    }
    await _reach_when(
        cell,
        lambda i: (
            i.components.attempt_runner.forwarded_count
            > before.get(i.components.settings.instance.instance_id, 0)
        ),
    )


async def patch_submitted(cell: Cell) -> None:
    """Reach the step as the patch is queued, before it is appended."""
    add = Appender.add

    def add_and_reach(appender: Appender, record: Record) -> bool:
        added = add(appender, record)
        if isinstance(record, PatchRecord) and not cell.reached.is_set():
            cell.victim = appender._writer.partition(".")[0]
            cell.mark_reached()
        return added

    cell.stack.enter_context(patch.object(Appender, "add", add_and_reach))
    cell.world.loop.create_task(_put_team(cell, 2.0))


async def patch_appended(cell: Cell) -> None:
    _on_record(cell, PatchRecord)
    cell.world.loop.create_task(_put_team(cell, 2.0))


async def patch_folded(cell: Cell) -> None:
    version = cell.world.log.truth.version
    cell.world.loop.create_task(_put_team(cell, 2.0))
    await _reach_when(cell, lambda i: i.components.replica.state.version > version)


async def _put_team(cell: Cell, weight: float) -> None:
    await cell.world.submit(PutTeam(Team("weddings", weight, 8)))


async def move_requested(cell: Cell) -> None:
    _on_record(cell, PatchRecord)
    cell.world.loop.create_task(submit_move(cell))


async def move_drained(cell: Cell) -> None:
    _on_record(cell, MoveDrainedRecord)
    cell.world.loop.create_task(submit_move(cell))


async def _wave_step(cell: Cell, step: StepStatus) -> None:
    _on_record(cell, StepRecord, step)
    wave = Wave("wave-1", WaveAction.REBOOT, POOL, concurrency_limit_count=4)
    cell.world.loop.create_task(cell.world.submit(StartWave(wave)))


async def joining(cell: Cell) -> None:
    _on_record(cell, JoinRecord)
    cell.world.start_entry("entry-d")


async def claiming(cell: Cell) -> None:
    _on_record(cell, ClaimRecord)
    cell.world.kill("entry-b")
    await asyncio.sleep(1.0)
    cell.world.start_entry("entry-b")


async def transfer_appended(cell: Cell) -> None:
    _on_record(cell, TransferRecord)
    cell.world.start_entry("entry-d")


async def sending_memory(cell: Cell) -> None:
    """Reach the step when the giver has sent a partition's memory to the taker."""
    cell.world.start_entry("entry-d")
    cell.world.log.hooks.append(lambda e: _reach_at_partition(cell, e))


def _reach_at_partition(cell: Cell, envelope: Any) -> None:
    record = envelope.record
    if cell.reached.is_set() or not isinstance(record, TransferRecord):
        return
    if any(isinstance(right, PartitionRight) for right in record.rights):
        cell.victim = record.taker.partition(".")[0]
        cell.mark_reached()


async def lending_slots(cell: Cell) -> None:
    await _reach_when(cell, lambda i: i.components.loans.lent_count() > 0)


def _start_leaving(cell: Cell) -> None:
    """Remove the victim from the load balancer and terminate it."""
    entry = cell.world.entries[cell.victim]
    cell.callers.addresses.remove(entry.caller)
    cell.leaving_entry, cell.leaving_incarnation = entry, entry.incarnation
    cell.world.terminate(cell.victim)


async def leaving(cell: Cell) -> None:
    _start_leaving(cell)
    await asyncio.sleep(0.05)
    cell.mark_reached()


async def left(cell: Cell) -> None:
    _on_record(cell, LeaveRecord)
    _start_leaving(cell)


async def at_once(cell: Cell) -> None:
    cell.mark_reached()


async def without_load(cell: Cell) -> None:
    assert cell.load is not None
    cell.load.cancel()
    await asyncio.sleep(3.0)
    cell.mark_reached()


STEPS: dict[str, Callable[[Cell], Awaitable[None]]] = {
    "at once": at_once,
    "without load": without_load,
    "waiting": waiting,
    "sent": sent,
    "answered": answered,
    "forwarded": forwarded,
    "patch submitted": patch_submitted,
    "patch appended": patch_appended,
    "patch folded at one": patch_folded,
    "move told": move_requested,
    "move drained": move_drained,
    "wave draining": lambda cell: _wave_step(cell, StepStatus.DRAINING),
    "wave maintaining": lambda cell: _wave_step(cell, StepStatus.MAINTAINING),
    "wave done": lambda cell: _wave_step(cell, StepStatus.DONE),
    "joining": joining,
    "claiming": claiming,
    "transfer appended": transfer_appended,
    "memory travelling": sending_memory,
    "lending slots": lending_slots,
    "leaving": leaving,
    "left": left,
}
