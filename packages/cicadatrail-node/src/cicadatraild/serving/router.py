"""The path of a caller's request: admit, run, answer."""

from __future__ import annotations

from uuid import UUID

from returns.result import Failure, Success

from cicadatrail_core.admission.request_ids import id_time_s
from cicadatraild.network.http_server import HttpExchange
from cicadatraild.serving.admission import Admission, Admitted
from cicadatraild.serving.attempts import Attempts
from cicadatraild.serving.caller_request import read_caller_request
from cicadatraild.serving.calls import BodyCutError, UpstreamCall, read_body_start
from cicadatraild.serving.outcomes import (
    REQUEST_ID_HEADER,
    Answer,
    LongReply,
    NotRun,
    Reason,
    ReplyCutError,
    Unknown,
    WholeReply,
    end_to_end_headers,
    states_length,
    write_findings,
    write_not_run,
    write_stream,
    write_unknown,
    write_whole,
)
from cicadatraild.serving.request_ids import Claim, RequestIds
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.tracing import Tracing


class Router:
    """Serve callers."""

    __slots__ = (
        "_admission",
        "_attempts",
        "_ids",
        "_in_flight",
        "_tracing",
        "outcome_counts",
    )

    def __init__(
        self,
        admission: Admission,
        attempts: Attempts,
        ids: RequestIds,
        in_flight: InFlightWork,
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._admission = admission
        self._attempts = attempts
        self._ids = ids
        self._in_flight = in_flight
        self.outcome_counts: dict[str, int] = {}

    async def serve_caller(self, exchange: HttpExchange) -> None:
        """Answer one request of a caller."""
        with self._in_flight.track():
            await self._serve_caller(exchange)

    async def _serve_caller(self, exchange: HttpExchange) -> None:
        match read_caller_request(exchange):
            case Failure(findings):
                self._count("not-run")
                await write_findings(exchange, _stated_id(exchange), findings)
                return
            case Success(found):
                caller_request = found
        match self._admission.admit(caller_request):
            case Failure(refusal):
                given_id = str(caller_request.request_id or "")
                await self._tell(exchange, given_id, refusal)
            case Success(admitted):
                request_id = caller_request.request_id
                await self._serve_admitted(exchange, admitted, request_id)

    async def _serve_admitted(
        self, exchange: HttpExchange, admitted: Admitted, request_id: UUID | None
    ) -> None:
        came = next(iter(exchange.header_values(b"traceparent")), "")
        with self._tracing.hop("entry", came) as hop:
            hop.set_attribute("request_id", admitted.caller_id)
            hop.set_attribute("team_id", admitted.task.team_id)
            await self._serve_traced(exchange, admitted, request_id, hop.traceparent)

    async def _serve_traced(
        self,
        exchange: HttpExchange,
        admitted: Admitted,
        request_id: UUID | None,
        traceparent: str,
    ) -> None:
        task = admitted.task
        try:
            body = await read_body_start(exchange.body(), task.deadline_s)
        except BodyCutError as error:
            refusal = NotRun(error.reason, error.status, None)
            await self._tell(exchange, admitted.caller_id, refusal)
            return
        named = (REQUEST_ID_HEADER, admitted.caller_id.encode())
        call = UpstreamCall(
            request=task,
            method=exchange.method,
            target=exchange.target,
            headers=(named, *end_to_end_headers(exchange.headers)),
            body=body,
            traceparent=traceparent,
        )
        if task.repeatable or request_id is None:
            answer = await self._attempts.run(call)
            await self._tell(exchange, admitted.caller_id, answer)
            return
        await self._serve_once(exchange, admitted.caller_id, call, request_id)

    async def _serve_once(
        self,
        exchange: HttpExchange,
        caller_id: str,
        call: UpstreamCall,
        request_id: UUID,
    ) -> None:
        """Run a request only if its id is seen for the first time."""
        task = call.request
        begun = await self._ids.begin(task.team_id, request_id, task.deadline_s)
        if not isinstance(begun, Claim):
            await self._tell(exchange, caller_id, begun)
            return
        try:
            answer = await self._attempts.run(call)
        except BaseException:
            self._ids.settle(begun, _answer_of_cancelled(call))
            raise
        # Recorded first: a caller that loses the answer can ask for it again.
        self._ids.settle(begun, answer)
        await self._tell(exchange, caller_id, answer)

    async def _tell(
        self, exchange: HttpExchange, caller_id: str, answer: Answer
    ) -> None:
        match answer:
            case NotRun():
                self._count("not-run")
                await write_not_run(exchange, caller_id, answer)
            case Unknown():
                self._count("unknown")
                await write_unknown(exchange, caller_id, answer)
            case WholeReply():
                await write_whole(exchange, caller_id, answer)
                self._count("complete")
            case LongReply():
                await self._stream(exchange, caller_id, answer)

    async def _stream(
        self, exchange: HttpExchange, caller_id: str, answer: LongReply
    ) -> None:
        """Pass on a long reply; one that is cut ends without a proper end."""
        reply = answer.reply
        try:
            if not exchange.takes_chunks and not states_length(reply.headers):
                unknown = Unknown(Reason.ANSWER_TOO_LONG)
                await self._tell(exchange, caller_id, unknown)
                return
            await write_stream(exchange, caller_id, answer)
            self._count("complete")
        except ReplyCutError:
            self._count("unknown")
            exchange.abort()
        finally:
            reply.close()

    def _count(self, outcome: str) -> None:
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1


def _stated_id(exchange: HttpExchange) -> str:
    """Return the id that a malformed request states, if it is one."""
    values = exchange.header_values(REQUEST_ID_HEADER.lower())
    return values[0] if len(values) == 1 and id_time_s(values[0]) else ""


def _answer_of_cancelled(call: UpstreamCall) -> Answer:
    """Say what became of a request whose caller is gone."""
    if call.mark.sent:
        return Unknown(Reason.NO_ANSWER)
    return NotRun(Reason.DEADLINE)
