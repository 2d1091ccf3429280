"""Run the platform stand-ins and entry instances as processes on loopback."""

from __future__ import annotations

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cicadatraild.network.http_client import Address

OPERATOR_TOKEN = "operator-token-of-the-tests"
CLUSTER_KEY_HEX = "00112233445566778899aabbccddeeff"
START_LIMIT_S = 15.0
STOP_LIMIT_S = 10.0
LOG_CHARACTERS = 3000

SETTINGS = """\
[instance]
instance_id = "{name}"
region = "home"
data_centre = "{data_centre}"
[caller]
host = "{host}"
port = {caller}
[admin]
host = "{host}"
port = {admin}
token_sha256_hex = "{token}"
[peer]
host = "{host}"
port = {peer}
cluster_key_hex = "{key}"
[log]
host = "{log_host}"
port = {log_port}
append_limit_per_s = 20.0
[instance_list]
host = "{list_host}"
port = {list_port}
poll_s = 0.5
lag_s = 5.0
[maintenance]
host = "{maintenance_host}"
port = {maintenance_port}
[logging]
level = "info"
[tracing]
sample_ratio = 0.05
export_host = "{collector_host}"
export_port = {collector_port}
"""


def loopback_host(number: int) -> str:
    """Return a loopback address of this run, derived from the process id.

    Other runs on the machine use other addresses, and 127.0.0.1 isn't used because
    outgoing connections may take its ports at any time.
    """
    second, third = divmod(os.getpid(), 250)
    return f"127.{1 + second % 250}.{third}.{number}"


def free_ports(host: str, count: int) -> list[int]:
    """Return ``count`` ports of ``host`` that are free now."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]


@dataclass(slots=True)
class EntryInstance:
    name: str
    data_centre: str
    caller: Address
    admin: Address
    settings_file: Path
    log_file: Path
    process: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class Cluster:
    """The processes of one test; closing ``stack`` kills them all."""

    folder: Path
    stack: ExitStack
    worker_names: tuple[str, ...]
    reboot_s: float = 0.5
    workers: dict[str, Address] = field(default_factory=dict)
    instances: dict[str, EntryInstance] = field(default_factory=dict)
    platform: dict[str, Address] = field(default_factory=dict)

    def start_platform(self) -> None:
        names = ("log", "instance_list", "maintenance", "collector")
        host = loopback_host(1)
        ports = free_ports(host, len(names) + len(self.worker_names))
        for name, port in zip(names, ports, strict=False):
            self.platform[name] = Address(host, port)
        for name, port in zip(self.worker_names, ports[len(names) :], strict=True):
            self.workers[name] = Address(host, port)
        plan: dict[str, Any] = {
            name: [address.host, address.port]
            for name, address in self.platform.items()
        }
        plan["reboot_s"] = self.reboot_s
        plan["workers"] = {n: [a.host, a.port] for n, a in self.workers.items()}
        plan_file = self.folder / "platform.json"
        plan_file.write_text(json.dumps(plan))
        command = [sys.executable, "-m", "features.standins", str(plan_file)]
        self._spawn("platform", command)
        _wait_for_port(self.platform["log"])

    def start_instance(self, name: str, data_centre: str, host: str) -> EntryInstance:
        caller, admin, peer = free_ports(host, 3)
        text = SETTINGS.format(
            name=name,
            data_centre=data_centre,
            host=host,
            caller=caller,
            admin=admin,
            peer=peer,
            token=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            key=CLUSTER_KEY_HEX,
            log_host=self.platform["log"].host,
            log_port=self.platform["log"].port,
            list_host=self.platform["instance_list"].host,
            list_port=self.platform["instance_list"].port,
            maintenance_host=self.platform["maintenance"].host,
            maintenance_port=self.platform["maintenance"].port,
            collector_host=self.platform["collector"].host,
            collector_port=self.platform["collector"].port,
        )
        settings_file = self.folder / f"{name}.toml"
        settings_file.write_text(text)
        instance = EntryInstance(
            name,
            data_centre,
            Address(host, caller),
            Address(host, admin),
            settings_file,
            self.folder / f"{name}.log",
        )
        self.instances[name] = instance
        self.restart(name)
        return instance

    def restart(self, name: str) -> None:
        instance = self.instances[name]
        command = [sys.executable, "-m", "cicadatraild.main"]
        instance.process = self._spawn(name, [*command, str(instance.settings_file)])

    def wait_until_served(self) -> None:
        for instance in self.instances.values():
            _wait_for_port(instance.caller)

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line against the running instances."""
        live = [i for i in self.instances.values() if i.process is not None]
        addresses = ",".join(str(instance.admin) for instance in live)
        return subprocess.run(
            [sys.executable, "-m", "cicadatrail", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            env={
                **os.environ,
                "CICADATRAIL_TOKEN": OPERATOR_TOKEN,
                "CICADATRAIL_INSTANCES": addresses,
            },
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.instances[name].process
        assert process is not None
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait(STOP_LIMIT_S)
            self.instances[name].process = None

    def stop(self, name: str) -> int:
        """Terminate an instance gracefully and return its exit code."""
        process = self.instances[name].process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        code = process.wait(60)
        self.instances[name].process = None
        return code

    def print_logs(self) -> None:
        """Print the end of each process's log to stderr."""
        for log_file in sorted(self.folder.glob("*.log")):
            print(f"--- {log_file.stem}", file=sys.stderr)
            print(log_file.read_text()[-LOG_CHARACTERS:], file=sys.stderr)

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        log = self.stack.enter_context((self.folder / f"{name}.log").open("ab"))
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.stack.callback(_kill_process, process)
        return process


def _kill_process(process: subprocess.Popen[bytes]) -> None:
    if process.poll() is None:
        process.kill()
        process.wait(STOP_LIMIT_S)


def _wait_for_port(address: Address) -> None:
    deadline_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline_s:
        try:
            socket.create_connection((address.host, address.port), 0.2).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on {address}")
