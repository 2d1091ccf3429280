"""Print the encoded length of each control message at both fleet sizes.

``python -m features.support.message_sizes``. Lengths are of the payload, in
bytes; the framing of a peer link adds 4 bytes and HTTP about 150 per message.
"""

from __future__ import annotations

import json
import sys

from cicadatrail_core.fold.apply import Envelope, encode_record
from cicadatrail_core.models.loans import LoanGrant, LoanRequest
from cicadatrail_core.models.patches import Patch, PutTeam
from cicadatrail_core.models.peer_messages import (
    ControlMessage,
    Digest,
    IdQuery,
    PoolFreeCapacity,
    TeamUsage,
    pack_digest,
)
from cicadatrail_core.models.records import PatchRecord, PulseRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.support import SupportRequest
from cicadatrail_core.utils import codec
from features.support.fold_cost import SIZES, Size, build_state

WRITER = IncarnationId("entry-12.abcdef01")
TEAM = "doorstep-bookings"
REQUEST_ID = "0193b0c2-6d9e-7cc3-8f3e-0a1b2c3d4e5f"


def digest_of(size: Size) -> Digest:
    state = build_state(size)
    capacity = next(iter(state.workers.values())).capacity
    pools = tuple(PoolFreeCapacity(pool, capacity, 3, 40) for pool in state.pools)
    teams = tuple(TeamUsage(team, capacity, 40, 12, 30) for team in state.teams)
    return Digest(WRITER, 1_234_567, 4_500, pools, teams)


def main() -> int:
    pulse = PulseRecord(WRITER, 123_456, 1_234_567)
    team = next(iter(build_state(SIZES[0]).teams.values()))
    patch = PatchRecord(Patch(REQUEST_ID, 4_500, (PutTeam(team),), "operator"))
    lengths = {
        "pulse record": len(encode_record(Envelope(WRITER, 123_456, pulse))),
        "patch record of one operation": len(encode_record(Envelope(WRITER, 1, patch))),
    }
    messages = {
        "support request": SupportRequest(WRITER, 1_234_567, 123_456),
        "loan request": LoanRequest(WRITER, WRITER, TEAM, 123_456, 40, 30),
        "loan grant": LoanGrant(WRITER, WRITER, TEAM, 123_456, 40, 10, 1.5),
        "id query": IdQuery(REQUEST_ID, 17, "attempt-1"),
    }
    for name, message in messages.items():
        lengths[name] = len(codec.to_bytes(message, ControlMessage))
    for size in SIZES:
        packed = pack_digest(digest_of(size))
        lengths[f"digest, {size.name}"] = len(codec.to_bytes(packed, ControlMessage))
        listed = [
            {"instance_id": name, "host": "10.20.1.11", "port": 8000, "leaving": False}
            for name in build_state(size).workers
        ]
        lengths[f"instance list, {size.name}"] = len(json.dumps(listed))
    for name, length in lengths.items():
        print(f"{name:32} {length:8} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
