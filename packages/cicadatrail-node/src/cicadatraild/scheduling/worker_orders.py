"""Orders to workers: starts, stops and the pace of best-effort runs."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.ejection import eject
from cicadatrail_core.jobs.models import SubtaskName
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import Run, RunPhase
from cicadatrail_core.jobs.worker_leases import (
    count_call,
    known_clock,
    renew_lease,
)
from cicadatrail_core.jobs.worker_state import REPLACED, WorkerState
from cicadatraild.platform.workers import OrderAnswer, OrderOutcome, WorkerClient
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.worker_lives import WorkerLives, age_s

logger = logging.getLogger("cicadatrail.worker")

START_TRY_COUNT = 3
"""Most times that a start is tried that could not leave soon after an answer of its
worker, as it waited for other orders or for a connection."""

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

GIVEN_UP_OUTCOMES = {
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.NO_TICKET,
    OrderOutcome.INVALID,
}
"""Refusals of a repeated start after which it isn't tried again."""

CARRIED_OUT_OUTCOMES = {
    OrderOutcome.DONE,
    OrderOutcome.OLD,
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.UNKNOWN,
}
"""Outcomes of a start whose deadline may have renewed the worker's lease."""


class WorkerOrders:
    """Send the orders of the scheduler to its workers.

    Makes ``leadership`` step down when a worker obeys a newer leader, or an order
    fails unexpectedly.
    """

    def __init__(
        self, scheduler: Scheduler, client: WorkerClient, leadership: Leadership
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._leadership = leadership
        self._step_down = leadership.step_down
        self._tasks: set[asyncio.Task[None]] = set()
        self.lives = WorkerLives(client)
        self.start_count = 0
        # Waits until the start of a long-running subtask is stored; set by the leader.
        self.store_lasting_start: Callable[[Run], Awaitable[None]] = _store_nothing

    def send(self) -> None:
        """Send the starts and stops that the scheduler has decided on."""
        scheduler = self._scheduler
        starts, scheduler.starts = scheduler.starts, []
        stops, scheduler.stops = scheduler.stops, []
        for run in starts:
            self._spawn(self._start_or_keep(run))
        for run in stops:
            self._spawn(self._stop(run))
        bars, scheduler.bars = scheduler.bars, []
        for worker, name, number in bars:
            self._spawn(self._bar(worker, name, number))

    def pace(self, run: Run, percent: int) -> None:
        """Send the speed of a best-effort run."""
        self._spawn(self._pace(run, percent))

    def close(self) -> None:
        """Cancel all orders."""
        self.lives.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, order: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(order)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self.check_outcome)

    def check_outcome(self, task: asyncio.Task[None]) -> None:
        """Step down if a task failed, as its run or worker would be left unattended.

        A successor restores both from the store and the worker's lists.
        """
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        logger.error("worker: link failed unexpectedly.", exc_info=error)
        self._step_down(f"a link failed: {error!r}")

    def _is_fenced_for(self, worker: WorkerState) -> bool:
        """Return whether a worker would refuse a start if there were a newer leader.

        There is none while the lease is valid. If the lease was still valid when the
        worker's present incarnation first answered, a newer leader must have fenced
        that incarnation before it started anything. An incarnation that first answered
        later may have seen no token of a leader that exists already.
        """
        if self._leadership.is_lease_valid():
            return True
        known_since_s = self.lives.known_since_boot_s(worker)
        return (
            known_since_s is not None
            and self._leadership.held_lease_after(known_since_s)
            and self.lives.is_same(worker)
        )

    async def _start_or_keep(self, run: Run) -> None:
        """Send a start; after a failure the run may have started, and is kept so."""
        try:
            await self._start(run)
        except Exception as error:
            _log_run_failure("start", run, error)
            now_s, clock = loop_now_s(), known_clock(run.worker)
            if clock is not None:
                run.is_proved = count_call(
                    self._scheduler, run.worker, clock, None, now_s
                )
            run.mark_unanswered(now_s)
            run.subtask.avoided_worker = run.worker.facts.worker_id

    async def _start(self, run: Run) -> None:
        """Send a start while its worker is in the life that the run was placed on."""
        worker = run.worker
        born_unix_ms = worker.born_unix_ms
        answer = OrderAnswer(OrderOutcome.NOT_SENT)
        is_lasting = run.subtask.step.spec.lasting
        if is_lasting:
            # A successor must know of it if this leader is killed meanwhile.
            await self.store_lasting_start(run)
        for _ in range(START_TRY_COUNT):
            is_known_life = await self.lives.confirm(worker)
            if not is_known_life or worker.born_unix_ms != born_unix_ms:
                break
            answer = await self._send_start(run)
            was_sent = answer.outcome is not OrderOutcome.NOT_SENT
            if was_sent or self.lives.is_same(worker):
                break
        self._apply_start_outcome(run, answer, loop_now_s())
        if is_lasting:
            # So that its record is dropped soon.
            self._scheduler.on_change()

    async def _send_start(self, run: Run) -> OrderAnswer:
        """Send a start, unless its worker may have restarted since its last answer."""
        scheduler = self._scheduler
        worker = run.worker
        now_s = loop_now_s()
        clock = known_clock(worker)
        deadline_ms = renew_lease(scheduler, worker, now_s)
        if deadline_ms is None or clock is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        run.start_expires_s = worker.lease_expires_s
        subtask = run.subtask
        self.start_count += 1
        answer = await self._client.start(
            worker.facts,
            str(subtask.name),
            run.number,
            subtask.step.job.definition.spec,
            subtask.checkpoint,
            subtask.step.tickets.get(worker.facts.worker_id, ""),
            deadline_ms,
            lambda: (
                _is_wanted(run)
                and not is_evacuated(scheduler, worker)
                and self.lives.is_same(worker)
                and self._is_fenced_for(worker)
                and scheduler.may_repeat(subtask)
            ),
        )
        now_s = loop_now_s()
        logger.info(
            "worker: start sent.",
            extra={
                "subtask": str(subtask.name),
                "run": run.number,
                "epoch": scheduler.settings.epoch,
                "previous_end": subtask.previous_end,
                "worker_id": worker.facts.worker_id,
                "answer_age_s": age_s(worker.answered_s),
                "waited_s": round(run.sent_s - subtask.ready_s, 3),
                "cpu_millicores": subtask.step.spec.need.cpu_millicores,
                "outcome": answer.outcome.value,
                "known_clock_ms": clock.clock_ms,
                "clock_ms": answer.clock_ms,
                "is_same_life": clock.is_continued_by(answer.clock_ms, now_s),
            },
        )
        if answer.outcome in CARRIED_OUT_OUTCOMES:
            run.is_proved = count_call(scheduler, worker, clock, answer.clock_ms, now_s)
            if run.is_proved and worker.born_unix_ms == clock.born_unix_ms:
                self.lives.record_answer(worker, clock.born_unix_ms)
        if clock.has_begun_anew(answer.clock_ms):
            # Nothing is sent to the new life before its lists are read.
            worker.mark_failed(now_s)
        return answer

    def _apply_start_outcome(self, run: Run, answer: OrderAnswer, now_s: float) -> None:
        scheduler = self._scheduler
        worker = run.worker
        run.is_start_pending = False
        match answer.outcome:
            case OrderOutcome.DONE:
                run.answered_s = now_s
                if run.phase is RunPhase.SENT:
                    run.phase = RunPhase.RUNNING
                    run.progress_s = now_s
            case OrderOutcome.FENCED:
                self._step_down(f"worker {worker.facts.worker_id} refused a start")
            case OrderOutcome.WRONG_WORKER:
                scheduler.remove_worker(worker.facts.worker_id, now_s, REPLACED)
            case refusal if refusal in REFUSAL_OUTCOMES and run.unanswered_count:
                if run.phase is RunPhase.SENT:
                    # An earlier order of it may yet be carried out.
                    run.mark_refused(now_s)
                    if refusal in GIVEN_UP_OUTCOMES:
                        scheduler.stop(run)
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
                run.mark_unanswered(now_s, answer.is_answered)
                run.subtask.avoided_worker = worker.facts.worker_id

    async def _pace(self, run: Run, percent: int) -> None:
        """Set the speed of a best-effort run; the next poll retries a failure."""
        worker = run.worker
        try:
            outcome = await self._client.set_pace(
                worker.facts, str(run.subtask.name), run.number, percent
            )
        except Exception as error:
            _log_run_failure("pace", run, error)
            return
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

    async def _bar(self, worker: WorkerState, name: SubtaskName, number: int) -> None:
        """Have a worker refuse a run that an earlier life of it may have been sent."""
        born_unix_ms = worker.born_unix_ms
        outcome = OrderOutcome.UNKNOWN
        while (
            outcome in (OrderOutcome.UNKNOWN, OrderOutcome.BUSY)
            and worker.born_unix_ms == born_unix_ms
            and self._scheduler.workers.get(worker.facts.worker_id) is worker
            and (name, number) in worker.recent_unanswered_starts(loop_now_s())
        ):
            try:
                outcome = await self._client.stop(worker.facts, str(name), number)
            except Exception as error:
                _log_failure("bar", worker, name, number, error)
                outcome = OrderOutcome.UNKNOWN
            logger.info(
                "worker: late start barred.",
                extra={
                    "subtask": str(name),
                    "run": number,
                    "worker_id": worker.facts.worker_id,
                    "outcome": outcome.value,
                },
            )
            if outcome is OrderOutcome.FENCED:
                self._step_down(f"worker {worker.facts.worker_id} refused a stop")
            await asyncio.sleep(STOP_RETRY_S * random.uniform(0.5, 1.5))

    async def _stop(self, run: Run) -> None:
        worker = run.worker
        while run in run.subtask.live_runs:
            try:
                outcome = await self._client.stop(
                    worker.facts, str(run.subtask.name), run.number
                )
            except Exception as error:
                _log_run_failure("stop", run, error)
                outcome = OrderOutcome.UNKNOWN
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
                        worker.facts.worker_id, loop_now_s(), REPLACED
                    )
                    return
            await asyncio.sleep(STOP_RETRY_S * random.uniform(0.5, 1.5))


