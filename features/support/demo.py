"""End-to-end demonstration on stand-ins, run by ``make demo``.

Starts the platform's stand-ins and three entry instances in three data
centres, sets up pools, teams and keys with the operators' command line, sends
bursts of requests from two teams, runs a maintenance wave, and kills one
instance meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cicadatraild.network.http_client import Address, ConnectionPool
from features.support.cluster import OPERATOR_TOKEN, Cluster, loopback_host
from features.support.load import Load, LoadResult, TeamLoad

SEED = 20261204
LOAD_S = 15.0
KILL_AT_S = 6.0
WAVE_AT_S = 2.0
WAVE_LIMIT_S = 20.0
POOLS = ("bookings", "stock")
SPARE_POOL = "portal"
WORKERS_PER_POOL = 6
UNAVAILABLE_LIMIT_COUNT = 2
DATA_CENTRES = ("a", "b", "c")
LIMITS = {"weddings": 30, "stock-control": 24}
WEIGHTS = {"weddings": 3.0, "stock-control": 1.0}


@dataclass(slots=True)
class Findings:
    """Collect broken invariants."""

    violations: list[str] = field(default_factory=list)

    def check(self, holds: bool, text: str) -> None:
        if not holds:
            self.violations.append(text)


def worker_names() -> tuple[str, ...]:
    counts = {**dict.fromkeys(POOLS, WORKERS_PER_POOL), SPARE_POOL: 2}
    return tuple(f"{pool}-{n}" for pool, count in counts.items() for n in range(count))


def patch_operations(cluster: Cluster) -> list[dict[str, Any]]:
    operations: list[dict[str, Any]] = [
        {"type": "put-pool", "pool": {"pool_id": pool, "spare": pool == SPARE_POOL}}
        for pool in (*POOLS, SPARE_POOL)
    ]
    for team_id, limit in LIMITS.items():
        team = {
            "team_id": team_id,
            "share_weight": WEIGHTS[team_id],
            "upper_limit_tasks": limit,
        }
        operations.append({"type": "put-team", "team": team})
    for pool in POOLS:
        service = {
            "service_id": pool,
            "pool_id": pool,
            "unavailable_limit_count": UNAVAILABLE_LIMIT_COUNT,
        }
        operations.append({"type": "put-service", "service": service})
        queue = {"queue_id": pool, "service_id": pool}
        operations.append({"type": "put-queue", "queue": queue})
    for name, address in cluster.workers.items():
        pool, _, number = name.rpartition("-")
        data_centre = DATA_CENTRES[int(number) % 3]
        worker = {
            "worker_id": name,
            "host": address.host,
            "port": address.port,
            "place": {
                "region": "home",
                "data_centre": data_centre,
                "rack": f"{data_centre}-1",
            },
            "capacity": {"cpu_millicores": 4000, "memory_mib": 8192},
        }
        operations.append({"type": "add-worker", "pool_id": pool, "worker": worker})
    return operations


def to_toml(value: Any) -> str:
    """Return ``value`` as TOML on one line."""
    match value:
        case dict():
            pairs = (f"{name} = {to_toml(entry)}" for name, entry in value.items())
            return "{ " + ", ".join(pairs) + " }"
        case list():
            return "[" + ", ".join(to_toml(entry) for entry in value) + "]"
        case _:
            return json.dumps(value)


def set_up(cluster: Cluster) -> dict[str, str]:
    """Apply the initial patch and grant each team a key; return keys by team id."""
    patch_file = cluster.folder / "patch.toml"
    patch_file.write_text(f"operations = {to_toml(patch_operations(cluster))}\n")
    _output_of(
        cluster.run_cli("patch", "apply", str(patch_file), "--base", "0", "--wait")
    )
    keys = {}
    for team_id in LIMITS:
        granted = _output_of(
            cluster.run_cli("key", "grant", team_id, "--wait", "--json")
        )
        keys[team_id] = json.loads(granted)["key"]
    return keys


def _output_of(done: Any) -> str:
    if done.returncode != 0:
        raise SystemExit(f"{done.args[2:]}: {done.stdout}{done.stderr}")
    return str(done.stdout)


async def read_json(pool: ConnectionPool, address: Address, target: str) -> Any:
    token = ((b"Authorization", f"Bearer {OPERATOR_TOKEN}".encode()),)
    answer = await pool.fetch(address, "GET", target, headers=token, timeout_s=5.0)
    return json.loads(answer.unwrap().body)


async def watch_budget(
    pool: ConnectionPool, address: Address, findings: Findings, stop: asyncio.Event
) -> None:
    """Check until ``stop`` is set that the wave keeps to each pool's limit."""
    while not stop.is_set():
        config = await read_json(pool, address, "/config")
        out: Counter[str] = Counter()
        for wave in config["waves"]:
            for worker_id, step in wave["steps"]:
                if step in ("draining", "maintaining"):
                    out[config["pool_of"][worker_id]] += 1
        for name, count in out.items():
            within = count <= UNAVAILABLE_LIMIT_COUNT
            findings.check(
                within, f"{count} workers of {name} were unavailable at once"
            )
        await asyncio.sleep(0.1)


