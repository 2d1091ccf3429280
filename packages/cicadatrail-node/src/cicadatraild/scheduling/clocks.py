"""Clocks of a process: the loop's, and the one that counts suspended time."""

from __future__ import annotations

import asyncio
import time


def loop_now_s() -> float:
    """Return the loop's time, which tests pause and advance."""
    return asyncio.get_running_loop().time()


def boot_now_s() -> float:
    """Return the time since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_now_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return int(time.time() * 1000)
