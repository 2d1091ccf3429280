"""Reading of the settings file that the platform writes for an entry instance."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.jobs.scheduler_settings import DEFAULT_STOP_LIMIT_S
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.network.client_exchange import Address

SETTINGS_VARIABLE = "CICADATRAIL_NODE_FILE"
"""Environment variable that names the settings file."""

DEFAULT_PATH = "/etc/cicadatrail/local.toml"

DEFAULT_ORDERS_PER_S = 20.0
"""Rate of machine orders where the settings state none."""

DEFAULT_MEMORY_MIB = 512
"""Memory of the machine where the settings state none."""

DEFAULT_DESCRIPTORS_COUNT = 4096
"""File descriptors of the process where the settings state none."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one entry instance, with the addresses of platform services.

    ``lease_limit_s`` is the longest lease that workers grant, and ``stop_limit_s`` the
    longest time that a stop of a run takes. ``order_gap_s`` is the
    minimum time between the machine orders of two successive leaders, and
    ``machine_orders_per_s`` the rate at which the machine service accepts them.
    """

    node: str
    host: str
    data_centre: str
    front: Address
    readiness: Address
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    store: Address
    machines: Address
    advice: Address | None
    lease_limit_s: float
    order_gap_s: float
    grace_s: float
    status_kept_s: float
    cores: float
    machine_orders_per_s: float
    stop_limit_s: float
    memory_mib: int = DEFAULT_MEMORY_MIB
    descriptor_count: int = DEFAULT_DESCRIPTORS_COUNT


def _find(table: dict[str, Any], path: str) -> Any:
    """Return the value at a dotted path, or None if there is none."""
    value: Any = table
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


class _Reader:
    """Read typed values from a parsed TOML file and collect the findings."""

    def __init__(self, place: str) -> None:
        self._place = place
        self.findings: list[Finding] = []

    def read(
        self, table: dict[str, Any], path: str, kinds: type | tuple[type, ...]
    ) -> Any:
        value = _find(table, path)
        if value is None:
            self._add(path, "is missing")
        elif isinstance(value, bool) is not (kinds is bool) or not isinstance(
            value, kinds
        ):
            self._add(path, f"can't be {value!r}")
        else:
            return value
        return None

    def address(self, table: dict[str, Any], path: str) -> Address:
        value = self.read(table, path, str)
        return self.parse(path, value) if value is not None else Address("", 0)

    def parse(self, path: str, value: object) -> Address:
        """Return the address in ``value``; a malformed one is a finding."""
        parsed = parse_address(value) if isinstance(value, str) else None
        if parsed is None:
            self._add(path, f"is not an address of the form host:port: {value!r}")
        return parsed or Address("", 0)

    def optional_list(self, table: dict[str, Any], path: str) -> list[Any]:
        """Return a list, or an empty one if it is missing."""
        if not table.get(path):
            return []
        values: list[Any] = self.read(table, path, list) or []
        return values

    def number(
        self,
        table: dict[str, Any],
        path: str,
        least: float = 0,
        default: float | None = None,
    ) -> float:
        """Return a number; without a ``default`` a missing one is a finding."""
        if default is not None and _find(table, path) is None:
            return default
        value = self.read(table, path, (int, float))
        if value is not None and value < least:
            self._add(path, f"must be at least {least}, not {value}")
        return float(value or 0)

    def _add(self, path: str, fault: str) -> None:
        self.findings.append(Finding(f"{self._place}: {path}", fault))


def parse_address(text: str) -> Address | None:
    """Parse ``host:port``; return None if it is malformed."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 < int(port) < 65_536:
        return None
    return Address(host, int(port))


def read_platform_settings(path: Path) -> Result[PlatformSettings, Findings]:
    """Return the settings in a file, or all findings in it."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure((Finding(str(path), f"can't be read: {error}"),))
    return parse_platform_settings(table, str(path))


def parse_platform_settings(
    table: dict[str, Any], place: str
) -> Result[PlatformSettings, Findings]:
    """Return the settings in a parsed file, or all findings in it."""
    reader = _Reader(place)
    ports = reader.read(table, "internal-ports", list) or [0, 0]
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        reader.findings.append(
            Finding(f"{place}: internal-ports", "must be two port numbers")
        )
        ports = [0, 0]
    seeds = [
        reader.parse(f"seeds[{position}]", seed)
        for position, seed in enumerate(reader.optional_list(table, "seeds"))
    ]
    # An empty address means that no queue needs advice.
    advice = table.get("advice") or None
    settings = PlatformSettings(
        node=str(reader.read(table, "node", str)),
        host=str(reader.read(table, "ip", str)),
        data_centre=str(reader.read(table, "zone", str)),
        front=reader.address(table, "listen.front"),
        readiness=reader.address(table, "listen.readiness"),
        peer_port=ports[0],
        metrics_port=ports[1],
        seed_hosts=tuple(seed.host for seed in seeds),
        store=reader.address(table, "platform.address"),
        machines=reader.address(table, "cloud.address"),
        advice=reader.parse("advice", advice) if advice is not None else None,
        lease_limit_s=reader.number(table, "bounds.hold-max-ms", 1) / 1000,
        order_gap_s=reader.number(table, "bounds.lease-ms") / 1000,
        grace_s=reader.number(table, "bounds.grace-s"),
        status_kept_s=reader.number(table, "bounds.status_s"),
        cores=reader.number(table, "limits.cpu-share")
        * reader.number(table, "limits.cores"),
        # The platform calls an order to a machine a duty.
        machine_orders_per_s=reader.number(
            table, "cloud.duties-per-s", 1, DEFAULT_ORDERS_PER_S
        ),
        stop_limit_s=reader.number(
            table, "bounds.stop-timeout-ms", 0, DEFAULT_STOP_LIMIT_S * 1000
        )
        / 1000,
        memory_mib=int(reader.number(table, "limits.memory-mb", 1, DEFAULT_MEMORY_MIB)),
        descriptor_count=int(
            reader.number(table, "limits.max-fds", 1, DEFAULT_DESCRIPTORS_COUNT)
        ),
    )
    if reader.findings:
        return Failure(tuple(reader.findings))
    return Success(settings)
