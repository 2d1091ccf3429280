"""Determines which workers, slots and partitions this incarnation may use."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cicadatrail_core.fold.availability import unavailable_workers
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.ledger import RightsLedger


@dataclass(frozen=True, slots=True)
class UsableRights:
    """The workers to place tasks on and the slots that may be used or lent."""

    workers: frozenset[str]
    own_slots: Mapping[str, int]


class Holdings:
    """Combine the rights ledger with other reasons not to use a worker.

    ``leaving_workers`` are the workers that reported that they are leaving,
    ``listed_leaving`` those that the platform lists as leaving; either is
    sufficient. ``marked_workers`` are transferred to a peer once they are idle.
    """

    __slots__ = (
        "_incarnation",
        "_usable",
        "_usable_by",
        "leaving_workers",
        "ledger",
        "listed_leaving",
        "marked_workers",
    )

    def __init__(self, incarnation: IncarnationId) -> None:
        self._incarnation = incarnation
        self.ledger = RightsLedger(incarnation)
        self.leaving_workers: set[str] = set()
        self.listed_leaving: set[str] = set()
        self.marked_workers: set[str] = set()
        self._usable: frozenset[str] = frozenset()
        self._usable_by: tuple[object, ...] = ()

    def held_workers(self, state: State) -> frozenset[str]:
        """Return the workers that this incarnation owns, whether in use or not."""
        return frozenset(
            worker_id
            for worker_id in state.worker_holders
            if self.ledger.may_place(state, worker_id)
        )

    def partitions(self, state: State) -> frozenset[int]:
        """Return the request id partitions that this incarnation may decide on."""
        return frozenset(
            partition
            for partition in state.partition_holders
            if self.ledger.may_check_ids(state, partition)
        )

    def usable(self, state: State, ejected: Collection[str] = ()) -> UsableRights:
        """Return the rights that may be used in this state.

        ``ejected`` names the workers that this instance ejected. It keeps
        owning and using them, so that it can probe them.
        """
        slots = {
            team_id: self.ledger.slot_count(state, team_id) for team_id in state.teams
        }
        return UsableRights(self._usable_workers(state, frozenset(ejected)), slots)

    def _usable_workers(self, state: State, ejected: frozenset[str]) -> frozenset[str]:
        """Return the workers to place tasks on, cached while inputs are unchanged.

        Most records change none of these mappings, and an unchanged mapping is
        the same object in the next state.
        """
        parts: tuple[object, ...] = (
            state.worker_holders,
            state.workers,
            state.pool_of,
            state.conditions,
            state.waves,
            state.moves,
        )
        others = (
            self.ledger.pending,
            ejected,
            frozenset(self.leaving_workers | self.listed_leaving),
            frozenset(self.marked_workers),
        )
        known = self._usable_by
        same = len(known) == len(parts) + len(others) and all(
            old is new for old, new in zip(known, parts, strict=False)
        )
        if same and known[len(parts) :] == others:
            return self._usable
        unavailable = frozenset().union(
            *(unavailable_workers(state, pool_id) for pool_id in state.pools)
        )
        in_service = self.held_workers(state) - (unavailable - ejected)
        left = in_service - self.leaving_workers - self.listed_leaving
        self._usable = left - self.marked_workers
        self._usable_by = (*parts, *others)
        return self._usable
