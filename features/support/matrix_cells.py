"""The fault matrix: faults, the steps at which they strike, and a cell's run."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from cicadatrail_core.models.fleet import Pool, Team
from cicadatrail_core.models.maintenance import StepStatus, Wave, WaveAction
from cicadatrail_core.models.patches import (
    PutPool,
    PutTeam,
    StartMove,
    StartWave,
    WithdrawKey,
)
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
from features.standins.log_store import LogFaults
from features.standins.workers import WorkerFaults
from features.support.matrix_checks import Callers, Invariants, outdated_entries
from features.support.matrix_loop import MachineLoop, run_machines
from features.support.paused_cluster import (
    POOL,
    SPARE,
    Entry,
    PausedCluster,
    seed_product,
)

STEP_LIMIT_S = 15.0
RECOVERY_S = 20.0
"""Time after the faults within which every request is served again.

It is the sum of the configured times: instance list lag 5 s, lease 2 s, task
lease 10.2 s, and a second each for a poll and a claim.
"""

SETTLE_S = 2.0
LEAVE_LIMIT_S = 30.0
"""Time for leaving: a task of one second, loans, and two round trips to the log."""

PROBE_COUNT = 4


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


Fault = Callable[[Cell], Awaitable[None]]


async def killed(cell: Cell) -> None:
    cell.world.kill(cell.victim)
    await asyncio.sleep(4.0)
    cell.start_victim()


async def frozen_for(cell: Cell, duration_s: float) -> None:
    cell.world.loop.freeze(cell.victim)
    await asyncio.sleep(duration_s)
    cell.world.loop.wake(cell.victim)


async def cut_off(
    cell: Cell, others: list[str], out: bool = True, back: bool = True
) -> None:
    loop = cell.world.loop
    isolated = {"log", *cell.peers} <= {*others} or not (out and back)
    for other in others:
        if out:
            loop.cut(cell.victim, other)
        if back:
            loop.cut(other, cell.victim)
    end_s = loop.time() + 6.0
    while loop.time() < end_s:
        if isolated:
            cell.checks.disturbed_s[cell.victim] = loop.time()
        await asyncio.sleep(0.1)
    loop.restore_links()


async def log_faulty(cell: Cell, **faults: Any) -> None:
    cell.world.log.faults = LogFaults(**faults)
    await asyncio.sleep(6.0)
    cell.world.log.faults = LogFaults()


async def slow_links(cell: Cell) -> None:
    loop = cell.world.loop
    names = ["log", *cell.peers]
    for name in names:
        loop.delays_s[(cell.victim, name)] = 0.3
        loop.delays_s[(name, cell.victim)] = 0.3
    await asyncio.sleep(6.0)
    loop.restore_links()


async def instance_list_stale(cell: Cell) -> None:
    cell.world.list_stale = True
    cell.world.kill(cell.victim)
    await asyncio.sleep(1.0)
    cell.start_victim()
    await asyncio.sleep(5.0)
    cell.world.list_stale = False


async def worker_faulty(cell: Cell, **faults: Any) -> None:
    worker = cell.world.workers[cell.worker_id]
    worker.faults = WorkerFaults(**faults)
    await asyncio.sleep(5.0)
    worker.faults = WorkerFaults()


async def worker_leaves(cell: Cell) -> None:
    worker = cell.world.workers[cell.worker_id]
    worker.leaving = True
    cell.checks.leaving_s[cell.worker_id] = cell.world.loop.time()
    await asyncio.sleep(6.0)
    del cell.checks.leaving_s[cell.worker_id]
    worker.leaving = False


async def callers_cancel(cell: Cell) -> None:
    for _ in range(3):
        entry = cell.world.live()[0]
        sent = [
            cell.world.loop.create_task(_begin_request(cell, entry.caller))
            for _ in range(20)
        ]
        await asyncio.sleep(0.25)
        for each in sent:
            each.cancel()
        await asyncio.sleep(0.75)


async def _begin_request(cell: Cell, address: Any) -> None:
    key = cell.world.keys["weddings"].text
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(
            b"POST /work?run_ms=2500&cpu=500 HTTP/1.1\r\nHost: e\r\n"
            b"Cicadatrail-Key: %s\r\nCicadatrail-Service: bookings\r\n"
            b"Cicadatrail-Queue: bookings\r\nContent-Length: 0\r\n"
            b"Cicadatrail-Size: cpu_millicores=500,memory_mib=64\r\n\r\n" % key.encode()
        )
        await reader.read()
    finally:
        writer.transport.abort()


async def operators_race(cell: Cell) -> None:
    world = cell.world
    before = world.log.truth.version
    entries = world.live()[:2]
    verdicts = await asyncio.gather(
        *(
            world.submit(PutPool(Pool(f"extra-{number}")), entry=entry)
            for number, entry in enumerate(entries)
        )
    )
    if verdicts.count("accepted") > 1 and world.log.truth.version < before + 2:
        cell.checks.report(f"two racing patches got the verdicts {verdicts}")
    applied = [n for n in range(2) if f"extra-{n}" in world.log.truth.pools]
    if len(applied) > 1:
        cell.checks.report("both patches that raced against one version took effect")


async def rack_fails(cell: Cell) -> None:
    lost = [f"{POOL}-a0", f"{POOL}-a1"]
    for worker_id in lost:
        cell.world.kill_worker(worker_id)
    await asyncio.sleep(6.0)
    for worker_id in lost:
        await cell.world.restart_worker(worker_id)


async def data_centre_fails(cell: Cell) -> None:
    world = cell.world
    lost = [f"{POOL}-{cell.victim[-1]}{number}" for number in range(2)]
    others = ["log", "list", "maintenance", *cell.peers]
    for name in others:
        world.loop.cut(cell.victim, name)
    world.kill(cell.victim)
    for worker_id in lost:
        world.kill_worker(worker_id)
    await asyncio.sleep(8.0)
    world.loop.restore_links()
    for worker_id in lost:
        await world.restart_worker(worker_id)
    cell.start_victim()


async def terminated(cell: Cell) -> None:
    world, entry = cell.world, cell.world.entries[cell.victim]
    # The load balancer removes a leaving instance before it ends.
    if entry.caller in cell.callers.addresses:
        cell.callers.addresses.remove(entry.caller)
    cut_before = cell.callers.result.outcomes[("weddings", "connection-lost")]
    world.terminate(cell.victim)
    ended = await world.until(lambda: not entry.alive, 30.0)
    if not ended:
        cell.checks.report(f"{cell.victim} did not end within 30 s")
    cut_after = cell.callers.result.outcomes[("weddings", "connection-lost")]
    if cut_after > cut_before:
        cell.checks.report(f"a graceful shutdown cut {cut_after - cut_before} requests")
    cell.start_victim()
    cell.callers.addresses.append(entry.caller)


async def all_restarted(cell: Cell) -> None:
    world = cell.world
    world.log.faults = LogFaults(slow_s=0.5)
    for name in tuple(world.entries):
        world.kill(name)
    await asyncio.sleep(1.0)
    for name, entry in tuple(world.entries.items()):
        if not entry.alive:
            world.start_entry(name)
    await asyncio.sleep(8.0)
    world.log.faults = LogFaults()


async def nothing(cell: Cell) -> None:
    await asyncio.sleep(1.0)


FAULTS: dict[str, Fault] = {
    "nothing": nothing,
    "killed": killed,
    "terminated": terminated,
    "frozen": lambda cell: frozen_for(cell, 5.0),
    "paused past its leases": lambda cell: frozen_for(cell, 25.0),
    "cut from the log": lambda cell: cut_off(cell, ["log"]),
    "cut towards the log": lambda cell: cut_off(cell, ["log"], back=False),
    "cut from the log's answers": lambda cell: cut_off(cell, ["log"], out=False),
    "cut from its peers": lambda cell: cut_off(cell, cell.peers),
    "cut towards its peers": lambda cell: cut_off(cell, cell.peers, back=False),
    "cut from log and peers": lambda cell: cut_off(cell, ["log", *cell.peers]),
    "on slow links": slow_links,
    "log slow": lambda cell: log_faulty(cell, slow_s=0.5),
    "log down": lambda cell: log_faulty(cell, down=True),
    "log answers lost": lambda cell: log_faulty(cell, lost_answer_count=4),
    "instance list stale": instance_list_stale,
    "a worker fails everything": lambda cell: worker_faulty(cell, fail_all=True),
    "a worker dies mid-reply": lambda cell: worker_faulty(cell, truncate=True),
    "a worker dies before its reply": lambda cell: worker_faulty(
        cell, drop_before_head=True
    ),
    "a worker answers late": lambda cell: worker_faulty(cell, late_s=2.0),
    "a worker leaves": worker_leaves,
    "callers cancel in waves": callers_cancel,
    "two operators race": operators_race,
    "a rack goes": rack_fails,
    "a data centre goes": data_centre_fails,
    "all instances restarted": all_restarted,
    "a move is asked for": lambda cell: _submit_move(cell),
}


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
    cell.world.loop.create_task(_submit_move(cell))


async def move_drained(cell: Cell) -> None:
    _on_record(cell, MoveDrainedRecord)
    cell.world.loop.create_task(_submit_move(cell))


async def _submit_move(cell: Cell) -> None:
    await cell.world.submit(StartMove("move-1", f"{POOL}-b0", POOL, SPARE))


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


async def run_cell(
    loop: MachineLoop, seed: int, fault: str, step: str, second: str, gap_s: float
) -> list[str]:
    async with AsyncExitStack() as stack:
        world = PausedCluster(loop, stack, seed)
        with ExitStack() as seeding:
            seed_product(world, seeding)
            await world.start()
            callers = Callers(world)
            cell = Cell(world, callers, Invariants(world, callers), stack)
            watching = loop.create_task(cell.checks.watch())
            await _run_scenario(cell, fault, step, second, gap_s)
            watching.cancel()
            if watching.done() and not watching.cancelled():
                cell.checks.report(
                    f"the checks raised an exception: {watching.exception()!r}"
                )
            cell.checks.finish()
            loop.release_all()
            return cell.checks.violations


async def _run_scenario(
    cell: Cell, fault: str, step: str, second: str, gap_s: float
) -> None:
    world, callers, loop = cell.world, cell.callers, cell.world.loop
    callers.addresses = [entry.caller for entry in world.live()]
    teams = [callers.team("weddings", "weddings", 5.0)]
    teams.append(callers.team("stock-control", "stock-control", 3.0))
    load = cell.load = loop.create_task(callers.run(teams, 60.0))
    await asyncio.sleep(1.0)
    reaching = loop.create_task(_run_step(cell, step))
    if not await world.until(cell.reached.is_set, STEP_LIMIT_S):
        cell.checks.report(f"the step was never reached: {step}")
    injecting = loop.create_task(_inject(cell, fault))
    loop.create_task(_withdraw(cell))
    if second:
        await asyncio.sleep(gap_s)
        await _inject(cell, second)
    await injecting
    load.cancel()
    await _recover(cell)
    reaching.cancel()
    await world.until(lambda: not callers.is_busy, 16.0)


async def _run_step(cell: Cell, step: str) -> None:
    await STEPS[step](cell)


async def _inject(cell: Cell, fault: str) -> None:
    await FAULTS[fault](cell)


async def _withdraw(cell: Cell) -> None:
    await asyncio.sleep(0.5)
    key = cell.world.keys["old"].entry.key_id
    while not cell.world.log.truth.keys[key].withdrawn:
        # The victim may be cut off, and the withdrawal must not wait for it.
        reachable = [
            entry
            for entry in cell.world.live()
            if entry.name != cell.victim and not cell.world.stopped(entry)
        ]
        entry = reachable[0] if reachable else None
        await cell.world.submit(WithdrawKey(key), entry=entry)


async def _recover(cell: Cell) -> None:
    """Check that every live instance serves again in time."""
    world = cell.world
    world.loop.restore_links()
    leaving_entry, incarnation = cell.leaving_entry, cell.leaving_incarnation

    def has_left() -> bool:
        return (
            leaving_entry is None
            or not leaving_entry.alive
            or leaving_entry.incarnation != incarnation
        )

    if not await world.until(has_left, LEAVE_LIMIT_S):
        cell.checks.report(f"an instance did not leave within {LEAVE_LIMIT_S:g} s")
    for name, entry in world.entries.items():
        if not entry.alive:
            world.start_entry(name)
    await asyncio.gather(*(_probe(cell, entry) for entry in world.live()))
    await asyncio.sleep(SETTLE_S)
    outdated = outdated_entries(world.live(), world.log.truth)
    if outdated:
        cell.checks.report(f"{outdated} don't have the newest configuration")


async def _probe(cell: Cell, entry: Entry) -> None:
    world, served = cell.world, 0
    end_s = world.loop.time() + RECOVERY_S
    probe = Callers(world)
    probe.addresses = [entry.caller]
    while served < PROBE_COUNT and world.loop.time() < end_s:
        if await probe.send(probe.team("weddings", "weddings")) == "complete":
            served += 1
        else:
            await asyncio.sleep(0.3)
    if served < PROBE_COUNT:
        reasons = dict(probe.result.reasons)
        text = (
            f"{entry.name} does not serve {RECOVERY_S:g} s after the faults: {reasons}"
        )
        cell.checks.report(text)


def find_violations(
    seed: int, fault: str, step: str, second: str = "", gap_s: float = 2.0
) -> list[str]:
    """Run one cell and return the violations found."""
    logging.disable(logging.CRITICAL)
    try:
        found: list[str] = run_machines(
            lambda loop: run_cell(loop, seed, fault, step, second, gap_s)
        )
    finally:
        logging.disable(logging.NOTSET)
    return found


def random_cell(seed: int) -> tuple[str, str, str, float]:
    """Draw two faults, a step and the gap in seconds from a seed."""
    source = random.Random(seed)
    fault, second = source.choice(list(FAULTS)), source.choice(list(FAULTS))
    return fault, source.choice(list(STEPS)), second, source.uniform(0.0, 8.0)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault")
    parser.add_argument("--step", default="at once")
    parser.add_argument("--second", default="")
    parser.add_argument("--gap", type=float, default=2.0)
    parser.add_argument("--verbose", action="store_true")
    arguments = parser.parse_args()
    failed_count = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        if arguments.fault:
            cell = (arguments.fault, arguments.step, arguments.second, arguments.gap)
        else:
            cell = random_cell(seed)
        violations = find_violations(seed, *cell)
        failed_count += bool(violations)
        print(f"seed {seed}: {cell}: {violations or 'held'}", flush=True)
    print(f"{arguments.runs - failed_count} held, {failed_count} broken")
    return 1 if failed_count else 0
