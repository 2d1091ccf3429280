"""The ``team remove`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class TeamRemoveCommand(TargetCommand):
    """Command that removes a team."""

    name = "team remove"
    description = "Removes a team and withdraws its keys."
    arguments: ClassVar[list[Argument]] = [
        argument("team", description="Id of the team."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that removes the team ``target_id``."""
        from cicadatrail_core.models.patches import RemoveTeam

        return RemoveTeam(target_id)
