"""Checks of the expected result of each caller behaviour.

Each check returns a description of the problem, or an empty text.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from features.support.edge_caller import CallerAnswer

LONG_REPLY_BYTES = 8_000_000

BUFFER_LIMIT_BYTES = 1_000_000
"""Most bytes that a connection may buffer in this process."""


@dataclass(slots=True)
class HttpResult:
    answers: list[CallerAnswer] = field(default_factory=list)
    steady: list[CallerAnswer] = field(default_factory=list)
    took_s: float = 0.0
    held_bytes: int = 0
    charged_count: int = 0
    raw: bytes = b""


def _answered(status: int, outcome: str, reason: str) -> Callable[[HttpResult], str]:
    def check(result: HttpResult) -> str:
        answer = result.answers[0]
        found = (answer.status, answer.outcome, answer.reason)
        return "" if found == (status, outcome, reason) else f"answered {found}"

    return check


def _whole(result: HttpResult) -> str:
    answer = result.answers[0]
    if answer.outcome not in ("complete", "none") or not answer.whole:
        return "is incomplete"
    length = answer.headers.get("content-length")
    return "has a wrong Content-Length" if length != str(len(answer.body)) else ""


def _bounded(result: HttpResult, *, whole: bool) -> str:
    if result.held_bytes > BUFFER_LIMIT_BYTES:
        return f"held {result.held_bytes} bytes"
    return (
        ""
        if result.answers[0].whole is whole
        else "is whole though it must be cut, or the reverse"
    )


def _no_body(result: HttpResult) -> str:
    answer = result.answers[0]
    if answer.outcome != "complete" or answer.body:
        return "has a body or no outcome"
    names = {"content-length", "transfer-encoding"}
    return "states a length" if names & answer.headers.keys() else ""


def _in_request_order(result: HttpResult) -> str:
    bodies = [answer.body.split(b"\n")[-1] for answer in result.answers]
    return "" if bodies == [b"first", b"second", b"third"] else f"got {bodies}"


def _over_connection_limit(result: HttpResult) -> str:
    reasons = [answer.reason for answer in result.answers]
    outcomes = [answer.outcome for answer in result.answers]
    wanted = ["too-many-connections", "too-many-connections", ""]
    fair = outcomes == ["not-run", "not-run", "complete"] and reasons == wanted
    return "" if fair else f"answered {outcomes} {reasons}"


def _outcome_in_trailer(result: HttpResult) -> str:
    answer = result.answers[0]
    named = answer.trailers.get("cicadatrail-outcome") == "complete"
    own = "cicadatrail-outcome" not in answer.headers
    return (
        ""
        if named and own and len(answer.body) > LONG_REPLY_BYTES
        else "does not have its outcome in the trailer only"
    )


def _head_length(result: HttpResult) -> str:
    answer = result.answers[0]
    length = int(answer.headers.get("content-length", "0"))
    fair = answer.outcome == "complete" and not answer.body and length > 50
    return "" if fair else f"states a length of {length}"


def _continued(result: HttpResult) -> str:
    if not result.raw.startswith(b"HTTP/1.1 100 "):
        return "got no 100 Continue"
    return "" if result.answers[0].outcome == "complete" else "is not complete"


def _cut(result: HttpResult) -> str:
    answer = result.answers[0]
    return "" if not answer.whole and answer.body else "looks whole"


RESULTS: dict[str, Callable[[HttpResult], str]] = {
    "refused by the deadline": _answered(408, "not-run", "deadline"),
    "cut with bounded memory": partial(_bounded, whole=False),
    "whole with bounded memory": partial(_bounded, whole=True),
    "refused with a reason": _over_connection_limit,
    "three own answers in order": _in_request_order,
    "given up": _answered(0, "cut", ""),
    "told to go on and then answered": _continued,
    "whole with a length": _whole,
    "unknown": _answered(502, "unknown", "answer-too-long-for-http-1.0"),
    "the length without a body": _head_length,
    "neither a length nor a body": _no_body,
    "whole with its outcome as a trailer": _outcome_in_trailer,
    "cut without a proper end": _cut,
    "told before the connection closes": _answered(413, "not-run", "body-too-large"),
}
