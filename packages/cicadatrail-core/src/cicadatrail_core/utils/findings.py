"""Faults in input, collected with their places and reported together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault and its place in the input, such as ``operations[2].team_id``."""

    place: str
    fault: str

    def __str__(self) -> str:
        return f"{self.place}: {self.fault}"


Findings = tuple[Finding, ...]
