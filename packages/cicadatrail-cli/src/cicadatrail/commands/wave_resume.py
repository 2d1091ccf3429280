"""The ``wave resume`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import TargetCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.patches import Operation


class WaveResumeCommand(TargetCommand):
    """Command that resumes a paused wave."""

    name = "wave resume"
    description = "Resumes a paused wave."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]

    def build_operation(self, target_id: str) -> Operation:
        """Return the operation that resumes the wave ``target_id``."""
        from cicadatrail_core.models.patches import ResumeWave

        return ResumeWave(target_id)
