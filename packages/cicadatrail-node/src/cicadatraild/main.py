"""Command line entry point of ``cicadatraild``."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING

# Other modules are imported after the signals have been prepared, and to keep
# --check fast.
if TYPE_CHECKING:
    from cicadatraild.utils.settings import Settings

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings; nothing has been started."""


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
    # Nothing has been started that would have to be ended first.
    sys.exit(0)


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

    return asyncio.run(serve_on_platform(settings, path, configure_output()))


def _serve(settings: Settings) -> int:
    import asyncio

    from cicadatraild.process import serve
    from cicadatraild.utils.logs import configure_logs

    configure_logs(settings.logging)
    return asyncio.run(serve(settings))


if __name__ == "__main__":
    sys.exit(main())
