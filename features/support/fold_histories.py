"""Strategies for histories of records, and a reference implementation of patches."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

from hypothesis import strategies as st

from cicadatrail_core.fold.apply import Envelope, encode_record, fold_payload
from cicadatrail_core.models import patches, records
from cicadatrail_core.models.fleet import (
    Key,
    Place,
    Pool,
    Queue,
    Service,
    Team,
    Worker,
)
from cicadatrail_core.models.patches import Operation, Patch
from cicadatrail_core.models.records import Record
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import (
    IncarnationId,
    PartitionRight,
    SlotRight,
    WorkerRight,
)
from cicadatrail_core.models.state import State

HOME = Place("home", "a", "a-1")
MEMBERS = tuple(IncarnationId(f"entry-{n}.0") for n in range(3))
TEAMS = ("couriers", "weddings", "florists")
POOLS = ("bookings", "stock")
WORKERS = tuple(f"worker-{n}" for n in range(4))


def make_worker(worker_id: str) -> Worker:
    return Worker(worker_id, "127.0.0.1", 8000, HOME, Resources(4000, 8192))


def make_key(key_id: str, team_id: str) -> Key:
    return Key(key_id, team_id, "ab" * 16, "cd" * 32)


def small_fleet_operations() -> tuple[Operation, ...]:
    return (
        patches.PutPool(Pool("bookings")),
        patches.PutPool(Pool("portal", spare=True)),
        patches.PutTeam(Team("couriers", 1.0, 10)),
        patches.PutService(Service("bookings", "bookings", 1)),
        patches.PutQueue(Queue("bookings", "bookings")),
        patches.GrantKey(make_key("k1", "couriers")),
        patches.AddWorker(make_worker("worker-0"), "bookings"),
    )


def fold_all(payloads: list[bytes], state: State | None = None) -> State:
    state = state or State()
    for payload in payloads:
        state = fold_payload(state, state.next_offset, payload)
    return state


def encode_all(found: list[tuple[IncarnationId, Record]]) -> list[bytes]:
    """Number each writer's records and encode them."""
    sequences: dict[IncarnationId, int] = {}
    payloads = []
    for writer, record in found:
        sequences[writer] = sequences.get(writer, 0) + 1
        payloads.append(encode_record(Envelope(writer, sequences[writer], record)))
    return payloads


teams = st.builds(
    Team,
    st.sampled_from(TEAMS),
    st.sampled_from((0.0, 1.0, 2.0)),
    st.integers(-1, 20),
)
operations = st.one_of(
    st.builds(patches.PutTeam, teams),
    st.builds(patches.RemoveTeam, st.sampled_from(TEAMS)),
    st.builds(patches.PutPool, st.builds(Pool, st.sampled_from(POOLS))),
    st.builds(patches.RemovePool, st.sampled_from(POOLS)),
    st.builds(
        patches.AddWorker,
        st.sampled_from(WORKERS).map(make_worker),
        st.sampled_from(POOLS),
    ),
    st.builds(patches.RemoveWorker, st.sampled_from(WORKERS)),
    st.builds(patches.WithdrawKey, st.sampled_from(("k1", "k2"))),
    st.builds(
        patches.GrantKey,
        st.builds(make_key, st.sampled_from(("k1", "k2")), st.sampled_from(TEAMS)),
    ),
)


@st.composite
def patch_lists(draw: Any) -> list[Patch]:
    """Draw patches whose ids and base versions sometimes collide."""
    count = draw(st.integers(1, 14))
    return [
        Patch(
            draw(st.sampled_from(("p1", "p2", "p3", "p4", "p5", "p6", "p7"))),
            draw(st.integers(0, 5)),
            tuple(draw(st.lists(operations, min_size=1, max_size=3))),
        )
        for _ in range(count)
    ]


rights = st.one_of(
    st.builds(WorkerRight, st.sampled_from(WORKERS)),
    st.builds(SlotRight, st.sampled_from(TEAMS), st.integers(1, 6)),
    st.builds(PartitionRight, st.integers(0, 3)),
)
right_tuples = st.lists(rights, min_size=1, max_size=3).map(tuple)
members = st.sampled_from(MEMBERS)


