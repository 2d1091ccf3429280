"""Proof that an incarnation is gone; its silence is none."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming


@dataclass(frozen=True, slots=True)
class _Known:
    """Hold what is known of an incarnation, with times of the own clock."""

    instance_id: str
    since_s: float
    shown_s: float | None = None


class GoneProofs:
    """Collect what proves that incarnations are gone, with the time of proof.

    Proofs hold only while every instance closes its peer listener last, after
    it has stopped using its rights, and never shares the port.
    """

    __slots__ = ("_gone_since_s", "_known", "_timing")

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._gone_since_s: dict[IncarnationId, float] = {}
        self._known: dict[IncarnationId, _Known] = {}

    def note_left(self, incarnation: IncarnationId, now_s: float) -> None:
        """Note that the incarnation's own leave record was folded."""
        self._gone_since_s.setdefault(incarnation, now_s)

    def note_refused(self, incarnation: IncarnationId, now_s: float) -> None:
        """Note that the incarnation's address refused a connection.

        A timeout, an unreachable network or a reset link is not a refusal.
        """
        self._gone_since_s.setdefault(incarnation, now_s)

    def note_answer(
        self, expected: IncarnationId, answered: IncarnationId, now_s: float
    ) -> None:
        """Note which incarnation answered at the address of the expected one."""
        if answered != expected:
            self._gone_since_s.setdefault(expected, now_s)

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
            known = _Known(member.instance_id, answered_s)
            known = self._known.setdefault(member.incarnation, known)
            if member.listed and known.shown_s is None:
                listed = replace(known, shown_s=answered_s)
                self._known[member.incarnation] = listed
        for incarnation, known in self._known.items():
            if not self._is_fresh(asked_s, known.since_s):
                continue
            if known.instance_id in instance_ids:
                self._known[incarnation] = replace(known, shown_s=answered_s)
                continue
            if known.shown_s is not None and self._is_fresh(asked_s, known.shown_s):
                self._gone_since_s.setdefault(incarnation, answered_s)

    def gone_since_s(self, state: State) -> Mapping[IncarnationId, float]:
        """Return who is proven gone, and when that was proven.

        Those that have left the roster are kept for as long as a member may
        still judge its support by a roster that names them.
        """
        named = {*state.roster}
        for change in state.roster_changes:
            named.update(change.members)
        for incarnation in self._gone_since_s.keys() - named:
            del self._gone_since_s[incarnation]
        for incarnation in self._known.keys() - named:
            del self._known[incarnation]
        return self._gone_since_s

    def _is_fresh(self, asked_s: float, event_s: float) -> bool:
        """Tell whether an answer can't be older than what happened before."""
        return asked_s - event_s > self._timing.list_wait_s
