"""Exit codes shared by all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command, for use in scripts.

    ``UNKNOWN`` also covers time limits, interrupts, internal errors and instances
    that do not respond.
    """

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
