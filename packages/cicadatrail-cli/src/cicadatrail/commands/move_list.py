"""The ``move list`` command."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cicadatrail.commands.base import ListCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.status import ConfigurationView


class MoveListCommand(ListCommand):
    """Command that lists the moves between pools."""

    name = "move list"
    description = "Lists the moves between pools and the status of each."
    field_name = "moves"
    header = ("MOVE", "WORKER", "FROM", "TO", "STATUS")

    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Yield a row for each move."""
        for move in configuration.moves:
            pools = (move.from_pool_id, move.to_pool_id)
            yield move.move_id, move.worker_id, *pools, move.status.value
