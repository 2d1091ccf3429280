"""The platform's list of workers, as the leader follows it."""

from __future__ import annotations

import logging

from cicadatrail_core.jobs.evacuation import evacuate
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatraild.platform.store import WORKERS_TOPIC, KeyedRecord, StoreClient
from cicadatraild.platform.worker_entries import decode_worker
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.feeds import TopicFeed

logger = logging.getLogger("cicadatrail.holder")

LIST_GRACE_S = 2.5
"""Time for which a worker may be missing from the list, as entries expire while the
store is unavailable."""

STORE_OUTAGE_WINDOW_S = 6.0
"""Time after a failed read of the list in which entries may have expired."""

WORKERS_PAUSE_S = 0.15
"""Delay between reads of the list of workers, so that changes are batched."""

LIST_AGE_LIMIT_S = 2.5
"""Age of the list of workers from which nothing starts while the store answers.

A capacity that has shrunk counts 3 s after its worker's entry could be read.
"""


class WorkerList:
    """Keep the scheduler's workers as the platform lists them.

    ``feed`` follows the list. Workers that are missing from it stay known for a while;
    those that are draining are evacuated.
    """

    def __init__(self, store: StoreClient, scheduler: Scheduler) -> None:
        self.feed = TopicFeed(
            store, WORKERS_TOPIC, self._update, self._mark_missing, WORKERS_PAUSE_S
        )
        self._scheduler = scheduler
        # When each worker that is missing from the list counts as removed from it.
        self._missing: dict[str, float] = {}
        # Since when each worker has been draining.
        self._draining: dict[str, float] = {}

    @property
    def is_fresh(self) -> bool:
        """Return whether the list was read recently enough to start subtasks."""
        read_s = self.feed.read_s
        return read_s is not None and loop_now_s() - read_s <= LIST_AGE_LIMIT_S

    def _update(self, record: KeyedRecord) -> None:
        now_s = loop_now_s()
        if record.value is None:
            if record.key in self._scheduler.workers:
                failed_s = self.feed.failed_s
                has_failed_recently = (
                    failed_s is not None and now_s - failed_s < STORE_OUTAGE_WINDOW_S
                )
                grace_s = LIST_GRACE_S if has_failed_recently else 0.0
                self._missing.setdefault(record.key, now_s + grace_s)
            return
        facts = decode_worker(record.key, record.value)
        if facts is None or self._scheduler.ended_lives.ignores(facts, now_s):
            return
        self._missing.pop(record.key, None)
        worker = self._scheduler.update_worker(facts, now_s)
        if facts.draining:
            self._draining.setdefault(worker.facts.worker_id, now_s)
        else:
            self._draining.pop(worker.facts.worker_id, None)

    def _mark_missing(self, listed: set[str]) -> None:
        """Schedule the removal of workers that are missing from the full list."""
        now_s = loop_now_s()
        for worker_id in self._scheduler.workers:
            if worker_id not in listed:
                self._missing.setdefault(worker_id, now_s + LIST_GRACE_S)

    def unlist_missing(self, now_s: float) -> None:
        """Mark workers as not listed that have been missing for long enough."""
        for worker_id, due_s in [*self._missing.items()]:
            if now_s < due_s:
                continue
            del self._missing[worker_id]
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None and worker.is_listed:
                worker.is_listed = False
                logger.info(
                    "holder: worker is no longer listed.",
                    extra={"worker_id": worker_id, "run_count": len(worker.runs)},
                )
                self._scheduler.on_change()

    def evacuate_draining(self, now_s: float) -> None:
        """Have subtasks leave the workers that are draining."""
        for worker_id, since_s in [*self._draining.items()]:
            worker = self._scheduler.workers.get(worker_id)
            if worker is None:
                del self._draining[worker_id]
            else:
                evacuate(self._scheduler, worker, since_s, now_s)
