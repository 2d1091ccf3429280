"""Serving of callers' requests, from admission to the reply."""

from __future__ import annotations

from uuid import UUID

from returns.result import Failure, Success

from cicadatrail_core.admission.request_ids import id_time_s
from cicadatraild.network.http_server import HttpExchange
from cicadatraild.serving.admission import Admission, AdmittedRequest
from cicadatraild.serving.caller_request import read_caller_request
from cicadatraild.serving.calls import RequestBodyError, UpstreamCall, read_body_start
from cicadatraild.serving.outcomes import (
    REQUEST_ID_HEADER,
    Answer,
    BufferedReply,
    NotRun,
    Reason,
    ReplyTruncatedError,
    StreamedReply,
    Unknown,
    end_to_end_headers,
    has_content_length,
    write_buffered,
    write_findings,
    write_not_run,
    write_streamed,
    write_unknown,
)
from cicadatraild.serving.request_ids import Claim, RequestIds
from cicadatraild.serving.retries import RetryRunner
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.tracing import Tracing


class Router:
    """Admit and run callers' requests, and send the answers."""

    __slots__ = (
        "_admission",
        "_ids",
        "_in_flight",
        "_retry_runner",
        "_tracing",
        "outcome_counts",
    )

    def __init__(
        self,
        admission: Admission,
        retry_runner: RetryRunner,
        ids: RequestIds,
        in_flight: InFlightWork,
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._admission = admission
        self._retry_runner = retry_runner
        self._ids = ids
        self._in_flight = in_flight
        self.outcome_counts: dict[str, int] = {}

    async def serve_caller(self, exchange: HttpExchange) -> None:
        """Serve one request of a caller."""
        with self._in_flight.track():
            await self._serve_caller(exchange)

    async def _serve_caller(self, exchange: HttpExchange) -> None:
        match read_caller_request(exchange):
            case Failure(findings):
                self._count_outcome("not-run")
                await write_findings(exchange, _read_request_id(exchange), findings)
                return
            case Success(found):
                caller_request = found
        match self._admission.admit(caller_request):
            case Failure(refusal):
                given_id = str(caller_request.request_id or "")
                await self._send_answer(exchange, given_id, refusal)
            case Success(admitted):
                request_id = caller_request.request_id
                await self._serve_admitted(exchange, admitted, request_id)

    async def _serve_admitted(
        self, exchange: HttpExchange, admitted: AdmittedRequest, request_id: UUID | None
    ) -> None:
        received = next(iter(exchange.header_values(b"traceparent")), "")
        with self._tracing.hop("entry", received) as hop:
            hop.set_attribute("request_id", admitted.caller_id)
            hop.set_attribute("team_id", admitted.task.team_id)
            await self._serve_traced(exchange, admitted, request_id, hop.traceparent)

    async def _serve_traced(
        self,
        exchange: HttpExchange,
        admitted: AdmittedRequest,
        request_id: UUID | None,
        traceparent: str,
    ) -> None:
        task = admitted.task
        try:
            body = await read_body_start(exchange.body(), task.deadline_s)
        except RequestBodyError as error:
            refusal = NotRun(error.reason, error.status, None)
            await self._send_answer(exchange, admitted.caller_id, refusal)
            return
        request_id_header = (REQUEST_ID_HEADER, admitted.caller_id.encode())
        call = UpstreamCall(
            request=task,
            method=exchange.method,
            target=exchange.target,
            headers=(request_id_header, *end_to_end_headers(exchange.headers)),
            body=body,
            traceparent=traceparent,
        )
        if task.repeatable or request_id is None:
            answer = await self._retry_runner.run(call)
            await self._send_answer(exchange, admitted.caller_id, answer)
            return
        await self._serve_once(exchange, admitted.caller_id, call, request_id)

    async def _serve_once(
        self,
        exchange: HttpExchange,
        caller_id: str,
        call: UpstreamCall,
        request_id: UUID,
    ) -> None:
        """Run a request only if its id was not seen before."""
        task = call.request
        begun = await self._ids.begin(task.team_id, request_id, task.deadline_s)
        if not isinstance(begun, Claim):
            await self._send_answer(exchange, caller_id, begun)
            return
        try:
            answer = await self._retry_runner.run(call)
        except BaseException:
            self._ids.settle(begun, _answer_if_cancelled(call))
            raise
        # Recorded first, so that a caller that loses the answer can retrieve it by
        # sending the request again.
        self._ids.settle(begun, answer)
        await self._send_answer(exchange, caller_id, answer)

    async def _send_answer(
        self, exchange: HttpExchange, caller_id: str, answer: Answer
    ) -> None:
        match answer:
            case NotRun():
                self._count_outcome("not-run")
                await write_not_run(exchange, caller_id, answer)
            case Unknown():
                self._count_outcome("unknown")
                await write_unknown(exchange, caller_id, answer)
            case BufferedReply():
                await write_buffered(exchange, caller_id, answer)
                self._count_outcome("complete")
            case StreamedReply():
                await self._send_streamed(exchange, caller_id, answer)

    async def _send_streamed(
        self, exchange: HttpExchange, caller_id: str, answer: StreamedReply
    ) -> None:
        """Stream a long reply; abort the connection if the reply is truncated."""
        reply = answer.reply
        try:
            if not exchange.takes_chunks and not has_content_length(reply.headers):
                unknown = Unknown(Reason.ANSWER_TOO_LONG)
                await self._send_answer(exchange, caller_id, unknown)
                return
            await write_streamed(exchange, caller_id, answer)
            self._count_outcome("complete")
        except ReplyTruncatedError:
            self._count_outcome("unknown")
            exchange.abort()
        finally:
            reply.close()

    def _count_outcome(self, outcome: str) -> None:
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1


def _read_request_id(exchange: HttpExchange) -> str:
    """Return the request id of a malformed request, or "" without a valid one."""
    values = exchange.header_values(REQUEST_ID_HEADER.lower())
    return values[0] if len(values) == 1 and id_time_s(values[0]) else ""


def _answer_if_cancelled(call: UpstreamCall) -> Answer:
    """Return the outcome to record for a request that was cancelled while running."""
    if call.progress.sent:
        return Unknown(Reason.NO_ANSWER)
    return NotRun(Reason.DEADLINE)
