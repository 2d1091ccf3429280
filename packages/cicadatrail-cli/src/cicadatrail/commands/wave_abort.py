"""Aborts a wave."""

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


class WaveAbortCommand(ChangeCommand):
    """Aborts a wave."""

    name = "wave abort"
    description = "Aborts a wave; workers already begun are finished."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import AbortWave

        return Success((AbortWave(self.argument("wave")),))
