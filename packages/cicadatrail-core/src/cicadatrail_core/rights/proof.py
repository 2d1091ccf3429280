"""Proof that an incarnation is gone; its silence is none."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.rights.timing import RightsTiming


class GoneProofs:
    """Collect what proves that incarnations are gone, with the time of proof.

    Proofs hold only while every instance closes its peer listener last, after
    it has stopped using its rights, and never shares the port.
    """

    __slots__ = ("_absent_s", "_gone_since_s", "_shown_s", "_timing")

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._gone_since_s: dict[IncarnationId, float] = {}
        self._shown_s: dict[str, float] = {}
        self._absent_s: dict[str, float] = {}

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
        self, instance_ids: Collection[str], asked_s: float, answered_s: float
    ) -> None:
        """Note one answer of the instance list, from asking to answering."""
        for instance_id in instance_ids:
            self._shown_s[instance_id] = answered_s
            self._absent_s.pop(instance_id, None)
        for instance_id in self._shown_s.keys() - set(instance_ids):
            self._absent_s[instance_id] = asked_s

    def gone_since_s(self, state: State, now_s: float) -> Mapping[IncarnationId, float]:
        """Return the members that are proven gone and when that was proven."""
        for member in state.roster.values():
            if self._is_unlisted(member.instance_id):
                self._gone_since_s.setdefault(member.incarnation, now_s)
        for incarnation in self._gone_since_s.keys() - state.roster.keys():
            del self._gone_since_s[incarnation]
        self._forget_absent({m.instance_id for m in state.roster.values()})
        return self._gone_since_s

    def _is_unlisted(self, instance_id: str) -> bool:
        """Tell whether an answer too young to lag behind left it out."""
        asked_s = self._absent_s.get(instance_id)
        if asked_s is None:
            return False
        return asked_s - self._shown_s[instance_id] > self._timing.list_lag_s

    def _forget_absent(self, member_ids: Collection[str]) -> None:
        for instance_id in self._absent_s.keys() - set(member_ids):
            del self._absent_s[instance_id]
            del self._shown_s[instance_id]
