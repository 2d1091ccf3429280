"""The ``wave list`` command."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cicadatrail.commands.base import ListCommand

if TYPE_CHECKING:
    from cicadatrail_core.models.status import ConfigurationView


class WaveListCommand(ListCommand):
    """Command that lists the maintenance waves."""

    name = "wave list"
    description = "Lists the maintenance waves and the status of each."
    field_name = "waves"
    header = ("WAVE", "ACTION", "STATUS", "DONE", "WORKERS", "PAUSE REASON")

    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Yield a row for each wave."""
        from cicadatrail_core.models.maintenance import StepStatus

        for progress in configuration.waves:
            wave = progress.wave
            done = sum(step is StepStatus.DONE for _, step in progress.steps)
            counts = (done, len(progress.steps))
            status = progress.status.value
            reason = progress.pause_reason
            yield wave.wave_id, wave.action.value, status, *counts, reason