def later_records() -> st.SearchStrategy[Record]:
    return st.one_of(
        st.builds(records.ClaimRecord, members, right_tuples),
        st.builds(
            records.TransferRecord, members, members, right_tuples, st.integers(1, 9)
        ),
        st.builds(records.ReleaseRecord, members, right_tuples, st.integers(1, 9)),
        st.builds(records.RetireRecord, members, members),
        st.builds(records.RetireAckRecord, members, members),
        st.builds(records.LeaveRecord, members),
        st.builds(records.PulseRecord, members, st.integers(0, 9), st.integers(0, 9)),
        st.builds(
            records.PatchRecord,
            st.builds(
                Patch,
                st.sampled_from(("p1", "p2", "p3")),
                st.integers(0, 3),
                st.lists(operations, min_size=1, max_size=2).map(tuple),
            ),
        ),
    )


@st.composite
def histories(draw: Any) -> list[tuple[IncarnationId, Record]]:
    """Draw records of three members that have joined a small fleet."""
    initial: list[tuple[IncarnationId, Record]] = [
        (MEMBERS[0], records.PatchRecord(Patch("p0", 0, small_fleet_operations())))
    ]
    for number, name in enumerate(MEMBERS):
        join = records.JoinRecord(name, f"entry-{number}", "127.0.0.1", 9000, HOME)
        initial.append((name, join))
    count = draw(st.integers(1, 20))
    drawn = [(draw(members), draw(later_records())) for _ in range(count)]
    return [*initial, *drawn]


def with_repetitions(payloads: list[bytes], seed: int) -> list[bytes]:
    """Insert each payload once more, at a random later position."""
    source = random.Random(seed)
    found = list(payloads)
    for payload in payloads:
        first = found.index(payload)
        found.insert(source.randint(first + 1, len(found)), payload)
    return found


@dataclass(slots=True)
class ReferencePatches:
    """Reference implementation of patches that copies plain data for each patch."""

    version: int = 0
    teams: dict[str, Team] = field(default_factory=dict)
    pools: set[str] = field(default_factory=set)
    workers: dict[str, str] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    verdicts: dict[str, str] = field(default_factory=dict)

    def fold_patch(self, patch: Patch) -> None:
        if patch.patch_id in self.verdicts:
            return
        if patch.base_version != self.version:
            self.verdicts[patch.patch_id] = "stale"
            return
        draft = ReferencePatches(
            self.version + 1,
            dict(self.teams),
            set(self.pools),
            dict(self.workers),
            dict(self.keys),
            {},
        )
        if all(draft._apply(operation) for operation in patch.operations):
            self.version, self.teams = draft.version, draft.teams
            self.pools, self.workers, self.keys = draft.pools, draft.workers, draft.keys
            self.verdicts[patch.patch_id] = f"accepted {self.version}"
            return
        self.verdicts[patch.patch_id] = "refused"

    def _apply(self, operation: Operation) -> bool:
        match operation:
            case patches.PutTeam(team):
                self.teams[team.team_id] = team
                return team.share_weight > 0 and team.upper_limit_tasks >= 0
            case patches.RemoveTeam(team_id):
                self.keys = {
                    key_id: replace(
                        key, withdrawn=key.withdrawn or key.team_id == team_id
                    )
                    for key_id, key in self.keys.items()
                }
                return self.teams.pop(team_id, None) is not None
            case patches.PutPool(pool):
                self.pools.add(pool.pool_id)
                return True
            case patches.RemovePool(pool_id):
                known = pool_id in self.pools
                self.pools.discard(pool_id)
                return known and pool_id not in self.workers.values()
            case patches.AddWorker(worker, pool_id):
                new = worker.worker_id not in self.workers
                self.workers[worker.worker_id] = pool_id
                return new and pool_id in self.pools
            case patches.RemoveWorker(worker_id):
                return self.workers.pop(worker_id, None) is not None
            case patches.GrantKey(key):
                new = key.key_id not in self.keys
                self.keys[key.key_id] = key
                return new and key.team_id in self.teams
            case patches.WithdrawKey(key_id):
                if key_id not in self.keys:
                    return False
                self.keys[key_id] = replace(self.keys[key_id], withdrawn=True)
                return True
        raise AssertionError(operation)
