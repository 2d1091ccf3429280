"""Removes a team."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail_core.models.patches import Operation
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class TeamRemoveCommand(ChangeCommand):
    """Removes a team."""

    name = "team remove"
    description = "Removes a team and withdraws its keys."
    arguments: ClassVar[list[Argument]] = [
        argument("team", description="Id of the team."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import RemoveTeam

        return Success((RemoveTeam(self.argument("team")),))
