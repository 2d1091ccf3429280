"""Clocks: the event loop's, the boot clock, and the time of day."""

from __future__ import annotations

import asyncio
import time


def loop_now_s() -> float:
    """Return the event loop's time in seconds; tests can pause and advance it."""
    return asyncio.get_running_loop().time()


def boot_now_s() -> float:
    """Return the time since boot in seconds, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_now_ms() -> int:
    """Return the time of day in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)
