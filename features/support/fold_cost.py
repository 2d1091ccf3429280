"""Measures folding, snapshots and joining at the current and the two-year size.

``python -m features.support.fold_cost``. It uses no network.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from dataclasses import dataclass, replace

from returns.result import Success

from cicadatrail_core.fold.apply import Envelope, encode_record, fold_payload
from cicadatrail_core.fold.snapshots import dump_state, load_state
from cicadatrail_core.models import records
from cicadatrail_core.models.fleet import (
    Key,
    Place,
    Pool,
    Queue,
    Service,
    Team,
    Worker,
)
from cicadatrail_core.models.patches import Accepted, Patch, PutTeam
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State

PULSE_COUNT = 5_000
PATCH_COUNT = 500
DATA_CENTRE_COUNT = 10


@dataclass(frozen=True, slots=True)
class Size:
    name: str
    worker_count: int
    pool_count: int
    team_count: int
    member_count: int
    verdict_count: int


SIZES = (
    Size("today", 30, 5, 6, 9, 500),
    Size("two years", 1_800, 20, 83, 27, 10_000),
)


def build_state(size: Size) -> State:
    """Return the state of a fleet of the given size."""
    members = [IncarnationId(f"entry-{n}.0") for n in range(size.member_count)]
    workers = {}
    for number in range(size.worker_count):
        place = Place("home", f"dc{number % DATA_CENTRE_COUNT}", f"rack{number // 4}")
        capacity = Resources(64_000, 256_000, 1)
        name = f"worker-{number}"
        workers[name] = Worker(name, "10.0.0.1", 8000, place, capacity)
    pools = [f"pool-{n}" for n in range(size.pool_count)]
    teams = [f"team-{n}" for n in range(size.team_count)]
    return State(
        version=size.verdict_count,
        pools={pool: Pool(pool) for pool in pools},
        services={pool: Service(pool, pool, 2) for pool in pools},
        queues={pool: Queue(pool, pool) for pool in pools},
        teams={team: Team(team, 1.0, 500) for team in teams},
        keys={
            f"k{n}": Key(f"k{n}", team, "a" * 32, "b" * 64)
            for n, team in enumerate(teams * 3)
        },
        workers=workers,
        pool_of={name: pools[n % len(pools)] for n, name in enumerate(workers)},
        roster={
            name: Member(name, name, "10.0.0.2", 9000, Place("home", "dc0"), n, n, n)
            for n, name in enumerate(members)
        },
        worker_holders={
            name: members[n % len(members)] for n, name in enumerate(workers)
        },
        slots={team: dict.fromkeys(members, 18) for team in teams},
        partition_holders={n: members[n % len(members)] for n in range(256)},
        verdicts={
            f"patch-{n:08}": Accepted(f"patch-{n:08}", n, n)
            for n in range(size.verdict_count)
        },
        writer_sequences=dict.fromkeys(members, 1),
    )


def time_pulses(state: State) -> float:
    """Return the number of heartbeats folded per second."""
    writer = next(iter(state.roster))
    payloads = [
        encode_record(Envelope(writer, n + 2, records.PulseRecord(writer, n, n)))
        for n in range(PULSE_COUNT)
    ]
    return PULSE_COUNT / _time_fold(state, payloads)


def time_patches(state: State) -> float:
    """Return the number of one-operation patches folded per second."""
    writer = next(iter(state.roster))
    payloads = []
    for number in range(PATCH_COUNT):
        operation = PutTeam(Team("team-0", 1.0 + number, 500))
        patch = Patch(f"new-{number}", state.version + number, (operation,))
        record = records.PatchRecord(patch)
        payloads.append(encode_record(Envelope(writer, number + 2, record)))
    return PATCH_COUNT / _time_fold(state, payloads)


def _time_fold(state: State, payloads: list[bytes]) -> float:
    began_s = time.perf_counter()
    for payload in payloads:
        state = fold_payload(state, state.next_offset, payload)
    return time.perf_counter() - began_s


def measure(size: Size) -> None:
    tracemalloc.start()
    state = build_state(size)
    memory_mib = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    began_s = time.perf_counter()
    payload = dump_state(state)
    dumped_s = time.perf_counter()
    loaded = load_state(payload)
    loaded_s = time.perf_counter()
    assert loaded == Success(replace(state)), "the snapshot changed the state"
    print(
        f"{size.name:10} pulses {time_pulses(state):7.0f}/s"
        f"  patches {time_patches(state):6.0f}/s"
        f"  state {memory_mib:5.1f} MiB"
        f"  snapshot {len(payload) / 1024:7.1f} KiB"
        f"  written in {dumped_s - began_s:5.3f} s"
        f"  read in {loaded_s - dumped_s:5.3f} s"
    )


def main() -> int:
    for size in SIZES:
        measure(size)
    return 0


if __name__ == "__main__":
    sys.exit(main())
