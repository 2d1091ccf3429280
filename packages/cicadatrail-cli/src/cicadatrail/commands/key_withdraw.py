"""The ``key withdraw`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class KeyWithdrawCommand(TargetCommand):
    """Command that withdraws a key."""

    name = "key withdraw"
    description = "Withdraws a key permanently; it stops working within seconds."
    arguments: ClassVar[list[Argument]] = [
        argument("key", description="Id of the key, as shown by key list."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that withdraws the key ``target_id``."""
        from cicadatrail_core.models.patches import WithdrawKey

        return WithdrawKey(target_id)
