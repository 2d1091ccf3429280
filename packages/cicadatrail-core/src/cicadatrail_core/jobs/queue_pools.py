"""Pools in which runs of a queue's jobs may be, as a queue may get another pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail_core.jobs.models import Queue
from cicadatrail_core.jobs.takeover import is_queue_reconciled

if TYPE_CHECKING:
    from cicadatrail_core.jobs.scheduler import Scheduler


class QueuePools:
    """Track the former pools of queues, which a successor must know as well.

    ``former`` has the pools, other than the present one, in which a queue's jobs may
    still have runs. Nothing of a queue in ``unstored`` starts, as a successor would not
    look for its runs in the queue's present pool. ``changed`` has the queues whose
    record may have to be replaced.
    """

    def __init__(self) -> None:
        self.former: dict[str, frozenset[str]] = {}
        self.unstored: set[str] = set()
        self.changed: set[str] = set()

    def of(self, queue: Queue) -> frozenset[str]:
        """Return every pool in which runs of a queue's jobs may be."""
        return self.former.get(queue.name, frozenset()) | {queue.pool}

    def replace(self, previous: Queue, queue: Queue) -> None:
        """Apply a new definition of a queue."""
        if previous != queue:
            self.changed.add(queue.name)
        if previous.pool != queue.pool:
            self._set_former(queue, self.of(previous))
            self.unstored.add(queue.name)

    def restore(self, queue: Queue, pools: frozenset[str]) -> None:
        """Set the pools that a queue had under earlier leaders."""
        self._set_former(queue, pools)
        if queue.pool not in pools:
            self.unstored.add(queue.name)

    def drop_unused(self, scheduler: Scheduler, now_s: float) -> None:
        """Drop former pools in which no job of their queue runs any more."""
        for name, former in [*self.former.items()]:
            queue = scheduler.queues[name]
            if not is_queue_reconciled(scheduler, queue, now_s):
                continue
            used = {
                worker.facts.pool
                for worker in scheduler.workers.values()
                for run in worker.runs.values()
                if run.subtask.step.job.definition.queue == name
            }
            if former & used != former:
                self._set_former(queue, former & used)

    def _set_former(self, queue: Queue, pools: frozenset[str]) -> None:
        self.changed.add(queue.name)
        former = pools - {queue.pool}
        if former:
            self.former[queue.name] = former
        else:
            self.former.pop(queue.name, None)
