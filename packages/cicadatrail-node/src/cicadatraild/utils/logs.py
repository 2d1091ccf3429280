"""Configuration of logging as text or JSON lines."""

from __future__ import annotations

import json
import logging
import sys
from typing import TextIO

from cicadatraild.utils.settings import LogFormat, LoggingSettings


class JsonFormatter(logging.Formatter):
    """Formatter that writes each record as one JSON object on a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        entry = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def configure_logs(settings: LoggingSettings, stream: TextIO = sys.stderr) -> None:
    """Send all log lines of the daemon to ``stream``."""
    handler = logging.StreamHandler(stream)
    match settings.format:
        case LogFormat.JSON:
            handler.setFormatter(JsonFormatter())
        case LogFormat.TEXT:
            line = "%(asctime)s %(levelname)s %(message)s"
            handler.setFormatter(logging.Formatter(line))
    root = logging.getLogger("cicadatrail")
    root.handlers[:] = [handler]
    root.setLevel(settings.level.value.upper())
    root.propagate = False
