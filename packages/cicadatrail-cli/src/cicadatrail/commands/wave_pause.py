"""The ``wave pause`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class WavePauseCommand(TargetCommand):
    """Command that pauses a wave."""

    name = "wave pause"
    description = "Pauses a wave: no further drains start."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that pauses the wave ``target_id``."""
        from cicadatrail_core.models.patches import PauseWave

        return PauseWave(target_id)
