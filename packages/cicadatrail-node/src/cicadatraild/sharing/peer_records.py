"""Fetches records and snapshots from peers while the log can't be read."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from returns.result import Success

from cicadatrail_core.fold.snapshots import load_state
from cicadatrail_core.models.peer_messages import (
    Digest,
    FetchRecords,
    FetchSnapshot,
    Records,
    Snapshot,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatraild.network.peer_client import PeerDirectory, PeerLink
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.replica")

INTERVAL_S = 0.25
"""Time between two attempts to catch up from peers."""

CALL_TIMEOUT_S = 1.0


class PeerRecords:
    """Catch up from the peer that has folded the most records.

    A peer's state is used only if it is newer, so that the configuration in
    force never goes back to an older version.
    """

    __slots__ = ("_digests", "_directory", "_replica")

    def __init__(
        self,
        replica: Replica,
        directory: PeerDirectory,
        digests: Callable[[], Mapping[IncarnationId, Digest]],
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._digests = digests

    async def run(self) -> None:
        """Catch up whenever the log can't be read, until cancelled."""
        while True:
            if self._replica.failing_since_s is not None:
                await self._catch_up()
            await asyncio.sleep(INTERVAL_S)

    async def _catch_up(self) -> None:
        link = self._best_link()
        if link is None:
            return
        wanted = FetchRecords(self._replica.state.next_offset)
        match await link.call(wanted, CALL_TIMEOUT_S):
            case Success(Records(from_offset, payloads)) if payloads:
                self._replica.apply_records(from_offset, payloads)
            case Success(Records()):
                await self._fetch_snapshot(link)

    async def _fetch_snapshot(self, link: PeerLink) -> None:
        match await link.call(FetchSnapshot(), CALL_TIMEOUT_S):
            case Success(Snapshot(payload)):
                loaded = load_state(payload)
                if isinstance(loaded, Success):
                    logger.info("replica: loaded a snapshot from %s.", link.name)
                    self._replica.install_snapshot(loaded.unwrap())

    def _best_link(self) -> PeerLink | None:
        """Return the link to the peer furthest ahead of this instance, if any."""
        best, best_offset = None, self._replica.state.next_offset
        for incarnation, digest in self._digests().items():
            if digest.next_offset > best_offset:
                best = self._directory.link(incarnation)
                best_offset = digest.next_offset
        return best
