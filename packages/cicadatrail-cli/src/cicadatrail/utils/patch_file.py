"""Patch files: TOML with ``[[operations]]`` and an optional id and base version."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args

from returns.result import Failure, Result, Success

from cicadatrail_core.models.patches import Operation
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

FILE_LIMIT_BYTES = 4 * 1024 * 1024
"""Largest patch file that is accepted, in bytes."""

OPERATION_TYPES = frozenset(
    codec.kebab_case(member.__name__) for member in get_args(Operation)
)


@dataclass(frozen=True, slots=True)
class PatchFile:
    """Contents of a patch file; missing values are filled in on submission.

    With a ``patch_id``, applying the file again returns the first verdict.
    """

    operations: tuple[Operation, ...]
    patch_id: str | None = None
    base_version: int | None = None


def read_patch_file(path: Path) -> Result[PatchFile, Findings]:
    """Return the patch file at ``path``, or a finding for each fault in it.

    Never raise, whatever the file contains.
    """
    try:
        with path.open("rb") as file:
            content = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as error:
        return Failure((Finding(str(path), f"cannot be read ({error})"),))
    if len(content) > FILE_LIMIT_BYTES:
        return Failure((Finding(str(path), f"is over {FILE_LIMIT_BYTES} bytes long"),))
    return parse_patch_file(content, str(path))


def parse_patch_file(content: bytes, file_name: str) -> Result[PatchFile, Findings]:
    """Return the patch file in ``content``, or a finding for each fault in it."""
    try:
        raw = tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        return Failure((Finding(file_name, f"is not valid TOML ({error})"),))
    findings: list[Finding] = []
    operations = raw.pop("operations", ())
    read_header = codec.from_map({**raw, "operations": ()}, PatchFile)
    findings += read_header.swap().value_or(())
    if not isinstance(operations, list) or not operations:
        findings.append(Finding("operations", "must be a list of one or more tables"))
        operations = ()
    read = [_read_operation(entry, index) for index, entry in enumerate(operations)]
    for result in read:
        findings += result.swap().value_or(())
    if findings:
        return Failure(
            tuple(_prefix_file_name(finding, file_name) for finding in findings)
        )
    header: PatchFile = read_header.unwrap()
    parsed = tuple(result.unwrap() for result in read)
    return Success(PatchFile(parsed, header.patch_id, header.base_version))


def _read_operation(raw: Any, index: int) -> Result[Any, Findings]:
    place = f"operations[{index}]"
    if not isinstance(raw, dict):
        return Failure((Finding(place, "must be a table"),))
    operation_type = raw.get("type")
    if not isinstance(operation_type, str) or operation_type not in OPERATION_TYPES:
        fault = "must be one of " + ", ".join(sorted(OPERATION_TYPES))
        return Failure((Finding(f"{place}.type", fault),))
    read: Result[Any, Findings] = codec.from_map(raw, Operation)
    return read.alt(
        lambda findings: tuple(
            Finding(finding.place.replace("$", place, 1), finding.fault)
            for finding in findings
        )
    )


def _prefix_file_name(finding: Finding, file_name: str) -> Finding:
    place = finding.place.removeprefix("$").removeprefix(".")
    return Finding(f"{file_name}: {place}" if place else file_name, finding.fault)
