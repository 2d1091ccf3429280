"""Exit codes of every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """State how a command ended, for scripts."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
