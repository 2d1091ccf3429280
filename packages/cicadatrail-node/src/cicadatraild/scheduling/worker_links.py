"""One link per worker: polls its lists, renews its lease and sends it orders.

A worker's lists name its running subtasks and the runs that have ended.
"""

from __future__ import annotations

import asyncio
import logging
import random

from cicadatrail_core.jobs.ejection import eject
from cicadatrail_core.jobs.pacing import has_serving_and_best_effort, plan_pace
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase, WorkerState
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatraild.platform.store import FencedError
from cicadatraild.platform.workers import ListFailure, OrderOutcome, WorkerClient
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s
from cicadatraild.scheduling.journal import Journal
from cicadatraild.scheduling.leadership import Leadership

logger = logging.getLogger("cicadatrail.worker")

LIST_WAIT_MS = 1000
"""Time for which a worker may wait for the end of a run before it answers a poll."""

PACED_WAIT_MS = 400
"""The same for workers that run best-effort subtasks beside serving ones, whose tail
latency is checked at each poll."""

LIST_PAUSE_S = 0.03
"""Delay between polls, so that ends of runs are read in batches."""

LIST_RETRY_S = 0.15
"""Mean delay after a poll without an answer."""

STORE_WAIT_S = 0.4
"""Longest wait for ends to be stored before the link renews the lease."""

SAME_INCARNATION_S = 0.2
"""Time after an answer within which a worker can't have restarted unnoticed, as a
restart takes longer."""

STOP_RETRY_S = 0.2
"""Mean delay before an unanswered stop is retried."""

BUSY_EJECTION_S = 0.7
"""Time without new runs for a worker that reports itself unhealthy."""

REFUSAL_OUTCOMES = {
    OrderOutcome.OLD,
    OrderOutcome.LATE,
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.NO_TICKET,
    OrderOutcome.BUSY,
    OrderOutcome.INVALID,
    OrderOutcome.NOT_SENT,
}
"""Outcomes of a start after which the subtask has not run and will not run."""


