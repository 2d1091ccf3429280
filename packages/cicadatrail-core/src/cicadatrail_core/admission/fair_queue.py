"""Queue of waiting requests, ordered by urgency and by weighted fair share.

Within a pool, urgent requests come first, then normal ones, then batch. Within a
class, the team with the smallest weighted share comes first, and the requests of
a team are served in order of arrival. Source: weighted dominant resource
fairness (DRF) with placement constraints as in Choosy: shares are fleet-wide,
while the choice is made per pool.
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
    """Limit how long a class waits behind more urgent ones.

    Once the oldest request at the head of any subqueue of a class has waited for
    ``limit_s``, the class gets at least one of every ``turn_count`` placements in its
    pool (one of ``turn_count + 1`` if two classes are due at the same time).
    """

    limit_s: float = 30.0
    turn_count: int = 8


@dataclass(frozen=True, slots=True)
class SubqueueKey:
    """Key of a subqueue: requests of one kind, served in order of arrival."""

    pool_id: str
    rank: int
    team_id: str
    queue_id: str


@dataclass(frozen=True, slots=True)
class Entry:
    """Waiting request with its subqueue and its position in the order."""

    request: TaskRequest
    subqueue_key: SubqueueKey
    arrived_s: float
    sequence: int


@dataclass(slots=True)
class _Subqueue:
    key: SubqueueKey
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    share_key: tuple[float, int, _Subqueue] | None = None
    age_key: tuple[float, int] | None = None

    @property
    def head(self) -> Entry:
        """Return the entry that arrived first."""
        return next(iter(self.entries.values()))


class _ClassOrder:
    """Subqueues of one class of one pool, sorted by share and by age."""

    __slots__ = ("by_age", "by_share")

    def __init__(self) -> None:
        self.by_share: SortedList = SortedList()
        self.by_age: SortedList = SortedList()


class _PoolOrder:
    """Classes of one pool, and how many placements passed over each of them.

    Subqueues of ``stale`` teams are sorted again when the pool is next queried.
    """

    __slots__ = ("classes", "passed_over_counts", "stale")

    def __init__(self) -> None:
        self.classes = tuple(_ClassOrder() for _ in range(CLASS_COUNT))
        self.passed_over_counts = [0] * CLASS_COUNT
        self.stale: dict[str, None] = {}


class FairQueue:
    """Queue of waiting requests.

    Each change costs O(log n) for every subqueue of the team concerned.
    """

    __slots__ = (
        "_ageing",
        "_deadlines",
        "_entries",
        "_parked",
        "_pools",
        "_sequence",
        "_shares",
        "_subqueues",
        "_team_counts",
        "_team_subqueues",
    )

    def __init__(self, ageing: Ageing) -> None:
        self._ageing = ageing
        self._entries: dict[str, Entry] = {}
        self._subqueues: dict[SubqueueKey, _Subqueue] = {}
        self._team_subqueues: dict[str, dict[str, dict[SubqueueKey, _Subqueue]]] = {}
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
        """Return the teams that were removed from the order for lack of a slot."""
        return self._parked

    @property
    def pool_ids(self) -> tuple[str, ...]:
        """Return the pools in which requests have been ordered so far."""
        return tuple(self._pools)

    @property
    def team_ids(self) -> tuple[str, ...]:
        """Return the teams that have waiting requests."""
        return tuple(self._team_counts)

    def entries(self) -> tuple[Entry, ...]:
        """Return all waiting entries in order of arrival."""
        return tuple(self._entries.values())

    def add(self, request: TaskRequest, pool_id: str, now_s: float) -> None:
        """Add a request at the end of its subqueue."""
        self._sequence += 1
        rank = request.urgency.rank
        key = SubqueueKey(pool_id, rank, request.team_id, request.queue_id)
        entry = Entry(request, key, now_s, self._sequence)
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = self._subqueues[key] = _Subqueue(key)
            in_pools = self._team_subqueues.setdefault(key.team_id, {})
            in_pools.setdefault(pool_id, {})[key] = subqueue
        self._entries[request.request_id] = entry
        subqueue.entries[request.request_id] = entry
        counts = self._team_counts
        counts[key.team_id] = counts.get(key.team_id, 0) + 1
        self._deadlines.add((request.deadline_s, entry.sequence, request.request_id))
        if len(subqueue.entries) == 1:
            self._reorder(subqueue)

    def remove(self, request_id: str) -> Entry | None:
        """Remove a request that was placed, cancelled or expired."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        deadline_s = entry.request.deadline_s
        self._deadlines.remove((deadline_s, entry.sequence, request_id))
        subqueue = self._subqueues[entry.subqueue_key]
        was_head = next(iter(subqueue.entries)) == request_id
        del subqueue.entries[request_id]
        self._decrement_team_count(entry.request.team_id)
        if not subqueue.entries:
            self._remove_subqueue(subqueue)
        elif was_head:
            self._reorder(subqueue)
        return entry

    def set_share(self, team_id: str, share: float) -> None:
        """Set a team's weighted share, which determines the order of its subqueues."""
        if self._shares.get(team_id) == share:
            return
        self._shares[team_id] = share
        for pool_id in self._team_subqueues.get(team_id, ()):
            self._pool(pool_id).stale[team_id] = None

    def park(self, team_id: str) -> tuple[str, ...]:
        """Remove a team without a free slot from the order.

        Returns the pools in which the team has waiting requests.
        """
        if team_id in self._parked:
            return ()
        self._parked.add(team_id)
        in_pools = self._team_subqueues.get(team_id, {})
        for subqueues in in_pools.values():
            for subqueue in subqueues.values():
                self._remove_from_order(subqueue)
        return tuple(in_pools)

    def unpark(self, team_id: str) -> tuple[str, ...]:
        """Return a parked team to the order.

        Returns the pools in which the team has waiting requests.
        """
        if team_id not in self._parked:
            return ()
        self._parked.remove(team_id)
        in_pools = self._team_subqueues.get(team_id, {})
        for subqueues in in_pools.values():
            for subqueue in subqueues.values():
                self._reorder(subqueue)
        return tuple(in_pools)

    def preceding_count(self, pool_id: str, rank: int, now_s: float) -> int:
        """Return how many subqueues come before a new request of this class."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return 0
        return sum(
            len(pool.classes[other].by_share)
            for other in range(CLASS_COUNT)
            if other <= rank or self._is_due(pool, other, now_s)
        )

    def next_entry(
        self, pool_id: str, skipped: Collection[int], now_s: float
    ) -> Entry | None:
        """Return the request to start next, or None.

        Subqueues whose first entry has a sequence number in ``skipped`` are ignored.
        """
        pool = self._pools.get(pool_id)
        if pool is None:
            return None
        self._reorder_stale(pool_id, pool)
        for rank in self._rank_order(pool, now_s):
            subqueue = _first_subqueue(pool.classes[rank], skipped)
            if subqueue is not None:
                return subqueue.head
        return None

    def count_placement(self, pool_id: str, rank: int) -> None:
        """Count a placement of one class towards the turns of the other classes."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return
        for other in range(CLASS_COUNT):
            pool.passed_over_counts[other] += 1
        pool.passed_over_counts[rank] = 0

    def is_aged(self, entry: Entry, now_s: float) -> bool:
        """Return whether a non-urgent entry has waited for the ageing limit."""
        if entry.subqueue_key.rank == URGENT_RANK:
            return False
        return now_s - entry.arrived_s >= self._ageing.limit_s

    def expired(self, now_s: float) -> Iterator[str]:
        """Yield the ids of waiting requests whose deadline has passed.

        The caller must remove each one before it asks for the next.
        """
        while self._deadlines and self._deadlines[0][0] <= now_s:
            yield self._deadlines[0][2]

    def _rank_order(self, pool: _PoolOrder, now_s: float) -> Sequence[int]:
        ranks = range(CLASS_COUNT)
        due = [rank for rank in ranks if self._is_due(pool, rank, now_s)]
        if not due:
            return ranks
        turn = max(due, key=pool.passed_over_counts.__getitem__)
        return (turn, *(rank for rank in ranks if rank != turn))

    def _is_due(self, pool: _PoolOrder, rank: int, now_s: float) -> bool:
        """Return whether the next placement is this aged class's turn."""
        if rank == URGENT_RANK:
            return False
        if pool.passed_over_counts[rank] < self._ageing.turn_count - 1:
            return False
        by_age = pool.classes[rank].by_age
        return bool(by_age) and now_s - by_age[0][0] >= self._ageing.limit_s

    def _decrement_team_count(self, team_id: str) -> None:
        self._team_counts[team_id] -= 1
        if not self._team_counts[team_id]:
            del self._team_counts[team_id]

    def _reorder(self, subqueue: _Subqueue) -> None:
        self._remove_from_order(subqueue)
        if subqueue.key.team_id in self._parked:
            return
        head = subqueue.head
        share = self._shares.get(subqueue.key.team_id, 0.0)
        subqueue.share_key = (share, head.sequence, subqueue)
        subqueue.age_key = (head.arrived_s, head.sequence)
        order = self._class_order(subqueue.key)
        order.by_share.add(subqueue.share_key)
        order.by_age.add(subqueue.age_key)

    def _remove_from_order(self, subqueue: _Subqueue) -> None:
        if subqueue.share_key is None:
            return
        order = self._class_order(subqueue.key)
        order.by_share.remove(subqueue.share_key)
        order.by_age.remove(subqueue.age_key)
        subqueue.share_key = subqueue.age_key = None

    def _class_order(self, key: SubqueueKey) -> _ClassOrder:
        return self._pool(key.pool_id).classes[key.rank]

    def _pool(self, pool_id: str) -> _PoolOrder:
        pool = self._pools.get(pool_id)
        if pool is None:
            pool = self._pools[pool_id] = _PoolOrder()
        return pool

    def _reorder_stale(self, pool_id: str, pool: _PoolOrder) -> None:
        while pool.stale:
            team_id, _ = pool.stale.popitem()
            in_pools = self._team_subqueues.get(team_id, {})
            for subqueue in in_pools.get(pool_id, {}).values():
                self._reorder(subqueue)

    def _remove_subqueue(self, subqueue: _Subqueue) -> None:
        self._remove_from_order(subqueue)
        del self._subqueues[subqueue.key]
        in_pools = self._team_subqueues[subqueue.key.team_id]
        del in_pools[subqueue.key.pool_id][subqueue.key]
        if not in_pools[subqueue.key.pool_id]:
            del in_pools[subqueue.key.pool_id]
        if not in_pools:
            del self._team_subqueues[subqueue.key.team_id]


def _first_subqueue(order: _ClassOrder, skipped: Collection[int]) -> _Subqueue | None:
    for _, sequence, subqueue in islice(order.by_share, len(skipped) + 1):
        if sequence not in skipped:
            return subqueue  # type: ignore[no-any-return]
    return None
