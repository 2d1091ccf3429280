"""Decoding of the reason that workers and the machine service give for a refusal."""

from __future__ import annotations

import json
from typing import Any


def decode_reason(data: bytes) -> str:
    """Return the reason in the body of a refusal, or "" without a valid one."""
    try:
        table: Any = json.loads(data)
    except (ValueError, RecursionError):
        return ""
    reason = table.get("reason") if isinstance(table, dict) else None
    return reason if isinstance(reason, str) else ""
