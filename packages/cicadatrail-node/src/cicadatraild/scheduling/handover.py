"""Handing leadership over to a peer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.leadership import Leadership

logger = logging.getLogger("cicadatrail.instance")

SUCCESSOR_PAUSE_S = 0.2
"""Interval between queries for a successor while no peer can lead."""


class Handover:
    """Hand leadership over to the peer that is least likely to stop soon.

    ``prepare`` stores what the successor has to know, before the release.
    """

    def __init__(
        self,
        leadership: Leadership,
        entry: Entry,
        prepare: Callable[[], Awaitable[None]],
    ) -> None:
        self._leadership = leadership
        self._entry = entry
        self._prepare = prepare

    async def to_peer(self) -> None:
        """Release leadership, also if no peer can lead."""
        successor = ""
        if self._leadership.held_epoch:
            successor = await self._entry.choose_successor()
        await self.release(successor)

    async def until(self, time_s: float) -> None:
        """Hand over whenever a peer can lead, until a time.

        Leads on meanwhile, as callers would wait for another leader. This instance may
        also be elected in that time: a claim may be under way, or a leader may have
        named it before it was told to stop.
        """
        try:
            async with asyncio.timeout_at(time_s):
                while True:
                    await self._try_to_hand_over()
                    await asyncio.sleep(SUCCESSOR_PAUSE_S)
        except TimeoutError:
            return

    async def _try_to_hand_over(self) -> None:
        if not self._leadership.held_epoch:
            return
        successor = await self._entry.choose_successor()
        if successor:
            # Not interrupted: an unstored release would leave no leader for a while.
            await asyncio.shield(self.release(successor))

    async def release(self, successor: str) -> None:
        """Release leadership, if this instance is the leader, and make no more claims.

        ``successor`` is the host that should claim first, or "" for any.
        """
        epoch = self._leadership.held_epoch
        if epoch:
            logger.info(
                "instance: handing over leadership.",
                extra={"epoch": epoch, "successor": successor},
            )
            await self._prepare()
        await self._leadership.release(successor)
