"""What an attempt ended in, and how each is told to the caller."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.requests import Outcome
from cicadatrail_core.utils.findings import Findings
from cicadatraild.network.http_server import HttpExchange
from cicadatraild.network.http_transport import Headers

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

LENGTH_HEADER = b"content-length"

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
    ID_REFUSED = "id-refused"
    ID_HOLDER_AWAY = "id-holder-away"
    ANSWER_CUT = "answer-cut"
    ANSWER_UNBOUNDED = "answer-without-length"
    ANSWER_NOT_KEPT = "answer-not-kept"
    ANSWER_TOO_LONG = "answer-too-long-for-http-1.0"
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
    """Hold an upstream's reply; iterating ``body`` raises ReplyCutError.

    Whoever has it must call ``close``, which gives up a reply that was not
    read to its end and does nothing else.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class WholeReply:
    """Hold a reply that was read to its end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class LongReply:
    """Hold the start of a reply that is too long to be kept."""

    reply: Reply
    start: bytes


Answer = WholeReply | LongReply | NotRun | Unknown


class ReplyCutError(Exception):
    """Report a reply that stopped before its end."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are passed on; names are in lower case.

    Headers that ``Connection`` names belong to one connection, too.
    """
    kept = [
        header
        for header in headers
        if header[0] not in HOP_HEADERS and not header[0].startswith(OWN_PREFIX)
    ]
    for name, value in headers:
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            kept = [header for header in kept if header[0] not in named]
    return tuple(kept)


def reply_headers(headers: Headers) -> Headers:
    """Return an upstream's headers that are passed on, and its stated length."""
    lengths = tuple(header for header in headers if header[0] == LENGTH_HEADER)
    return (*lengths, *end_to_end_headers(headers))


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


async def write_findings(
    exchange: HttpExchange, request_id: str, findings: Findings
) -> None:
    """Tell the caller every fault of its request."""
    faults = [{"place": f.place, "fault": f.fault} for f in findings]
    body = json.dumps({"findings": faults}).encode()
    headers = _headers(request_id, Outcome.NOT_RUN, Reason.MALFORMED)
    json_type = (b"Content-Type", b"application/json")
    await exchange.respond(400, body, (*headers, json_type))


async def write_whole(
    exchange: HttpExchange, request_id: str, reply: WholeReply
) -> None:
    """Send a reply that was read to its end."""
    headers = reply.headers
    if exchange.has_body(reply.status):
        headers = without_length(headers)
    await exchange.respond(
        reply.status, reply.body, (*headers, *_headers(request_id, Outcome.COMPLETE))
    )


async def write_stream(
    exchange: HttpExchange, request_id: str, long_reply: LongReply
) -> None:
    """Stream a long reply; its outcome follows as a trailer.

    A caller of HTTP/1.0 reads no trailer: it gets the length in the head, by
    which it can tell a cut. Raises ReplyCutError when the reply is cut: then
    the connection must be dropped, so that the caller sees no proper end.
    """
    reply = long_reply.reply
    named = (REQUEST_ID_HEADER, request_id.encode())
    if exchange.takes_chunks:
        chunked = ((b"Transfer-Encoding", b"chunked"), (b"Trailer", OUTCOME_HEADER))
        headers = (*without_length(reply.headers), named, *chunked)
    else:
        headers = (*reply.headers, named)
    await exchange.start(reply.status, headers)
    await exchange.send(long_reply.start)
    async for chunk in reply.body:
        await exchange.send(chunk)
    complete = ((OUTCOME_HEADER, Outcome.COMPLETE.value.encode()),)
    await exchange.end(complete if exchange.takes_chunks else ())


def without_length(headers: Headers) -> Headers:
    """Return the headers without the length that the upstream stated."""
    return tuple(header for header in headers if header[0] != LENGTH_HEADER)


def states_length(headers: Headers) -> bool:
    """Tell whether the upstream stated the length of its body."""
    return any(name == LENGTH_HEADER for name, _ in headers)


async def read_answer(attempt: Reply | NotRun | Unknown) -> Answer:
    """Read a reply's first WHOLE_REPLY_BYTES, so that most are known whole."""
    if not isinstance(attempt, Reply):
        return attempt
    start = bytearray()
    try:
        async for chunk in attempt.body:
            start += chunk
            if len(start) > WHOLE_REPLY_BYTES:
                return LongReply(attempt, bytes(start))
    except ReplyCutError:
        return Unknown(Reason.ANSWER_CUT)
    except BaseException:
        attempt.close()
        raise
    return WholeReply(attempt.status, attempt.headers, bytes(start))


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
