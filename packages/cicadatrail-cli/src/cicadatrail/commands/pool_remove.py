"""Removes a pool."""

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


class PoolRemoveCommand(ChangeCommand):
    """Removes a pool."""

    name = "pool remove"
    description = "Removes a pool that has no worker and no service."
    arguments: ClassVar[list[Argument]] = [
        argument("pool", description="Id of the pool."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import RemovePool

        return Success((RemovePool(self.argument("pool")),))
