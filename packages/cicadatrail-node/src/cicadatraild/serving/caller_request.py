"""Parsing of a caller's request headers; all faults are reported together."""

from __future__ import annotations

from dataclasses import dataclass
from uuid import UUID

from returns.result import Failure, Result, Success

from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.network.http_server import HttpExchange
from cicadatraild.serving.outcomes import RESERVED_HEADER_PREFIX

KEY_HEADER = b"cicadatrail-key"
SERVICE_HEADER = b"cicadatrail-service"
QUEUE_HEADER = b"cicadatrail-queue"
SIZE_HEADER = b"cicadatrail-size"
URGENCY_HEADER = b"cicadatrail-urgency"
DEADLINE_HEADER = b"cicadatrail-deadline-ms"
REPEATABLE_HEADER = b"cicadatrail-repeatable"
REQUEST_ID_HEADER = b"cicadatrail-request-id"

CALLER_HEADERS = frozenset(
    {
        KEY_HEADER,
        SERVICE_HEADER,
        QUEUE_HEADER,
        SIZE_HEADER,
        URGENCY_HEADER,
        DEADLINE_HEADER,
        REPEATABLE_HEADER,
        REQUEST_ID_HEADER,
    }
)
"""Known request headers; any other header with the reserved prefix is a fault."""

REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
"""Methods that are meant for a proxy, not for an upstream."""

DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 3_600_000
DEFAULT_SIZE = Resources(cpu_millicores=100, memory_mib=64)
MAX_AMOUNT = 1_000_000_000
"""Largest amount of one resource that a request may declare."""

_SIZE_FIELDS = ("cpu_millicores", "memory_mib", "accelerator_count")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request headers, checked for syntax only."""

    key: str
    service_id: str
    queue_id: str
    size: Resources
    urgency: Urgency
    deadline_ms: int
    repeatable: bool
    request_id: UUID | None


class _HeaderReader:
    """Parse single-valued headers and collect findings."""

    __slots__ = ("_exchange", "findings")

    def __init__(self, exchange: HttpExchange) -> None:
        self._exchange = exchange
        self.findings: list[Finding] = []

    def check_request(self) -> None:
        """Check the method, and reject unknown headers with the reserved prefix."""
        if self._exchange.method in REFUSED_METHODS:
            self.findings.append(Finding("method", "is not served"))
        names = {name for name, _ in self._exchange.headers}
        for name in sorted(names - CALLER_HEADERS):
            if name.startswith(RESERVED_HEADER_PREFIX):
                self.fault(name, "is not known")

    def fault(self, name: bytes, fault: str) -> None:
        """Add a finding about a header."""
        self.findings.append(Finding(f"header {name.decode()}", fault))

    def text(self, name: bytes, *, required: bool = False) -> str | None:
        """Return a header's value, or None; a repeated header is a fault."""
        values = self._exchange.header_values(name)
        if len(values) > 1:
            self.fault(name, "is given more than once")
        if not values and required:
            self.fault(name, "is missing")
        return values[0] if values else None

    def choice(self, name: bytes, choices: tuple[str, ...], default: str) -> str:
        """Return a header's value, which must be one of ``choices``."""
        value = self.text(name)
        if value is None:
            return default
        if value not in choices:
            self.fault(name, f"must be one of {', '.join(choices)}")
            return default
        return value

    def deadline_ms(self) -> int:
        """Return the deadline in milliseconds from now."""
        value = self.text(DEADLINE_HEADER)
        if value is None:
            return DEFAULT_DEADLINE_MS
        if value.isascii() and value.isdigit() and len(value) <= 9:
            deadline_ms = int(value)
            if 0 < deadline_ms <= MAX_DEADLINE_MS:
                return deadline_ms
        self.fault(DEADLINE_HEADER, f"must be from 1 to {MAX_DEADLINE_MS}")
        return DEFAULT_DEADLINE_MS

    def size(self) -> Resources:
        """Return the declared resource amounts; the default is DEFAULT_SIZE."""
        value = self.text(SIZE_HEADER)
        if value is None:
            return DEFAULT_SIZE
        amounts: dict[str, int] = {}
        for part in value.split(","):
            name, _, amount = part.strip().partition("=")
            if name not in _SIZE_FIELDS or name in amounts:
                self.fault(SIZE_HEADER, f"has no single amount of {name!r}")
            elif not (amount.isascii() and amount.isdigit() and len(amount) < 12):
                self.fault(SIZE_HEADER, f"{name} must be a whole number")
            elif int(amount) > MAX_AMOUNT:
                self.fault(SIZE_HEADER, f"{name} must be at most {MAX_AMOUNT}")
            else:
                amounts[name] = int(amount)
        return Resources(**amounts)

    def request_id(self) -> UUID | None:
        """Return the caller's request id, which must be a version 7 UUID, or None."""
        value = self.text(REQUEST_ID_HEADER)
        if value is None:
            return None
        try:
            request_id = UUID(value)
        except ValueError:
            self.fault(REQUEST_ID_HEADER, "must be a UUID of version 7")
            return None
        if request_id.version != 7 or str(request_id) != value.lower():
            self.fault(REQUEST_ID_HEADER, "must be a UUID of version 7")
        return request_id


def read_caller_request(exchange: HttpExchange) -> Result[CallerRequest, Findings]:
    """Return the parsed headers of a caller's request, or all faults found."""
    reader = _HeaderReader(exchange)
    reader.check_request()
    urgencies = tuple(urgency.value for urgency in Urgency)
    request = CallerRequest(
        key=reader.text(KEY_HEADER) or "",
        service_id=reader.text(SERVICE_HEADER, required=True) or "",
        queue_id=reader.text(QUEUE_HEADER, required=True) or "",
        size=reader.size(),
        urgency=Urgency(reader.choice(URGENCY_HEADER, urgencies, "normal")),
        deadline_ms=reader.deadline_ms(),
        repeatable=reader.choice(REPEATABLE_HEADER, ("yes", "no"), "no") == "yes",
        request_id=reader.request_id(),
    )
    if reader.findings:
        return Failure(tuple(reader.findings))
    return Success(request)
