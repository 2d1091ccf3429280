"""A naive version of membership and rights: obvious, slow, from the brief."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cicadatrail_core.models import records as rec
from cicadatrail_core.models.rights import (
    PARTITION_COUNT,
    PartitionRight,
    Right,
    SlotRight,
    WorkerRight,
)


@dataclass
class NaiveMember:
    region: str
    joined: int
    folded: int
    retired: int | None = None
    acks: set[str] = field(default_factory=set)
    freed: bool = False
    sequence: int = 0


class NaiveRights:
    """Hold a list with one entry for each single slot, worker and partition."""

    def __init__(self) -> None:
        self.limits: dict[str, int] = {}
        self.workers: set[str] = set()
        self.members: dict[str, NaiveMember] = {}
        self.owned: list[tuple[str, Any]] = []
        self.rosters: list[tuple[int, str, frozenset[str]]] = []

    def fold(self, offset: int, record: Any) -> None:
        match record:
            case rec.JoinRecord(name) if name not in self.members:
                region = record.place.region
                self.members[name] = NaiveMember(region, offset, offset)
                self._note_roster(offset, region)
            case rec.PulseRecord(name) if self._live(name):
                member = self.members[name]
                folded = min(record.folded_offset, offset)
                member.folded = max(member.folded, folded)
            case rec.LeaveRecord(name) if name in self.members:
                self._remove(offset, name)
            case rec.RetireRecord(name) if self._live(name):
                self.members[name].retired = offset
            case rec.RetireAckRecord(name) if self._retired(name):
                self.members[name].acks.add(record.supporter)
            case rec.FreeRecord(name) if self._retired(name):
                self._free(offset, record)
            case rec.ClaimRecord(name) if self._live(name):
                for right in record.rights:
                    self._claim(name, right)
            case rec.TransferRecord():
                self._transfer(record)
            case rec.ReleaseRecord(name) if self._counts(name, record.sequence):
                for right in record.rights:
                    self._drop(name, right)

    def _live(self, name: str) -> bool:
        return name in self.members and self.members[name].retired is None

    def _retired(self, name: str) -> bool:
        return name in self.members and self.members[name].retired is not None

    def _counts(self, name: str, sequence: int) -> bool:
        if name not in self.members or sequence <= self.members[name].sequence:
            return False
        self.members[name].sequence = sequence
        return True

    def _note_roster(self, offset: int, region: str) -> None:
        names = frozenset(n for n, m in self.members.items() if m.region == region)
        self.rosters.append((offset, region, names))

    def _remove(self, offset: int, name: str) -> None:
        region = self.members.pop(name).region
        self.owned = [pair for pair in self.owned if pair[0] != name]
        self._note_roster(offset, region)

    def _free(self, offset: int, record: rec.FreeRecord) -> None:
        name, gone = record.incarnation, {str(other) for other in record.gone}
        member = self.members[name]
        if name not in gone and not self._outvoted(name, gone):
            return
        if record.partitions_only:
            self.owned = [
                p for p in self.owned if p[0] != name or p[1][0] != "partition"
            ]
            return
        others = [
            (other, m)
            for other, m in self.members.items()
            if other != name
            and m.region == member.region
            and m.joined < (member.retired or 0)
        ]
        if all(o in member.acks or o in gone or m.freed for o, m in others):
            self._remove(offset, name)
            return
        member.freed = True
        self.owned = [p for p in self.owned if p[0] != name or p[1][0] == "slot"]

    def _outvoted(self, name: str, gone: set[str]) -> bool:
        """Look at each offset from the last that it folded to its retirement."""
        member = self.members[name]
        assert member.retired is not None
        for offset in range(member.folded, member.retired):
            roster = [
                names
                for changed, region, names in self.rosters
                if region == member.region and changed <= offset
            ][-1]
            others = (member.acks | gone) & roster - {name}
            supporters_left = len(roster) - 1 - len(others)
            if supporters_left >= len(roster) // 2:
                return False
        return True

    def _units(self, right: Right) -> list[Any]:
        match right:
            case WorkerRight(worker_id):
                return [("worker", worker_id)]
            case SlotRight(team_id, count):
                return [("slot", team_id)] * count
            case PartitionRight(partition):
                return [("partition", partition)]
        raise TypeError(right)

    def _is_free(self, unit: Any) -> bool:
        held = [owned for _, owned in self.owned if owned == unit]
        match unit:
            case ("worker", worker_id):
                return worker_id in self.workers and not held
            case ("slot", team_id):
                return len(held) < self.limits.get(team_id, 0)
            case (_, partition):
                return 0 <= partition < PARTITION_COUNT and not held
        raise TypeError(unit)

    def _claim(self, name: str, right: Right) -> None:
        for unit in self._units(right):
            if self._is_free(unit):
                self.owned.append((name, unit))

    def _drop(self, name: str, right: Right) -> int:
        dropped = 0
        for unit in self._units(right):
            if (name, unit) in self.owned:
                self.owned.remove((name, unit))
                dropped += 1
        return dropped

    def _transfer(self, record: rec.TransferRecord) -> None:
        writer = record.taker if record.borrowed else record.giver
        if not self._counts(writer, record.sequence):
            return
        if record.giver == record.taker or not self._live(record.taker):
            return
        if record.borrowed and not self._retired(record.giver):
            return
        for right in record.rights:
            if isinstance(right, SlotRight) and self._is_overheld(right.team_id):
                continue
            units = self._units(right)[: self._drop(record.giver, right)]
            self.owned += [(record.taker, unit) for unit in units]

    def _is_overheld(self, team_id: str) -> bool:
        return self._held(team_id) > self.limits.get(team_id, 0)

    def _held(self, team_id: str) -> int:
        return sum(unit == ("slot", team_id) for _, unit in self.owned)

    def allowance(self, name: str, team_id: str) -> int:
        """Number each holder's slots; the first up to the limit may be spent."""
        numbered = []
        for holder in {holder for holder, _ in self.owned}:
            held = self.owned.count((holder, ("slot", team_id)))
            numbered += [(number, holder) for number in range(held)]
        spendable = sorted(numbered)[: self.limits.get(team_id, 0)]
        return sum(holder == name for _, holder in spendable)
