"""Keeps places and slots charged until a task has surely ended."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack

from returns.result import Success

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.platform import TaskControl
from cicadatrail_core.placement.dispatcher import TaskEnd
from cicadatraild.interfaces.worker_client import HttpWorkerControl
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.leases import TaskLease

logger = logging.getLogger("cicadatrail.tasks")

CONFIRM_INTERVAL_S = 0.25
"""Time between two attempts to stop a task that was given up."""

LEASE_MARGIN_S = 1.0
"""Time after the end of a task's lease when it surely has ended."""


class GivenUpTasks:
    """Stop tasks whose answer nobody waits for, then free what they took.

    A worker goes on with a task when its connection breaks, so that the
    team's slot stays charged until the worker says that the task is gone or
    its lease has lapsed.
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
        """Return how many tasks are not confirmed to have ended."""
        return len(self._tasks)

    async def open(self, stack: AsyncExitStack) -> None:
        """Stop confirming when ``stack`` closes."""
        stack.callback(self._close)

    def give_up(self, lease: TaskLease, ended: TaskEnd) -> None:
        """Begin to stop a task, to be counted as ``ended`` says."""
        task = asyncio.get_running_loop().create_task(self._confirm(lease, ended))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settled(self) -> None:
        """Wait until every given-up task has ended."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def _confirm(self, lease: TaskLease, ended: TaskEnd) -> None:
        lease_end_s = lease.until_s + LEASE_MARGIN_S
        loop = asyncio.get_running_loop()
        while loop.time() < lease_end_s:
            if await self._is_stopped(lease.worker, lease.task_id):
                break
            await asyncio.sleep(CONFIRM_INTERVAL_S)
        self._dispatch_queue.finish(lease.task_id, ended)

    async def _is_stopped(self, worker: Worker, request_id: str) -> bool:
        """Stop the task and tell whether the worker no longer reports it."""
        await self._control.control(worker, request_id, TaskControl.STOP)
        report = await self._control.read_report(worker)
        if not isinstance(report, Success):
            return False
        found = report.unwrap()
        return all(task.task_id != request_id for task in found.tasks)

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()


class PlacedTask:
    """Account once for the end of a task that was placed here."""

    __slots__ = ("_dispatch_queue", "_ended", "_given_up", "lease")

    def __init__(
        self, dispatch_queue: DispatchQueue, given_up: GivenUpTasks, lease: TaskLease
    ) -> None:
        self._dispatch_queue = dispatch_queue
        self._given_up = given_up
        self._ended = False
        self.lease = lease

    def finish(self, ended: TaskEnd) -> None:
        """Free the place of a task that has surely ended or never begun."""
        if not self._end():
            return
        self._dispatch_queue.finish(self.lease.task_id, ended)

    def give_up(self, ended: TaskEnd) -> None:
        """Stop a task that may still run; its place stays charged meanwhile."""
        if self._end():
            self._given_up.give_up(self.lease, ended)

    def _end(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        self.lease.end()
        return True
