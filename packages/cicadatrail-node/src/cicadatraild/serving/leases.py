"""Leases under which workers run tasks, renewed while rights may be spent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

from returns.result import Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.platform import WorkerControl

RETRY_FRACTION = 0.1
"""Part of a lease after which a renewal that failed is tried again."""


class TaskLease:
    """Hold the lease of one task; the worker stops it when the lease lapses.

    ``until_s`` is when the worker's newest lease is surely over, counted from
    the sending of the newest renewal, whether it was answered or not.
    """

    __slots__ = (
        "_deadline_s",
        "_ended",
        "_keeper",
        "_timer",
        "task_id",
        "until_s",
        "worker",
    )

    def __init__(
        self, keeper: LeaseRenewer, worker: Worker, task_id: str, deadline_s: float
    ) -> None:
        self._keeper = keeper
        self.worker = worker
        self.task_id = task_id
        self._deadline_s = deadline_s
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self.until_s = 0.0

    def begin(self) -> int:
        """Begin or extend the lease as of now; return its length in ms."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        length_s = min(self._keeper.lease_s, max(0.001, self._deadline_s - now_s))
        self.until_s = max(self.until_s, now_s + length_s)
        # Tasks that end within half a lease cost no message.
        if self.until_s < self._deadline_s:
            self._renew_after(length_s / 2)
        return max(1, round(length_s * 1000))

    def end(self) -> None:
        """Renew no more."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()

    def try_again(self) -> None:
        """Renew soon, since the newest renewal may not have arrived."""
        if not self._ended:
            self._renew_after(self._keeper.lease_s * RETRY_FRACTION)

    def _renew_after(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._renew)

    def _renew(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._deadline_s:
            return
        if not self._keeper.may_spend(now_s):
            self.try_again()
            return
        self._keeper.send(self, self.begin())


class LeaseRenewer:
    """Send renewals of leases in the background."""

    __slots__ = ("_control", "_sends", "lease_s", "may_spend", "renewal_count")

    def __init__(
        self,
        control: WorkerControl,
        may_spend: Callable[[float], bool],
        lease_s: float,
    ) -> None:
        self._control = control
        self._sends: set[asyncio.Task[None]] = set()
        self.may_spend = may_spend
        self.lease_s = lease_s
        self.renewal_count = 0

    async def open(self, stack: AsyncExitStack) -> None:
        """Stop sending when ``stack`` closes."""
        stack.callback(self._close)

    def lease(self, worker: Worker, task_id: str, deadline_s: float) -> TaskLease:
        """Return the lease of a task that is about to be sent."""
        return TaskLease(self, worker, task_id, deadline_s)

    def send(self, lease: TaskLease, length_ms: int) -> None:
        """Send one renewal."""
        self.renewal_count += 1
        send = asyncio.get_running_loop().create_task(self._renew(lease, length_ms))
        self._sends.add(send)
        send.add_done_callback(self._sends.discard)

    async def _renew(self, lease: TaskLease, length_ms: int) -> None:
        answer = await self._control.renew(lease.worker, lease.task_id, length_ms)
        if not isinstance(answer, Success):
            lease.try_again()

    def _close(self) -> None:
        for send in tuple(self._sends):
            send.cancel()
