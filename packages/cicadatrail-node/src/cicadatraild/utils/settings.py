"""The daemon's settings, read from TOML and checked before anything starts.

Each table of the file is one frozen data class. What a value may be stands
beside its field, so that reading, checking and the operators' page agree.
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
"""Largest settings file that is read, in bytes."""

NAME_LIMIT_CHARACTERS = 63
"""Longest name of an instance, region, data centre or rack."""

CLUSTER_KEY_MINIMUM_BYTES = 16
"""Shortest key that the entry instances share, in bytes."""

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
    """Name this entry instance and where it stands."""

    instance_id: str = field(metadata=_IDENTIFIER)
    region: str = field(metadata=_IDENTIFIER)
    data_centre: str = field(metadata=_IDENTIFIER)
    rack: str | None = field(default=None, metadata=_IDENTIFIER)


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Bound what the listener for callers takes."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    header_limit_bytes: int = field(default=16384, metadata=_between(1024, 1048576))
    body_limit_bytes: int = field(default=16777216, metadata=_between(0, 1073741824))
    connection_limit_count: int = field(default=1000, metadata=_between(1, 100000))
    idle_timeout_s: float = field(default=30.0, metadata=_TIMEOUT_S)
    header_timeout_s: float = field(default=10.0, metadata=_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """Place the operators' listener; only the hash of their token is kept."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    token_sha256_hex: str = field(repr=False, metadata=_SHA256)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Place the listener for other entry instances and the key they share."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    cluster_key_hex: str = field(repr=False, metadata=_CLUSTER_KEY)
    message_limit_bytes: int = field(
        default=1048576, metadata=_between(4096, codec.MAX_MESSAGE_BYTES)
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Point at the platform's log and bound what is asked of it."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    timeout_s: float = field(default=1.0, metadata=_TIMEOUT_S)
    append_limit_per_s: float = field(default=5.0, metadata=_between(0.1, 100))


@dataclass(frozen=True, slots=True)
class InstanceListSettings:
    """Point at the platform's instance list and state how far it may lag."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)
    poll_s: float = field(default=1.0, metadata=_between(0.1, 60))
    lag_s: float = field(default=10.0, metadata=_between(0.1, 3600))


@dataclass(frozen=True, slots=True)
class WorkersSettings:
    """Bound how long a worker may take."""

    connect_timeout_s: float = field(default=1.0, metadata=_TIMEOUT_S)
    answer_timeout_s: float = field(default=60.0, metadata=_between(0.01, 86400))


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """Point at the platform's service that drains and reboots instances."""

    host: str = field(metadata=_IP)
    port: int = field(metadata=_PORT)


@dataclass(frozen=True, slots=True)
class RightsSettings:
    """Time the leases by which members of the roster support each other."""

    support_s: float = field(default=2.0, metadata=_between(0.1, 60))
    pulse_s: float = field(default=0.5, metadata=_between(0.01, 30))


class LogFormat(Enum):
    """Choose how log lines are written."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Choose the least severe log line that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class LoggingSettings:
    """Choose how and how much is logged."""

    format: LogFormat = LogFormat.TEXT
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class TracingSettings:
    """Choose how many requests are traced and which collector takes spans.

    Without a collector no span is exported.
    """

    sample_ratio: float = field(default=0.01, metadata=_between(0, 1))
    export_host: str | None = field(default=None, metadata=_IP)
    export_port: int | None = field(default=None, metadata=_PORT)


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold every table of the settings file."""

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
    """Read and check the file at ``path``; report every fault at once.

    A finding's place is ``file:line: table.key``, without the line where the
    file has none for it. Never raises on bad input.
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
    """Check the ``content`` of a settings file, as ``read_settings`` does."""
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
    """Yield faults that only several values show; unread tables are None."""
    rights = tables["rights"]
    if rights and rights.pulse_s >= rights.support_s / 2:
        yield Finding("rights.pulse_s", "must be below half of rights.support_s")
    instance_list = tables["instance_list"]
    if instance_list and instance_list.poll_s > instance_list.lag_s:
        yield Finding("instance_list.poll_s", "must not be above instance_list.lag_s")
    tracing = tables["tracing"]
    if tracing and (tracing.export_host is None) != (tracing.export_port is None):
        yield Finding("tracing.export_host", "must be set if export_port is, and back")
    for first, second in combinations((*LISTENERS, *PLATFORM), 2):
        if first in LISTENERS and _same_address(tables[first], tables[second]):
            yield Finding(f"{second}.port", f"is the address of {first}.port too")


def _same_address(one: Any, other: Any) -> bool:
    """Tell whether two tables name one socket; a wildcard host is any host."""
    if not one or not other or one.port != other.port:
        return False
    hosts = ipaddress.ip_address(one.host), ipaddress.ip_address(other.host)
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)
