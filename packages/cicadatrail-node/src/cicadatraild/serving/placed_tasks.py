"""Accounting for placed tasks: capacity stays charged until a task has ended."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack

from returns.result import Success

from cicadatrail_core.models.platform import TaskControl
from cicadatrail_core.placement.dispatcher import TaskEnd
from cicadatraild.interfaces.worker_client import HttpWorkerControl
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.leases import TaskLease

logger = logging.getLogger("cicadatrail.tasks")

STOP_RETRY_INTERVAL_S = 0.25
"""Time between attempts to stop a task that was given up."""

LEASE_MARGIN_S = 1.0
"""Time after the expiry of a task's lease until the task is certain to have ended."""


class GivenUpTasks:
    """Stop tasks whose reply is no longer needed, then free their capacity.

    A worker continues a task when the connection breaks, so the team's slot
    stays charged until the worker no longer reports the task or its lease has
    expired.
    """

    __slots__ = ("_control", "_dispatch_queue", "_tasks")

    def __init__(
        self, dispatch_queue: DispatchQueue, control: HttpWorkerControl
    ) -> None:
        self._dispatch_queue = dispatch_queue
        self._control = control
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """Return the number of given-up tasks that are not confirmed to have ended."""
        return len(self._tasks)

    async def open(self, stack: AsyncExitStack) -> None:
        """Cancel the background work when ``stack`` closes."""
        stack.callback(self._close)

    def give_up(self, lease: TaskLease, task_end: TaskEnd) -> None:
        """Stop a task in the background, then finish it with ``task_end``."""
        task = asyncio.get_running_loop().create_task(
            self._stop_until_confirmed(lease, task_end)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settled(self) -> None:
        """Wait until every given-up task has ended."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def _stop_until_confirmed(self, lease: TaskLease, task_end: TaskEnd) -> None:
        loop = asyncio.get_running_loop()
        # A renewal that is under way may still extend the lease.
        while loop.time() < lease.expiry_s + LEASE_MARGIN_S:
            if await self._stop_and_check(lease):
                break
            await asyncio.sleep(STOP_RETRY_INTERVAL_S)
        self._dispatch_queue.finish(lease.task_id, task_end)

    async def _stop_and_check(self, lease: TaskLease) -> bool:
        """Stop the task; return whether the worker no longer reports it."""
        await self._control.control(lease.worker, lease.task_id, TaskControl.STOP)
        asked_s = asyncio.get_running_loop().time()
        report = await self._control.read_report(lease.worker)
        if not isinstance(report, Success):
            return False
        found = report.unwrap()
        # A cut-off worker's address may have been given to another worker.
        if found.worker_id != lease.worker.worker_id:
            return False
        # A report that was made before the task was sent can't name it.
        if asked_s - found.age_s <= lease.started_s:
            return False
        return all(task.task_id != lease.task_id for task in found.tasks)

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()


class PlacedTask:
    """A task placed by this instance, whose end is accounted for exactly once."""

    __slots__ = ("_dispatch_queue", "_ended", "_given_up", "lease")

    def __init__(
        self, dispatch_queue: DispatchQueue, given_up: GivenUpTasks, lease: TaskLease
    ) -> None:
        self._dispatch_queue = dispatch_queue
        self._given_up = given_up
        self._ended = False
        self.lease = lease

    def finish(self, task_end: TaskEnd) -> None:
        """Free the placement of a task that has ended for certain or never started."""
        if not self._mark_ended():
            return
        self._dispatch_queue.finish(self.lease.task_id, task_end)

    def give_up(self, task_end: TaskEnd) -> None:
        """Stop a task that may still run; it stays charged until it has ended."""
        if self._mark_ended():
            self._given_up.give_up(self.lease, task_end)

    def _mark_ended(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        self.lease.end()
        return True
