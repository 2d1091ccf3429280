"""The ``key list`` command."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cicadatrail.commands.base import ListCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.status import ConfigurationView


class KeyListCommand(ListCommand):
    """Command that lists the keys without their hashes."""

    name = "key list"
    description = "Lists the keys by team; no hash is shown."
    field_name = "keys"
    header = ("KEY", "TEAM", "STATE")

    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Yield a row for each key."""
        for key in configuration.keys:
            yield key.key_id, key.team_id, "withdrawn" if key.withdrawn else "granted"
