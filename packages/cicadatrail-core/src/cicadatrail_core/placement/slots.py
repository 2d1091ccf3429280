"""Team slots that one instance may use."""

from __future__ import annotations

from collections.abc import Mapping

from cicadatrail_core.placement.running_tasks import RunningTasks


class TeamSlots:
    """Number of tasks per team that may run through this instance."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Mapping[str, int] = {}

    def configure(self, counts: Mapping[str, int]) -> frozenset[str]:
        """Replace the counts; return the teams whose count changed."""
        old = self._counts
        self._counts = dict(counts)
        teams = old.keys() | counts.keys()
        return frozenset(
            team_id for team_id in teams if old.get(team_id) != counts.get(team_id)
        )

    def has_free(self, team_id: str, running: RunningTasks) -> bool:
        """Return whether one more task of the team may start."""
        return running.team_count(team_id) < self._counts.get(team_id, 0)
