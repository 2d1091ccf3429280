"""Settings of the daemon, read from TOML and validated before anything starts.

Each table of the file is a frozen dataclass. The check of a value is in the metadata of
its field, so that reading, validation and the operators' documentation agree.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.utils.toml_tables import Check, TableReader, locate, parse_toml

FILE_LIMIT_BYTES = 1024 * 1024
"""Largest accepted settings file."""

NAME_LIMIT_CHARACTERS = 63
"""Longest name of an instance, region, data centre or rack."""

CLUSTER_KEY_MINIMUM_BYTES = 16
"""Shortest accepted key that the entry instances share."""

LISTENERS = ("caller", "admin", "peer")
PLATFORM = ("log", "instance_list", "maintenance")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_HEX = re.compile(r"(?:[0-9a-fA-F]{2})*")
_SHA256_HEX_CHARACTERS = 64


def _between(minimum: float, maximum: float) -> Mapping[str, Check]:
    def check(value: float) -> str:
        if minimum <= value <= maximum:
            return ""
        return f"must be from {minimum:g} to {maximum:g}, not {value:g}"

    return {"check": check}


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return f"must be an IP number, not {value!r}"
    return ""


def _check_name(value: str) -> str:
    if len(value) <= NAME_LIMIT_CHARACTERS and _NAME.fullmatch(value):
        return ""
    return (
        f"must be 1 to {NAME_LIMIT_CHARACTERS} letters, digits, dots, hyphens or"
        " underscores that begin with a letter or digit"
    )


def _check_sha256(value: str) -> str:
    if len(value) == _SHA256_HEX_CHARACTERS and _HEX.fullmatch(value):
        return ""
    return f"must be {_SHA256_HEX_CHARACTERS} hexadecimal digits"


def _check_cluster_key(value: str) -> str:
    if len(value) >= 2 * CLUSTER_KEY_MINIMUM_BYTES and _HEX.fullmatch(value):
        return ""
    return f"must be at least {CLUSTER_KEY_MINIMUM_BYTES} bytes in hexadecimal"


_IP: Mapping[str, Check] = {"check": _check_ip}
_IDENTIFIER: Mapping[str, Check] = {"check": _check_name}
_SHA256: Mapping[str, Check] = {"check": _check_sha256}
_CLUSTER_KEY: Mapping[str, Check] = {"check": _check_cluster_key}
_PORT = _between(1, 65535)
_TIMEOUT_S = _between(0.01, 3600)


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Name and location of this entry instance."""

    instance_id: str = field(metadata=_IDENTIFIER)
    region: str = field(metadata=_IDENTIFIER)
    data_centre: str = field(metadata=_IDENTIFIER)
    rack: str | None = field(default=None, metadata=_IDENTIFIER)


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Address and limits of the listener for callers."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    header_limit_bytes: int = field(default=16384, metadata=_between(1024, 1048576))
    body_limit_bytes: int = field(default=16777216, metadata=_between(0, 1073741824))
    connection_limit_count: int = field(default=1000, metadata=_between(1, 100000))
    idle_timeout_s: float = field(default=30.0, metadata=_TIMEOUT_S)
    header_timeout_s: float = field(default=10.0, metadata=_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """Listener for operators; only the hash of their token is configured."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    token_sha256_hex: str = field(repr=False, metadata=_SHA256)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Listener for other entry instances, and the key that they share."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    cluster_key_hex: str = field(repr=False, metadata=_CLUSTER_KEY)
    message_limit_bytes: int = field(
        default=1048576, metadata=_between(4096, codec.MAX_MESSAGE_BYTES)
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Address of the platform's log, and limits on its use."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    timeout_s: float = field(default=1.0, metadata=_TIMEOUT_S)
    append_limit_per_s: float = field(default=5.0, metadata=_between(0.1, 100))


@dataclass(frozen=True, slots=True)
class InstanceListSettings:
    """Address of the platform's instance list, and the longest lag of the list."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    poll_s: float = field(default=1.0, metadata=_between(0.1, 60))
    lag_s: float = field(default=10.0, metadata=_between(0.1, 3600))


@dataclass(frozen=True, slots=True)
class WorkersSettings:
    """Timeouts of calls to workers."""

    connect_timeout_s: float = field(default=1.0, metadata=_TIMEOUT_S)
    answer_timeout_s: float = field(default=60.0, metadata=_between(0.01, 86400))


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """Address of the platform's service that reboots and replaces instances."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)


@dataclass(frozen=True, slots=True)
class RightsSettings:
    """Duration of the leases that members grant each other, and heartbeat interval.

    In the settings, a lease is called support and a heartbeat a pulse.
    """

    support_s: float = field(default=2.0, metadata=_between(0.1, 60))
    pulse_s: float = field(default=0.5, metadata=_between(0.01, 30))


class LogFormat(Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Minimum severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class LoggingSettings:
    """Format and level of logging."""

    format: LogFormat = LogFormat.TEXT
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class TracingSettings:
    """Sampling ratio of requests, and address of the collector of spans.

    Without a collector, no spans are exported.
    """

    sample_ratio: float = field(default=0.01, metadata=_between(0, 1))
    export_host: str | None = field(default=None, metadata=_IP)
    export_port: int | None = field(default=None, metadata=_PORT)


@dataclass(frozen=True, slots=True)
class Settings:
    """All tables of the settings file."""

    instance: InstanceSettings
    caller: CallerSettings
    admin: AdminSettings
    peer: PeerSettings
    log: LogSettings
    instance_list: InstanceListSettings
    maintenance: MaintenanceSettings
    workers: WorkersSettings = WorkersSettings()
    rights: RightsSettings = RightsSettings()
    logging: LoggingSettings = LoggingSettings()
    tracing: TracingSettings = TracingSettings()


def read_settings(path: Path) -> Result[Settings, Findings]:
    """Read and validate the file at ``path``; return the settings or all findings.

    The place of a finding is ``file:line: table.key``, without the line if the file
    has none for it. Never raises on invalid input.
    """
    try:
        with path.open("rb") as file:
            content = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as error:
        return Failure((Finding(str(path), f"cannot be read ({error})"),))
    if len(content) > FILE_LIMIT_BYTES:
        return Failure((Finding(str(path), f"is over {FILE_LIMIT_BYTES} bytes long"),))
    return parse_settings(content, str(path))


def parse_settings(content: bytes, file_name: str) -> Result[Settings, Findings]:
    """Validate the ``content`` of a settings file, as ``read_settings`` does."""
    parsed = parse_toml(content, file_name)
    if isinstance(parsed, Failure):
        return parsed
    reader = TableReader()
    values = reader.read_fields(parsed.unwrap(), Settings)
    faults = (*reader.faults, *_check_consistency(values))
    if faults:
        text = content.decode()
        return Failure(tuple(locate(fault, text, file_name) for fault in faults))
    return Success(Settings(**values))


def _check_consistency(tables: Mapping[str, Any]) -> Iterator[Finding]:
    """Yield findings that concern several values; invalid tables are None."""
    rights = tables["rights"]
    if rights and rights.pulse_s >= rights.support_s / 2:
        yield Finding("rights.pulse_s", "must be below half of rights.support_s")
    instance_list = tables["instance_list"]
    if instance_list and instance_list.poll_s > instance_list.lag_s:
        yield Finding("instance_list.poll_s", "must not be above instance_list.lag_s")
    tracing = tables["tracing"]
    if tracing and (tracing.export_host is None) != (tracing.export_port is None):
        yield Finding(
            "tracing.export_host", "must be set if and only if export_port is"
        )
    for first, second in combinations((*LISTENERS, *PLATFORM), 2):
        if first in LISTENERS and _same_address(tables[first], tables[second]):
            yield Finding(f"{second}.port", f"is the address of {first}.port too")


def _same_address(one: Any, other: Any) -> bool:
    """Return whether two tables use one socket; a wildcard host matches any host."""
    if not one or not other or one.port != other.port:
        return False
    hosts = ipaddress.ip_address(one.host), ipaddress.ip_address(other.host)
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)
