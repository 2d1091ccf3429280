"""The stored record of workers whose leases may last longer than granted ones.

It has the time that is left for each, as instances have no clock in common. The
successor counts it from its reading of the record.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping

import msgpack

from cicadatrail_core.jobs.later_lives import find_long_leases
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatraild.platform.store import KeyedRecord

logger = logging.getLogger("cicadatrail.holder")

LONG_LEASES_KEY = "long-leases"


class LongLeases:
    """Keep the record of long leases as the leader knows them."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        # As stored last, by worker id and on the loop's clock.
        self._stored: dict[str, float] = {}

    def has_changes(self, now_s: float) -> bool:
        """Return whether a lease is longer than stored, or none is long any more."""
        found = find_long_leases(self._scheduler, now_s)
        if not found:
            return bool(self._stored)
        stored = self._stored
        return any(until_s > stored.get(name, 0.0) for name, until_s in found.items())

    def collect(self, now_s: float) -> list[KeyedRecord]:
        """Return the record for the next batch, which counts from now.

        Each batch has it while there are any: the time left of an old one is too long.
        """
        found = find_long_leases(self._scheduler, now_s)
        if not found and not self._stored:
            return []
        self._stored = found
        rows = [(name, until_s - now_s) for name, until_s in found.items()]
        return [KeyedRecord(LONG_LEASES_KEY, msgpack.packb(rows))]

    def restore(
        self, value: bytes | None, former_until_s: float, now_s: float
    ) -> float:
        """Count the leases that the predecessor stored; return when all are over.

        If the record can't be read each worker may have one, by calls of earlier
        leaders until ``former_until_s``.
        """
        if value is None:
            return 0.0
        workers = self._scheduler.workers
        until_s: Mapping[str, float]
        try:
            until_s = _decode(value, now_s)
        except (ValueError, TypeError) as error:
            logger.error(
                "holder: ignoring an invalid record.",
                extra={"key": LONG_LEASES_KEY, "reason": repr(error)},
            )
            limit_s = former_until_s + self._scheduler.settings.longest_lease_s
            until_s = dict.fromkeys(workers, limit_s)
        for worker_id in until_s.keys() & workers.keys():
            worker = workers[worker_id]
            # The list may show a life that the predecessor did not know.
            known_s = worker.later_life_until_s
            worker.later_life_until_s = max(known_s, until_s[worker_id])
        # To be stored anew: what is left then is less.
        self._stored = dict.fromkeys(until_s, 0.0)
        return max(until_s.values(), default=0.0)


def _decode(value: bytes, now_s: float) -> dict[str, float]:
    """Return when leases end by worker id; raise ValueError or TypeError if invalid."""
    until_s = {}
    for worker_id, left_s in msgpack.unpackb(value):
        if not isinstance(worker_id, str) or type(left_s) is not float:
            raise ValueError(f"lease can't be {(worker_id, left_s)!r}")
        if not 0 <= left_s < math.inf:
            raise ValueError(f"lease can't last {left_s!r} s")
        until_s[worker_id] = now_s + left_s / (1 - CLOCK_DRIFT)
    return until_s
