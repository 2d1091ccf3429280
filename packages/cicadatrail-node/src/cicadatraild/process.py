"""The life of the process: one incarnation after another until SIGTERM."""

from __future__ import annotations

import asyncio
import signal

from cicadatraild.app import Instance
from cicadatraild.utils.settings import Settings


async def serve(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    An incarnation that its peers struck out, say after a pause, is followed
    by a new one that holds nothing yet.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        await Instance(settings).run(stop)
    return 0
