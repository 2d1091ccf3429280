"""Steps about the time after which refused callers should come back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, cast

import msgpack
from behave import then, when

from cicadatraild.network.server_exchange import HttpExchange
from cicadatraild.platform.callers import CallerInterface, _answer
from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.messages import Refused, decode_message, encode_message

REASON = "the work ahead is too much; try later"


@dataclass(frozen=True, slots=True)
class FormerRefused:
    """The refusal as the former version decodes it from its fields."""

    reason: str


class RecordingExchange:
    """Keeps the response that is given to it."""

    status = 0
    headers: dict[bytes, bytes]

    async def respond(
        self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        self.status = status
        self.headers = dict(headers)


@when("a refusal to come back after {time_s:g} s is sent to another instance")
def step_send(context: Any, time_s: float) -> None:
    context.packed = msgpack.packb(encode_message(Refused(REASON, time_s)))


@then("an instance of the former version reads a refusal")
def step_former(context: Any) -> None:
    name, *values = msgpack.unpackb(context.packed)
    assert name == "Refused"
    assert FormerRefused(*values).reason.startswith(REASON)


@then("an instance of this version reads the time {time_s:g} s")
def step_present(context: Any, time_s: float) -> None:
    message = decode_message(msgpack.unpackb(context.packed))
    assert message == Refused(REASON, time_s), message


@when("the leader refuses a job until {time_s:g} s later")
def step_refuse(context: Any, time_s: float) -> None:
    callers = CallerInterface(cast(Entry, None), lambda: None, lambda: False)
    context.exchange = RecordingExchange()
    answer = _answer(Refused(REASON, time_s))
    exchange = cast(HttpExchange, context.exchange)
    asyncio.run(callers._respond(exchange, answer))


@then("the answer is 503 with Retry-After {header}")
def step_header(context: Any, header: str) -> None:
    assert context.exchange.status == 503
    assert context.exchange.headers[b"Retry-After"] == header.encode()
