"""Exchanges digests of load and free capacity between entry instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.peer_messages import (
    Digest,
    PackedDigest,
    PoolFreeCapacity,
    TeamUsage,
    pack_digest,
    unpack_digest,
)
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.network.peer_client import PeerDirectory, PeerLink

BUSY_INTERVAL_S = 0.5
"""Time between two digests to each peer while requests wait here."""

IDLE_INTERVAL_S = 1.0
"""Time between two digests to each peer while no request waits."""

DIGEST_EXPIRY_S = 10.0
"""Time after which a peer's digest expires."""

CALL_TIMEOUT_S = 1.0

SENT_LIMIT_BYTES_PER_S = 8_000
"""Limit on digest bytes sent per second; more teams mean less frequent digests."""

DIGEST_BASE_BYTES = 100
TEAM_BYTES = 28
POOL_BYTES = 24
"""Sizes for estimating the encoded length of a digest."""


@dataclass(frozen=True, slots=True)
class _Received:
    digest: Digest
    at_s: float


def make_digest(
    incarnation: IncarnationId,
    state: State,
    dispatcher: Dispatcher,
    slots: Mapping[str, int],
) -> Digest:
    """Return the digest of this instance for its peers."""
    waiting, running = dispatcher.waiting_counts, dispatcher.running_counts
    own_usage = dispatcher.own_usage
    pools = tuple(
        PoolFreeCapacity(pool_id, dispatcher.free_room(pool_id), 0, 0)
        for pool_id in state.pools
    )
    teams = tuple(
        TeamUsage(
            team_id,
            own_usage.get(team_id, NO_RESOURCES),
            slot_count - running.get(team_id, 0),
            waiting.get(team_id, 0),
            running.get(team_id, 0),
        )
        for team_id, slot_count in slots.items()
    )
    return Digest(incarnation, state.next_offset, state.version, pools, teams)


class Digests:
    """Store the newest digest of each peer in the region and send the own one."""

    __slots__ = ("_directory", "_is_near", "_make", "_received")

    def __init__(
        self,
        directory: PeerDirectory,
        make: Callable[[], Digest],
        is_near: Callable[[IncarnationId], bool],
    ) -> None:
        self._directory = directory
        self._make = make
        self._is_near = is_near
        self._received: dict[IncarnationId, _Received] = {}

    def take(self, packed: PackedDigest) -> None:
        """Store a peer's digest; ignore one that can't be decoded."""
        digest = unpack_digest(packed)
        if digest is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._received[digest.incarnation] = _Received(digest, now_s)

    def forget_others(self, members: frozenset[IncarnationId]) -> None:
        """Drop the digests of incarnations that are not members."""
        for incarnation in self._received.keys() - members:
            del self._received[incarnation]

    def fresh(self) -> Mapping[IncarnationId, Digest]:
        """Return the digests that have not expired."""
        oldest_s = asyncio.get_running_loop().time() - DIGEST_EXPIRY_S
        return {
            incarnation: received.digest
            for incarnation, received in self._received.items()
            if received.at_s >= oldest_s
        }

    def peer_usage(self) -> Mapping[str, Resources]:
        """Return the total resources that each team uses at all peers."""
        usage: dict[str, Resources] = {}
        for digest in self.fresh().values():
            for team in digest.teams:
                usage[team.team_id] = usage.get(team.team_id, Resources()) + team.used
        return usage

    def peers_with_capacity(
        self, state: State, request: TaskRequest
    ) -> tuple[PeerLink, ...]:
        """Return links to peers with free capacity and a slot, most CPU first."""
        service = state.services.get(request.service_id)
        if service is None:
            return ()
        found: list[tuple[int, PeerLink]] = []
        for incarnation, digest in self.fresh().items():
            link = self._directory.link(incarnation)
            free = _free_capacity(digest, service.pool_id, request)
            if link is not None and free is not None:
                found.append((free.cpu_millicores, link))
        found.sort(key=lambda entry: entry[0], reverse=True)
        return tuple(link for _, link in found)

    async def run(self) -> None:
        """Send a digest to every peer each interval, until cancelled."""
        while True:
            digest = self._make()
            packed = pack_digest(digest)
            links = [link for link in self._directory.links if self._is_near(link.name)]
            for link in links:
                self._directory.spawn(_send(link, packed))
            await asyncio.sleep(_interval_s(digest, len(links)))


def _free_capacity(
    digest: Digest, pool_id: str, request: TaskRequest
) -> Resources | None:
    """Return the peer's largest free capacity if it fits and has a slot."""
    slots = {team.team_id: team.free_slot_count for team in digest.teams}
    if slots.get(request.team_id, 0) <= 0:
        return None
    for pool in digest.pools:
        if pool.pool_id == pool_id and request.size.fits_in(pool.largest_free):
            return pool.largest_free
    return None


def _interval_s(digest: Digest, peer_count: int) -> float:
    """Return the time to the next digest within the limit of bytes per second."""
    length_bytes = DIGEST_BASE_BYTES
    length_bytes += TEAM_BYTES * len(digest.teams) + POOL_BYTES * len(digest.pools)
    busy = any(team.waiting_count for team in digest.teams)
    wanted_s = BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S
    return max(wanted_s, length_bytes * peer_count / SENT_LIMIT_BYTES_PER_S)


async def _send(link: PeerLink, packed: PackedDigest) -> None:
    await link.call(packed, CALL_TIMEOUT_S)
