"""The faults of the fault matrix."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from cicadatrail_core.models.fleet import Pool
from cicadatrail_core.models.patches import PutPool, StartMove
from features.standins.log_store import LogFaults
from features.standins.workers import WorkerFaults
from features.support.matrix_cell import Cell
from features.support.paused_cluster import POOL, SPARE

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


async def submit_move(cell: Cell) -> None:
    await cell.world.submit(StartMove("move-1", f"{POOL}-b0", POOL, SPARE))


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
    "a move is asked for": lambda cell: submit_move(cell),
}
