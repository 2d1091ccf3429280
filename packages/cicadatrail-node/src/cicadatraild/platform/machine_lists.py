"""Decoding of the machine service's lists of machines."""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.models import Machine, MachineState
from cicadatraild.platform.json_values import (
    DecodeError,
    check_table,
    check_text,
    parse_json,
    read_entries,
    read_text,
)

logger = logging.getLogger("cicadatrail.platform")

_MACHINE_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}


def decode_machines(data: bytes) -> tuple[list[Machine], str] | None:
    """Return a page of machines and the token of the next page, or None if invalid.

    The token of the last page is empty.
    """
    try:
        table = check_table(parse_json(data))
        machines = []
        for entry in read_entries(table, "machines"):
            row = check_table(entry)
            labels = read_entries(row, "labels")
            state = _MACHINE_STATES.get(read_text(row, "state"), MachineState.UNKNOWN)
            machines.append(
                Machine(
                    name=read_text(row, "machine"),
                    pool=read_text(row, "pool"),
                    state=state,
                    worker_id=read_text(row, "id", ""),
                    # The first label is the kind of machine, the second its rack.
                    kind=check_text("labels", labels[0]) if labels else "",
                    data_centre=read_text(row, "zone", ""),
                )
            )
        token = table.get("next-token")
        if token is None:
            return machines, ""
        if isinstance(token, bool) or not isinstance(token, str | int):
            raise DecodeError(f"next-token can't be {token!r}")
        return machines, check_text("next-token", str(token))
    except DecodeError as error:
        logger.warning(
            "platform: machine list is invalid; ignored.", extra={"reason": str(error)}
        )
        return None
