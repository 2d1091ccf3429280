"""Main loop of the daemon: runs incarnations in turn until SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal

from cicadatrail_core.fold.apply import ReleaseTooOldError
from cicadatraild.app import Instance
from cicadatraild.utils.settings import Settings

logger = logging.getLogger("cicadatrail.instance")

EXIT_RELEASE_TOO_OLD = 4
"""Exit code when the log has records in effect that this release can't apply."""


async def serve(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    An incarnation that its peers have removed, for example after a pause of the
    process, is replaced by a new one, which owns no rights at first.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        try:
            await Instance(settings).run(stop)
        except ReleaseTooOldError as error:
            logger.error("instance: exiting, as this release is too old: %s.", error)
            return EXIT_RELEASE_TOO_OLD
    return 0
