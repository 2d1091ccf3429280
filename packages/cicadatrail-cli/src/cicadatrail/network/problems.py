"""Problems that keep a command from completing, other than a refused patch."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail.utils.access import Address
from cicadatrail_core.utils.findings import Findings


@dataclass(frozen=True, slots=True)
class BadInput:
    """The operator's input is invalid."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No instance gave a usable response; ``findings`` says why for each."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class WrongToken:
    """An instance rejected the operators' token."""

    address: Address


@dataclass(frozen=True, slots=True)
class NoVerdict:
    """No instance knows the verdict of the patch."""

    patch_id: str


@dataclass(frozen=True, slots=True)
class WaitTimeout:
    """The time limit expired; ``fault`` names the condition that was not met."""

    fault: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The operator interrupted the command."""


Problem = BadInput | Unreachable | WrongToken | NoVerdict | WaitTimeout | Interrupted
