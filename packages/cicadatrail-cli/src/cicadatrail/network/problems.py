"""Why a command could not be carried out, other than a refused patch."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail.utils.access import Address
from cicadatrail_core.utils.findings import Findings


@dataclass(frozen=True, slots=True)
class BadInput:
    """State what is wrong with what the operator gave."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class Unreachable:
    """State that no instance answered; ``findings`` has one for each."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class WrongToken:
    """State that an instance did not take the operators' token."""

    address: Address


@dataclass(frozen=True, slots=True)
class NoVerdict:
    """State that no instance knows a verdict of the patch."""

    patch_id: str


@dataclass(frozen=True, slots=True)
class WaitTimeout:
    """State what had not come about when the time limit ended."""

    fault: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """State that the operator broke the command off."""


Problem = BadInput | Unreachable | WrongToken | NoVerdict | WaitTimeout | Interrupted
