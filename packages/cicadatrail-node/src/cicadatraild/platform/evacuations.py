"""Decoding of requests to evacuate a data centre."""

from __future__ import annotations

import logging

from cicadatraild.platform.json_values import DecodeError, check_table, parse_json
from cicadatraild.platform.store import EVACUATION_KEY_PREFIX, KeyedRecord

logger = logging.getLogger("cicadatrail.platform")

NAME_LIMIT_COUNT = 128
"""Longest name of a data centre, in characters."""


def decode_evacuation(record: KeyedRecord) -> str | None:
    """Return the data centre that a record is about, or None if the key is invalid.

    The key alone names it, so a value that can't be read counts like an empty table.
    """
    name = record.key.removeprefix(EVACUATION_KEY_PREFIX)
    is_valid = 0 < len(name) <= NAME_LIMIT_COUNT and name.isprintable()
    if not is_valid or "/" in name:
        logger.warning(
            "platform: evacuation is invalid; ignored.",
            extra={"key": record.key, "reason": f"{name!r} names no data centre"},
        )
        return None
    if record.value:
        try:
            check_table(parse_json(record.value))
        except DecodeError as error:
            logger.warning(
                "platform: value of an evacuation is invalid; using its key.",
                extra={"key": record.key, "reason": str(error)},
            )
    return name
