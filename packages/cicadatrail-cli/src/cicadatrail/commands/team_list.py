"""The ``team list`` command."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cicadatrail.commands.base import ListCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.status import ConfigurationView


class TeamListCommand(ListCommand):
    """Command that lists the teams."""

    name = "team list"
    description = "Lists the teams with their shares and upper limits."
    field_name = "teams"
    header = ("TEAM", "SHARE WEIGHT", "UPPER LIMIT (TASKS)")

    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Yield a row for each team."""
        for team in configuration.teams:
            yield team.team_id, f"{team.share_weight:g}", team.upper_limit_tasks
