"""Outcomes of attempts, and the HTTP responses that report them to callers."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum

from cicadatrail_core.models.requests import Outcome
from cicadatrail_core.utils.findings import Findings
from cicadatraild.network.http_server import HttpExchange
from cicadatraild.network.http_transport import Headers

BUFFERED_REPLY_LIMIT_BYTES = 64 * 1024
"""Replies up to this size are read completely before any byte is passed on."""

OUTCOME_HEADER = b"Cicadatrail-Outcome"
REASON_HEADER = b"Cicadatrail-Reason"
REQUEST_ID_HEADER = b"Cicadatrail-Request-Id"

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to a single connection and are not passed on."""

CONTENT_LENGTH_HEADER = b"content-length"

RESERVED_HEADER_PREFIX = b"cicadatrail-"
"""Prefix of the headers that are reserved for this system."""


class Reason(Enum):
    """Why a request was not run, or why its outcome is unknown."""

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
    """Outcome of a request that certainly didn't run.

    ``retry_after_s`` is sent as Retry-After; None omits that header.
    """

    reason: Reason | str
    status: int = 503
    retry_after_s: float | None = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run, partly or completely."""

    reason: Reason | str
    status: int = 502


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an upstream; iterating ``body`` may raise ReplyTruncatedError.

    The owner must call ``close``, which gives up a reply that was not read to its
    end and otherwise does nothing.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class BufferedReply:
    """A reply whose body was read to its end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedReply:
    """A reply that is too long to buffer, and the start of its body."""

    reply: Reply
    start: bytes


Answer = BufferedReply | StreamedReply | NotRun | Unknown


class ReplyTruncatedError(Exception):
    """A reply that ended before its body was complete."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are passed on; names must be in lower case.

    Headers that ``Connection`` lists are hop-by-hop headers, too.
    """
    kept = [
        header
        for header in headers
        if header[0] not in HOP_BY_HOP_HEADERS
        and not header[0].startswith(RESERVED_HEADER_PREFIX)
    ]
    for name, value in headers:
        if name == b"connection":
            hop_by_hop = {part.strip().lower() for part in value.split(b",")}
            kept = [header for header in kept if header[0] not in hop_by_hop]
    return tuple(kept)


def reply_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers of an upstream's reply and its Content-Length."""
    lengths = tuple(header for header in headers if header[0] == CONTENT_LENGTH_HEADER)
    return (*lengths, *end_to_end_headers(headers))


async def write_not_run(
    exchange: HttpExchange, request_id: str, refusal: NotRun
) -> None:
    """Respond that the request certainly didn't run."""
    extra: list[tuple[bytes, bytes]] = []
    if refusal.retry_after_s is not None:
        retry_after_s = max(1, round(refusal.retry_after_s))
        extra.append((b"Retry-After", str(retry_after_s).encode()))
    headers = _headers(request_id, Outcome.NOT_RUN, refusal.reason)
    await exchange.respond(refusal.status, headers=(*headers, *extra))


async def write_unknown(
    exchange: HttpExchange, request_id: str, unknown: Unknown
) -> None:
    """Respond that the request may have run."""
    headers = _headers(request_id, Outcome.UNKNOWN, unknown.reason)
    await exchange.respond(unknown.status, headers=headers)


async def write_findings(
    exchange: HttpExchange, request_id: str, findings: Findings
) -> None:
    """Respond with all faults found in the request's headers."""
    faults = [{"place": f.place, "fault": f.fault} for f in findings]
    body = json.dumps({"findings": faults}).encode()
    headers = _headers(request_id, Outcome.NOT_RUN, Reason.MALFORMED)
    json_type = (b"Content-Type", b"application/json")
    await exchange.respond(400, body, (*headers, json_type))


async def write_buffered(
    exchange: HttpExchange, request_id: str, reply: BufferedReply
) -> None:
    """Send a buffered reply."""
    headers = reply.headers
    if exchange.has_body(reply.status):
        headers = without_content_length(headers)
    await exchange.respond(
        reply.status, reply.body, (*headers, *_headers(request_id, Outcome.COMPLETE))
    )


async def write_streamed(
    exchange: HttpExchange, request_id: str, streamed: StreamedReply
) -> None:
    """Stream a long reply, with its outcome in a trailer.

    An HTTP/1.0 caller reads no trailer. It gets Content-Length instead, by which
    it can detect a truncated reply.

    Raises ReplyTruncatedError if the reply ends early. The connection must be
    aborted then, so that the caller doesn't take the reply for complete.
    """
    reply = streamed.reply
    request_id_header = (REQUEST_ID_HEADER, request_id.encode())
    if exchange.takes_chunks:
        chunked = ((b"Transfer-Encoding", b"chunked"), (b"Trailer", OUTCOME_HEADER))
        headers = (*without_content_length(reply.headers), request_id_header, *chunked)
    else:
        headers = (*reply.headers, request_id_header)
    await exchange.start(reply.status, headers)
    await exchange.send(streamed.start)
    async for chunk in reply.body:
        await exchange.send(chunk)
    complete = ((OUTCOME_HEADER, Outcome.COMPLETE.value.encode()),)
    await exchange.end(complete if exchange.takes_chunks else ())


def without_content_length(headers: Headers) -> Headers:
    """Return the headers without Content-Length."""
    return tuple(header for header in headers if header[0] != CONTENT_LENGTH_HEADER)


def has_content_length(headers: Headers) -> bool:
    """Return whether the headers include Content-Length."""
    return any(name == CONTENT_LENGTH_HEADER for name, _ in headers)


async def read_answer(attempt: Reply | NotRun | Unknown) -> Answer:
    """Read a reply into memory up to BUFFERED_REPLY_LIMIT_BYTES.

    Most replies are read completely, so that their outcome is known before any
    byte is passed on.
    """
    if not isinstance(attempt, Reply):
        return attempt
    start = bytearray()
    try:
        async for chunk in attempt.body:
            start += chunk
            if len(start) > BUFFERED_REPLY_LIMIT_BYTES:
                return StreamedReply(attempt, bytes(start))
    except ReplyTruncatedError:
        return Unknown(Reason.ANSWER_CUT)
    except BaseException:
        attempt.close()
        raise
    return BufferedReply(attempt.status, attempt.headers, bytes(start))


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
