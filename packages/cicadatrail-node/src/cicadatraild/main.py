"""Command line entry point of ``cicadatraild``."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING, Any

# Other modules are imported after the signals have been prepared, and to keep
# --check fast.
if TYPE_CHECKING:
    from cicadatraild.utils.settings import Settings

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings; nothing has been started."""

ENDING_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def main() -> int:
    """Run the daemon; return its exit code."""
    _prepare_signals()
    parser = argparse.ArgumentParser(
        prog="cicadatraild", description="An entry instance of cicadatrail."
    )
    parser.add_argument(
        "settings", type=Path, nargs="?", help="the settings file (TOML)"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--platform",
        action="store_true",
        help="run on the platform, which sets the file by an environment variable",
    )
    arguments = parser.parse_args()
    if arguments.platform:
        return _run_on_platform(arguments.settings, arguments.check)
    if arguments.settings is None:
        parser.error("the path of the settings file is required")
    return _run(arguments.settings, arguments.check)


def _prepare_signals() -> None:
    """Handle signals until the running daemon installs handlers of its own.

    By default SIGHUP would end the process, and SIGTERM with an error.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    # Nothing has been started that would have to be ended first. At its end the
    # interpreter restores the default of handlers, but not of ignored signals.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(0)


async def _serve_to_end(serving: Coroutine[Any, Any, int]) -> int:
    """Return the exit code of ``serving``, and block signals from then on.

    The closing event loop restores the default, with which a repeated SIGTERM would
    end the process with an error.
    """
    try:
        return await serving
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)


def _run(path: Path, only_check: bool) -> int:
    from returns.result import Failure, Success

    from cicadatraild.utils.settings import read_settings

    match read_settings(path):
        case Failure(findings):
            for finding in findings:
                print(finding, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Success(settings):
            return 0 if only_check else _serve(settings)
    raise AssertionError("a result is a success or a failure")


def _run_on_platform(path: Path | None, only_check: bool) -> int:
    import asyncio
    import os

    from returns.result import Failure, Success

    from cicadatraild.platform.settings import (
        DEFAULT_PATH,
        SETTINGS_VARIABLE,
        read_platform_settings,
    )

    path = path or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    match read_platform_settings(path):
        case Failure(findings):
            for finding in findings:
                print(finding, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Success(settings):
            if only_check:
                return 0
    from cicadatraild.scheduling.instance import serve_on_platform
    from cicadatraild.utils.output import configure_output

    serving = serve_on_platform(settings, path, configure_output())
    return asyncio.run(_serve_to_end(serving))


def _serve(settings: Settings) -> int:
    import asyncio

    from cicadatraild.process import serve
    from cicadatraild.utils.logs import configure_logs

    configure_logs(settings.logging)
    return asyncio.run(_serve_to_end(serve(settings)))


if __name__ == "__main__":
    sys.exit(main())
