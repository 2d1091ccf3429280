"""Measure the cost of the control plane and the time until a patch is in force.

``python -m features.support.control_cost --sizes 3 6 9 --seconds 20``. Each
size starts that many entry instances as processes, with the pools and teams of
the demo and no callers. CPU time and memory are read from ``/proc/PID/stat``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from cicadatraild.network.http_client import Address, ConnectionPool
from features.support.cluster import OPERATOR_TOKEN, Cluster, loopback_host
from features.support.demo import set_up, worker_names

PATCH_COUNT = 30
POLL_S = 0.02
POLL_COUNT = 1_000
SETTLE_S = 5.0
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class InstanceTotals:
    """CPU time, memory and traffic counters of one instance since its start."""

    cpu_s: float
    rss_mib: float
    peer_bytes: float
    peer_messages: float
    appends: float


def _metric(text: str, name: str) -> float:
    for line in text.splitlines():
        if line.startswith(f"cicadatrail_{name} "):
            return float(line.split()[1])
    raise KeyError(name)


async def read_metrics(pool: ConnectionPool, address: Address) -> str:
    answer = await pool.fetch(address, "GET", "/metrics", timeout_s=5.0)
    return answer.unwrap().body.decode()


def _read_stat(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()


async def sample(pool: ConnectionPool, pid: int, admin: Address) -> InstanceTotals:
    fields = _read_stat(pid)
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    rss_mib = int(fields[21]) * PAGE_KIB / 1024
    text = await read_metrics(pool, admin)
    return InstanceTotals(
        cpu_s,
        rss_mib,
        _metric(text, "peer_sent_bytes"),
        _metric(text, "peer_messages"),
        _metric(text, "log_appends"),
    )


async def time_patches(cluster: Cluster) -> list[float]:
    """Return the seconds from sending each patch until it is in force everywhere."""
    pool = ConnectionPool(1.0)
    admins = [instance.admin for instance in cluster.instances.values()]
    times_s = []
    for number in range(PATCH_COUNT):
        version = int(await _version(pool, admins[0]))
        began_s = time.monotonic()
        sending = asyncio.create_task(_send_patch(pool, admins[0], version, number))
        await asyncio.gather(
            *(_wait_for_version(pool, admin, version + 1) for admin in admins)
        )
        times_s.append(time.monotonic() - began_s)
        await sending
    return times_s


async def _send_patch(
    pool: ConnectionPool, admin: Address, version: int, number: int
) -> None:
    team = {"team_id": "weddings", "share_weight": 1.0 + number}
    operation = {"type": "put-team", "team": {**team, "upper_limit_tasks": 30}}
    patch = {
        "patch_id": f"measure-{number}",
        "base_version": version,
        "operations": [operation],
    }
    token = ((b"Authorization", f"Bearer {OPERATOR_TOKEN}".encode()),)
    body = json.dumps(patch).encode()
    answer = await pool.fetch(
        admin, "POST", "/patches", headers=token, body=body, timeout_s=10.0
    )
    assert answer.unwrap().status == 200, answer.unwrap().body


async def _wait_for_version(pool: ConnectionPool, admin: Address, version: int) -> None:
    for _ in range(POLL_COUNT):
        if await _version(pool, admin) >= version:
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"{admin} did not reach version {version}")


async def _version(pool: ConnectionPool, admin: Address) -> float:
    return _metric(await read_metrics(pool, admin), "configuration_version")


async def measure(cluster: Cluster, seconds: float) -> None:
    pool = ConnectionPool(1.0)
    await asyncio.sleep(SETTLE_S)
    instances = list(cluster.instances.values())
    pids = [i.process.pid for i in instances if i.process is not None]
    before = [
        await sample(pool, pid, instance.admin)
        for pid, instance in zip(pids, instances, strict=True)
    ]
    await asyncio.sleep(seconds)
    after = [
        await sample(pool, pid, instance.admin)
        for pid, instance in zip(pids, instances, strict=True)
    ]
    pairs = list(zip(before, after, strict=True))

    def rate(name: str) -> float:
        changes = [getattr(b, name) - getattr(a, name) for a, b in pairs]
        return statistics.mean(changes) / seconds

    times_s = sorted(await time_patches(cluster))
    print(
        f"{len(instances):3}  cpu {100 * rate('cpu_s'):5.2f} % of a core"
        f"  memory {max(s.rss_mib for s in after):5.1f} MiB"
        f"  peers {rate('peer_bytes') / 1000:5.2f} KB/s"
        f" {rate('peer_messages'):5.1f} messages/s"
        f"  appends {rate('appends'):4.2f}/s"
        f"  in force p50 {statistics.median(times_s):5.2f} s"
        f" max {times_s[-1]:5.2f} s of {len(times_s)}"
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 6, 9])
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    for size in arguments.sizes:
        with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
            cluster = Cluster(Path(folder), stack, worker_names())
            cluster.start_platform()
            for number in range(size):
                name = f"entry-{number}"
                host = loopback_host(number + 2)
                cluster.start_instance(name, "abc"[number % 3], host)
            cluster.wait_until_served()
            set_up(cluster)
            asyncio.run(measure(cluster, arguments.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
