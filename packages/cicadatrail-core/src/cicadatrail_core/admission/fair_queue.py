"""Waiting requests in the order in which they are to start.

Within a pool, urgent requests come first, then normal ones, then batch. Within
a class, the team with the smallest weighted share comes first, and a team's own
requests in the order of their arrival. Source: weighted dominant-resource
fairness, with placement constraints as in Choosy (shares are fleet-wide, while
the choice is made pool by pool).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import islice

from sortedcontainers import SortedList

from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.requests import TaskRequest

CLASS_COUNT = len(Urgency)
URGENT_RANK = Urgency.URGENT.rank


@dataclass(frozen=True, slots=True)
class Ageing:
    """Bound how long a class waits behind more urgent ones.

    Once the oldest request that heads a line of a class has waited for
    ``limit_s``, the class gets at least one placement of its pool in
    ``turn_count`` (one in ``turn_count + 1`` where two classes are due at once).
    """

    limit_s: float = 30.0
    turn_count: int = 8


@dataclass(frozen=True, slots=True)
class LineKey:
    """Name a line: requests of one kind, served in order of arrival."""

    pool_id: str
    rank: int
    team_id: str
    queue_id: str


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold a waiting request with its line and its place in the order."""

    request: TaskRequest
    line: LineKey
    arrived_s: float
    sequence: int


@dataclass(slots=True)
class _Line:
    key: LineKey
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    fair_item: tuple[float, int, _Line] | None = None
    age_item: tuple[float, int] | None = None

    @property
    def head(self) -> Entry:
        """Return the entry that came first."""
        return next(iter(self.entries.values()))


class _ClassOrder:
    """Keep the lines of one class of one pool by share and by age."""

    __slots__ = ("ages", "fair")

    def __init__(self) -> None:
        self.fair: SortedList = SortedList()
        self.ages: SortedList = SortedList()


class _PoolOrder:
    """Keep the classes of one pool, and how many placements passed each by.

    The lines of ``stale`` teams are put in order when the pool is next asked.
    """

    __slots__ = ("classes", "passed_counts", "stale")

    def __init__(self) -> None:
        self.classes = tuple(_ClassOrder() for _ in range(CLASS_COUNT))
        self.passed_counts = [0] * CLASS_COUNT
        self.stale: dict[str, None] = {}


