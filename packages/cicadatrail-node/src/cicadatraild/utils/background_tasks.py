"""Group of background tasks that run as long as their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Context manager for background tasks, which are cancelled when it exits."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> BackgroundTasks:
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that runs until the group is closed."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)

    async def wait(self, stop: asyncio.Event) -> None:
        """Wait for ``stop`` or the end of a task; raise what that task raised."""
        stopping = asyncio.get_running_loop().create_task(_wait(stop))
        try:
            done, _ = await asyncio.wait(
                {stopping, *self._tasks}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            stopping.cancel()
        for task in done - {stopping}:
            self._tasks.discard(task)
            await task


async def _wait(stop: asyncio.Event) -> None:
    await stop.wait()
