"""Stored records of the queues that have jobs.

The configuration that a successor reads may be newer than the jobs: it may lack their
queue, or give it another pool than the one in which they run.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import asdict, fields
from typing import Any

import msgpack

from cicadatrail_core.jobs.models import Queue
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.holder")

QUEUE_PREFIX = "q/"

FORMAT = 1
"""Version of the record format."""


class QueueRecords:
    """Encode the queues that have jobs, and restore them after a takeover."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        # Each queue's newest record that is stored or about to be.
        self._values: dict[str, bytes] = {}

    def has_changes(self) -> bool:
        """Return whether the record of a queue may have to be replaced."""
        pools = self._scheduler.queue_pools
        return any(
            name in self._values or name in pools.unstored for name in pools.changed
        )

    def collect(
        self, changed_job_ids: Iterable[str]
    ) -> tuple[list[KeyedRecord], Callable[[], None]]:
        """Return the changed records, and a callback for once they are stored.

        Includes the queues of jobs that are about to be stored.
        """
        scheduler = self._scheduler
        changed, scheduler.queue_pools.changed = scheduler.queue_pools.changed, set()
        names = {n for n in changed if n in self._values}
        names |= scheduler.queue_pools.unstored
        for job_id in changed_job_ids:
            job = scheduler.jobs.get(job_id)
            if job is not None and not job.is_stored:
                names.add(job.definition.queue)
        records = []
        pools: dict[str, str] = {}
        for name in names & scheduler.queues.keys():
            pools[name] = scheduler.queues[name].pool
            value = self._encode(name)
            if value != self._values.get(name):
                self._values[name] = value
                records.append(KeyedRecord(QUEUE_PREFIX + name, value))
        records += self._collect_unused()

        def on_stored() -> None:
            for name, pool in pools.items():
                if scheduler.queues[name].pool == pool:
                    scheduler.queue_pools.unstored.discard(name)
            if pools:
                scheduler.on_change()

        return records, on_stored

    def _collect_unused(self) -> list[KeyedRecord]:
        """Return deletions of queues that were removed and have no jobs left."""
        scheduler = self._scheduler
        configured = {queue.name for queue in scheduler.configuration.queues}
        removed = self._values.keys() - configured
        if not removed:
            return []
        removed -= {job.definition.queue for job in scheduler.jobs.values()}
        for name in removed:
            del self._values[name]
        return [KeyedRecord(QUEUE_PREFIX + name, None) for name in sorted(removed)]

    def _encode(self, name: str) -> bytes:
        former = self._scheduler.queue_pools.former.get(name, ())
        value: bytes = msgpack.packb(
            [FORMAT, asdict(self._scheduler.queues[name]), sorted(former)]
        )
        return value

    def restore(self, values: dict[str, bytes]) -> None:
        """Restore the queues of the stored jobs, which must have been inherited.

        The jobs of a queue without a readable record may run in any pool.
        """
        scheduler = self._scheduler
        for key, value in values.items():
            if key.startswith(QUEUE_PREFIX):
                self._restore_queue(key.removeprefix(QUEUE_PREFIX), value)
        every_pool = frozenset(w.facts.pool for w in scheduler.workers.values())
        for name in {job.definition.queue for job in scheduler.jobs.values()}:
            queue = scheduler.queues.get(name)
            if queue is not None and name not in self._values:
                scheduler.queue_pools.restore(queue, every_pool)
                scheduler.queue_pools.unstored.add(name)

    def _restore_queue(self, name: str, value: bytes) -> None:
        try:
            stored, former = _decode(value)
        except Exception as error:
            # Bytes of another writer may fail to decode in any way.
            logger.error(
                "holder: ignoring an invalid record.",
                extra={"key": QUEUE_PREFIX + name, "reason": repr(error)},
            )
            return
        queue = self._scheduler.queues.setdefault(name, stored)
        self._values[name] = value
        self._scheduler.queue_pools.restore(queue, former | {stored.pool})


def _decode(value: bytes) -> tuple[Queue, frozenset[str]]:
    """Return a stored queue and its former pools; raise if they are invalid."""
    record_format, entry, former = msgpack.unpackb(value)
    if record_format != FORMAT:
        raise ValueError(f"queue record has unsupported format {record_format}")
    queue = Queue(**entry)
    sample: Any = Queue("", "", "", "")
    for field in fields(queue):
        expected = type(getattr(sample, field.name))
        if type(getattr(queue, field.name)) is not expected:
            raise TypeError(f"{field.name} can't be {getattr(queue, field.name)!r}")
    if not all(isinstance(pool, str) for pool in former):
        raise TypeError(f"the former pools can't be {former!r}")
    return queue, frozenset(former)
