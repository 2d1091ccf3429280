"""Log lines as text or JSON, with a fixed prefix for each part."""

from __future__ import annotations

import json
import logging
import sys
from typing import TextIO

from cicadatraild.utils.settings import LogFormat, LoggingSettings


class JsonFormatter(logging.Formatter):
    """Write each record as one JSON object on a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
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
    """Send the logs of all parts to ``stream``."""
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
