"""The ``pool remove`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class PoolRemoveCommand(TargetCommand):
    """Command that removes a pool."""

    name = "pool remove"
    description = "Removes a pool that has no worker and no service."
    arguments: ClassVar[list[Argument]] = [
        argument("pool", description="Id of the pool."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that removes the pool ``target_id``."""
        from cicadatrail_core.models.patches import RemovePool

        return RemovePool(target_id)
