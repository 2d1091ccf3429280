"""Digests that entry instances send each other about once a second."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.peer_messages import Digest
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatraild.network.peer_client import PeerDirectory, PeerLink

BUSY_INTERVAL_S = 0.5
"""Time between two digests to each peer while requests wait here."""

IDLE_INTERVAL_S = 1.0
"""Time between two digests to each peer while none waits."""

DIGEST_LIFE_S = 3.0
"""Time after which a peer's digest says nothing any more."""

CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class _Received:
    digest: Digest
    at_s: float


class Digests:
    """Keep the newest digest of each peer, and send one's own."""

    __slots__ = ("_directory", "_make", "_received")

    def __init__(self, directory: PeerDirectory, make: Callable[[], Digest]) -> None:
        self._directory = directory
        self._make = make
        self._received: dict[IncarnationId, _Received] = {}

    def take(self, digest: Digest) -> None:
        """Take in a peer's digest."""
        now_s = asyncio.get_running_loop().time()
        self._received[digest.incarnation] = _Received(digest, now_s)

    def forget_others(self, members: frozenset[IncarnationId]) -> None:
        """Forget the digests of all but the members."""
        for incarnation in self._received.keys() - members:
            del self._received[incarnation]

    def fresh(self) -> Mapping[IncarnationId, Digest]:
        """Return the digests that still say something."""
        oldest_s = asyncio.get_running_loop().time() - DIGEST_LIFE_S
        return {
            incarnation: received.digest
            for incarnation, received in self._received.items()
            if received.at_s >= oldest_s
        }

    def peer_usage(self) -> Mapping[str, Resources]:
        """Return what each team uses at all peers together."""
        usage: dict[str, Resources] = {}
        for digest in self.fresh().values():
            for team in digest.teams:
                usage[team.team_id] = usage.get(team.team_id, Resources()) + team.used
        return usage

    def peers_with_room(
        self, state: State, request: TaskRequest
    ) -> tuple[PeerLink, ...]:
        """Return links to peers that have room and a slot, roomiest first."""
        service = state.services.get(request.service_id)
        if service is None:
            return ()
        found: list[tuple[int, PeerLink]] = []
        for incarnation, digest in self.fresh().items():
            link = self._directory.link(incarnation)
            room = _room(digest, service.pool_id, request)
            if link is not None and room is not None:
                found.append((room.cpu_millicores, link))
        found.sort(key=lambda entry: entry[0], reverse=True)
        return tuple(link for _, link in found)

    async def run(self) -> None:
        """Send a digest to every peer each interval, until cancelled."""
        while True:
            digest = self._make()
            for link in self._directory.links:
                self._directory.spawn(_send(link, digest))
            busy = any(team.waiting_count for team in digest.teams)
            await asyncio.sleep(BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S)


def _room(digest: Digest, pool_id: str, request: TaskRequest) -> Resources | None:
    """Return the peer's largest free room if the request fits and has a slot."""
    slots = {team.team_id: team.free_slot_count for team in digest.teams}
    if slots.get(request.team_id, 0) <= 0:
        return None
    for pool in digest.pools:
        if pool.pool_id == pool_id and request.size.fits_in(pool.largest_free):
            return pool.largest_free
    return None


async def _send(link: PeerLink, digest: Digest) -> None:
    await link.call(digest, CALL_TIMEOUT_S)
