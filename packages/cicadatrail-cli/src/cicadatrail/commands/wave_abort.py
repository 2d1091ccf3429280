"""The ``wave abort`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class WaveAbortCommand(TargetCommand):
    """Command that aborts a wave."""

    name = "wave abort"
    description = "Aborts a wave; workers already started are finished."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that aborts the wave ``target_id``."""
        from cicadatrail_core.models.patches import AbortWave

        return AbortWave(target_id)
