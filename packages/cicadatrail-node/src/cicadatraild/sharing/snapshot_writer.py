"""Writes snapshots into the log before its records expire."""

from __future__ import annotations

import asyncio
import logging

from cicadatrail_core.fold.snapshots import is_due, snapshot_records
from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.replica")

INTERVAL_S = 1.0
"""Time between two checks whether a snapshot is due."""

TURN_S = 5.0
"""Time that each member waits for every member before it to write."""


class SnapshotWriter:
    """Write a snapshot when one is due, unless another member does.

    Members take turns in the order of their names. Concurrent snapshots are
    harmless, because each is a function of its offset.
    """

    __slots__ = ("_appender", "_due_since_s", "_incarnation", "_replica")

    def __init__(
        self, incarnation: IncarnationId, replica: Replica, appender: Appender
    ) -> None:
        self._incarnation = incarnation
        self._replica = replica
        self._appender = appender
        self._due_since_s: float | None = None

    async def run(self) -> None:
        """Write snapshots until cancelled."""
        while True:
            if self._is_turn():
                self._write()
            await asyncio.sleep(INTERVAL_S)

    def _is_turn(self) -> bool:
        state = self._replica.state
        if not is_due(state):
            self._due_since_s = None
            return False
        now_s = asyncio.get_running_loop().time()
        if self._due_since_s is None:
            self._due_since_s = now_s
        names = sorted(state.roster)
        if self._incarnation not in names or self._appender.waiting_count:
            return False
        turn_s = names.index(self._incarnation) * TURN_S
        return now_s - self._due_since_s >= turn_s

    def _write(self) -> None:
        state = self._replica.state
        logger.info("replica: writing a snapshot at offset %d.", state.next_offset)
        for record in snapshot_records(state):
            self._appender.add(record)
        # Restarts the turn, so that it recurs only if this snapshot isn't folded.
        self._due_since_s = asyncio.get_running_loop().time()
