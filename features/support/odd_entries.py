"""Real processes whose list of workers, configuration and waves have odd entries."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.daemon_process import Daemon
from features.support.platform_cluster import configuration, job
from features.support.soak import Soak

DEPTHS = (500, 990, 5000)
RECORD_DEPTH = 100_000
PORTS = (
    "0",
    "-1",
    "65536",
    "99999999999999999999",
    "1e3",
    "\N{ARABIC-INDIC DIGIT ONE}",
)
HOSTS = ("", "999.1.1.1", "no such host", "host.invalid", "::1", "[::1]", "\N{SNOWMAN}")
NUMBERS = ("9" * 400, "-" + "9" * 5000, "1e400", "NaN", "-Infinity", "9" * 30, "-1")
NUMBER_FIELDS = ("born", "clock-ms", "cold-remaining-ms", "remaining-ms", "seq")


def odd_values(entry: dict[str, Any]) -> list[bytes]:
    """Return variations of a worker's entry that no worker writes."""
    text = json.dumps(entry)
    values = [b"", b"\xff\xfe", b"null", b"[]", b"{", text.encode("utf-16")]
    for depth in DEPTHS:
        nested = "[" * depth + "]" * depth
        values.append(nested.encode())
        values.append(('{"a":' * depth + "1" + "}" * depth).encode())
        for name in ("address", "capacity", "labels", "service", "other"):
            values.append(_replaced(entry, name, nested))
    # About as deep as a record can be.
    values.append(b"[" * RECORD_DEPTH + b"]" * RECORD_DEPTH)
    values.append(_replaced(entry, "other", "[" * RECORD_DEPTH + "]" * RECORD_DEPTH))
    for port in PORTS:
        values.append(_replaced(entry, "address", json.dumps(f"127.0.0.1:{port}")))
    for host in HOSTS:
        values.append(_replaced(entry, "address", json.dumps(f"{host}:80")))
    for number in NUMBERS:
        for name in NUMBER_FIELDS:
            values.append(_replaced(entry, name, number))
        for name in ("cpu", "mem-mb", "gpu"):
            values.append(_replaced(entry, "capacity", f'{{"{name}": {number}}}'))
    return values


def _replaced(entry: dict[str, Any], name: str, raw: str) -> bytes:
    """Return an entry with the raw JSON text of one field replaced."""
    mark = "a value that stands for the raw text"
    return json.dumps(entry | {name: mark}).replace(json.dumps(mark), raw).encode()


@dataclass
class OddEntriesRun(Soak):
    """Write odd entries before the processes start and while they follow the list.

    ``ends`` has the instances that ended by themselves.
    """

    ends: list[str] = field(default_factory=list)

    async def _prepare_daemon(
        self, stack: Any, folder: Path, name: str, data_centre: int
    ) -> Daemon:
        if not self.later_daemons:
            self._write_odd_entries("before")
        return await super()._prepare_daemon(stack, folder, name, data_centre)

    async def _restart_ended_daemons(self) -> None:
        """Record processes that end; they are not restarted."""
        while True:
            for daemon in self.daemons:
                process = daemon.process
                if process is not None and process.poll() is not None:
                    self.ends.append(f"{daemon.name}: {process.returncode}")
                    daemon.process = None
            await asyncio.sleep(0.1)

    async def _submit(self, until_s: float) -> None:
        """Submit jobs before and after odd entries are written, and by a successor."""
        for number in range(1, 4):
            # Each time as a change of the same entries.
            self._write_odd_entries("following")
            await asyncio.sleep(0.5)
            worker = self.cluster.workers[number]
            # A change of the list that is not followed leaves the work undone.
            worker.restart()
            job_id = f"{number:016x}"
            await self._submit_until_accepted(job_id, job(ms=300, count=4))

    async def _inject_faults(self, until_s: float) -> None:
        await asyncio.sleep(0)

    def _write_odd_entries(self, prefix: str) -> None:
        store = self.cluster.store
        entry = self.cluster.workers[0].entry()
        for number, value in enumerate(odd_values(entry)):
            for topic in ("keyed.servers", "keyed.op"):
                store.put(topic, f"{prefix}-{number}", value)
            store.put("keyed.op", f"wave/{prefix}-{number}", value)
        store.put_json("keyed.op", "config", configuration(self.version))


def play_odd_entries(folder: Path) -> OddEntriesRun:
    run = OddEntriesRun(1, 0.0)
    asyncio.run(run.run(folder))
    return run
