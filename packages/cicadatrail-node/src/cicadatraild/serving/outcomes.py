"""What an attempt ended in, and how each is told to the caller."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.requests import Outcome
from cicadatrail_core.utils.findings import Findings
from cicadatraild.network.http_server import Headers, HttpExchange

WHOLE_REPLY_BYTES = 64 * 1024
"""Replies up to this size are checked to be whole before any byte is sent."""

OUTCOME_HEADER = b"Cicadatrail-Outcome"
REASON_HEADER = b"Cicadatrail-Reason"
REQUEST_ID_HEADER = b"Cicadatrail-Request-Id"

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"host",
        b"expect",
    }
)
"""Headers that belong to one connection and are not passed on."""

OWN_PREFIX = b"cicadatrail-"
"""Prefix of the headers that only this system may set."""


class Reason(Enum):
    """Say why a request was not run or its outcome is not known."""

    MALFORMED = "malformed"
    KEY_MISSING = "key-missing"
    KEY_REFUSED = "key-refused"
    KEY_NOT_CURRENT = "key-not-current"
    QUEUE_UNKNOWN = "queue-unknown"
    QUEUE_CLOSED = "queue-of-another-team"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    NOT_SUPPORTED = "rights-not-supported"
    NO_ROOM = "no-room"
    NOT_CONNECTED = "worker-not-connected"
    LEAVING = "instance-leaving"
    RETRIES_SPENT = "retry-budget-spent"
    DEADLINE = "deadline"
    ID_RUNNING = "id-running"
    ID_UNKNOWABLE = "id-unknowable"
    ID_OUT_OF_TIME = "id-out-of-time"
    ID_HOLDER_AWAY = "id-holder-away"
    ANSWER_CUT = "answer-cut"
    NO_ANSWER = "no-answer"
    PEER_LOST = "peer-lost"


@dataclass(frozen=True, slots=True)
class NotRun:
    """State that a request surely didn't run; ``again_s`` after which to retry."""

    reason: Reason | str
    status: int = 503
    again_s: float | None = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """State that a request may have run, wholly or in part."""

    reason: Reason | str
    status: int = 502


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold an upstream's reply; iterating ``body`` raises ReplyCutError."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class ReplyCutError(Exception):
    """Report a reply that stopped before its end."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are passed on."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and not name.lower().startswith(OWN_PREFIX)
    )


async def write_not_run(
    exchange: HttpExchange, request_id: str, refusal: NotRun
) -> None:
    """Tell the caller that its request surely didn't run."""
    extra: list[tuple[bytes, bytes]] = []
    if refusal.again_s is not None:
        again_s = max(1, round(refusal.again_s))
        extra.append((b"Retry-After", str(again_s).encode()))
    headers = _headers(request_id, Outcome.NOT_RUN, refusal.reason)
    await exchange.respond(refusal.status, headers=(*headers, *extra))


async def write_unknown(
    exchange: HttpExchange, request_id: str, unknown: Unknown
) -> None:
    """Tell the caller that its request may have run."""
    headers = _headers(request_id, Outcome.UNKNOWN, unknown.reason)
    await exchange.respond(unknown.status, headers=headers)


async def write_findings(exchange: HttpExchange, findings: Findings) -> None:
    """Tell the caller every fault of its request."""
    faults = [{"place": f.place, "fault": f.fault} for f in findings]
    body = json.dumps({"findings": faults}).encode()
    headers = (
        (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),
        (REASON_HEADER, Reason.MALFORMED.value.encode()),
        (b"Content-Type", b"application/json"),
    )
    await exchange.respond(400, body, headers)


async def write_whole(
    exchange: HttpExchange, request_id: str, reply: Reply, body: bytes
) -> None:
    """Send a reply that was read to its end."""
    await exchange.respond(
        reply.status, body, (*reply.headers, *_headers(request_id, Outcome.COMPLETE))
    )


async def write_stream(
    exchange: HttpExchange, request_id: str, reply: Reply, start: bytes
) -> None:
    """Stream a long reply; its outcome follows as a trailer.

    Raises ReplyCutError when the reply is cut: then the connection must be
    dropped, so that the caller sees no proper end.
    """
    await exchange.start(
        reply.status,
        (
            *reply.headers,
            (REQUEST_ID_HEADER, request_id.encode()),
            (b"Transfer-Encoding", b"chunked"),
            (b"Trailer", OUTCOME_HEADER),
        ),
    )
    await exchange.send(start)
    async for chunk in reply.body:
        await exchange.send(chunk)
    await exchange.end(((OUTCOME_HEADER, Outcome.COMPLETE.value.encode()),))


async def read_start(reply: Reply) -> tuple[bytes, bool]:
    """Read up to WHOLE_REPLY_BYTES; return them and whether that is all.

    Raises ReplyCutError when the reply is cut.
    """
    start = bytearray()
    async for chunk in reply.body:
        start += chunk
        if len(start) > WHOLE_REPLY_BYTES:
            return bytes(start), False
    return bytes(start), True


def _headers(
    request_id: str, outcome: Outcome, reason: Reason | str | None = None
) -> Headers:
    headers = [
        (REQUEST_ID_HEADER, request_id.encode()),
        (OUTCOME_HEADER, outcome.value.encode()),
    ]
    if reason is not None:
        text = reason.value if isinstance(reason, Reason) else reason
        headers.append((REASON_HEADER, text.encode("ascii", "replace")))
    return tuple(headers)
