"""Decoding of the entries that workers store about themselves."""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.models import WorkerFacts
from cicadatraild.platform.json_values import (
    DecodeError,
    check_table,
    check_text,
    parse_json,
    read_entries,
    read_integer,
    read_resources,
    read_text,
)
from cicadatraild.platform.settings import parse_address

logger = logging.getLogger("cicadatrail.platform")

_WORKER_STATES = ("ready", "draining")


def decode_worker(worker_id: str, data: bytes) -> WorkerFacts | None:
    """Return the facts in a worker's entry, or None if the entry is invalid."""
    try:
        table = check_table(parse_json(data))
        address = parse_address(read_text(table, "address"))
        state = read_text(table, "state")
        if address is None or state not in _WORKER_STATES:
            raise DecodeError(f"address or state is invalid in {table!r}")
        labels = read_entries(table, "labels")
        return WorkerFacts(
            worker_id=check_text("worker id", worker_id),
            pool=read_text(table, "service"),
            host=address.host,
            port=address.port,
            zone=read_text(table, "zone"),
            capacity=read_resources(check_table(table.get("capacity")), None),
            labels=tuple(label for label in labels if isinstance(label, str)),
            draining=state == "draining",
            remaining_ms=read_integer(table, "remaining-ms", 0),
            # "born" is the start time of the worker's present incarnation.
            born_unix_ms=read_integer(table, "born", 0),
            clock_ms=read_integer(table, "clock-ms", 0),
            machine=read_text(table, "machine", ""),
            cold_ms=read_integer(table, "cold-remaining-ms", 0),
        )
    except DecodeError as error:
        logger.warning(
            "platform: worker entry is invalid; skipped.",
            extra={"worker_id": worker_id, "reason": str(error)},
        )
        return None
