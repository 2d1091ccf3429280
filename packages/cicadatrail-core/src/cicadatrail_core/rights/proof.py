"""Collects proof that incarnations are dead; silence alone is no proof."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming


@dataclass(frozen=True, slots=True)
class _ListHistory:
    """When the instance list showed an incarnation, in times of the local clock."""

    instance_id: str
    since_s: float
    last_shown_s: float | None = None


class DeathProofs:
    """Collect proofs that incarnations are dead, with the time of each proof.

    The proofs are valid only if every instance closes its peer listener last,
    after it has stopped using its rights, and never shares the port.
    """

    __slots__ = ("_dead_since_s", "_list_histories", "_timing")

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._dead_since_s: dict[IncarnationId, float] = {}
        self._list_histories: dict[IncarnationId, _ListHistory] = {}

    def note_left(self, incarnation: IncarnationId, now_s: float) -> None:
        """Record that the incarnation's own leave record was folded."""
        self._dead_since_s.setdefault(incarnation, now_s)

    def note_refused(self, incarnation: IncarnationId, now_s: float) -> None:
        """Record that the incarnation's address refused a connection.

        A timeout, an unreachable network or a reset link is not a refusal.
        """
        self._dead_since_s.setdefault(incarnation, now_s)

    def note_answer(
        self, expected: IncarnationId, answered: IncarnationId, now_s: float
    ) -> None:
        """Record which incarnation answered at the address of the expected one."""
        if answered != expected:
            self._dead_since_s.setdefault(expected, now_s)

    def note_list(
        self,
        state: State,
        instance_ids: Collection[str],
        asked_s: float,
        answered_s: float,
    ) -> None:
        """Record one answer of the instance list and when it was asked for.

        An incarnation may have the instance id of an earlier one, so an answer
        counts only if it can't be older than the join, whether it shows the
        instance or not. Absence is proof only if an earlier answer showed the
        instance, either to this instance or, as its heartbeats state, to the
        instance itself.
        """
        for member in state.roster.values():
            history = _ListHistory(member.instance_id, answered_s)
            history = self._list_histories.setdefault(member.incarnation, history)
            if member.listed and history.last_shown_s is None:
                listed = replace(history, last_shown_s=answered_s)
                self._list_histories[member.incarnation] = listed
        for incarnation, history in self._list_histories.items():
            if not self._is_fresh(asked_s, history.since_s):
                continue
            if history.instance_id in instance_ids:
                self._list_histories[incarnation] = replace(
                    history, last_shown_s=answered_s
                )
                continue
            if history.last_shown_s is not None and self._is_fresh(
                asked_s, history.last_shown_s
            ):
                self._dead_since_s.setdefault(incarnation, answered_s)

    def dead_since_s(self, state: State) -> Mapping[IncarnationId, float]:
        """Return the incarnations proven dead, with the time of each proof.

        Former members are kept for as long as a member may still evaluate its
        lease against a membership that includes them.
        """
        named = {*state.roster}
        for change in state.roster_changes:
            named.update(change.members)
        for incarnation in self._dead_since_s.keys() - named:
            del self._dead_since_s[incarnation]
        for incarnation in self._list_histories.keys() - named:
            del self._list_histories[incarnation]
        return self._dead_since_s

    def _is_fresh(self, asked_s: float, event_s: float) -> bool:
        """Return whether an answer can't be older than an event before it."""
        return asked_s - event_s > self._timing.list_wait_s
