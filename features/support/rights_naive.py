"""Slow reference implementation of the membership and rights fold."""

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
    """Fold records into a list with one entry per slot, worker and partition."""

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
                self._record_roster(offset, region)
            case rec.PulseRecord(name) if self._live(name):
                member = self.members[name]
                folded = min(record.folded_offset, offset)
                member.folded = max(member.folded, folded)
            case rec.LeaveRecord(name) if name in self.members:
                self._remove_member(offset, name)
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
            case rec.ReleaseRecord(name) if self._accept_sequence(
                name, record.sequence
            ):
                for right in record.rights:
                    self._remove_right(name, right)

    def _live(self, name: str) -> bool:
        return name in self.members and self.members[name].retired is None

    def _retired(self, name: str) -> bool:
        return name in self.members and self.members[name].retired is not None

    def _accept_sequence(self, name: str, sequence: int) -> bool:
        if name not in self.members or sequence <= self.members[name].sequence:
            return False
        self.members[name].sequence = sequence
        return True

    def _record_roster(self, offset: int, region: str) -> None:
        names = frozenset(n for n, m in self.members.items() if m.region == region)
        self.rosters.append((offset, region, names))

    def _remove_member(self, offset: int, name: str) -> None:
        region = self.members.pop(name).region
        self.owned = [pair for pair in self.owned if pair[0] != name]
        self._record_roster(offset, region)

    def _free(self, offset: int, record: rec.FreeRecord) -> None:
        name, dead = record.incarnation, {str(other) for other in record.gone}
        member = self.members[name]
        if name not in dead and not self._every_roster_refuses(name, dead):
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
        if all(o in member.acks or o in dead or m.freed for o, m in others):
            self._remove_member(offset, name)
            return
        member.freed = True
        self.owned = [p for p in self.owned if p[0] != name or p[1][0] == "slot"]

    def _every_roster_refuses(self, name: str, dead: set[str]) -> bool:
        """Return whether in each roster enough members refuse to grant a lease.

        Checks the roster at each offset from the last one that the member folded
        up to its retirement. Members that acknowledged it or are dead refuse.
        """
        member = self.members[name]
        assert member.retired is not None
        for offset in range(member.folded, member.retired):
            roster = [
                names
                for changed, region, names in self.rosters
                if region == member.region and changed <= offset
            ][-1]
            refusing = (member.acks | dead) & roster - {name}
            grantors_left = len(roster) - 1 - len(refusing)
            if grantors_left >= len(roster) // 2:
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
        taken = [owned for _, owned in self.owned if owned == unit]
        match unit:
            case ("worker", worker_id):
                return worker_id in self.workers and not taken
            case ("slot", team_id):
                return len(taken) < self.limits.get(team_id, 0)
            case (_, partition):
                return 0 <= partition < PARTITION_COUNT and not taken
        raise TypeError(unit)

    def _claim(self, name: str, right: Right) -> None:
        for unit in self._units(right):
            if self._is_free(unit):
                self.owned.append((name, unit))

    def _remove_right(self, name: str, right: Right) -> int:
        removed = 0
        for unit in self._units(right):
            if (name, unit) in self.owned:
                self.owned.remove((name, unit))
                removed += 1
        return removed

    def _transfer(self, record: rec.TransferRecord) -> None:
        writer = record.taker if record.borrowed else record.giver
        if not self._accept_sequence(writer, record.sequence):
            return
        if record.giver == record.taker or not self._live(record.taker):
            return
        if record.borrowed and not self._retired(record.giver):
            return
        for right in record.rights:
            if isinstance(right, SlotRight) and self._exceeds_limit(right.team_id):
                continue
            units = self._units(right)[: self._remove_right(record.giver, right)]
            self.owned += [(record.taker, unit) for unit in units]

    def _exceeds_limit(self, team_id: str) -> bool:
        return self._slot_count(team_id) > self.limits.get(team_id, 0)

    def _slot_count(self, team_id: str) -> int:
        return sum(unit == ("slot", team_id) for _, unit in self.owned)

    def allowance(self, name: str, team_id: str) -> int:
        """Return how many of its slots an owner may use.

        Numbers each owner's slots from 0 and admits them in the order of number
        and owner until the limit is reached.
        """
        numbered = []
        for owner in {owner for owner, _ in self.owned}:
            count = self.owned.count((owner, ("slot", team_id)))
            numbered += [(number, owner) for number in range(count)]
        usable = sorted(numbered)[: self.limits.get(team_id, 0)]
        return sum(owner == name for _, owner in usable)
