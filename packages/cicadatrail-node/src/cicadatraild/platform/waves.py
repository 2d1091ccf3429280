"""Decoding of maintenance waves and encoding of their states."""

from __future__ import annotations

import json
import logging

from cicadatrail_core.jobs.models import Wave
from cicadatraild.platform.json_values import (
    DecodeError,
    check_table,
    parse_json,
    read_entries,
    read_integer,
    read_number,
)

logger = logging.getLogger("cicadatrail.platform")


def decode_wave(data: bytes) -> Wave | None:
    """Return a maintenance wave, or None if it is invalid."""
    try:
        table = check_table(parse_json(data))
        machines = read_entries(table, "machines")
        return Wave(
            number=read_integer(table, "wave"),
            machines=tuple(name for name in machines if isinstance(name, str)),
            duration_s=read_number(table, "duration-s", 0),
            limit_count=max(1, read_integer(table, "cap", 1)),
        )
    except DecodeError as error:
        logger.warning(
            "platform: wave is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def encode_wave_state(number: int, is_completed: bool) -> bytes:
    """Return the state of a wave as published to the operators."""
    state = "completed" if is_completed else "running"
    return json.dumps({"wave": number, "state": state}).encode()