class FairQueue:
    """Keep waiting requests; every change costs O(log n) per line of a team."""

    __slots__ = (
        "_ageing",
        "_deadlines",
        "_entries",
        "_lines",
        "_parked",
        "_pools",
        "_sequence",
        "_shares",
        "_team_counts",
        "_team_lines",
    )

    def __init__(self, ageing: Ageing) -> None:
        self._ageing = ageing
        self._entries: dict[str, Entry] = {}
        self._lines: dict[LineKey, _Line] = {}
        self._team_lines: dict[str, dict[str, dict[LineKey, _Line]]] = {}
        self._team_counts: dict[str, int] = {}
        self._pools: dict[str, _PoolOrder] = {}
        self._deadlines: SortedList = SortedList()
        self._shares: dict[str, float] = {}
        self._parked: set[str] = set()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._entries

    @property
    def team_counts(self) -> Mapping[str, int]:
        """Return the number of waiting requests of each team that has any."""
        return self._team_counts

    @property
    def parked(self) -> Collection[str]:
        """Return the teams that have no slot left."""
        return self._parked

    @property
    def pool_ids(self) -> tuple[str, ...]:
        """Return the pools in which requests have waited."""
        return tuple(self._pools)

    @property
    def team_ids(self) -> tuple[str, ...]:
        """Return the teams that have requests waiting."""
        return tuple(self._team_counts)

    def entries(self) -> tuple[Entry, ...]:
        """Return all that wait, in order of arrival."""
        return tuple(self._entries.values())

    def add(self, request: TaskRequest, pool_id: str, now_s: float) -> None:
        """Add a request at the end of its line."""
        self._sequence += 1
        rank = request.urgency.rank
        key = LineKey(pool_id, rank, request.team_id, request.queue_id)
        entry = Entry(request, key, now_s, self._sequence)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = _Line(key)
            in_pools = self._team_lines.setdefault(key.team_id, {})
            in_pools.setdefault(pool_id, {})[key] = line
        self._entries[request.request_id] = entry
        line.entries[request.request_id] = entry
        counts = self._team_counts
        counts[key.team_id] = counts.get(key.team_id, 0) + 1
        self._deadlines.add((request.deadline_s, entry.sequence, request.request_id))
        if len(line.entries) == 1:
            self._order(line)

    def remove(self, request_id: str) -> Entry | None:
        """Remove a request that was placed, cancelled or expired."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        deadline_s = entry.request.deadline_s
        self._deadlines.remove((deadline_s, entry.sequence, request_id))
        line = self._lines[entry.line]
        was_head = next(iter(line.entries)) == request_id
        del line.entries[request_id]
        self._count_down(entry.request.team_id)
        if not line.entries:
            self._drop_line(line)
        elif was_head:
            self._order(line)
        return entry

    def set_share(self, team_id: str, share: float) -> None:
        """Set a team's weighted share, by which its lines are ordered."""
        if self._shares.get(team_id) == share:
            return
        self._shares[team_id] = share
        for pool_id in self._team_lines.get(team_id, ()):
            self._pool(pool_id).stale[team_id] = None

    def park(self, team_id: str) -> tuple[str, ...]:
        """Take a team without a free slot out of the order.

        Returns the pools in which it was in the order.
        """
        if team_id in self._parked:
            return ()
        self._parked.add(team_id)
        in_pools = self._team_lines.get(team_id, {})
        for lines in in_pools.values():
            for line in lines.values():
                self._leave_order(line)
        return tuple(in_pools)

    def unpark(self, team_id: str) -> tuple[str, ...]:
        """Bring a team back into the order; return the pools it waits in."""
        if team_id not in self._parked:
            return ()
        self._parked.remove(team_id)
        in_pools = self._team_lines.get(team_id, {})
        for lines in in_pools.values():
            for line in lines.values():
                self._order(line)
        return tuple(in_pools)

    def rival_count(self, pool_id: str, rank: int, now_s: float) -> int:
        """Return how many lines come before a new request of this class."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return 0
        return sum(
            len(pool.classes[other].fair)
            for other in range(CLASS_COUNT)
            if other <= rank or self._is_due(pool, other, now_s)
        )

    def next_entry(
        self, pool_id: str, skipped: Collection[int], now_s: float
    ) -> Entry | None:
        """Return the request to start next.

        Lines are left out whose first entry has a skipped sequence number.
        """
        pool = self._pools.get(pool_id)
        if pool is None:
            return None
        self._refresh(pool_id, pool)
        for rank in self._rank_order(pool, now_s):
            line = _first_line(pool.classes[rank], skipped)
            if line is not None:
                return line.head
        return None

    def count_placement(self, pool_id: str, rank: int) -> None:
        """Count a placement of one class towards the turns of the others."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return
        for other in range(CLASS_COUNT):
            pool.passed_counts[other] += 1
        pool.passed_counts[rank] = 0

    def is_aged(self, entry: Entry, now_s: float) -> bool:
        """Tell whether an entry that is not urgent has waited for the limit."""
        if entry.line.rank == URGENT_RANK:
            return False
        return now_s - entry.arrived_s >= self._ageing.limit_s

    def expired(self, now_s: float) -> Iterator[str]:
        """Yield the waiting requests whose deadline has passed, to be removed."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            yield self._deadlines[0][2]

    def _rank_order(self, pool: _PoolOrder, now_s: float) -> Sequence[int]:
        ranks = range(CLASS_COUNT)
        due = [rank for rank in ranks if self._is_due(pool, rank, now_s)]
        if not due:
            return ranks
        turn = max(due, key=pool.passed_counts.__getitem__)
        return (turn, *(rank for rank in ranks if rank != turn))

    def _is_due(self, pool: _PoolOrder, rank: int, now_s: float) -> bool:
        """Tell whether the next placement is the turn of an aged class."""
        if rank == URGENT_RANK:
            return False
        if pool.passed_counts[rank] < self._ageing.turn_count - 1:
            return False
        ages = pool.classes[rank].ages
        return bool(ages) and now_s - ages[0][0] >= self._ageing.limit_s

    def _count_down(self, team_id: str) -> None:
        self._team_counts[team_id] -= 1
        if not self._team_counts[team_id]:
            del self._team_counts[team_id]

    def _order(self, line: _Line) -> None:
        self._leave_order(line)
        if line.key.team_id in self._parked:
            return
        head = line.head
        share = self._shares.get(line.key.team_id, 0.0)
        line.fair_item = (share, head.sequence, line)
        line.age_item = (head.arrived_s, head.sequence)
        order = self._class_order(line.key)
        order.fair.add(line.fair_item)
        order.ages.add(line.age_item)

    def _leave_order(self, line: _Line) -> None:
        if line.fair_item is None:
            return
        order = self._class_order(line.key)
        order.fair.remove(line.fair_item)
        order.ages.remove(line.age_item)
        line.fair_item = line.age_item = None

    def _class_order(self, key: LineKey) -> _ClassOrder:
        return self._pool(key.pool_id).classes[key.rank]

    def _pool(self, pool_id: str) -> _PoolOrder:
        pool = self._pools.get(pool_id)
        if pool is None:
            pool = self._pools[pool_id] = _PoolOrder()
        return pool

    def _refresh(self, pool_id: str, pool: _PoolOrder) -> None:
        while pool.stale:
            team_id, _ = pool.stale.popitem()
            in_pools = self._team_lines.get(team_id, {})
            for line in in_pools.get(pool_id, {}).values():
                self._order(line)

    def _drop_line(self, line: _Line) -> None:
        self._leave_order(line)
        del self._lines[line.key]
        in_pools = self._team_lines[line.key.team_id]
        del in_pools[line.key.pool_id][line.key]
        if not in_pools[line.key.pool_id]:
            del in_pools[line.key.pool_id]
        if not in_pools:
            del self._team_lines[line.key.team_id]


def _first_line(order: _ClassOrder, skipped: Collection[int]) -> _Line | None:
    for _, sequence, line in islice(order.fair, len(skipped) + 1):
        if sequence not in skipped:
            return line  # type: ignore[no-any-return]
    return None
