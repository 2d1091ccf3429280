"""Requests of the operators beside the configuration: waves and evacuations."""

from __future__ import annotations

import logging
from collections.abc import Callable, Set

from cicadatrail_core.jobs.models import Wave
from cicadatraild.platform.evacuations import decode_evacuation
from cicadatraild.platform.store import (
    EVACUATION_KEY_PREFIX,
    WAVE_KEY_PREFIX,
    KeyedRecord,
)
from cicadatraild.platform.waves import decode_wave

logger = logging.getLogger("cicadatrail.instance")


class OperatorRequests:
    """Keep the waves and the evacuated data centres that the records request.

    ``on_evacuation`` is called after each change of the evacuated data centres.
    """

    def __init__(self, on_evacuation: Callable[[], None]) -> None:
        self._on_evacuation = on_evacuation
        self._waves: dict[str, Wave] = {}
        # Data centres by the keys of their records.
        self._evacuations: dict[str, str] = {}

    def waves(self) -> list[Wave]:
        """Return the waves that were requested."""
        return list(self._waves.values())

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres in which nothing may start."""
        return frozenset(self._evacuations.values())

    def apply(self, record: KeyedRecord) -> None:
        """Apply a record; one of another kind is ignored."""
        if record.key.startswith(EVACUATION_KEY_PREFIX):
            self._apply_evacuation(record)
        elif record.key.startswith(WAVE_KEY_PREFIX) and record.value is not None:
            wave = decode_wave(record.value)
            if wave is not None:
                logger.info("instance: wave received.", extra={"wave": wave.number})
                self._waves[record.key] = wave

    def keep(self, keys: Set[str]) -> None:
        """End the evacuations whose records are not among all existing ``keys``."""
        for key in self._evacuations.keys() - keys:
            self._end_evacuation(key)

    def _apply_evacuation(self, record: KeyedRecord) -> None:
        name = decode_evacuation(record)
        if name is None:
            return
        if not record.value:
            self._end_evacuation(record.key)
        elif record.key not in self._evacuations:
            self._evacuations[record.key] = name
            logger.info(
                "instance: evacuation requested.",
                extra={"key": record.key, "data_centre": name},
            )
            self._on_evacuation()

    def _end_evacuation(self, key: str) -> None:
        name = self._evacuations.pop(key, None)
        if name is None:
            return
        logger.info(
            "instance: evacuation taken back.", extra={"key": key, "data_centre": name}
        )
        self._on_evacuation()