async def _store_nothing(run: Run) -> None:
    """Let a start leave that no successor has to know of."""


def _is_wanted(run: Run) -> bool:
    """Return whether a start that was queued may still be sent."""
    if run.phase is not RunPhase.SENT or run not in run.subtask.live_runs:
        return False
    if run.worker.is_suspect or run.worker.is_over_capacity:
        # A new incarnation would take the order, and so would one that has shrunk.
        return False
    # The deadline is on the clock of the incarnation that the start was made for.
    return loop_now_s() < run.start_expires_s < float("inf")


def _log_run_failure(order: str, run: Run, error: Exception) -> None:
    _log_failure(order, run.worker, run.subtask.name, run.number, error)


def _log_failure(
    order: str, worker: WorkerState, name: SubtaskName, number: int, error: Exception
) -> None:
    """Log an order that failed unexpectedly, which counts as one without an answer."""
    logger.error(
        "worker: order failed unexpectedly.",
        exc_info=error,
        extra={
            "order": order,
            "subtask": str(name),
            "run": number,
            "worker_id": worker.facts.worker_id,
        },
    )


def _stop_gang(scheduler: Scheduler, run: Run) -> None:
    """Stop the other members of a gang, which can't work without this run's."""
    for member in run.subtask.step.subtasks:
        for other in list(member.live_runs):
            scheduler.stop(other)
