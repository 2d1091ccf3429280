"""The ``move abort`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class MoveAbortCommand(TargetCommand):
    """Command that aborts a move."""

    name = "move abort"
    description = "Aborts a move that is still draining; the worker stays in its pool."
    arguments: ClassVar[list[Argument]] = [
        argument("move", description="Id of the move."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that aborts the move ``target_id``."""
        from cicadatrail_core.models.patches import AbortMove

        return AbortMove(target_id)
