"""Shares of the fleet used by teams, by dominant resource."""

from __future__ import annotations

from collections.abc import Mapping

from cicadatrail_core.models.fleet import Team
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

MIN_WEIGHT = 1e-6
"""Weight of a team without a configured weight; such a team comes last."""


class TeamShares:
    """Sum up what each team uses, on this instance and in the latest peer reports."""

    __slots__ = ("_own", "_peers", "_teams", "_total")

    def __init__(self) -> None:
        self._teams: Mapping[str, Team] = {}
        self._total = NO_RESOURCES
        self._own: dict[str, Resources] = {}
        self._peers: Mapping[str, Resources] = {}

    @property
    def own_usage(self) -> Mapping[str, Resources]:
        """Return what each team uses through this instance, for the peers' digests."""
        return self._own

    def configure(self, teams: Mapping[str, Team], total: Resources) -> None:
        """Set the teams' weights and the total capacity of the fleet."""
        self._teams = teams
        self._total = total

    def set_peer_usage(self, usage: Mapping[str, Resources]) -> None:
        """Replace what each team uses through all other instances combined."""
        self._peers = dict(usage)

    def change(self, team_id: str, before: Resources, after: Resources) -> None:
        """Record that a task's usage changed from ``before`` to ``after``."""
        own = self._own.get(team_id, NO_RESOURCES) - before + after
        if own == NO_RESOURCES:
            self._own.pop(team_id, None)
            return
        self._own[team_id] = own

    def used(self, team_id: str) -> Resources:
        """Return what a team uses through all instances."""
        own = self._own.get(team_id, NO_RESOURCES)
        peers = self._peers.get(team_id)
        return own if peers is None else own + peers

    def weighted_share(self, team_id: str) -> float:
        """Return the team's dominant share of the fleet, divided by its weight."""
        return self.weighted_share_of(team_id, self.used(team_id))

    def weighted_share_of(self, team_id: str, amount: Resources) -> float:
        """Return the weighted share that an amount would be for a team."""
        team = self._teams.get(team_id)
        weight = team.share_weight if team is not None else 0.0
        return amount.dominant_share(self._total) / max(weight, MIN_WEIGHT)
