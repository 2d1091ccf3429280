"""Encode typed data to msgpack and JSON-compatible maps, and decode it.

A member of a union is encoded as a map with a ``type`` field that names its class
in kebab case, so that records, patches and messages share one format.
"""

from __future__ import annotations

import math
import re
from functools import cache
from typing import Any, TypeVar, get_args, get_origin

import msgpack
from cattrs import BaseValidationError, Converter, transform_error
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from cicadatrail_core.models.maintenance import WaveProgress
from cicadatrail_core.models.patches import Accepted, Operation, Refused, Verdict
from cicadatrail_core.models.peer_messages import ControlMessage, ForwardMessage
from cicadatrail_core.models.records import Record
from cicadatrail_core.models.rights import Right
from cicadatrail_core.utils.findings import Finding, Findings

T = TypeVar("T")

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of an encoded message or record, in bytes."""

MAX_INTEGER = 2**63 - 1
"""Largest absolute value of an integer, so that msgpack can encode it again."""

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
    """Return a class name in kebab case, such as ``put-pool`` for ``PutPool``."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "-", name).lower()


def register_union(converter: Converter, union: Any) -> None:
    """Make ``converter`` tag the members of ``union`` with a ``type`` field."""
    configure_tagged_union(
        union,
        converter,
        tag_generator=lambda member: kebab_case(member.__name__),
        tag_name="type",
    )


@cache
def shared_converter() -> Converter:
    """Return the converter for all shared types; it rejects unknown fields."""
    converter = Converter(forbid_extra_keys=True)
    for scalar_type in (int, str, bool, bytes):
        converter.register_structure_hook(scalar_type, _read_scalar)
    converter.register_structure_hook(float, _read_float)
    converter.register_structure_hook_factory(
        _is_tuple,
        lambda wanted: _tuple_hook(converter, wanted),
    )
    # Releases without the field refuse snapshots that have it.
    write_progress = make_dict_unstructure_fn(
        WaveProgress, converter, retries=override(omit_if_default=True)
    )
    converter.register_unstructure_hook(WaveProgress, write_progress)
    for union in _UNIONS:
        register_union(converter, union)
    return converter


def _read_scalar(raw: Any, as_type: type[T]) -> T:
    """Return a scalar if it has exactly the given type, without coercion."""
    if type(raw) is not as_type:
        raise TypeError(f"expected {as_type.__name__}, got {type(raw).__name__}")
    if isinstance(raw, int) and abs(raw) > MAX_INTEGER:
        raise ValueError(f"expected at most {MAX_INTEGER} either way")
    return raw


def _is_tuple(wanted: Any) -> bool:
    origin: Any = get_origin(wanted)
    return origin is tuple


def _tuple_hook(converter: Converter, wanted: Any) -> Any:
    """Return a hook that accepts only lists, not strings or maps.

    Without it, a string would be read as a tuple of its characters.
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
    """Return a finite number as a float; reject a bool."""
    if type(raw) not in (int, float):
        raise TypeError(f"expected a number, got {type(raw).__name__}")
    if not math.isfinite(raw):
        raise ValueError("expected a finite number")
    return float(raw)


def to_map(value: Any, as_type: Any) -> Any:
    """Return ``value`` as maps, lists and scalars."""
    return shared_converter().unstructure(value, unstructure_as=as_type)


def from_map(raw: Any, as_type: type[T] | Any) -> Result[Any, Findings]:
    """Decode typed data from maps, or return every fault with its place."""
    try:
        return Success(shared_converter().structure(raw, as_type))
    except BaseValidationError as error:
        return Failure(tuple(_finding(line) for line in transform_error(error)))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure((Finding("$", f"cannot be read ({error!r})"),))


def to_bytes(value: Any, as_type: Any) -> bytes:
    """Return ``value`` encoded as msgpack."""
    packed: bytes = msgpack.packb(to_map(value, as_type), use_bin_type=True)
    return packed


def from_bytes(payload: bytes, as_type: Any) -> Result[Any, Findings]:
    """Decode typed data from msgpack, or return the faults of malformed input."""
    if len(payload) > MAX_MESSAGE_BYTES:
        return Failure((Finding("$", f"is over {MAX_MESSAGE_BYTES} bytes long"),))
    try:
        raw = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return Failure((Finding("$", f"is not msgpack ({error})"),))
    return from_map(raw, as_type)


def _finding(line: str) -> Finding:
    """Convert a ``fault @ place`` message of cattrs to a finding."""
    fault, _, place = line.rpartition(" @ ")
    return Finding(place or "$", fault or line)
