"""The stored record of the turns that pools have had, for the leader's successor.

It is optional: a leader without it learns anew. It goes along with other records at
most once for each start and end of a turn.
"""

from __future__ import annotations

import logging
import math
from typing import Any

import msgpack

from cicadatrail_core.jobs.turn_forecast import TurnForecast, TurnRecord
from cicadatrail_core.jobs.turns import Turn
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.clocks import loop_now_s, unix_now_ms

logger = logging.getLogger("cicadatrail.holder")

TURNS_KEY = "turns"


class TurnRecords:
    """Store what a forecast has learned, and restore it."""

    def __init__(self, turns: TurnForecast) -> None:
        self._turns = turns
        self._stored_change_count = 0

    def collect(self) -> list[KeyedRecord]:
        """Return the record if a turn has started or ended since the last one."""
        if self._turns.change_count == self._stored_change_count:
            return []
        self._stored_change_count = self._turns.change_count
        record = self._turns.export(loop_now_s())
        fields = {
            "stored_unix_ms": unix_now_ms(),
            "active": record.active,
            "active_age_s": record.active_age_s,
            "gaps_s": record.gaps_s,
            "followers": record.followers,
            "turns": {
                pool: [turn.start_s, turn.length_s, turn.cores, turn.ramp_s]
                for pool, turn in record.turns.items()
            },
        }
        return [KeyedRecord(TURNS_KEY, msgpack.packb(fields))]

    def restore(self, value: bytes) -> None:
        """Go on from the stored record; one that can't be read is logged."""
        try:
            record = _decode(msgpack.unpackb(value))
        except Exception as error:
            # Bytes of another writer may fail to decode in any way.
            logger.warning(
                "holder: turns can't be read; learning anew.",
                extra={"key": TURNS_KEY, "reason": repr(error)},
            )
            return
        self._turns.restore(record, loop_now_s())


def _decode(fields: dict[str, Any]) -> TurnRecord:
    age_s = max(0.0, (unix_now_ms() - int(fields["stored_unix_ms"])) / 1000)
    turns = {
        str(pool): Turn(
            _finite(start_s) + age_s,
            _finite(length_s),
            _finite(cores),
            _finite(ramp_s),
        )
        for pool, (start_s, length_s, cores, ramp_s) in fields["turns"].items()
    }
    return TurnRecord(
        str(fields["active"]),
        _finite(fields["active_age_s"]) + age_s,
        tuple(map(_finite, fields["gaps_s"])),
        {str(a): str(b) for a, b in fields["followers"].items()},
        turns,
    )


def _finite(value: Any) -> float:
    """Return a number; raise ValueError for one that no plan can count with."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not finite: {value!r}")
    return number
