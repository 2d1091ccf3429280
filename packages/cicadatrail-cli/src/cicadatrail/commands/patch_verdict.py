"""The ``patch verdict`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply


class PatchVerdictCommand(AdminCommand):
    """Command that prints the verdict of a patch."""

    name = "patch verdict"
    description = "Shows the first verdict of a patch that was already submitted."
    arguments: ClassVar[list[Argument]] = [
        argument("patch", description="Id of the patch."),
    ]

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Call instances until one knows the verdict."""
        from cicadatrail.utils.replies import reply_to_verdict

        read = await client.read_verdict(self.argument("patch"))
        return read.map(reply_to_verdict)
