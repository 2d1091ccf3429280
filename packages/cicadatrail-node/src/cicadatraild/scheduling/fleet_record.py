"""The stored records of the workers that may run subtasks, and of their machines.

Machines have a record of their own, so that an instance that doesn't know it can still
read the list of workers.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from dataclasses import astuple, replace
from typing import Any

import msgpack

from cicadatrail_core.jobs.models import WorkerFacts
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import Resources
from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.holder")

FLEET_KEY = "fleet"
MACHINES_KEY = "fleet-machines"


def encode_fleet(workers: Collection[WorkerState]) -> list[KeyedRecord]:
    """Return the records of workers and their machines."""
    entries = [
        [
            worker.facts.worker_id,
            worker.facts.pool,
            worker.facts.host,
            worker.facts.port,
            astuple(worker.facts.capacity),
            worker.born_unix_ms,
        ]
        for worker in workers
    ]
    machines = {
        worker.facts.worker_id: worker.facts.machine
        for worker in workers
        if worker.facts.machine
    }
    # Before the workers, as an append may be split.
    return [
        KeyedRecord(MACHINES_KEY, msgpack.packb(machines)),
        KeyedRecord(FLEET_KEY, msgpack.packb(entries)),
    ]


def decode_fleet(value: bytes, machines: bytes | None) -> list[WorkerFacts]:
    """Return the stored workers; raise ValueError or TypeError if they are invalid.

    Machines that can't be read are logged and left out.
    """
    names = _decode_machines(machines) if machines is not None else {}
    workers = [_decode_worker(entry) for entry in msgpack.unpackb(value)]
    return [replace(facts, machine=names.get(facts.worker_id, "")) for facts in workers]


def _decode_machines(value: bytes) -> dict[str, str]:
    try:
        machines = msgpack.unpackb(value)
        if not isinstance(machines, dict):
            raise TypeError(f"machines can't be {machines!r}")
        if not all(isinstance(name, str) for name in machines.values()):
            raise ValueError(f"machines can't be {machines!r}")
    except (ValueError, TypeError) as error:
        logger.error(
            "holder: ignoring an invalid record.",
            extra={"key": MACHINES_KEY, "reason": repr(error)},
        )
        return {}
    return machines


def _decode_worker(entry: list[Any]) -> WorkerFacts:
    """Return the facts of a stored worker; raise ValueError or TypeError if invalid."""
    worker_id, pool, host, port, capacity, born_unix_ms = entry
    amounts = (*capacity, port, born_unix_ms)
    if not all(isinstance(text, str) for text in (worker_id, pool, host)):
        raise ValueError(f"worker can't be {entry!r}")
    if not all(type(amount) is int for amount in amounts):
        raise ValueError(f"worker can't be {entry!r}")
    return WorkerFacts(
        worker_id=worker_id,
        pool=pool,
        host=host,
        port=port,
        zone="",
        capacity=Resources(*capacity),
        born_unix_ms=born_unix_ms,
    )
