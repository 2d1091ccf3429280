"""An event loop on virtual time, which is paused while there is work to do.

When the loop is idle, the clock advances to the next timer. Sockets on loopback
work: before each advance the selector is polled once more after a short real
delay.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

T = TypeVar("T")

GRACE_S = 0.00005
"""Real time that sockets get before the clock advances."""

STUCK_S = 5.0
"""Real time without an event or a timer after which the loop has stalled."""


class StuckError(Exception):
    """Raised when no event arrives and no timer is left."""


class _PausedSelector(selectors.BaseSelector):
    """A selector that advances the clock instead of waiting."""

    def __init__(self) -> None:
        self._real = selectors.DefaultSelector()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout <= 0:
            return self._real.select(0)
        if timeout is None:
            return self._select_without_timer()
        events = self._real.select(0)
        if not events:
            time.sleep(GRACE_S)
            events = self._real.select(0)
        if not events:
            self.now_s += timeout
        return events

    def _select_without_timer(self) -> Any:
        events = self._real.select(STUCK_S)
        if not events:
            raise StuckError(
                "the loop has stalled: no event arrived and no timer is left"
            )
        return events

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        return self._real.unregister(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._real.modify(fileobj, events, data)

    def close(self) -> None:
        self._real.close()

    def get_map(self) -> Mapping[Any, Any]:
        return self._real.get_map()


class PausedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only from timer to timer."""

    def __init__(self) -> None:
        self.paused_selector = _PausedSelector()
        super().__init__(self.paused_selector)

    def time(self) -> float:
        return self.paused_selector.now_s


def run_paused(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on virtual time and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(main)
