"""Decides when the rights of a retired incarnation may be freed."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from cicadatrail_core.models.records import FreeRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.rights.quorum import loans_settled, quorum_met
from cicadatrail_core.rights.timing import RightsTiming


class Reclaimer:
    """Track retired incarnations and propose to free their rights when safe.

    An incarnation can no longer use its rights once ``support_wait_s`` has
    passed since its retire record was read here and the quorum refuses it
    leases, or since it was proven dead (its loans may last that long). Its
    rights are freed once the leases of its tasks have expired as well.
    """

    __slots__ = (
        "_disabled_s",
        "_incarnation",
        "_proposed_s",
        "_retire_read_s",
        "_timing",
    )

    def __init__(self, incarnation: IncarnationId, timing: RightsTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._retire_read_s: dict[IncarnationId, float] = {}
        self._disabled_s: dict[IncarnationId, float] = {}
        self._proposed_s: dict[tuple[IncarnationId, bool], float] = {}

    def records_due(
        self,
        state: State,
        now_s: float,
        dead_since_s: Mapping[IncarnationId, float],
    ) -> tuple[FreeRecord, ...]:
        """Return the free records to append now, repeating any not yet folded.

        ``dead_since_s`` gives the time at which this instance obtained proof
        of an incarnation's death. Call this after each fold and about once a
        second.
        """
        retired = [
            member
            for member in state.roster.values()
            if member.retire_offset is not None
        ]
        self._forget_others({member.incarnation for member in retired})
        records = []
        for member in retired:
            record = self._record_due(state, member, now_s, dead_since_s)
            if record is not None:
                records.append(record)
        return tuple(records)

    def _record_due(
        self,
        state: State,
        member: Member,
        now_s: float,
        dead_since_s: Mapping[IncarnationId, float],
    ) -> FreeRecord | None:
        incarnation = member.incarnation
        if incarnation == self._incarnation:
            return None
        self._retire_read_s.setdefault(incarnation, now_s)
        self._note_disabled(state, incarnation, now_s, dead_since_s)
        disabled_s = self._disabled_s.get(incarnation, math.inf)
        wait_s = self._timing.support_wait_s
        tasks_ended = now_s >= disabled_s + self._timing.task_wait_s
        if tasks_ended:
            wait_s += self._timing.task_wait_s
        dead = _dead_for(dead_since_s, wait_s, now_s)
        if tasks_ended and _would_free(state, member, dead):
            return self._propose(
                FreeRecord(incarnation, self._incarnation, dead), now_s
            )
        if now_s >= disabled_s and _would_free_partitions(state, member, dead):
            record = FreeRecord(incarnation, self._incarnation, dead, True)
            return self._propose(record, now_s)
        return None

    def _propose(self, record: FreeRecord, now_s: float) -> FreeRecord | None:
        """Return the record, or None if it was proposed within ``support_s``."""
        key = (record.incarnation, record.partitions_only)
        if now_s < self._proposed_s.get(key, -math.inf) + self._timing.support_s:
            return None
        self._proposed_s[key] = now_s
        return record

    def _note_disabled(
        self,
        state: State,
        incarnation: IncarnationId,
        now_s: float,
        dead_since_s: Mapping[IncarnationId, float],
    ) -> None:
        """Record when the incarnation was first known to be unable to use rights."""
        if incarnation in self._disabled_s:
            return
        wait_s = self._timing.support_wait_s
        dead = _dead_for(dead_since_s, wait_s, now_s)
        if (
            incarnation not in dead
            and now_s < self._retire_read_s[incarnation] + wait_s
        ):
            return
        if quorum_met(state, incarnation, dead):
            self._disabled_s[incarnation] = now_s

    def _forget_others(self, retired: Collection[IncarnationId]) -> None:
        for times_s in (self._retire_read_s, self._disabled_s):
            for incarnation in [key for key in times_s if key not in retired]:
                del times_s[incarnation]
        for key in [key for key in self._proposed_s if key[0] not in retired]:
            del self._proposed_s[key]


def _dead_for(
    dead_since_s: Mapping[IncarnationId, float], wait_s: float, now_s: float
) -> tuple[IncarnationId, ...]:
    return tuple(
        sorted(
            key for key, since_s in dead_since_s.items() if now_s >= since_s + wait_s
        )
    )


def _would_free(state: State, member: Member, dead: Collection[IncarnationId]) -> bool:
    """Return whether folding a free record would change the state."""
    if not quorum_met(state, member.incarnation, dead):
        return False
    if member.freed_offset is None:
        return True
    return loans_settled(state, member.incarnation, dead)


def _would_free_partitions(
    state: State, member: Member, dead: Collection[IncarnationId]
) -> bool:
    """Return whether a partitions-only free record would free any partition."""
    if member.incarnation not in state.partition_holders.values():
        return False
    return quorum_met(state, member.incarnation, dead)
