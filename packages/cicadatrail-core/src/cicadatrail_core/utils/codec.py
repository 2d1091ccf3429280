"""Coding of typed data to and from msgpack and JSON-ready maps.

Unions are coded as maps with a ``type`` field that names the class in
kebab case, so that records, patches and messages read alike.
"""

from __future__ import annotations

import math
import re
from functools import cache
from typing import Any, TypeVar, get_args, get_origin

import msgpack
from cattrs import BaseValidationError, Converter, transform_error
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from cicadatrail_core.models.patches import Accepted, Operation, Refused, Verdict
from cicadatrail_core.models.peer_messages import ControlMessage, ForwardMessage
from cicadatrail_core.models.records import Record
from cicadatrail_core.models.rights import Right
from cicadatrail_core.utils.findings import Finding, Findings

T = TypeVar("T")

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest coded message or record that is decoded, in bytes."""

MAX_INTEGER = 2**63 - 1
"""Largest amount of an integer, so that msgpack can code it again."""

_UNIONS: tuple[Any, ...] = (
    Right,
    Operation,
    Verdict,
    Accepted | Refused,
    Record,
    ControlMessage,
    ForwardMessage,
)


def kebab_case(name: str) -> str:
    """Return a class name in kebab case, as ``PutPool`` to ``put-pool``."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "-", name).lower()


def register_union(converter: Converter, union: Any) -> None:
    """Make ``converter`` code the members of ``union`` with a ``type`` field."""
    configure_tagged_union(
        union,
        converter,
        tag_generator=lambda member: kebab_case(member.__name__),
        tag_name="type",
    )


@cache
def shared_converter() -> Converter:
    """Return the converter for all shared types; unknown fields are faults."""
    converter = Converter(forbid_extra_keys=True)
    for plain_type in (int, str, bool, bytes):
        converter.register_structure_hook(plain_type, _read_plain)
    converter.register_structure_hook(float, _read_float)
    converter.register_structure_hook_factory(
        _is_tuple,
        lambda wanted: _tuple_hook(converter, wanted),
    )
    for union in _UNIONS:
        register_union(converter, union)
    return converter


def _read_plain(raw: Any, as_type: type[T]) -> T:
    """Take a plain value only if it has exactly the type asked for."""
    if type(raw) is not as_type:
        raise TypeError(f"expected {as_type.__name__}, got {type(raw).__name__}")
    if isinstance(raw, int) and abs(raw) > MAX_INTEGER:
        raise ValueError(f"expected at most {MAX_INTEGER} either way")
    return raw


def _is_tuple(wanted: Any) -> bool:
    origin: Any = get_origin(wanted)
    return origin is tuple


def _tuple_hook(converter: Converter, wanted: Any) -> Any:
    """Return a hook that takes only lists; a text or map is none.

    Without it a text would be read as a tuple of its letters.
    """
    members = get_args(wanted)
    if members[-1] is Ellipsis:
        return lambda raw, _: tuple(
            converter.structure(_check_list(raw), list[members[0]])  # type: ignore[valid-type]
        )
    return lambda raw, _: tuple(
        converter.structure(value, member)
        for value, member in zip(_check_list(raw), members, strict=True)
    )


def _check_list(raw: Any) -> Any:
    if not isinstance(raw, list | tuple):
        raise TypeError(f"expected a list, got {type(raw).__name__}")
    return raw


def _read_float(raw: Any, _: type[float]) -> float:
    """Take a finite number; a bool is none."""
    if type(raw) not in (int, float):
        raise TypeError(f"expected a number, got {type(raw).__name__}")
    if not math.isfinite(raw):
        raise ValueError("expected a finite number")
    return float(raw)


def to_map(value: Any, as_type: Any) -> Any:
    """Return ``value`` as maps, lists and plain values."""
    return shared_converter().unstructure(value, unstructure_as=as_type)


def from_map(raw: Any, as_type: type[T] | Any) -> Result[Any, Findings]:
    """Read typed data from maps; every fault comes back with its place."""
    try:
        return Success(shared_converter().structure(raw, as_type))
    except BaseValidationError as error:
        return Failure(tuple(_finding(line) for line in transform_error(error)))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure((Finding("$", f"cannot be read ({error!r})"),))


def to_bytes(value: Any, as_type: Any) -> bytes:
    """Return ``value`` coded as msgpack."""
    packed: bytes = msgpack.packb(to_map(value, as_type), use_bin_type=True)
    return packed


def from_bytes(payload: bytes, as_type: Any) -> Result[Any, Findings]:
    """Read typed data from msgpack; never raises on bad input."""
    if len(payload) > MAX_MESSAGE_BYTES:
        return Failure((Finding("$", f"is over {MAX_MESSAGE_BYTES} bytes long"),))
    try:
        raw = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return Failure((Finding("$", f"is not msgpack ({error})"),))
    return from_map(raw, as_type)


def _finding(line: str) -> Finding:
    """Split cattrs' ``fault @ place`` into a finding."""
    fault, _, place = line.rpartition(" @ ")
    return Finding(place or "$", fault or line)