class WorkerLinks:
    """Maintain a link to each worker of the scheduler.

    Makes ``leadership`` step down when a worker obeys a newer leader, or a link fails
    unexpectedly.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        client: WorkerClient,
        journal: Journal,
        leadership: Leadership,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._journal = journal
        self._leadership = leadership
        self._step_down = leadership.step_down
        self._links: dict[str, asyncio.Task[None]] = {}
        self._orders: set[asyncio.Task[None]] = set()
        # Times of each worker's last answer, and of the first one of its incarnation,
        # on the clock that counts suspended time.
        self._answered_boot_s: dict[str, float] = {}
        self._known_since_boot_s: dict[str, float] = {}
        # Workers that the store listed when this leader took over; used once each.
        self.stored_ids: set[str] = set()
        self.list_count = 0
        self.start_count = 0

    def follow_scheduler(self) -> None:
        """Open links to new workers and close those of removed workers."""
        for worker_id, worker in self._scheduler.workers.items():
            if worker_id not in self._links:
                link = asyncio.create_task(self._run(worker))
                link.add_done_callback(self._check_outcome)
                self._links[worker_id] = link
        for worker_id in [*self._links]:
            if worker_id not in self._scheduler.workers:
                self._links.pop(worker_id).cancel()
                self._answered_boot_s.pop(worker_id, None)
                self._known_since_boot_s.pop(worker_id, None)

    def send_orders(self) -> None:
        """Send the starts and stops that the scheduler has decided on."""
        scheduler = self._scheduler
        starts, scheduler.starts = scheduler.starts, []
        stops, scheduler.stops = scheduler.stops, []
        for run in starts:
            self._spawn(self._start(run))
        for run in stops:
            self._spawn(self._stop(run))

    def close(self) -> None:
        """Cancel all links and orders."""
        for task in (*self._links.values(), *self._orders):
            task.cancel()
        self._links.clear()

    def _spawn(self, order: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(order)  # type: ignore[arg-type]
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        task.add_done_callback(self._check_outcome)

    def _check_outcome(self, task: asyncio.Task[None]) -> None:
        """Step down if a task failed, as its run or worker would be left unattended.

        A successor restores both from the store and the worker's lists.
        """
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        logger.error("worker: link failed unexpectedly.", exc_info=error)
        self._step_down(f"a link failed: {error!r}")

    async def _run(self, worker: WorkerState) -> None:
        # Nothing may run on a worker until the store lists it for a successor.
        try:
            worker_id = worker.facts.worker_id
            if worker_id in self.stored_ids:
                self.stored_ids.remove(worker_id)
            else:
                await self._journal.flush()
            while self._scheduler.workers.get(worker.facts.worker_id) is worker:
                await self._poll(worker)
        except FencedError:
            return

    async def _poll(self, worker: WorkerState) -> None:
        scheduler = self._scheduler
        sent_s = loop_now_s()
        is_behind = worker.processed_end > worker.stored_end
        is_known = worker.is_reconciled and worker.clock_at_s is not None
        has_unanswered_run = any(
            run.unanswered_s is not None for run in worker.runs.values()
        )
        wait_ms = PACED_WAIT_MS if has_serving_and_best_effort(worker) else LIST_WAIT_MS
        if not is_known or is_behind or has_unanswered_run:
            wait_ms = 0
        self.list_count += 1
        result = await self._client.read_lists(
            worker.facts,
            self._acknowledged_end(worker),
            scheduler.renew_lease(worker, sent_s),
            wait_ms,
        )
        if isinstance(result, ListFailure):
            await self._handle_failure(worker, result.outcome)
            return
        was_resolved = worker.is_reconciled
        self._record_answer(worker, result.born_unix_ms)
        apply_report(scheduler, worker, result, sent_s, loop_now_s())
        if worker.is_reconciled and not was_resolved:
            logger.info(
                "worker: lists received.",
                extra={
                    "worker_id": worker.facts.worker_id,
                    "running": len(result.running),
                    "ends": len(result.ends),
                },
            )
        for run, percent in plan_pace(worker, loop_now_s()):
            self._spawn(self._pace(run, percent))
        await self._store_ends(worker)
        if not worker.is_listed and not worker.runs:
            scheduler.remove_worker(
                worker.facts.worker_id, loop_now_s(), "left the list"
            )
        if wait_ms or is_behind:
            await asyncio.sleep(LIST_PAUSE_S)

    def _record_answer(self, worker: WorkerState, born_unix_ms: int) -> None:
        now_s = boot_now_s()
        worker_id = worker.facts.worker_id
        self._answered_boot_s[worker_id] = now_s
        if born_unix_ms > worker.born_unix_ms:
            self._known_since_boot_s[worker_id] = now_s
        else:
            self._known_since_boot_s.setdefault(worker_id, now_s)

    def _is_same_incarnation(self, worker: WorkerState) -> bool:
        """Return whether the worker can't have restarted since its last answer."""
        answered_s = self._answered_boot_s.get(worker.facts.worker_id)
        return answered_s is not None and (
            boot_now_s() - answered_s <= SAME_INCARNATION_S
        )

    def _is_fenced_for(self, worker: WorkerState) -> bool:
        """Return whether a worker would refuse a start if there were a newer leader.

        There is none while the lease is valid. If the lease was still valid when the
        worker's present incarnation first answered, a newer leader must have fenced
        that incarnation before it started anything. An incarnation that first answered
        later may have seen no token of a leader that exists already.
        """
        if self._leadership.is_lease_valid():
            return True
        known_since_s = self._known_since_boot_s.get(worker.facts.worker_id)
        return (
            known_since_s is not None
            and self._leadership.held_lease_after(known_since_s)
            and self._is_same_incarnation(worker)
        )

    def _acknowledged_end(self, worker: WorkerState) -> int:
        """Return the number of the last end that the worker may delete.

        Returns 0 while the worker may have restarted since its last answer, such as
        after a wait for the store or a suspension of this process. A new incarnation
        numbers its ends from the start, and would delete ends that nobody has read.
        """
        return worker.acknowledged_end if self._is_same_incarnation(worker) else 0

    async def _store_ends(self, worker: WorkerState) -> None:
        """Wait until ends are stored, so that the worker may delete them."""
        target = worker.processed_end
        if target <= worker.stored_end:
            return
        born_unix_ms = worker.born_unix_ms
        waiting = asyncio.ensure_future(self._journal.flush())
        waiting.add_done_callback(_discard_outcome)
        done, _ = await asyncio.wait({waiting}, timeout=STORE_WAIT_S)
        if not done:
            return
        waiting.result()
        if worker.born_unix_ms == born_unix_ms:
            worker.stored_end = max(worker.stored_end, target)

    async def _handle_failure(self, worker: WorkerState, outcome: OrderOutcome) -> None:
        worker_id = worker.facts.worker_id
        worker.mark_failed(loop_now_s())
        match outcome:
            case OrderOutcome.FENCED:
                self._step_down(f"worker {worker_id} obeys a newer leader")
            case OrderOutcome.WRONG_WORKER:
                self._scheduler.remove_worker(
                    worker_id, loop_now_s(), "its address belongs to another worker"
                )
            case _:
                logger.warning(
                    "worker: poll failed; retrying.",
                    extra={
                        "worker_id": worker_id,
                        "outcome": outcome.value,
                        "answer_age_s": _age(worker.answered_s),
                    },
                )
                await asyncio.sleep(LIST_RETRY_S * random.uniform(0.5, 1.5))

    async def _start(self, run: Run) -> None:
        scheduler = self._scheduler
        worker = run.worker
        now_s = loop_now_s()
        deadline_ms = scheduler.renew_lease(worker, now_s)
        if deadline_ms is None:
            run.is_start_pending = False
            scheduler.release_refused(run, now_s, "no-clock")
            return
        run.start_expires_s = worker.lease_expires_s
        subtask = run.subtask
        self.start_count += 1
        if not self._leadership.is_lease_valid():
            await self._check_incarnation(worker)
        outcome = await self._client.start(
            worker.facts,
            str(subtask.name),
            run.number,
            subtask.step.job.definition.spec,
            subtask.checkpoint,
            subtask.step.tickets.get(worker.facts.worker_id, ""),
            deadline_ms,
            lambda: _is_wanted(run) and self._is_fenced_for(worker),
        )
        now_s = loop_now_s()
        logger.info(
            "worker: start sent.",
            extra={
                "subtask": str(subtask.name),
                "run": run.number,
                "worker_id": worker.facts.worker_id,
                "answer_age_s": _age(worker.answered_s),
                "waited_s": round(run.sent_s - subtask.ready_s, 3),
                "outcome": outcome.value,
            },
        )
        self._apply_start_outcome(run, outcome, now_s)

    async def _check_incarnation(self, worker: WorkerState) -> None:
        """Ask a worker that has not answered lately whether it has restarted.

        Acknowledges nothing and renews no lease.
        """
        if self._is_same_incarnation(worker):
            return
        result = await self._client.read_lists(worker.facts, 0, None, 0)
        if isinstance(result, ListFailure):
            return
        if result.born_unix_ms == worker.born_unix_ms:
            self._record_answer(worker, result.born_unix_ms)

    def _apply_start_outcome(
        self, run: Run, outcome: OrderOutcome, now_s: float
    ) -> None:
        scheduler = self._scheduler
        worker = run.worker
        run.is_start_pending = False
        match outcome:
            case OrderOutcome.DONE:
                run.answered_s = now_s
                if run.phase is RunPhase.SENT:
                    run.phase = RunPhase.RUNNING
                    run.progress_s = now_s
            case OrderOutcome.FENCED:
                self._step_down(f"worker {worker.facts.worker_id} refused a start")
            case OrderOutcome.WRONG_WORKER:
                scheduler.remove_worker(worker.facts.worker_id, now_s, "replaced")
            case refusal if refusal in REFUSAL_OUTCOMES:
                is_unhealthy = refusal in (OrderOutcome.BUSY, OrderOutcome.INVALID)
                if is_unhealthy or not self._is_fenced_for(worker):
                    # Also limits the rate of starts that this leader may not send.
                    eject(
                        worker, now_s, BUSY_EJECTION_S, scheduler.workers, refusal.value
                    )
                if refusal is OrderOutcome.NO_TICKET:
                    run.subtask.step.tickets_expire_s = now_s
                run.subtask.avoided_worker = worker.facts.worker_id
                scheduler.release_refused(run, now_s, refusal.value)
                if run.subtask.step.spec.gang:
                    _stop_gang(scheduler, run)
            case _:
                run.mark_unanswered(now_s)
                run.subtask.avoided_worker = worker.facts.worker_id

    async def _pace(self, run: Run, percent: int) -> None:
        """Set the speed of a best-effort run; the next poll retries a failure."""
        worker = run.worker
        outcome = await self._client.set_pace(
            worker.facts, str(run.subtask.name), run.number, percent
        )
        logger.info(
            "worker: pace sent.",
            extra={
                "subtask": str(run.subtask.name),
                "worker_id": worker.facts.worker_id,
                "percent": percent,
                "outcome": outcome.value,
            },
        )
        match outcome:
            case OrderOutcome.DONE:
                run.paced_percent = percent
            case OrderOutcome.FENCED:
                self._step_down(f"worker {worker.facts.worker_id} refused a pace")

    async def _stop(self, run: Run) -> None:
        worker = run.worker
        while run in run.subtask.live_runs:
            outcome = await self._client.stop(
                worker.facts, str(run.subtask.name), run.number
            )
            logger.info(
                "worker: stop sent.",
                extra={
                    "subtask": str(run.subtask.name),
                    "run": run.number,
                    "worker_id": worker.facts.worker_id,
                    "outcome": outcome.value,
                },
            )
            match outcome:
                case OrderOutcome.DONE:
                    run.stop_acked_s = loop_now_s()
                    return
                case OrderOutcome.FENCED:
                    self._step_down(f"worker {worker.facts.worker_id} refused a stop")
                    return
                case OrderOutcome.WRONG_WORKER:
                    self._scheduler.remove_worker(
                        worker.facts.worker_id, loop_now_s(), "replaced"
                    )
                    return
            await asyncio.sleep(STOP_RETRY_S * random.uniform(0.5, 1.5))


def _is_wanted(run: Run) -> bool:
    """Return whether a start that was queued may still be sent."""
    if run.phase is not RunPhase.SENT or run not in run.subtask.live_runs:
        return False
    if run.worker.is_suspect:
        # It may have restarted, and the new incarnation would take the order.
        return False
    # The deadline is on the clock of the incarnation that the start was made for.
    return loop_now_s() < run.start_expires_s < float("inf")


def _stop_gang(scheduler: Scheduler, run: Run) -> None:
    """Stop the other members of a gang, which can't work without this run's."""
    for member in run.subtask.step.subtasks:
        for other in list(member.live_runs):
            scheduler.stop(other)


def _discard_outcome(waiting: asyncio.Future[None]) -> None:
    """Retrieve the outcome of a flush that the link no longer waits for.

    The flush fails only when the leader stops, which the journal has logged.
    """
    if not waiting.cancelled():
        waiting.exception()


def _age(since_s: float | None) -> float | None:
    return None if since_s is None else round(loop_now_s() - since_s, 3)
