"""A daemon as a process of its own, on its own loopback address."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from features.support.faulty_proxy import FaultyProxy

SOURCES = ":".join(
    str(Path(__file__).resolve().parents[2] / "packages" / name / "src")
    for name in ("cicadatrail-core", "cicadatrail-node")
)


@dataclass
class Daemon:
    """A daemon process and its proxy to the store."""

    name: str
    data_centre: int
    proxy: FaultyProxy
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    disturbed_s: float = 0.0

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cicadatraild.main", "--platform"],
            env={
                **os.environ,
                "PYTHONPATH": SOURCES,
                "CICADATRAIL_NODE_FILE": str(self.settings),
            },
            stdout=self.settings.with_suffix(".log").open("ab"),
            stderr=subprocess.STDOUT,
        )

    def send(self, number: signal.Signals) -> None:
        if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
            self.disturbed_s = asyncio.get_running_loop().time()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
