"""Run entry instances as processes under load and check their guarantees."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cicadatraild.network.http_client import Address, ConnectionPool
from features.support.cluster import Cluster, loopback_host
from features.support.demo import (
    DATA_CENTRES,
    LIMITS,
    read_json,
    set_up,
    worker_names,
)
from features.support.load import Load, LoadResult, TeamLoad

SEED = 71
LOAD_S = 9.0
FAULT_AT_S = 2.0
FROZEN_S = 5.0
LOG_DOWN_S = 6.0


@dataclass(slots=True)
class ProcessRun:
    """Three entry instances, the teams' keys and the result of the load."""

    cluster: Cluster
    keys: dict[str, str]
    result: LoadResult = field(default_factory=LoadResult)
    started_s: float = 0.0

    @property
    def callers(self) -> list[Address]:
        live = [i for i in self.cluster.instances.values() if i.process is not None]
        return [instance.caller for instance in live]

    def teams(self) -> list[TeamLoad]:
        return [
            TeamLoad(
                "weddings", self.keys["weddings"], "bookings", "bookings", 40, 100
            ),
            TeamLoad(
                "stock-control",
                self.keys["stock-control"],
                "stock",
                "stock",
                30,
                150,
                repeatable=True,
            ),
        ]


def start_processes(stack: ExitStack) -> ProcessRun:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    cluster = Cluster(folder, stack, worker_names())
    cluster.start_platform()
    for number, letter in enumerate(DATA_CENTRES, 2):
        cluster.start_instance(f"entry-{letter}", letter, loopback_host(number))
    cluster.wait_until_served()
    return ProcessRun(cluster, set_up(cluster))


async def set_log_faults(run: ProcessRun, **faults: Any) -> None:
    pool = ConnectionPool(1.0)
    address = run.cluster.platform["log"]
    body = json.dumps(faults).encode()
    await pool.fetch(address, "POST", "/faults", body=body, timeout_s=2.0)


async def kill(run: ProcessRun, load: Load) -> None:
    run.cluster.signal("entry-c", signal.SIGKILL)
    load.addresses.remove(run.cluster.instances["entry-c"].caller)


async def terminate(run: ProcessRun, load: Load) -> None:
    # The load balancer removes a leaving instance before it exits.
    load.addresses.remove(run.cluster.instances["entry-c"].caller)
    code = await asyncio.to_thread(run.cluster.stop, "entry-c")
    assert code == 0, f"exit code {code}"


async def freeze(run: ProcessRun, load: Load) -> None:
    run.cluster.signal("entry-c", signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    run.cluster.signal("entry-c", signal.SIGCONT)


async def log_down(run: ProcessRun, load: Load) -> None:
    await set_log_faults(run, down=True)
    await asyncio.sleep(LOG_DOWN_S)
    await set_log_faults(run)


async def log_slow(run: ProcessRun, load: Load) -> None:
    await set_log_faults(run, slow_s=0.5)
    await asyncio.sleep(LOG_DOWN_S)
    await set_log_faults(run)


async def run_twice(run: ProcessRun, load: Load) -> None:
    """Violate a guarantee on purpose, to test that the checks detect it."""
    address = run.cluster.workers["bookings-0"]
    pool = ConnectionPool(1.0)
    headers = (
        (b"Cicadatrail-Request-Id", b"twice"),
        (b"Cicadatrail-Team", b"weddings"),
    )
    for _ in range(2):
        await pool.fetch(address, "GET", "/work", headers=headers, timeout_s=2.0)
    load.result.ids["twice"] = "complete"


FAULTS: dict[str, Callable[[ProcessRun, Load], Awaitable[None]]] = {
    "an instance killed": kill,
    "an instance terminated": terminate,
    "an instance frozen and woken": freeze,
    "the log down for six seconds": log_down,
    "the log slow by half a second": log_slow,
    "a worker that is given the same request by another sender": run_twice,
}


async def load_with_fault(run: ProcessRun, name: str) -> None:
    load = Load(run.callers, SEED)
    running = asyncio.create_task(load.run(run.teams(), LOAD_S))
    await asyncio.sleep(FAULT_AT_S)
    await FAULTS[name](run, load)
    run.started_s = time.monotonic()
    run.result = await running


async def find_violations(run: ProcessRun) -> list[str]:
    """Compare the outcomes that callers got with what the workers ran."""
    worker = next(iter(run.cluster.workers.values()))
    ledger = await read_json(ConnectionPool(1.0), worker, "/_ledger")
    violations = list(run.result.faults)
    executions = ledger["executions"]
    for request_id, count in executions.items():
        if count > 1 and request_id not in run.result.repeatable_ids:
            violations.append(f"{request_id} ran {count} times")
        if run.result.ids.get(request_id) == "not-run":
            violations.append(f"{request_id} ran but was reported not-run")
    for request_id, outcome in run.result.ids.items():
        if outcome == "complete" and request_id not in executions:
            violations.append(f"{request_id} was reported complete but did not run")
        if outcome == "none":
            violations.append(f"{request_id} got no outcome")
    for team_id, peak in ledger["peak_running"].items():
        if peak > LIMITS[team_id]:
            violations.append(f"{team_id} had {peak} running")
    return violations


async def serves_all(run: ProcessRun, count: int) -> bool:
    """Return whether all requests sent to every running instance complete."""
    for address in run.callers:
        load = Load([address], SEED)
        for team in run.teams():
            outcomes = [await load.send(team) for _ in range(count)]
            if set(outcomes) != {"complete"}:
                return False
    return True


async def wait_until_all_served(run: ProcessRun, limit_s: float) -> float:
    """Return the seconds until all requests complete, or raise at the limit."""
    began_s = time.monotonic()
    while time.monotonic() - began_s < limit_s:
        if await serves_all(run, 5):
            return time.monotonic() - began_s
        await asyncio.sleep(0.2)
    run.cluster.print_logs()
    raise AssertionError(f"not every request is served after {limit_s} s")


async def versions(run: ProcessRun) -> list[int]:
    pool = ConnectionPool(1.0)
    live = [i for i in run.cluster.instances.values() if i.process is not None]
    return [(await read_json(pool, i.admin, "/config"))["version"] for i in live]
