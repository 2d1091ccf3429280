"""One link per worker: polls its lists and renews its lease.

A worker's lists name its running subtasks and the runs that have ended.
"""

from __future__ import annotations

import asyncio
import logging
import random

from cicadatrail_core.jobs.models import WorkerReport
from cicadatrail_core.jobs.pacing import has_serving_and_best_effort, plan_pace
from cicadatrail_core.jobs.report_rollback import ReportRollback
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.worker_leases import count_call, known_clock, renew_lease
from cicadatrail_core.jobs.worker_reports import apply_report
from cicadatrail_core.jobs.worker_state import ADDRESS_TAKEN, WorkerState
from cicadatraild.platform.store import FencedError
from cicadatraild.platform.workers import ListFailure, OrderOutcome, WorkerClient
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.journal import Journal
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.worker_lives import age_s
from cicadatraild.scheduling.worker_orders import WorkerOrders

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

FAILED_RETRY_S = 1.0
"""Delay of the next poll after an answer that can't be handled: the same answer is
likely to come again."""

STORE_WAIT_S = 0.4
"""Longest wait for ends to be stored before the link renews the lease."""


class WorkerLinks:
    """Maintain a link to each worker of the scheduler.

    Makes ``leadership`` step down when a worker obeys a newer leader. ``orders`` sends
    the workers their orders.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        client: WorkerClient,
        journal: Journal,
        leadership: Leadership,
        orders: WorkerOrders,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._journal = journal
        self._orders = orders
        self._leadership = leadership
        self._step_down = leadership.step_down
        self._links: dict[str, tuple[WorkerState, asyncio.Task[None]]] = {}
        # Workers that the store listed when this leader took over; used once each.
        self.stored_ids: set[str] = set()
        # Workers whose last answer could not be handled, so that it is logged once.
        self._failing_ids: set[str] = set()
        self.list_count = 0

    def follow_scheduler(self) -> None:
        """Open links to new workers and close those of removed workers."""
        workers = self._scheduler.workers
        for worker_id, (linked, link) in [*self._links.items()]:
            # A worker that was removed and is known again has another state.
            if workers.get(worker_id) is not linked:
                del self._links[worker_id]
                link.cancel()
                self._orders.lives.forget(worker_id)
                self._failing_ids.discard(worker_id)
        for worker_id, worker in workers.items():
            if worker_id not in self._links:
                link = asyncio.create_task(self._run(worker))
                link.add_done_callback(self._orders.check_outcome)
                self._links[worker_id] = (worker, link)

    def close(self) -> None:
        """Cancel all links and orders."""
        for _, link in self._links.values():
            link.cancel()
        self._links.clear()

    async def _run(self, worker: WorkerState) -> None:
        # Nothing may run on a worker until the store lists it for a successor.
        try:
            worker_id = worker.facts.worker_id
            if worker_id in self.stored_ids:
                self.stored_ids.remove(worker_id)
            else:
                await self._journal.flush()
            while self._scheduler.workers.get(worker.facts.worker_id) is worker:
                await self._poll_or_wait(worker)
        except FencedError:
            return

    async def _poll_or_wait(self, worker: WorkerState) -> None:
        """Poll a worker; a failure counts as no answer and costs only this worker.

        A successor would get the same answer and fail as well. The worker's lease is
        not renewed, so that its runs can be placed elsewhere once it has expired.
        """
        try:
            await self._poll(worker)
        except FencedError:
            raise
        except Exception as error:
            worker.mark_failed(loop_now_s())
            if worker.facts.worker_id not in self._failing_ids:
                self._failing_ids.add(worker.facts.worker_id)
                logger.exception(
                    "worker: answer can't be handled; polling again later.",
                    extra={
                        "worker_id": worker.facts.worker_id,
                        "reason": repr(error),
                        "run_count": len(worker.runs),
                        "answer_age_s": age_s(worker.answered_s),
                    },
                )
            await asyncio.sleep(FAILED_RETRY_S)
        else:
            self._failing_ids.discard(worker.facts.worker_id)

    async def _poll(self, worker: WorkerState) -> None:
        scheduler = self._scheduler
        if worker.clock_at_s is not None and not worker.is_suspect:
            # The next life would take the deadline of the poll for a later one.
            await self._orders.lives.confirm(worker)
        sent_s = loop_now_s()
        is_behind = worker.processed_end > worker.stored_end
        is_known = worker.is_reconciled and worker.clock_at_s is not None
        has_unanswered_run = any(
            run.unanswered_s is not None for run in worker.runs.values()
        )
        wait_ms = PACED_WAIT_MS if has_serving_and_best_effort(worker) else LIST_WAIT_MS
        if worker.may_be_stopping_inherited_runs:
            # The next answer shows that no stop is under way.
            wait_ms = min(wait_ms, int(scheduler.settings.stop_limit_s * 1000) + 1)
        acknowledged_end = self._acknowledged_end(worker)
        has_held_ends = bool(worker.held_ends)
        if not is_known or is_behind or has_unanswered_run or acknowledged_end:
            # A call that waits may be taken by the worker's next life, whose ends it
            # must not acknowledge.
            wait_ms = 0
        self.list_count += 1
        born_unix_ms = worker.born_unix_ms
        clock = known_clock(worker)
        deadline_ms = self._next_deadline_ms(worker, sent_s)
        result = await self._client.read_lists(
            worker.facts, acknowledged_end, deadline_ms, wait_ms
        )
        if isinstance(result, ListFailure):
            is_unknown = result.outcome is OrderOutcome.UNKNOWN
            if is_unknown and deadline_ms is not None and clock is not None:
                count_call(scheduler, worker, clock, None, loop_now_s())
            await self._handle_failure(worker, result)
            return
        was_resolved = worker.is_reconciled
        self._orders.lives.record_answer(worker, result.born_unix_ms)
        self._apply(worker, result, sent_s)
        if worker.born_unix_ms == result.born_unix_ms == born_unix_ms:
            worker.confirmed_end = max(worker.confirmed_end, acknowledged_end)
        if worker.is_reconciled and not was_resolved:
            logger.info(
                "worker: lists received.",
                extra={
                    "worker_id": worker.facts.worker_id,
                    "born_unix_ms": result.born_unix_ms,
                    "clock_ms": result.clock_ms,
                    "running": len(result.running),
                    "ends": len(result.ends),
                },
            )
        for run, percent in plan_pace(worker, loop_now_s()):
            self._orders.pace(run, percent)
        await self._store_ends(worker)
        if not worker.is_listed and not worker.runs and worker.is_reconciled:
            scheduler.remove_worker(
                worker.facts.worker_id, loop_now_s(), "left the list"
            )
        if self._acknowledged_end(worker):
            # To be acknowledged before the worker can have restarted.
            return
        has_unknown_start = any(run.is_start_unknown for run in worker.runs.values())
        if has_held_ends or has_unknown_start:
            # The worker answers at once while it lists ends, and a start may have to
            # wait before it is sent again.
            await asyncio.sleep(LIST_RETRY_S * random.uniform(0.5, 1.5))
            return
        if wait_ms or acknowledged_end or is_behind or not worker.is_reconciled:
            await asyncio.sleep(LIST_PAUSE_S)

    def _next_deadline_ms(self, worker: WorkerState, now_s: float) -> int | None:
        """Return the deadline of a renewed lease, or None if it may not be renewed.

        A successor that doesn't reach the worker takes its lease for expired, a fixed
        time after its own election.
        """
        if not self._leadership.may_start():
            return None
        return renew_lease(self._scheduler, worker, now_s)

    def _apply(self, worker: WorkerState, report: WorkerReport, sent_s: float) -> None:
        rollback = ReportRollback(worker)
        try:
            apply_report(self._scheduler, worker, report, sent_s, loop_now_s())
        except BaseException:
            rollback.undo(self._scheduler)
            raise

    def _acknowledged_end(self, worker: WorkerState) -> int:
        """Return the number of the last end that the worker may delete.

        Returns 0 while the worker may have restarted since its last answer, such as
        after a wait for the store or a suspension of this process. A new incarnation
        numbers its ends from the start, and would delete ends that nobody has read.
        Also returns 0 once the worker has deleted them all: no later call has to do it.
        """
        end = worker.acknowledged_end
        if end <= worker.confirmed_end or not self._orders.lives.is_same(worker):
            return 0
        return end

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

    async def _handle_failure(self, worker: WorkerState, failure: ListFailure) -> None:
        worker_id = worker.facts.worker_id
        worker.mark_failed(loop_now_s(), failure.is_broken)
        match failure.outcome:
            case OrderOutcome.FENCED:
                self._step_down(f"worker {worker_id} obeys a newer leader")
            case OrderOutcome.WRONG_WORKER:
                self._scheduler.remove_worker(worker_id, loop_now_s(), ADDRESS_TAKEN)
            case _:
                logger.warning(
                    "worker: poll failed; retrying.",
                    extra={
                        "worker_id": worker_id,
                        "outcome": failure.outcome.value,
                        "answer_age_s": age_s(worker.answered_s),
                    },
                )
                await asyncio.sleep(LIST_RETRY_S * random.uniform(0.5, 1.5))


def _discard_outcome(waiting: asyncio.Future[None]) -> None:
    """Retrieve the outcome of a flush that the link no longer waits for.

    The flush fails only when the leader stops, which the journal has logged.
    """
    if not waiting.cancelled():
        waiting.exception()
