"""The ``team put`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail_core.models.patches import Operation
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class TeamPutCommand(ChangeCommand):
    """Command that creates or changes a team."""

    name = "team put"
    description = "Creates or changes a team; omitted options keep their values."
    arguments: ClassVar[list[Argument]] = [
        argument("team", description="Id of the team."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "share-weight",
            description="Weight of the team's share of a full fleet.",
            flag=False,
        ),
        option(
            "upper-limit-tasks",
            description="Maximum number of tasks running at once in the whole fleet.",
            flag=False,
        ),
    ]

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the operation that creates or changes the team.

        An omitted option keeps its value for an existing team and is a finding for
        a new one.
        """
        from returns.result import Failure, Success

        from cicadatrail.utils.options import OptionReader
        from cicadatrail_core.models.fleet import Team
        from cicadatrail_core.models.patches import PutTeam

        reader = OptionReader()
        team_id = self.argument("team")
        known = {team.team_id: team for team in configuration.teams}.get(team_id)
        weight, limit = self.option("share-weight"), self.option("upper-limit-tasks")
        if known and weight is None:
            weight = known.share_weight
        if known and limit is None:
            limit = known.upper_limit_tasks
        team = Team(
            team_id,
            reader.number("--share-weight", weight),
            reader.integer("--upper-limit-tasks", limit),
        )
        if reader.findings:
            return Failure(tuple(reader.findings))
        return Success((PutTeam(team),))
