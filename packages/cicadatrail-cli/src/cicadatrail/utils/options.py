"""Parsing of option values, with a finding for each invalid one."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any, TypeVar

from cicadatrail_core.utils.findings import Finding

E = TypeVar("E", bound=Enum)


class OptionReader:
    """Parser of option values that reports all invalid ones together.

    An invalid value adds a finding and is replaced by a valid placeholder.
    """

    __slots__ = ("findings",)

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def number(self, place: str, text: Any, minimum: float = 0.0) -> float:
        """Return ``text`` as a finite number of at least ``minimum``."""
        try:
            value = float(text)
        except (TypeError, ValueError):
            value = math.nan
        if math.isfinite(value) and value >= minimum:
            return value
        self.add(place, f"must be a number of at least {minimum:g}, not {text!r}")
        return minimum

    def integer(self, place: str, text: Any, minimum: int = 0) -> int:
        """Return ``text`` as an integer of at least ``minimum``."""
        if str(text).isdecimal() and str(text).isascii() and len(str(text)) < 19:
            value = int(text)
            if value >= minimum:
                return value
        self.add(place, f"must be an integer of at least {minimum}, not {text!r}")
        return minimum

    def choice(self, place: str, text: Any, choices: type[E]) -> E:
        """Return the member of ``choices`` whose value is ``text``."""
        for member in choices:
            if member.value == text:
                return member
        names = ", ".join(member.value for member in choices)
        self.add(place, f"must be one of {names}, not {text!r}")
        return next(iter(choices))

    def add(self, place: str, fault: str) -> None:
        """Add a finding about the option or argument ``place``."""
        self.findings.append(Finding(place, fault))
