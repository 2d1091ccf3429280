"""Values of any type, made from its hints."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from types import NoneType, UnionType
from typing import Any, NewType, Union, get_args, get_origin, get_type_hints


class Sampler:
    """Makes values of any type from its hints, the same ones each time.

    Every field gets a value of its own, and never None. ``enums`` holds the
    values of the enums that were met, by their place.
    """

    def __init__(self, place: str = "") -> None:
        self._place = place
        self._count = 0
        self.enums: dict[str, list[Any]] = {}

    def make(self, hint: Any, place: str = "") -> Any:
        place = place or self._place
        if isinstance(hint, NewType):
            return self.make(hint.__supertype__, place)
        origin, arguments = get_origin(hint), get_args(hint)
        if origin in (Union, UnionType):
            members = [member for member in arguments if member is not NoneType]
            return self.make(members[0], place)
        if origin is tuple:
            members = [member for member in arguments if member is not Ellipsis]
            return tuple(self.make(member, f"{place}[]") for member in members)
        if origin is not None and issubclass(origin, Mapping):
            key, value = arguments
            return {self.make(key, place): self.make(value, f"{place}[]")}
        if is_dataclass(hint):
            types = get_type_hints(hint)
            made = {
                item.name: self.make(types[item.name], f"{place}.{item.name}")
                for item in fields(hint)
            }
            return hint(**made)  # type: ignore[operator]
        if issubclass(hint, Enum):
            self.enums[place] = [member.value for member in hint]
            return next(iter(hint))
        return self._make_plain(hint)

    def _make_plain(self, as_type: type) -> Any:
        self._count += 1
        plain: dict[type, Any] = {
            bool: True,
            int: self._count,
            float: self._count + 0.5,
            str: f"text-{self._count}",
            bytes: bytes([self._count]),
        }
        return plain[as_type]


def sample(hint: Any) -> Any:
    return Sampler().make(hint)
