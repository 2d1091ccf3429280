"""Pauses a wave."""

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


class WavePauseCommand(ChangeCommand):
    """Pauses a wave."""

    name = "wave pause"
    description = "Pauses a wave: no further drain starts."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]

    def plan(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Success

        from cicadatrail_core.models.patches import PauseWave

        return Success((PauseWave(self.argument("wave")),))
