"""The ``job explain`` command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from collections.abc import Iterator

    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.jobs.explanation import (
        AdmissionForecast,
        ExpectedStart,
        Explanation,
        StepForecast,
    )
    from cicadatrail_core.utils.findings import Findings

FILE_LIMIT_BYTES = 16 * 1024 * 1024
"""Largest file that is sent; instances refuse less than that."""


class JobExplainCommand(AdminCommand):
    """Command that prints where a job would go now, and why, without sending it."""

    name = "job explain"
    description = "Explains where a job would go now, without sending it."
    arguments: ClassVar[list[Argument]] = [
        argument("file", description="Body of the submission; - for standard input."),
    ]
    options: ClassVar[list[Option]] = [
        option("queue", description="Name of the queue.", flag=False),
        option("team", description="Name of the team.", flag=False),
    ]

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Call instances until the leader returns the explanation."""
        from returns.result import Failure

        from cicadatrail.network.problems import BadInput

        read = _read_file(self.argument("file"))
        if isinstance(read, Failure):
            return Failure(BadInput(read.failure()))
        queue, team = self.option("queue") or "", self.option("team") or ""
        explained = await client.explain_job(read.unwrap(), queue, team)
        return explained.map(_reply)


def _read_file(name: str) -> Result[bytes, Findings]:
    """Return the body in a file or standard input, or what is wrong with it."""
    from returns.result import Failure, Success

    from cicadatrail_core.utils.findings import Finding

    try:
        if name == "-":
            body = sys.stdin.buffer.read(FILE_LIMIT_BYTES + 1)
        else:
            with Path(name).open("rb") as file:
                body = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as error:
        return Failure((Finding(name, f"cannot be read ({error})"),))
    if not body:
        return Failure((Finding(name, "is empty"),))
    if len(body) > FILE_LIMIT_BYTES:
        return Failure((Finding(name, f"is over {FILE_LIMIT_BYTES} bytes long"),))
    return Success(body)


def _reply(explanation: Explanation) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.jobs.explanation import Explanation
    from cicadatrail_core.utils import codec

    document = codec.to_map(explanation, Explanation)
    return Reply(ExitCode.DONE, tuple(_lines(explanation)), document)


def _lines(explanation: Explanation) -> Iterator[str]:
    from cicadatrail.utils.replies import format_table

    yield (
        f"queue {explanation.queue}, team {explanation.team or '-'}, pool"
        f" {explanation.pool}, leader epoch {explanation.epoch}"
    )
    yield _admission(explanation.admission)
    used, limit = explanation.team_used, explanation.team_limit
    yield (
        f"team: {used.cpu_millicores} of {limit.cpu_millicores or 'any'} millicores,"
        f" {used.memory_mib} of {limit.memory_mib or 'any'} MiB,"
        f" {used.accelerator_count} of {limit.accelerator_count or 'any'} accelerators"
    )
    if explanation.note:
        yield f"note: {explanation.note}"
    for step in explanation.steps:
        yield ""
        yield from _step(step)
        if step.turned_down:
            yield from format_table(
                ("TURNED DOWN BECAUSE", "WORKERS", "FIRST"),
                [(t.reason, t.count, " ".join(t.workers)) for t in step.turned_down],
            )


def _admission(admission: AdmissionForecast) -> str:
    verdict = "accepted" if admission.is_accepted else "refused"
    line = f"admission: {verdict}; {admission.reason}"
    if admission.retry_after_s:
        line += (
            f" (wait {admission.wait_s:.1f} s, limit {admission.limit_s:.1f} s,"
            f" again in {admission.retry_after_s:.1f} s)"
        )
    return line


def _step(step: StepForecast) -> Iterator[str]:
    yield (
        f"step {step.step}: {step.ahead_count} ready steps come before;"
        f" {step.able_count} of {step.considered_count} workers could run a subtask"
    )
    if step.start_count:
        more = " ..." if step.start_count > len(step.workers) else ""
        yield (
            f"  starts now: {step.start_count} of {step.count}, on"
            f" {' '.join(step.workers)}{more}"
        )
    if step.start_count == step.count:
        return
    yield f"  waits: {step.reason or 'unknown'}"
    if not step.is_within_team_limit:
        yield "  the team is at its limit"
    yield f"  next start: {_expected(step.expected)}"


def _expected(start: ExpectedStart | None) -> str:
    if start is None:
        return "not foreseen"
    late = "unknown" if start.late_s is None else f"{start.late_s:.1f} s"
    kept = "room is kept" if start.is_kept else "if nothing else takes the room"
    return (
        f"on {start.worker_id} in about {start.expected_s:.1f} s"
        f" ({start.early_s:.1f} s to {late}), {kept}"
    )
