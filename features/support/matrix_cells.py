"""The fault matrix: the run of a cell, its recovery and its checks."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
from contextlib import AsyncExitStack, ExitStack

from cicadatrail_core.models.patches import WithdrawKey
from features.support.matrix_cell import Cell
from features.support.matrix_cell_steps import STEP_LIMIT_S, STEPS
from features.support.matrix_checks import Callers, Invariants, outdated_entries
from features.support.matrix_faults import FAULTS
from features.support.matrix_loop import MachineLoop, run_machines
from features.support.paused_cluster import Entry, PausedCluster, seed_product

RECOVERY_S = 20.0
"""Time after the faults within which every request is served again.

It is the sum of the configured times: instance list lag 5 s, lease 2 s, task
lease 10.2 s, and a second each for a poll and a claim.
"""

SETTLE_S = 2.0
LEAVE_LIMIT_S = 30.0
"""Time for leaving: a task of one second, loans, and two round trips to the log."""

PROBE_COUNT = 4


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
