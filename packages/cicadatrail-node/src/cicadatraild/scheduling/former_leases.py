"""Leases that earlier leaders may have given to workers that have not answered yet."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable

from cicadatrail_core.jobs.later_lives import CALL_LIMIT_S, find_long_leases
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.last_answers import LastAnswers
from cicadatraild.scheduling.leader_right import LeaderRight

logger = logging.getLogger("cicadatrail.holder")


class FormerLeases:
    """Bound the leases of workers whose lists a new leader has not read.

    The bound follows from the end of the earlier leaders' rights, which may turn out to
    be earlier than it was at the election; for a worker that the last of them did not
    reach, from the end of those before. It counts only once this leader has its own
    lease after it: without that a newer leader may have renewed the workers' leases.
    """

    def __init__(self, scheduler: Scheduler, right: LeaderRight) -> None:
        self._scheduler = scheduler
        self._right = right
        self._awaited: dict[str, WorkerState] = {}
        self._held_jobs: list[JobState] = []
        # Workers known since the takeover. None gets a lease before its first answer.
        self._known_first: dict[str, WorkerState] = {}
        # When all leases are over that the predecessor has stored as long ones.
        self.long_until_s = 0.0

    @property
    def told(self) -> LastAnswers:
        """Return what the predecessor told of earlier leaders."""
        return self._right.last_answers

    @property
    def former_until_s(self) -> float:
        """Return until when an earlier leader may act, on the loop's clock."""
        return self._right.former_until_loop_s

    @property
    def end_s(self) -> float:
        """Return when every lease of an earlier leader is over, on the loop's clock.

        No leader may have known the present life of a worker that isn't known now.
        """
        return max(self.longest_end_s, self.long_until_s)

    @property
    def longest_end_s(self) -> float:
        """Return the same for leases up to the limit, by calls of earlier leaders."""
        lease_s = self._scheduler.settings.longest_lease_s
        return self.former_until_s + CALL_LIMIT_S + lease_s

    def await_workers(self) -> None:
        """Count all workers that are known now as under the lease of a predecessor."""
        self._awaited = dict(self._scheduler.workers)
        self._known_first = dict(self._scheduler.workers)
        self.told.unanswered = self.unanswered
        for worker in self._awaited.values():
            worker.may_hold_former_lease = worker.may_hold_granted_lease = True
        self.update()

    def unanswered(self) -> dict[str, float]:
        """Return the workers that may hold leases which a successor can't count.

        Each with the seconds for which a leader may still give it a lease: those that
        have not answered this leader, and those whose lease may be longer than a
        granted one, as the record of these may not have been stored.
        """
        now_s, workers = loop_now_s(), self._scheduler.workers
        unanswered = {
            worker_id: self._until_s(worker_id) - now_s
            for worker_id, worker in self._known_first.items()
            if workers.get(worker_id) is worker
            and worker.answered_s is None
            and worker.clock_at_s is None
        }
        long_leases = find_long_leases(self._scheduler, now_s)
        return dict.fromkeys(long_leases, 0.0) | unanswered

    def _until_s(self, worker_id: str) -> float:
        """Return until when an earlier leader may give a worker a lease."""
        told_s = self.told.until_loop_s(worker_id)
        return min(self._right.former_until_loop_s, told_s)

    def _unknown_until_s(self, worker_id: str) -> float:
        """Return until when a worker may run a start that no leader knows of.

        A start may be under way as its leader is killed, and a later life that nobody
        has read may take it. Such a life may hold a lease up to the limit.
        """
        if self.told.has_reached(worker_id):
            return -math.inf
        lease_s = self._scheduler.settings.longest_lease_s
        return self._until_s(worker_id) + CALL_LIMIT_S + lease_s

    def hold_jobs(self, jobs: Iterable[JobState]) -> None:
        """Have nothing of these jobs start before the leases are over.

        Their subtasks may run on workers that aren't known.
        """
        held = list(jobs)
        self._held_jobs += held
        for job in held:
            job.held_until_s = float("inf")
        self.update()

    @property
    def holds_jobs(self) -> bool:
        """Return whether jobs wait for workers that aren't known."""
        return bool(self._held_jobs)

    def update(self) -> None:
        """Apply the present bound to the workers whose lists have not been read."""
        if not self._awaited and not self._held_jobs:
            return
        now_s = loop_now_s()
        end_s, settings = self.end_s, self._scheduler.settings
        is_lease_valid = self._scheduler.is_lease_valid()
        for worker_id, worker in [*self._awaited.items()]:
            is_present = self._scheduler.workers.get(worker_id) is worker
            if not is_present or worker.is_reconciled:
                del self._awaited[worker_id]
                if not is_present:
                    # Nothing waits for it any more.
                    worker.may_hold_former_lease = False
                    self._scheduler.on_change()
                continue
            if worker.answered_s is None:
                if worker.is_listed_in_later_life:
                    # The predecessor may not have known of that life.
                    known_s = worker.later_life_until_s
                    worker.later_life_until_s = max(known_s, self.longest_end_s)
                until_s = self._until_s(worker_id)
                granted_s = until_s + settings.granted_lease_s
                worker.lease_expires_s = max(granted_s, worker.later_life_until_s)
            if not is_lease_valid or now_s <= worker.lease_expires_s:
                continue
            if worker.may_hold_granted_lease:
                worker.may_hold_granted_lease = False
                self._scheduler.on_change()
            if now_s > self._unknown_until_s(worker_id):
                del self._awaited[worker_id]
                worker.may_hold_former_lease = False
                self._log_end(worker, now_s)
                self._scheduler.on_change()
        if self._held_jobs and is_lease_valid and now_s > end_s:
            for job in self._held_jobs:
                job.held_until_s = end_s
            self._held_jobs.clear()
            self._scheduler.on_change()

    def _log_end(self, worker: WorkerState, now_s: float) -> None:
        logger.info(
            "holder: leases of a worker that has not answered are over.",
            extra={
                "worker_id": worker.facts.worker_id,
                "epoch": self._scheduler.settings.epoch,
                "proof": self._right.former.proof,
                "lease_age_s": round(now_s - self._until_s(worker.facts.worker_id), 3),
                "is_listed": worker.is_listed,
            },
        )
