"""Admin listeners to call and the token that authenticates the operator."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from cicadatrail_core.utils.findings import Finding, Findings

INSTANCES_VARIABLE = "CICADATRAIL_INSTANCES"
TOKEN_VARIABLE = "CICADATRAIL_TOKEN"
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of an admin listener."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Access:
    """Admin listeners in the order to call them, and the operators' token."""

    addresses: tuple[Address, ...]
    token: str = field(repr=False)


def read_access(
    instances: Sequence[str], environment: Mapping[str, str]
) -> Result[Access, Findings]:
    """Return the access given by ``--instance`` and the environment.

    The environment names the instances if ``--instance`` does not. Every fault is
    reported, not only the first.
    """
    place = "--instance"
    if not instances:
        place = INSTANCES_VARIABLE
        instances = re.split(r"[,\s]+", environment.get(place, "").strip(", \t\n"))
    findings = []
    addresses = []
    for text in filter(None, instances):
        address = parse_address(text)
        if address is None:
            findings.append(Finding(place, f"{text!r} is not IP:PORT"))
        elif address not in addresses:
            addresses.append(address)
    if not addresses and not findings:
        findings.append(Finding(place, "names no instance; expected IP:PORT"))
    token = environment.get(TOKEN_VARIABLE, "")
    if not re.fullmatch(r"[!-~]+", token):
        findings.append(Finding(TOKEN_VARIABLE, "must contain the operators' token"))
    if findings:
        return Failure(tuple(findings))
    return Success(Access(tuple(addresses), token))


def parse_address(text: str) -> Address | None:
    """Return the address in ``text``, or None if it is not ``IP:PORT``.

    Host names are not resolved.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= MAX_PORT:
        return None
    return Address(host, int(port))
