"""Inventory of the fleet's machines, and orders to the machine service.

The machine service doesn't check fencing tokens, so two leaders must not send orders
for one machine within the gap that the platform prescribes. Each order is announced
in the store before it is sent; a successor sends no orders for the machines that were
announced last until the gap is over.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType

import msgpack

from cicadatrail_core.jobs.models import Machine, MachineState
from cicadatraild.platform.machines import MachineClient, MachineOutcome
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.machines")

ORDER_GAP_MARGIN_S = 0.3
"""Margin added to the platform's gap between the orders of two leaders."""

ANNOUNCE_TIMEOUT_S = 1.0
"""Timeout of an announcement; two calls to a store that is 60 times slower than
usual."""

ORDER_LIMIT_S = 2.0
"""Longest time between an announcement and the sending of its order; a slow store
answers within 1 s."""

NOTHING_TOLD: Mapping[str, float] = MappingProxyType({})

LIST_RETRY_S = 0.5
"""Delay before the list is requested again after a failure."""


class MachineInventory:
    """Cache the newest list, and send orders only while the lease is valid."""

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
        self._recorded: dict[str, None] = {}
        self._all_blocked_until_s = float("-inf")
        self.has_unstored_announcements = False

    def encode(self) -> bytes:
        """Return the record of the machines that may recently have got an order.

        Drops announcements that are too old to matter to a successor. Those of earlier
        leaders stay in it during the gap, as the record replaces theirs.
        """
        self.has_unstored_announcements = False
        self._recorded = self._recent_names()
        for name in self._announced.keys() - self._recorded.keys():
            del self._announced[name]
            self._stored_announcements.pop(name, None)
        value: bytes = msgpack.packb([*self._recorded])
        return value

    def drop_old_announcements(self) -> bool:
        """Return whether the record has to be stored anew, as parts of it are too old.

        A successor would leave machines alone whose orders are long over.
        """
        if self._recorded.keys() - self._recent_names().keys():
            self.has_unstored_announcements = True
        return self.has_unstored_announcements

    def _recent_names(self) -> dict[str, None]:
        """Return the machines that a successor has to leave alone."""
        now_s = loop_now_s()
        old_s = now_s - self._gap_s - ORDER_LIMIT_S
        inherited = [n for n, until_s in self._blocked.items() if until_s > now_s]
        own = [n for n, since_s in self._announced.items() if since_s >= old_s]
        return dict.fromkeys((*inherited, *own))

    def restore(
        self, record: bytes, told_s: Mapping[str, float] = NOTHING_TOLD
    ) -> None:
        """Block the machines that an earlier leader announced until the gap is over.

        ``told_s`` has that time for machines for which the last one sent no order.
        Blocks all machines if the record can't be read.
        """
        until_s = loop_now_s() + self._gap_s
        try:
            self._blocked = {
                name: min(until_s, told_s.get(name, until_s))
                for name in msgpack.unpackb(record)
            }
            self._recorded = dict.fromkeys(self._blocked)
        except (ValueError, TypeError) as error:
            self._all_blocked_until_s = until_s
            logger.error(
                "machines: stored orders can't be read; none is sent in the gap.",
                extra={"reason": repr(error)},
            )

    def blocked(self) -> frozenset[str]:
        """Return the machines for which an earlier leader may have sent an order."""
        now_s = loop_now_s()
        if now_s < self._all_blocked_until_s:
            return frozenset(self.machines)
        return frozenset(n for n, until_s in self._blocked.items() if until_s > now_s)

    def blocked_left(self) -> dict[str, float]:
        """Return for how long machines are left alone that it hasn't announced."""
        now_s = loop_now_s()
        return {
            name: until_s - now_s
            for name, until_s in self._blocked.items()
            if name not in self._announced
        }

    def order_due_s(self, name: str) -> float:
        """Return until when an earlier leader's order for a machine may be sent."""
        until_s = max(self._all_blocked_until_s, self._blocked.get(name, -math.inf))
        return until_s - self._gap_s + ORDER_LIMIT_S

    async def announce(self, names: Iterable[str]) -> bool:
        """Store that machines may get an order; return whether it is stored.

        Returns False when the store takes too long; no order is sent then. Raises
        FencedError when a newer leader writes.
        """
        names = list(names)
        now_s = loop_now_s()
        self._announced.update(dict.fromkeys(names, now_s))
        self.has_unstored_announcements = True
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._flush()
        except TimeoutError:
            logger.warning(
                "machines: announcement timed out; no order is sent.",
                extra={"machines": names},
            )
            return False
        self._stored_announcements.update(dict.fromkeys(names, now_s))
        return True

    async def refresh(self, age_limit_s: float) -> bool:
        """Update the list if it is older than a limit; return whether there is one."""
        asked_s = loop_now_s()
        if asked_s - self.listed_s < age_limit_s:
            return bool(self.machines)
        if asked_s - self._failed_s < LIST_RETRY_S:
            return bool(self.machines)
        machines = await self.client.list_machines()
        if machines is None:
            logger.warning("machines: list request failed.")
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
        """Start the maintenance of an announced machine on which nothing runs."""
        outcome = await self.client.maintain(name, wave, lambda: self._may_order(name))
        self._log_order(name, outcome, f"wave {wave}")
        return outcome

    async def move(self, name: str, pool: str) -> MachineOutcome:
        """Start the move of an announced machine on which nothing runs to a pool."""
        outcome = await self.client.move(name, pool, lambda: self._may_order(name))
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
        """Apply an own order that the list doesn't show yet."""
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
