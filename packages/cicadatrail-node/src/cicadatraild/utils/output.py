"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import json
import logging
import os

LINES_LIMIT_PER_S = 400
"""Lines of one part in a second; more are counted and left out."""

_STANDARD = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def format_record(record: logging.LogRecord) -> str:
    """Return a record as one line of JSON with all its fields."""
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
    """Write lines to a descriptor; what can't be written at once is dropped.

    ``dropped_count`` counts lines left out, by a part's limit or because
    nobody reads; the count is written with the next line that gets through.
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
        """Write a record, or count it as dropped."""
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
            # A line that got through in part is finished first, next time.
            self._unwritten = data[os.write(self._descriptor, data) :]
            self._unreported_count = 0
        except OSError:
            # Nobody reads; the lines are counted, as nothing may wait for them.
            self._drop()

    def _drop(self) -> None:
        self._unreported_count += 1
        self.dropped_count += 1


def configure_output() -> OutputHandler:
    """Send the lines of all parts to standard output."""
    handler = OutputHandler()
    root = logging.getLogger("cicadatrail")
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    root.propagate = False
    return handler
