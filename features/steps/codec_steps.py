"""Steps of codec.feature."""

from __future__ import annotations

from typing import Any

import msgpack
from behave import then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st
from returns.result import Failure, Success

from cicadatrail_core.models.records import Record
from cicadatrail_core.utils import codec

MALFORMED_BYTES = {
    "nothing": b"",
    "an integer": msgpack.packb(7),
    "a pulse with a number as its name": msgpack.packb(
        {"type": "pulse-record", "incarnation": 7, "sequence": 1}
    ),
    "a pulse with a huge sequence": msgpack.packb(
        {"type": "pulse-record", "incarnation": "a", "sequence": 2**64 - 1}
    ),
    "an unknown record": msgpack.packb({"type": "future-record"}),
    "a pulse with a text sequence": msgpack.packb(
        {"type": "pulse-record", "incarnation": "a", "sequence": "soon"}
    ),
    "a pulse with a field too many": msgpack.packb(
        {"type": "pulse-record", "incarnation": "a", "sequence": 1, "more": 2}
    ),
}


@when("records of every type are encoded and decoded again")
def step_round_trip(context: Any) -> None:
    context.pairs = []
    # The codec refuses larger integers when it decodes.
    st.register_type_strategy(int, st.integers(-codec.MAX_INTEGER, codec.MAX_INTEGER))

    @given_examples(st.from_type(Record))  # type: ignore[arg-type]
    def round_trip(record: Record) -> None:
        context.pairs.append(
            (record, codec.from_bytes(codec.to_bytes(record, Record), Record))
        )

    round_trip()


@then("each decoded record equals the original")
def step_each_equal(context: Any) -> None:
    assert len(context.pairs) > 20
    for record, read in context.pairs:
        assert read == Success(record), (record, read)


@when("{name} is decoded as a record")
def step_decode_malformed(context: Any, name: str) -> None:
    context.decoded = codec.from_bytes(MALFORMED_BYTES[name], Record)


@then("decoding fails with a finding that mentions {words}")
def step_refused(context: Any, words: str) -> None:
    match context.decoded:
        case Failure(findings):
            assert any(words in str(finding) for finding in findings), findings
        case _:
            raise AssertionError(context.decoded)