async def run_load(
    cluster: Cluster, keys: dict[str, str], findings: Findings
) -> LoadResult:
    addresses = [instance.caller for instance in cluster.instances.values()]
    load = Load(list(addresses), SEED)
    teams = [
        TeamLoad(
            "weddings",
            keys["weddings"],
            "bookings",
            "bookings",
            mean_per_s=60,
            run_ms=100,
            urgency="urgent",
        ),
        TeamLoad(
            "stock-control",
            keys["stock-control"],
            "stock",
            "stock",
            mean_per_s=40,
            run_ms=150,
            urgency="batch",
            repeatable=True,
        ),
    ]
    stop = asyncio.Event()
    admin = cluster.instances["entry-a"].admin
    pool = ConnectionPool(1.0)
    watcher = asyncio.create_task(watch_budget(pool, admin, findings, stop))
    running = asyncio.create_task(load.run(teams, LOAD_S))
    await asyncio.sleep(WAVE_AT_S)
    wave = ("wave", "start", "reboot", "--id", "wave-1", "--pool", "bookings")
    limit = ("--concurrency-limit", str(UNAVAILABLE_LIMIT_COUNT))
    _output_of(await asyncio.to_thread(cluster.run_cli, *wave, *limit))
    await asyncio.sleep(KILL_AT_S - WAVE_AT_S)
    cluster.signal("entry-c", signal.SIGKILL)
    load.addresses.remove(cluster.instances["entry-c"].caller)
    result = await running
    await _wait_for_wave(pool, admin)
    stop.set()
    await watcher
    return result


async def _wait_for_wave(pool: ConnectionPool, admin: Address) -> None:
    deadline_s = time.monotonic() + WAVE_LIMIT_S
    while time.monotonic() < deadline_s:
        config = await read_json(pool, admin, "/config")
        if all(wave["status"] == "done" for wave in config["waves"]):
            return
        await asyncio.sleep(0.2)


async def summarise(cluster: Cluster, result: LoadResult, findings: Findings) -> None:
    pool = ConnectionPool(1.0)
    worker = next(iter(cluster.workers.values()))
    ledger = await read_json(pool, worker, "/_ledger")
    findings.violations += result.faults
    for request_id, count in ledger["executions"].items():
        outcome = result.ids.get(request_id)
        once = count == 1 or request_id in result.repeatable_ids
        findings.check(once, f"request {request_id} ran {count} times")
        findings.check(outcome is not None, f"{request_id} was never sent")
        findings.check(
            outcome != "not-run", f"{request_id} ran but was reported not-run"
        )
    for team_id, peak in ledger["peak_running"].items():
        holds = peak <= LIMITS[team_id]
        findings.check(holds, f"{team_id} had {peak} running, over its limit")
    print("\nRequests by outcome")
    for (team_id, outcome), count in sorted(result.outcomes.items()):
        print(f"  {team_id:14} {outcome:16} {count}")
        findings.check(outcome != "none", f"{count} responses have no outcome")
    reasons = {name: n for name, n in sorted(result.reasons.items()) if name != "-"}
    print(f"Reasons given for requests that did not complete: {reasons}")
    total = sum(ledger["completed"].values())
    weight_sum = sum(WEIGHTS.values())
    print("Share of completed tasks (the fleet was not always full)")
    for team_id, weight in WEIGHTS.items():
        reached = ledger["completed"].get(team_id, 0) / total
        due = weight / weight_sum
        peak = ledger["peak_running"].get(team_id, 0)
        print(
            f"  {team_id:14} reached {reached:.2f}  due {due:.2f}"
            f"  most at once {peak} of {LIMITS[team_id]}"
        )
    spans = await read_json(pool, cluster.platform["collector"], "/")
    hops = Counter(span["name"] for span in spans)
    traces = {span["context"]["trace_id"] for span in spans}
    print(f"Traces: {len(traces)} sampled, spans by hop {dict(sorted(hops.items()))}")
    versions = set()
    print("Instances")
    for instance in cluster.instances.values():
        if instance.process is None:
            print(f"  {instance.name}  killed")
            continue
        config = await read_json(pool, instance.admin, "/config")
        versions.add(config["version"])
        print(f"  {instance.name}  configuration version {config['version']}")
        for wave in config["waves"]:
            steps = Counter(step for _, step in wave["steps"])
            print(f"    {wave['wave']['wave_id']}: {wave['status']} {dict(steps)}")
            done = wave["status"] == "done"
            findings.check(done, f"the wave is {wave['status']} at {instance.name}")
    findings.check(len(versions) == 1, f"versions differ: {versions}")


def main() -> int:
    began_s = time.monotonic()
    findings = Findings()
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        cluster = Cluster(Path(folder), stack, worker_names())
        cluster.start_platform()
        for number, letter in enumerate(DATA_CENTRES, 2):
            cluster.start_instance(f"entry-{letter}", letter, loopback_host(number))
        cluster.wait_until_served()
        print(f"Three entry instances serve after {time.monotonic() - began_s:.1f} s.")
        try:
            keys = set_up(cluster)
            print(f"Pools, teams and keys are in force. Seed {SEED}.")
            result = asyncio.run(run_load(cluster, keys, findings))
            asyncio.run(summarise(cluster, result, findings))
        finally:
            if findings.violations or sys.exc_info()[0]:
                cluster.print_logs()
    for text in findings.violations[:20]:
        print(f"BROKEN: {text}")
    print(f"Ended after {time.monotonic() - began_s:.1f} s.")
    return 1 if findings.violations else 0


if __name__ == "__main__":
    sys.exit(main())
