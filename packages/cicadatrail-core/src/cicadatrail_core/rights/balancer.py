"""Caches the plan of claims, releases and transfers until its inputs change."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.fold.holdings import obsolete_rights
from cicadatrail_core.models.records import TransferRecord
from cicadatrail_core.models.rights import IncarnationId, Right
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.balance import fair_claim, surplus


@dataclass(frozen=True, slots=True)
class BalancePlan:
    """The claims, releases and transfers that a member should make in one state."""

    claims: tuple[Right, ...]
    obsolete: tuple[Right, ...]
    transfers: tuple[TransferRecord, ...]


class Balancer:
    """Cache the plan of one incarnation while only heartbeats change the state.

    Planning examines every right, which takes milliseconds in a large fleet.
    The fold keeps the identity of each mapping that a record didn't change, so
    unchanged inputs are detected by identity.
    """

    __slots__ = ("_incarnation", "_inputs", "_members", "_plan")

    def __init__(self, incarnation: IncarnationId) -> None:
        self._incarnation = incarnation
        self._inputs: tuple[object, ...] = ()
        self._members: tuple[object, ...] = ()
        self._plan = BalancePlan((), (), ())

    def plan(self, state: State) -> BalancePlan:
        """Return the plan for ``state``, cached while the inputs are unchanged."""
        inputs = (
            state.workers,
            state.pool_of,
            state.teams,
            state.worker_holders,
            state.slots,
            state.partition_holders,
        )
        members = self._members_of(state)
        if self._is_same(inputs) and members == self._members:
            return self._plan
        self._inputs = inputs
        self._members = members
        self._plan = BalancePlan(
            claims=fair_claim(state, self._incarnation),
            obsolete=obsolete_rights(state, self._incarnation),
            transfers=surplus(state, self._incarnation),
        )
        return self._plan

    def _is_same(self, inputs: tuple[object, ...]) -> bool:
        """Compare by identity; the stored references prevent reuse of an identity."""
        if len(inputs) != len(self._inputs):
            return False
        pairs = zip(inputs, self._inputs, strict=True)
        return all(new is old for new, old in pairs)

    def _members_of(self, state: State) -> tuple[object, ...]:
        own = state.roster.get(self._incarnation)
        live = tuple(
            sorted(
                (member.incarnation, member.place.region)
                for member in state.roster.values()
                if member.retire_offset is None
            )
        )
        return (None if own is None else own.rights_sequence, live)
