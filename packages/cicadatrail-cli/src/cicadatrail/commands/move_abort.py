"""Aborts a move."""

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


class MoveAbortCommand(ChangeCommand):
    """Aborts a move."""

    name = "move abort"
    description = "Aborts a move that is still draining; the worker stays."
    arguments: ClassVar[list[Argument]] = [
        argument("move", description="Id of the move."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import AbortMove

        return Success((AbortMove(self.argument("move")),))
