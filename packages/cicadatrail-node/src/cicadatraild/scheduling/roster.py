"""The machines of the fleet as the machine service lists them, and orders to them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from cicadatrail_core.jobs.models import Machine, MachineState
from cicadatraild.platform.machines import MachineClient, MachineOutcome
from cicadatraild.scheduling.clocks import loop_now_s

logger = logging.getLogger("cicadatrail.machines")

LIST_RETRY_S = 0.5
"""Pause after the list could not be had."""


class MachineRoster:
    """Keep the newest list, and send orders only while the office is sure."""

    def __init__(self, client: MachineClient, is_sure: Callable[[], bool]) -> None:
        self.client = client
        self._is_sure = is_sure
        self.machines: dict[str, Machine] = {}
        self.listed_s = float("-inf")
        self._failed_s = float("-inf")
        self._moved: dict[str, tuple[float, str]] = {}

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
        for name, (moved_s, pool) in list(self._moved.items()):
            if moved_s < asked_s:
                del self._moved[name]
            else:
                self._set_moving(name, pool)
        return True

    async def maintain(self, name: str, wave: int) -> MachineOutcome:
        """Begin the maintenance of a machine on which nothing runs."""
        if not self._is_sure():
            return MachineOutcome.REFUSED
        outcome = await self.client.maintain(name, wave)
        self._note(name, outcome, f"wave {wave}")
        return outcome

    async def move(self, name: str, pool: str) -> MachineOutcome:
        """Begin to move a machine on which nothing runs to another pool."""
        if not self._is_sure():
            return MachineOutcome.REFUSED
        outcome = await self.client.move(name, pool)
        if outcome is MachineOutcome.DONE:
            self._moved[name] = (loop_now_s(), pool)
            self._set_moving(name, pool)
        self._note(name, outcome, f"move to {pool}")
        return outcome

    def _set_moving(self, name: str, pool: str) -> None:
        """Show an own order that is newer than the list."""
        if name in self.machines:
            self.machines[name] = replace(
                self.machines[name],
                pool=pool,
                state=MachineState.MOVING,
                worker_id="",
            )

    def _note(self, name: str, outcome: MachineOutcome, purpose: str) -> None:
        logger.info(
            "machines: order sent.",
            extra={
                "machine": name,
                "purpose": purpose,
                "outcome": outcome.value,
                "list_age_s": round(loop_now_s() - self.listed_s, 3),
            },
        )
