"""Task leases, renewed while this instance may use its rights."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import AsyncExitStack

from returns.result import Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.platform import WorkerControl

RETRY_FRACTION = 0.1
"""Fraction of the lease duration after which a failed renewal is retried."""


class TaskLease:
    """Lease of one task; the worker stops the task when the lease expires.

    ``expiry_s`` is the loop time by which the worker's latest lease has expired,
    counted from the end of the latest renewal, as it may have arrived until then.
    ``started_s`` is the loop time at which the task was sent, body included.
    """

    __slots__ = (
        "_deadline_s",
        "_ended",
        "_renewer",
        "_start_duration_s",
        "_timer",
        "expiry_s",
        "started_s",
        "task_id",
        "worker",
    )

    def __init__(
        self, renewer: LeaseRenewer, worker: Worker, task_id: str, deadline_s: float
    ) -> None:
        self._renewer = renewer
        self.worker = worker
        self.task_id = task_id
        self._deadline_s = deadline_s
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self.expiry_s = 0.0
        self.started_s = math.inf
        self._start_duration_s = 0.0

    def start(self) -> int:
        """Start the lease of a task that is sent now; return its duration in ms."""
        self.started_s = asyncio.get_running_loop().time()
        duration_ms = self.extend()
        self._start_duration_s = duration_ms / 1000
        return duration_ms

    def restart(self) -> None:
        """Count the lease from now, as the end of the task's body is sent.

        A worker may start a task, and its lease, only when it has the whole body.
        """
        self.started_s = asyncio.get_running_loop().time()
        self.expiry_s = max(self.expiry_s, self.started_s + self._start_duration_s)

    def extend(self) -> int:
        """Extend the lease from now; return its duration in ms."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        duration_s = min(self._renewer.lease_s, max(0.001, self._deadline_s - now_s))
        self.expiry_s = max(self.expiry_s, now_s + duration_s)
        # Tasks that end within half a lease need no renewal message.
        if self.expiry_s < self._deadline_s:
            self._renew_after(duration_s / 2)
        return max(1, round(duration_s * 1000))

    def note_arrival(self, duration_ms: int) -> None:
        """Count a renewal from now, as it may have arrived at any time before."""
        now_s = asyncio.get_running_loop().time()
        self.expiry_s = max(self.expiry_s, now_s + duration_ms / 1000)

    def end(self) -> None:
        """Stop renewing the lease."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()

    def retry_soon(self) -> None:
        """Schedule an early renewal, since the latest one may not have arrived."""
        if not self._ended:
            self._renew_after(self._renewer.lease_s * RETRY_FRACTION)

    def _renew_after(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._renew)

    def _renew(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._deadline_s:
            return
        if not self._renewer.may_use_rights(now_s):
            self.retry_soon()
            return
        self._renewer.send(self, self.extend())


class LeaseRenewer:
    """Create task leases and send their renewals in the background."""

    __slots__ = ("_control", "_sends", "lease_s", "may_use_rights", "renewal_count")

    def __init__(
        self,
        control: WorkerControl,
        may_use_rights: Callable[[float], bool],
        lease_s: float,
    ) -> None:
        self._control = control
        self._sends: set[asyncio.Task[None]] = set()
        self.may_use_rights = may_use_rights
        self.lease_s = lease_s
        self.renewal_count = 0

    async def open(self, stack: AsyncExitStack) -> None:
        """Cancel renewals in progress when ``stack`` closes."""
        stack.callback(self._close)

    def create_lease(
        self, worker: Worker, task_id: str, deadline_s: float
    ) -> TaskLease:
        """Return a lease for a task that is about to be sent."""
        return TaskLease(self, worker, task_id, deadline_s)

    def send(self, lease: TaskLease, duration_ms: int) -> None:
        """Send one renewal in the background."""
        self.renewal_count += 1
        send = asyncio.get_running_loop().create_task(self._renew(lease, duration_ms))
        self._sends.add(send)
        send.add_done_callback(self._sends.discard)

    async def _renew(self, lease: TaskLease, duration_ms: int) -> None:
        answer = await self._control.renew(lease.worker, lease.task_id, duration_ms)
        if isinstance(answer, Success) or answer.failure().maybe_done:
            lease.note_arrival(duration_ms)
        if not isinstance(answer, Success):
            lease.retry_soon()

    def _close(self) -> None:
        for send in tuple(self._sends):
            send.cancel()
