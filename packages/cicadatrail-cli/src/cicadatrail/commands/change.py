"""Base classes of the commands that change the configuration with a patch."""

from __future__ import annotations

import os
from abc import abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from cleo.helpers import option

from cicadatrail.commands.base import SHARED_OPTIONS, AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.patches import Operation, Patch, Refused, Verdict
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings

OPERATOR_VARIABLES = ("CICADATRAIL_OPERATOR", "USER", "LOGNAME")

WAIT_OPTIONS = (
    option("wait", description="Wait until each instance has reached the version."),
    option(
        "wait-limit-s",
        description="Maximum wait in seconds; when it expires, the exit code is 3.",
        flag=False,
        default="30",
    ),
)


def operator_name() -> str:
    """Return the name recorded as the operator of a patch, or ""."""
    names = (os.environ.get(variable, "") for variable in OPERATOR_VARIABLES)
    return next(filter(None, names), "")


class ChangeCommand(AdminCommand):
    """Command that builds a patch against the version in force and submits it.

    The patch is refused as stale if another patch is accepted after the version
    was read.
    """

    shared_options = (*WAIT_OPTIONS, *SHARED_OPTIONS)

    @abstractmethod
    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the operations that make the requested change."""

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Read the configuration, build a patch against its version and submit it."""
        from returns.result import Failure

        from cicadatrail.network.problems import BadInput

        read = await client.read_configuration()
        if isinstance(read, Failure):
            return read
        configuration = read.unwrap()
        built = self.build_operations(configuration)
        if isinstance(built, Failure):
            return Failure(BadInput(built.failure()))
        patch = self.make_patch(configuration.version, built.unwrap())
        return await self.submit(client, patch)

    def make_patch(
        self, base_version: int, operations: tuple[Operation, ...], patch_id: str = ""
    ) -> Patch:
        """Return a patch by this operator, with a new id unless one is given."""
        from cicadatrail_core.models.patches import Patch

        patch_id = patch_id or str(uuid4())
        return Patch(patch_id, base_version, operations, operator_name())

    async def submit(self, client: AdminClient, patch: Patch) -> Result[Reply, Problem]:
        """Submit the patch and, with ``--wait``, wait until its version is in force."""
        from returns.result import Failure

        from cicadatrail.network.problems import BadInput
        from cicadatrail.utils.options import OptionReader

        reader = OptionReader()
        limit_s = reader.number("--wait-limit-s", self.option("wait-limit-s"))
        if reader.findings:
            return Failure(BadInput(tuple(reader.findings)))
        self.write_note(f"patch {patch.patch_id} against version {patch.base_version}")
        submitted = await client.submit(patch)
        if isinstance(submitted, Failure):
            return submitted
        return await self._await_outcome(client, patch, submitted.unwrap(), limit_s)

    async def _await_outcome(
        self, client: AdminClient, patch: Patch, verdict: Verdict, limit_s: float
    ) -> Result[Reply, Problem]:
        from returns.result import Success

        from cicadatrail.utils.replies import reply_to_verdict
        from cicadatrail.utils.waiting import wait_for_verdict, wait_for_version
        from cicadatrail_core.models.patches import Accepted, Refused, UnknownVerdict

        if self.option("wait") and isinstance(verdict, UnknownVerdict):
            verdict = await wait_for_verdict(client, patch, verdict, limit_s)
        reply = self.extend_reply(reply_to_verdict(verdict), verdict)
        match verdict:
            case Refused(stale=True):
                return Success(
                    await _add_changes_since_base(client, patch, verdict, reply)
                )
            case Accepted(version=version) if self.option("wait"):
                rollout = await wait_for_version(client, version, limit_s, self.io)
                return Success(_add_rollout(reply, rollout))
        return Success(reply)

    def extend_reply(self, reply: Reply, verdict: Verdict) -> Reply:
        """Return the reply, extended by subclasses that have more to report."""
        return reply


class TargetCommand(ChangeCommand):
    """Command that applies one operation to the entry named by its only argument."""

    @abstractmethod
    def build_operation(self, target_id: str) -> Operation:
        """Return the operation on the entry with the id ``target_id``."""

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the single operation, which the instances validate on submission."""
        from returns.result import Success

        (argument,) = self.arguments
        return Success((self.build_operation(self.argument(argument.name)),))


async def _add_changes_since_base(
    client: AdminClient, patch: Patch, refused: Refused, reply: Reply
) -> Reply:
    """Add the patches accepted since the base version, with their operators."""
    history = (await client.read_history()).value_or(())
    known = {entry.patch_id: entry for entry in history}
    changes = [f"  changed since: patch {name}" for name in refused.changed_since]
    for index, patch_id in enumerate(refused.changed_since):
        if patch_id in known:
            entry = known[patch_id]
            changes[index] += f" (version {entry.version}, by {entry.operator or '?'})"
    return replace(reply, lines=(*reply.lines, *changes))


def _add_rollout(reply: Reply, rollout: Any) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode

    document = {
        **reply.document,
        "reached": sorted(rollout.reached),
        "missing": sorted(rollout.missing),
    }
    if not rollout.missing:
        line = f"in force at all {len(rollout.reached)} instances"
        return replace(reply, lines=(*reply.lines, line), document=document)
    line = "not yet confirmed at: " + ", ".join(sorted(rollout.missing))
    lines = (*reply.lines, line)
    return replace(reply, code=ExitCode.UNKNOWN, lines=lines, document=document)
