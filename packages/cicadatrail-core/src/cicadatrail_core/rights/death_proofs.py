"""Proof that an incarnation is dead; its silence is none."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming


@dataclass(frozen=True, slots=True)
class _ListHistory:
    """Hold what is history of an incarnation, with times of the own clock."""

    instance_id: str
    since_s: float
    last_shown_s: float | None = None


class DeathProofs:
    """Collect what proves that incarnations are dead, with the time of proof.

    Proofs hold only while every instance closes its peer listener last, after
    it has stopped using its rights, and never shares the port.
    """

    __slots__ = ("_dead_since_s", "_list_histories", "_timing")

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._dead_since_s: dict[IncarnationId, float] = {}
        self._list_histories: dict[IncarnationId, _ListHistory] = {}

    def note_left(self, incarnation: IncarnationId, now_s: float) -> None:
        """Note that the incarnation's own leave record was folded."""
        self._dead_since_s.setdefault(incarnation, now_s)

    def note_refused(self, incarnation: IncarnationId, now_s: float) -> None:
        """Note that the incarnation's address refused a connection.

        A timeout, an unreachable network or a reset link is not a refusal.
        """
        self._dead_since_s.setdefault(incarnation, now_s)

    def note_answer(
        self, expected: IncarnationId, answered: IncarnationId, now_s: float
    ) -> None:
        """Note which incarnation answered at the address of the expected one."""
        if answered != expected:
            self._dead_since_s.setdefault(expected, now_s)

    def note_list(
        self,
        state: State,
        instance_ids: Collection[str],
        asked_s: float,
        answered_s: float,
    ) -> None:
        """Note one answer of the instance list, from asking to answering.

        An incarnation may have the instance id of an earlier one. So only
        answers that can't be older than its joining count, whether they show
        the instance or not. One must have shown it first, to this instance or,
        by its pulses, to itself.
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
        """Return who is proven dead, and when that was proven.

        Those that have left the roster are kept for as long as a member may
        still judge its support by a roster that names them.
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
        """Tell whether an answer can't be older than what happened before."""
        return asked_s - event_s > self._timing.list_wait_s
