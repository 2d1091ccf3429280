"""Replies of commands: text lines and a document for JSON output."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from cicadatrail.network.problems import (
    BadInput,
    Interrupted,
    NoVerdict,
    Problem,
    Unreachable,
    WaitTimeout,
    WrongToken,
)
from cicadatrail.utils.access import TOKEN_VARIABLE
from cicadatrail.utils.exit_codes import ExitCode
from cicadatrail_core.models.patches import Accepted, Refused, UnknownVerdict, Verdict
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

COLUMN_GAP = "  "


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of a command; ``document`` can be serialized as JSON."""

    code: ExitCode
    lines: tuple[str, ...]
    document: Any


def reply_to_problem(problem: Problem) -> Reply:
    """Return the reply that reports ``problem``."""
    match problem:
        case BadInput(findings):
            return _problem_reply(ExitCode.BAD_INPUT, "bad input:", findings)
        case WrongToken(address):
            fault = f"the token in {TOKEN_VARIABLE} was rejected"
            finding = Finding(str(address), fault)
            return _problem_reply(ExitCode.BAD_INPUT, "bad input:", (finding,))
        case Unreachable(findings):
            return _problem_reply(ExitCode.UNKNOWN, "no instance answered:", findings)
        case NoVerdict(patch_id):
            finding = Finding(patch_id, "no instance knows the verdict of this patch")
            return _problem_reply(ExitCode.UNKNOWN, "unknown:", (finding,))
        case WaitTimeout(fault):
            finding = Finding("--wait-limit-s", fault)
            return _problem_reply(ExitCode.UNKNOWN, "time limit reached:", (finding,))
        case Interrupted():
            finding = Finding("interrupt", "a submitted patch may have been applied")
            return _problem_reply(ExitCode.UNKNOWN, "command interrupted:", (finding,))


def reply_to_verdict(verdict: Verdict) -> Reply:
    """Return the reply that reports ``verdict``."""
    document = {"verdict": codec.to_map(verdict, Verdict)}
    match verdict:
        case Accepted(patch_id, version, offset):
            line = f"accepted: patch {patch_id} is version {version} (offset {offset})"
            return Reply(ExitCode.DONE, (line,), document)
        case Refused(patch_id, current_version, findings, stale):
            word = "refused as stale" if stale else "refused"
            line = f"{word}: patch {patch_id}; version {current_version} is in force"
            lines = (line, *(f"  {finding}" for finding in findings))
            return Reply(ExitCode.REFUSED, lines, document)
        case UnknownVerdict(patch_id, advice):
            line = f"unknown: patch {patch_id} may have been applied: {advice}"
            hint = f"ask again: cicadatrail patch verdict {patch_id}"
            return Reply(ExitCode.UNKNOWN, (line, hint), document)


def add_id(reply: Reply, kind: str, new_id: str) -> Reply:
    """Return the reply with the id of the ``kind`` that the command created."""
    document = {**reply.document, f"{kind}_id": new_id}
    return replace(reply, lines=(*reply.lines, f"{kind} {new_id}"), document=document)


def _problem_reply(code: ExitCode, head: str, findings: Findings) -> Reply:
    lines = (head, *(f"  {finding}" for finding in findings))
    document = {"findings": codec.to_map(findings, Findings)}
    return Reply(code, lines, document)


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> tuple[str, ...]:
    """Return the lines of a table with columns as wide as their widest cells."""
    cells = [tuple(header), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return tuple(COLUMN_GAP.join(map(str.ljust, row, widths)).rstrip() for row in cells)


def printable(text: str) -> str:
    """Return ``text`` with control characters replaced, to protect the terminal."""
    return "".join(character if character.isprintable() else "?" for character in text)
