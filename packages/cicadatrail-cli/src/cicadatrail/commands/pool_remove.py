"""Removes a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class PoolRemoveCommand(TargetCommand):
    """Removes a pool."""

    name = "pool remove"
    description = "Removes a pool that has no worker and no service."
    arguments: ClassVar[list[Argument]] = [
        argument("pool", description="Id of the pool."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation on the entry that was named."""
        from cicadatrail_core.models.patches import RemovePool

        return RemovePool(target_id)
