"""The leader's admission of new jobs: reads the load, decides, logs and counts."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace

from cicadatrail_core.jobs.admission_load import (
    asks_for_admission,
    describe_job,
    is_forecast_blind,
    read_load,
)
from cicadatrail_core.jobs.job_admission import (
    ARRIVAL_WINDOW_S,
    Admit,
    FleetLoad,
    NewJob,
    Reject,
    Unjudged,
    Work,
    decide,
)
from cicadatrail_core.jobs.models import JobDefinition, Machine, Queue
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.service_window import reading_age_s
from cicadatraild.scheduling.messages import Refused

logger = logging.getLogger("cicadatrail.admission")

RETURNING_LIMIT_COUNT = 1000
"""Refused jobs that are remembered at most, the newest: each decision visits all."""


class AdmissionControl:
    """Decide on new jobs; remember the refused ones until they may come back.

    ``machines`` returns the machine list. ``refused_counts`` counts refusals by reason,
    ``retry_after_s`` is the newest time that a caller was told.
    """

    def __init__(
        self, scheduler: Scheduler, machines: Callable[[], Mapping[str, Machine]]
    ) -> None:
        self._scheduler = scheduler
        self._machines = machines
        self._load = FleetLoad({}, {}, ())
        self._read_s = float("-inf")
        # Work of refused jobs and when they may come back, by job.
        self._returning: dict[str, tuple[float, Work]] = {}
        # Work that was accepted lately, and when, by job; the newest last. Some may
        # have been dropped since, as the leader could not take it on or store it.
        self._recent: dict[str, tuple[float, Work]] = {}
        self.refused_counts: dict[str, int] = {}
        self.retry_after_s = 0.0

    def consider(
        self, job_id: str, definition: JobDefinition, now_s: float
    ) -> Refused | None:
        """Return the refusal of a job that is not known yet, or None to accept it."""
        queue = self._scheduler.queues.get(definition.queue)
        if queue is None or not asks_for_admission(queue, definition):
            return None
        try:
            return self._consider(job_id, definition, queue, now_s)
        except Exception:
            logger.exception(
                "admission: decision failed; accepting the job.",
                extra={"job_id": job_id},
            )
            return None

    def _consider(
        self, job_id: str, definition: JobDefinition, queue: Queue, now_s: float
    ) -> Refused | None:
        if self._is_blind(queue, now_s):
            return None
        self._refresh(now_s)
        self._returning.pop(job_id, None)
        job = describe_job(self._scheduler, job_id, definition, queue, now_s)
        load = self._load_ahead(self._load, self._returning, self._read_s, now_s)
        match decide(load, job, now_s):
            case Admit():
                self._recent.pop(job_id, None)
                self._recent[job_id] = (now_s, job.work)
                return None
            case Reject() as decision:
                return self._refuse(job, queue, decision, load, now_s)

    def foresee(
        self, job_id: str, definition: JobDefinition, now_s: float
    ) -> Admit | Reject | Unjudged:
        """Return the decision on a new job, which is not made or noted by this."""
        queue = self._scheduler.queues.get(definition.queue)
        if queue is None or not asks_for_admission(queue, definition):
            return Unjudged("neither the queue nor the job asks for a forecast")
        if self._is_blind(queue, now_s):
            return Unjudged("too little is known of the fleet for a forecast")
        load, returning, read_s = self._reading(now_s)
        others = {k: entry for k, entry in returning.items() if k != job_id}
        job = describe_job(self._scheduler, job_id, definition, queue, now_s)
        return decide(self._load_ahead(load, others, read_s, now_s), job, now_s)

    def _is_blind(self, queue: Queue, now_s: float) -> bool:
        return not self._machines() or is_forecast_blind(self._scheduler, queue, now_s)

    def _load_ahead(
        self,
        load: FleetLoad,
        returning: dict[str, tuple[float, Work]],
        read_s: float,
        now_s: float,
    ) -> FleetLoad:
        """Return a reading with what came since and what will come back."""
        jobs = self._scheduler.jobs
        since_s = now_s - ARRIVAL_WINDOW_S
        recent = [
            entry
            for key, entry in self._recent.items()
            if key in jobs and entry[0] >= since_s
        ]
        # The next reading finds it among the jobs.
        unread = [work for accepted_s, work in recent if accepted_s >= read_s]
        return replace(
            load,
            waiting=(*load.waiting, *unread),
            returning=tuple(work for _, work in returning.values()),
            recent=tuple(work for _, work in recent),
        )

    def _refresh(self, now_s: float) -> None:
        if now_s - self._read_s < reading_age_s(len(self._scheduler.jobs)):
            return
        self._load, self._returning, self._read_s = self._reading(now_s)
        oldest_s = now_s - ARRIVAL_WINDOW_S
        self._recent = {
            job_id: entry
            for job_id, entry in self._recent.items()
            if entry[0] >= oldest_s
        }

    def _reading(
        self, now_s: float
    ) -> tuple[FleetLoad, dict[str, tuple[float, Work]], float]:
        """Return the load and the returning work as of now, and when it was read."""
        if now_s - self._read_s < reading_age_s(len(self._scheduler.jobs)):
            return self._load, self._returning, self._read_s
        load = read_load(self._scheduler, self._machines(), now_s)
        returning = {
            job_id: entry
            for job_id, entry in self._returning.items()
            if entry[0] > now_s
        }
        return load, returning, now_s

    def _refuse(
        self,
        job: NewJob,
        queue: Queue,
        decision: Reject,
        load: FleetLoad,
        now_s: float,
    ) -> Refused:
        self._returning[job.job_id] = (now_s + decision.retry_after_s, job.work)
        if len(self._returning) > RETURNING_LIMIT_COUNT:
            del self._returning[next(iter(self._returning))]
        counts = self.refused_counts
        counts[decision.reason] = counts.get(decision.reason, 0) + 1
        self.retry_after_s = decision.retry_after_s
        pool = load.pools[job.work.pool]
        logger.info(
            "admission: job refused.",
            extra={
                "job_id": job.job_id,
                "queue": queue.name,
                "team": job.work.team,
                "reason": decision.reason,
                "wait_s": round(decision.wait_s, 3),
                "limit_s": round(decision.limit_s, 3),
                "retry_after_s": round(decision.retry_after_s, 3),
                "path_s": round(job.path_s, 3),
                "core_s": round(job.work.core_s, 3),
                "pool_cores": round(pool.cores, 1),
                "joining_cores": round(load.joining_cores, 1),
                "waiting_core_s": round(sum(w.core_s for w in load.waiting), 1),
                "returning_count": len(load.returning),
            },
        )
        return Refused(decision.reason, decision.retry_after_s)
