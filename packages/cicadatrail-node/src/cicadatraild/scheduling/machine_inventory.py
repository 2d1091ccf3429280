"""The machines of the fleet as the machine service lists them, and orders to them.

The service doesn't check fences, so two holders may not give orders for one machine
within the platform's gap. Each order is announced in the store before it is sent;
a successor leaves the machines alone that were announced last.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

import msgpack

from cicadatrail_core.jobs.models import Machine, MachineState
from cicadatraild.platform.machines import MachineClient, MachineOutcome
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.machines")

ORDER_GAP_MARGIN_S = 0.3
"""Time added to the platform's gap between the orders of two holders."""

ANNOUNCE_TIMEOUT_S = 1.0
"""Time for an announcement; two calls to a store that is 60 times slow."""

ORDER_LIMIT_S = 2.0
"""Longest time from an announcement to the sending of the order; a slow store
answers within 1 s."""

LIST_RETRY_S = 0.5
"""Pause after the list could not be had."""


class MachineInventory:
    """Keep the newest list, and send orders only while the office is sure."""

    def __init__(
        self,
        client: MachineClient,
        is_lease_valid: Callable[[], bool],
        order_gap_s: float,
        flush: Callable[[], Awaitable[None]],
    ) -> None:
        self.client = client
        self.is_lease_valid = is_lease_valid
        self._gap_s = order_gap_s + ORDER_GAP_MARGIN_S
        self._flush = flush
        self.machines: dict[str, Machine] = {}
        self.listed_s = float("-inf")
        self._failed_s = float("-inf")
        self._own_moves: dict[str, tuple[float, str]] = {}
        self._announced: dict[str, float] = {}
        self._stored_announcements: dict[str, float] = {}
        self._blocked: dict[str, float] = {}
        self.has_unstored_announcements = False

    def encode(self) -> bytes:
        """Return the record of machines that may have got an order lately."""
        self.has_unstored_announcements = False
        now_s = loop_now_s()
        kept_s = self._gap_s + ORDER_LIMIT_S
        for name, announced_s in list(self._announced.items()):
            if now_s - announced_s > kept_s:
                del self._announced[name]
                self._stored_announcements.pop(name, None)
        value: bytes = msgpack.packb([*self._announced])
        return value

    def restore(self, record: bytes) -> None:
        """Leave the machines alone for a while that an earlier holder announced."""
        until_s = loop_now_s() + self._gap_s
        self._blocked = dict.fromkeys(msgpack.unpackb(record), until_s)

    def blocked(self) -> frozenset[str]:
        """Return the machines that an earlier holder may have given an order."""
        now_s = loop_now_s()
        return frozenset(n for n, until_s in self._blocked.items() if until_s > now_s)

    async def announce(self, names: Iterable[str]) -> bool:
        """Store that machines may get an order; tell whether that is done.

        Gives up when the store takes too long; then no order is sent. Raises
        FencedError.
        """
        names = list(names)
        now_s = loop_now_s()
        self._announced.update(dict.fromkeys(names, now_s))
        self.has_unstored_announcements = True
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._flush()
        except TimeoutError:
            logger.warning("machines: not announced.", extra={"machines": names})
            return False
        self._stored_announcements.update(dict.fromkeys(names, now_s))
        return True

    async def refresh(self, age_limit_s: float) -> bool:
        """Read the list if it is older than a limit; tell whether there is one."""
        asked_s = loop_now_s()
        if asked_s - self.listed_s < age_limit_s:
            return bool(self.machines)
        if asked_s - self._failed_s < LIST_RETRY_S:
            return bool(self.machines)
        machines = await self.client.list_machines()
        if machines is None:
            logger.warning("machines: no list.")
            self._failed_s = asked_s
            return bool(self.machines)
        self.machines = {machine.name: machine for machine in machines}
        self.listed_s = asked_s
        for name, (moved_s, pool) in list(self._own_moves.items()):
            if moved_s < asked_s:
                del self._own_moves[name]
            else:
                self._mark_moving(name, pool)
        return True

    async def maintain(self, name: str, wave: int) -> MachineOutcome:
        """Begin the maintenance of an announced machine on which nothing runs."""
        if not self._may_order(name):
            return MachineOutcome.REFUSED
        outcome = await self.client.maintain(name, wave)
        self._log_order(name, outcome, f"wave {wave}")
        return outcome

    async def move(self, name: str, pool: str) -> MachineOutcome:
        """Begin to move an announced machine on which nothing runs to a pool."""
        if not self._may_order(name):
            return MachineOutcome.REFUSED
        outcome = await self.client.move(name, pool)
        if outcome is MachineOutcome.DONE:
            self._own_moves[name] = (loop_now_s(), pool)
            self._mark_moving(name, pool)
        self._log_order(name, outcome, f"move to {pool}")
        return outcome

    def _may_order(self, name: str) -> bool:
        announced_s = self._stored_announcements.get(name, float("-inf"))
        is_recent = loop_now_s() - announced_s < ORDER_LIMIT_S
        return self.is_lease_valid() and is_recent and name not in self.blocked()

    def _mark_moving(self, name: str, pool: str) -> None:
        """Show an own order that is newer than the list."""
        if name in self.machines:
            self.machines[name] = replace(
                self.machines[name],
                pool=pool,
                state=MachineState.MOVING,
                worker_id="",
            )

    def _log_order(self, name: str, outcome: MachineOutcome, purpose: str) -> None:
        logger.info(
            "machines: order sent.",
            extra={
                "machine": name,
                "purpose": purpose,
                "outcome": outcome.value,
                "list_age_s": round(loop_now_s() - self.listed_s, 3),
            },
        )
