"""Non-blocking, rate-limited logging of JSON lines to standard output."""

from __future__ import annotations

import json
import logging
import os

LINES_LIMIT_PER_S = 400
"""Lines per logger and second; further lines are counted and dropped."""

_STANDARD = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def format_record(record: logging.LogRecord) -> str:
    """Return a record as one line of JSON, including its extra fields."""
    entry: dict[str, object] = {
        "time_s": round(record.created, 3),
        "level": record.levelname.lower(),
        "part": record.name.removeprefix("cicadatrail."),
        "message": record.getMessage(),
    }
    for name, value in record.__dict__.items():
        if name not in _STANDARD:
            entry[name] = value
    if record.exc_info:
        entry["exception"] = logging.Formatter().formatException(record.exc_info)
    return json.dumps(entry, default=str, separators=(",", ":"))


class OutputHandler(logging.Handler):
    """Handler that writes to a file descriptor and drops lines rather than block.

    ``dropped_count`` counts the lines dropped by the rate limit or because the reader
    is too slow. The number of newly dropped lines is logged with the next line.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._second = 0
        self._counts: dict[str, int] = {}
        self._unreported_count = 0
        self._unwritten = b""
        self.dropped_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(record.name, 0) + 1
        self._counts[record.name] = count
        if count > LINES_LIMIT_PER_S:
            self._drop()
            return
        lines = format_record(record) + "\n"
        if self._unreported_count:
            notice = {"part": "log", "message": "log: lines dropped."}
            notice["count"] = str(self._unreported_count)
            lines = json.dumps(notice) + "\n" + lines
        self._write(lines.encode())

    def _write(self, data: bytes) -> None:
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._descriptor, self._unwritten) :
                ]
                if self._unwritten:
                    self._drop()
                    return
            # The rest of a partly written line is written before the next line.
            self._unwritten = data[os.write(self._descriptor, data) :]
            self._unreported_count = 0
        except OSError:
            # The reader is too slow or gone; logging must not block the daemon.
            self._drop()

    def _drop(self) -> None:
        self._unreported_count += 1
        self.dropped_count += 1


def configure_output() -> OutputHandler:
    """Send all log lines of the daemon to standard output; return the handler."""
    handler = OutputHandler()
    root = logging.getLogger("cicadatrail")
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    return handler
