"""HTTP interface through which callers submit, query and cancel jobs."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Success

from cicadatrail_core.jobs.models import FleetConfiguration, Queue
from cicadatrail_core.jobs.records import encode_definition
from cicadatrail_core.utils.findings import Findings
from cicadatraild.network.server_exchange import (
    BodyIncompleteError,
    BodyTooLargeError,
    HttpExchange,
)
from cicadatraild.platform.job_submissions import decode_job
from cicadatraild.scheduling.clocks import loop_now_s, unix_now_ms
from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.messages import (
    AskPhase,
    Cancel,
    CountQueued,
    PhaseIs,
    QueuedCount,
    Refused,
    Reply,
    Stored,
    Submit,
)

logger = logging.getLogger("cicadatrail.entry")

JOB_ID = re.compile(r"[0-9a-f]{16}")

RETRY_AFTER_S = 1
"""Least value of Retry-After; a change of leader takes about this long."""

ANSWER_MARGIN_S = 0.15
"""Part of the caller's deadline reserved for sending the response."""

DEFAULT_DEADLINE_S = 3.0
"""Deadline of a request that states none; the platform's clients wait that long."""


LOGGED_ID_CHARACTERS = 256
"""Longest part of a caller's request id in a log line."""

SHOWN_FINDINGS_COUNT = 50
"""Largest number of findings in a response."""


class CallKind(Enum):
    """Operation that a caller requests."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class Call:
    """Request of a caller whose queue and key have been checked."""

    kind: CallKind
    queue: Queue
    team: str
    job_id: str


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status and body of a response; ``reason`` goes to the log only.

    ``retry_after_s`` is sent with 429 and 503, in whole seconds and at least 1.
    """

    status: int
    body: dict[str, object] | None = None
    reason: str = ""
    retry_after_s: float = 0.0


def find_queue(configuration: FleetConfiguration, host: str, path: str) -> Queue | None:
    """Return the queue for a host with the longest matching path prefix."""
    name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
    fitting = [
        queue
        for queue in configuration.queues
        if queue.host in ("", name) and path.startswith(queue.path_prefix)
    ]
    return max(fitting, key=lambda queue: len(queue.path_prefix), default=None)


def find_team(configuration: FleetConfiguration, key: str) -> str | None:
    """Return the name of the team that an API key belongs to."""
    for team in configuration.teams.values():
        if key and key in team.keys:
            return team.name
    return None


def check_call(
    configuration: FleetConfiguration | None,
    method: str,
    target: str,
    host: str,
    authorization: str,
) -> Call | Answer:
    """Return the validated call, or the error response if it is not allowed."""
    if configuration is None:
        return Answer(503, reason="no configuration has been received yet")
    path = target.split("?", 1)[0]
    queue = find_queue(configuration, host, path)
    if queue is None:
        return Answer(404, reason="no such queue")
    scheme, _, key = authorization.partition(" ")
    team = find_team(configuration, key.strip() if scheme.lower() == "bearer" else "")
    if team is None and not queue.public:
        return Answer(401, reason="the key is not known")
    job_id = path[len(queue.path_prefix) :]
    if method == "GET" and not job_id:
        return Call(CallKind.COUNT, queue, team or "", "")
    kinds = {"POST": CallKind.SUBMIT, "GET": CallKind.STATE, "DELETE": CallKind.CANCEL}
    kind = kinds.get(method)
    if kind is None:
        return Answer(405, reason="the method is not supported")
    if not JOB_ID.fullmatch(job_id):
        return Answer(404, reason="the id must be 16 hexadecimal digits")
    return Call(kind, queue, team or "", job_id)


