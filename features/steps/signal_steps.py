"""Steps of shutdown.feature: signals to daemon processes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from behave import then, when

from features.support.daemon_process import SOURCES
from features.support.platform_actions import run_on_cluster
from features.support.platform_cluster import PlatformCluster

SIGNAL_TRIES_COUNT = 12
SIGNAL_PAUSE_S = 0.0005
END_LIMIT_S = 10.0


@when("{daemon} gets {name} while it reads its settings")
def step_signal_in_start(context: Any, daemon: str, name: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        os.mkfifo(settings)
        options = ["--platform"] if daemon == "a platform instance" else []
        with subprocess.Popen(
            [sys.executable, "-m", "cicadatraild.main", *options, str(settings)],
            env={**os.environ, "PYTHONPATH": SOURCES},
            stderr=subprocess.DEVNULL,
        ) as process:
            writer = _open_for_reader(settings)
            # One that comes right before the read blocks is seen only at the next.
            tries_count = SIGNAL_TRIES_COUNT if name == "SIGTERM" else 1
            for _ in range(tries_count):
                process.send_signal(signal.Signals[name])
                try:
                    context.exit_code = process.wait(timeout=0.5)
                    break
                except subprocess.TimeoutExpired:
                    context.exit_code = None
            process.kill()
            os.close(writer)


def _open_for_reader(pipe: Path) -> int:
    """Open a named pipe once a process reads from it; return the descriptor."""
    for _ in range(100):
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(0.1)
    raise TimeoutError("no process reads the settings")


@then("it is still running")
def step_still_running(context: Any) -> None:
    assert context.exit_code is None, context.exit_code


@then("it has ended with code {code:d}")
def step_has_ended(context: Any, code: int) -> None:
    assert context.exit_code == code, context.exit_code


@when("SIGTERM is sent to {daemon} repeatedly while it reads its settings")
def step_repeated_in_start(context: Any, daemon: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        os.mkfifo(settings)
        options = ["--platform"] if daemon == "a platform instance" else []
        with _start_daemon(*options, str(settings)) as process:
            writer = _open_for_reader(settings)
            context.exit_code = _terminate_repeatedly(process)
            os.close(writer)


@when("SIGTERM is sent repeatedly to a platform instance that runs")
def step_repeated_while_running(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "edge-1.toml"
            settings.write_text(cluster.settings_text("edge-1", cluster.store_port))
            with _start_daemon("--platform", str(settings)) as process:
                async with asyncio.timeout(END_LIMIT_S):
                    while not await _is_ready(cluster):  # noqa: ASYNC110
                        await asyncio.sleep(0.05)
                context.exit_code = await asyncio.to_thread(
                    _terminate_repeatedly, process
                )

    run_on_cluster(context, scenario)


async def _is_ready(cluster: PlatformCluster) -> bool:
    status, _ = await cluster.call("edge-1", "GET", "/q/")
    return bool(status == 200)


def _start_daemon(*arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "cicadatraild.main", *arguments],
        env={**os.environ, "PYTHONPATH": SOURCES},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def _terminate_repeatedly(process: subprocess.Popen[bytes]) -> int | None:
    """Send SIGTERM until a process has ended; return its exit code."""
    until_s = time.monotonic() + END_LIMIT_S
    while process.poll() is None and time.monotonic() < until_s:
        process.send_signal(signal.SIGTERM)
        time.sleep(SIGNAL_PAUSE_S)
    exit_code = process.poll()
    process.kill()
    return exit_code
