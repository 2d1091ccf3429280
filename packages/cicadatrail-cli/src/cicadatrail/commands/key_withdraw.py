"""Withdraws a key."""

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


class KeyWithdrawCommand(ChangeCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraws a key for good; it stops working within seconds."
    arguments: ClassVar[list[Argument]] = [
        argument("key", description="Id of the key, as key list shows it."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import WithdrawKey

        return Success((WithdrawKey(self.argument("key")),))