class CallerInterface:
    """Request handler of one entry instance.

    ``answers`` counts responses by kind and status, ``open_count`` the requests that
    have not been answered yet.
    """

    def __init__(
        self,
        entry: Entry,
        configuration: Callable[[], FleetConfiguration | None],
        is_closing: Callable[[], bool],
    ) -> None:
        self._entry = entry
        self._configuration = configuration
        self._is_closing = is_closing
        self.answers: dict[tuple[str, int], int] = {}
        self.open_count = 0
        self.on_duration: Callable[[str, float], None] = lambda kind, duration_s: None

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one request: check it, carry it out, log it and respond."""
        started_s = loop_now_s()
        configuration = self._configuration()
        call = check_call(
            configuration,
            exchange.method,
            exchange.target,
            _header(exchange, b"host"),
            _header(exchange, b"authorization"),
        )
        fields = _log_fields(exchange, call)
        fields["configuration_version"] = configuration.version if configuration else 0
        self.open_count += 1
        try:
            if isinstance(call, Answer):
                answer = call
            else:
                answer = await self._execute(call, exchange, started_s)
            self._record_answer(fields, answer, loop_now_s() - started_s)
            await self._respond(exchange, answer)
        except asyncio.CancelledError:
            self._log_unanswered(fields, loop_now_s() - started_s)
            raise
        finally:
            self.open_count -= 1

    def _record_answer(
        self, fields: dict[str, object], answer: Answer, duration_s: float
    ) -> None:
        kind = str(fields["kind"])
        key = (kind, answer.status)
        self.answers[key] = self.answers.get(key, 0) + 1
        self.on_duration(kind, duration_s)
        outcome = {"status": answer.status, "reason": answer.reason}
        logger.info(
            "entry: answered.",
            extra={**fields, **outcome, "duration_s": round(duration_s, 4)},
        )

    def _log_unanswered(self, fields: dict[str, object], duration_s: float) -> None:
        logger.log(
            logging.WARNING if self._is_closing() else logging.INFO,
            "entry: connection ended before the answer.",
            extra={
                **fields,
                "is_stopping": self._is_closing(),
                "duration_s": round(duration_s, 4),
            },
        )

    async def _execute(
        self, call: Call, exchange: HttpExchange, started_s: float
    ) -> Answer:
        deadline_s = started_s + _time_limit_s(call.queue, exchange) - ANSWER_MARGIN_S
        match call.kind:
            case CallKind.SUBMIT:
                return await self._submit(call, exchange, deadline_s)
            case CallKind.STATE:
                reply = await self._entry.ask(AskPhase(call.job_id), deadline_s)
            case CallKind.CANCEL:
                reply = await self._entry.ask(Cancel(call.job_id), deadline_s)
            case CallKind.COUNT:
                reply = await self._entry.ask(CountQueued(call.queue.name), deadline_s)
        return _answer(reply)

    async def _submit(
        self, call: Call, exchange: HttpExchange, deadline_s: float
    ) -> Answer:
        try:
            async with self._entry.limits.until(deadline_s):
                body = await exchange.read_body()
        except BodyTooLargeError:
            return Answer(413, reason="the body is too large")
        except BodyIncompleteError:
            return Answer(400, reason="the body is incomplete")
        except TimeoutError:
            return Answer(503, reason="the body did not arrive in time")
        match decode_job(body, call.queue.name, call.team, unix_now_ms()):
            case Failure(findings):
                return _refuse_malformed(findings)
            case Success(definition):
                request = Submit(call.job_id, encode_definition(definition))
        # Only the encoded job is held while it is stored.
        del body, definition
        return _answer(await self._entry.ask(request, deadline_s))

    async def _respond(self, exchange: HttpExchange, answer: Answer) -> None:
        headers: list[tuple[bytes, bytes]] = []
        body = b""
        if answer.body is not None:
            body = json.dumps(answer.body).encode()
            headers.append((b"Content-Type", b"application/json"))
        if answer.status in (429, 503):
            after_s = max(RETRY_AFTER_S, math.ceil(answer.retry_after_s))
            headers.append((b"Retry-After", str(after_s).encode()))
        if self._is_closing():
            headers.append((b"Connection", b"close"))
        await exchange.respond(answer.status, body, tuple(headers))


def _log_fields(exchange: HttpExchange, call: Call | Answer) -> dict[str, object]:
    """Return the log fields that identify a request."""
    fields: dict[str, object] = {
        "request_id": _header(exchange, b"request-id")[:LOGGED_ID_CHARACTERS]
    }
    match call:
        case Call(kind=kind, queue=queue, team=team, job_id=job_id):
            known = (job_id, kind.value, queue.name, team)
        case _:
            known = ("", "none", "", "")
    return fields | dict(zip(("job_id", "kind", "queue", "team"), known, strict=True))


def _header(exchange: HttpExchange, name: bytes) -> str:
    values = exchange.header_values(name)
    return values[0] if values else ""


def _time_limit_s(queue: Queue, exchange: HttpExchange) -> float:
    limits = [DEFAULT_DEADLINE_S]
    if queue.timeout_ms > 0:
        limits = [queue.timeout_ms / 1000]
    stated = _header(exchange, b"deadline-ms")
    if stated.isdigit():
        limits.append(int(stated) / 1000)
    return min(limits)


def _refuse_malformed(findings: Findings) -> Answer:
    shown = findings[:SHOWN_FINDINGS_COUNT]
    listed = [{"place": f.place, "fault": f.fault} for f in shown]
    return Answer(400, {"findings": listed}, "the job is malformed")


def _answer(reply: Reply) -> Answer:
    match reply:
        case Stored():
            return Answer(200)
        case PhaseIs(phase=""):
            return Answer(410, reason="no such job")
        case PhaseIs(phase=phase):
            return Answer(200, {"state": phase})
        case QueuedCount(count=count):
            return Answer(200, {"queued-jobs": count})
        case Refused(reason=reason, retry_after_s=retry_after_s):
            return Answer(503, reason=reason, retry_after_s=retry_after_s)
    # The outcome is unknown: the request may still be carried out, so it must not
    # be reported as refused.
    return Answer(504, reason=getattr(reply, "reason", ""))
