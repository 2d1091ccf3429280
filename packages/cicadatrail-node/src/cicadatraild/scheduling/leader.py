"""The leader of the fleet.

Takes over from its predecessor, schedules the jobs, stores their state and answers
requests about them. The logger and peer messages call the leader "holder".
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

from cicadatrail_core.jobs.data_centre_evacuation import evacuate_data_centres
from cicadatrail_core.jobs.evacuation import eject_stuck_workers
from cicadatrail_core.jobs.hold import dispatch_or_hold
from cicadatrail_core.jobs.job_report import count_queued_jobs
from cicadatrail_core.jobs.long_waits import log_long_waits_if_due
from cicadatrail_core.jobs.models import FleetConfiguration, Wave
from cicadatrail_core.jobs.open_subtasks import TOO_MANY, OpenSubtasks
from cicadatrail_core.jobs.records import decode_definition
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.leadership.request_rules import (
    RULES,
    RequestState,
    Verdict,
    state_without_store,
)
from cicadatraild.platform.advice import AdviceClient
from cicadatraild.platform.machines import MachineClient
from cicadatraild.platform.settings import PlatformSettings
from cicadatraild.platform.store import (
    JOBS_TOPIC,
    FencedError,
    KeyedRecord,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.platform.workers import WorkerClient
from cicadatraild.scheduling.admission import AdmissionControl
from cicadatraild.scheduling.adviser import Adviser
from cicadatraild.scheduling.clocks import loop_now_s, unix_now_ms
from cicadatraild.scheduling.fenced_reading import FencedReading
from cicadatraild.scheduling.former_leases import FormerLeases
from cicadatraild.scheduling.journal import Journal, refusal_to_store
from cicadatraild.scheduling.leader_records import LeaderRecords
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.machine_inventory import MachineInventory
from cicadatraild.scheduling.maintenance import WaveRunner
from cicadatraild.scheduling.messages import (
    AskPhase,
    Cancel,
    CountQueued,
    HolderIs,
    PhaseIs,
    QueuedCount,
    Refused,
    Reply,
    Request,
    Stored,
    Submit,
    Unsettled,
)
from cicadatraild.scheduling.pool_balance import PoolBalancer
from cicadatraild.scheduling.worker_links import WorkerLinks
from cicadatraild.scheduling.worker_list import WorkerList
from cicadatraild.scheduling.worker_orders import WorkerOrders

logger = logging.getLogger("cicadatrail.holder")

WORKER_LEASE_S = 3.5
"""Lease given to workers: long enough for a takeover after the silence limit, and
short enough to expire soon after."""

TICK_S = 0.1
"""Interval between checks of leases, due occurrences and stuck runs."""

DISPATCH_PAUSE_S = 0.003
"""Delay after a scheduling pass, so that the next one batches changes."""

RETRY_S = 0.1
"""Delay before the takeover is retried."""


class Leader:
    """Run the fleet for one epoch.

    ``waves`` returns the maintenance waves that operators have requested.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        store: StoreClient,
        leadership: Leadership,
        epoch: int,
        waves: Callable[[], list[Wave]],
    ) -> None:
        self.epoch = epoch
        self.ready = asyncio.Event()
        self._has_ended = False
        lease_s = min(WORKER_LEASE_S, settings.lease_limit_s)
        self.scheduler = Scheduler(
            SchedulerSettings(
                epoch,
                lease_s,
                settings.lease_limit_s,
                settings.status_kept_s,
                settings.stop_limit_s,
            )
        )
        self.open_subtasks = OpenSubtasks(self.scheduler.jobs)
        self._settings = settings
        self._store = store
        self._leadership = leadership
        self._dirty = asyncio.Event()
        self.scheduler.on_change = self._dirty.set
        self.scheduler.is_lease_valid = leadership.is_lease_valid
        self.scheduler.held_lease_ago = leadership.right.held_lease_ago
        self._former_leases = FormerLeases(self.scheduler, leadership.right)
        self._records = LeaderRecords(self.scheduler, self._former_leases)
        self.journal = Journal(
            store, epoch, self._records.collect, leadership.step_down
        )
        self._client = WorkerClient(epoch, self.may_start)
        self.orders = WorkerOrders(self.scheduler, self._client, leadership)
        self.orders.store_lasting_start = self._records.lasting_starts.store
        self.links = WorkerLinks(
            self.scheduler, self._client, self.journal, leadership, self.orders
        )
        self._advice: AdviceClient | None = None
        if settings.advice is not None:
            self._advice = AdviceClient(settings.advice)
        self._machines = MachineClient(settings.machines, settings.node, epoch)
        self._inventory = MachineInventory(
            self._machines,
            leadership.is_lease_valid,
            settings.order_gap_s,
            self.journal.flush,
        )
        self.admission = AdmissionControl(
            self.scheduler, lambda: self._inventory.machines
        )
        self.waves = WaveRunner(
            self._inventory, store, self.scheduler, waves, self._on_wave_progress
        )
        self.balance = PoolBalancer(
            self.scheduler,
            self._inventory,
            self.waves.pending_machines,
            settings.machine_orders_per_s,
        )
        self._records.attach(self._inventory, self.waves, self.balance.turns)
        self._worker_list = WorkerList(store, self.scheduler)
        self._stored_jobs = FencedReading(store, JOBS_TOPIC)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Apply a newer configuration."""
        self.scheduler.configure(configuration)

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Let nothing more start in these data centres, and again in all others."""
        evacuate_data_centres(self.scheduler, data_centres)

    async def run(self) -> None:
        """Take over, then run the fleet until cancelled."""
        began_s = loop_now_s()
        async with AsyncExitStack() as stack:
            stack.callback(self.links.close)
            stack.callback(self.orders.close)
            stack.callback(self.journal.close)
            await self._client.pool.open(stack)
            await self._machines.pool.open(stack)
            if self._advice is not None:
                await self._advice.pool.open(stack)
            await self._take_over()
            logger.info(
                "holder: takeover completed.",
                extra={
                    "epoch": self.epoch,
                    "job_count": len(self.scheduler.jobs),
                    "worker_count": len(self.scheduler.workers),
                    "duration_s": round(loop_now_s() - began_s, 3),
                },
            )
            self.ready.set()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.journal.run())
                group.create_task(self._worker_list.feed.run())
                group.create_task(self._dispatch())
                group.create_task(self._tick())
                group.create_task(self._manage_machines())
                if self._advice is not None:
                    group.create_task(Adviser(self.scheduler, self._advice).run())

    async def _manage_machines(self) -> None:
        """Run waves and moves until a newer leader fences this one."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.waves.run())
                group.create_task(self.balance.run())
        except* FencedError as errors:
            # The journal is fenced as well and makes this instance step down.
            logger.info(
                "holder: machine orders stopped.", extra={"reason": repr(errors)}
            )

    def end_requests(self) -> None:
        """Have requests that wait for the takeover sent to another leader."""
        self._has_ended = True
        self.ready.set()

    # Takeover

    async def _take_over(self) -> None:
        """Fence the store and read its state; retry until the store is available."""
        while True:
            try:
                async with asyncio.TaskGroup() as group:
                    reading = group.create_task(self._read_jobs())
                    group.create_task(self._worker_list.feed.load())
                break
            except* StoreUnavailableError as errors:
                logger.warning(
                    "holder: store unavailable; retrying the takeover.",
                    extra={"reason": repr(errors)},
                )
            await asyncio.sleep(RETRY_S)
        self._dispatch_at(self._records.restore(reading.result()))
        self.links.stored_ids = self._records.stored_worker_ids
        self.balance.cordon_blocked()

    async def _read_jobs(self) -> list[KeyedRecord]:
        """Return the stored jobs once no earlier leader can change them."""
        await self.journal.fence()
        return await self._stored_jobs.read()

    def may_start(self) -> bool:
        """Return whether subtasks may be started on the workers as they are known.

        A leader whose renewals are stored may still fail to read the list, whose
        workers may have shrunk since. Without a lease, no instance that answers can
        read it, and accepted work goes on with the list as it was last read.
        """
        if not self._leadership.is_lease_valid():
            return self._leadership.may_start()
        return self._worker_list.is_fresh

    # Loops

    async def _dispatch(self) -> None:
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            self.links.follow_scheduler()
            if self.may_start():
                held_until_s = dispatch_or_hold(self.scheduler, loop_now_s())
                if held_until_s is not None:
                    self._dispatch_at(held_until_s)
            self.orders.send()
            if self._records.has_changes():
                self.journal.flush_soon()
            await asyncio.sleep(DISPATCH_PAUSE_S)

    def _dispatch_at(self, due_s: float) -> None:
        """Run a scheduling pass later, for jobs that are held back until then."""
        asyncio.get_running_loop().call_at(due_s, self._dirty.set)

    async def _tick(self) -> None:
        could_start = True
        while True:
            now_s = loop_now_s()
            may_start = self.may_start()
            if may_start != could_start:
                logger.info(
                    "holder: permission to start subtasks changed.",
                    extra={"may_start": may_start},
                )
                self._dirty.set()
            could_start = may_start
            self._worker_list.unlist_missing(now_s)
            self._former_leases.update()
            self.scheduler.tick(now_s, unix_now_ms())
            eject_stuck_workers(self.scheduler, now_s)
            log_long_waits_if_due(self.scheduler, may_start, now_s)
            self._worker_list.evacuate_draining(now_s)
            if self._inventory.drop_old_announcements():
                self.journal.flush_soon()
            self.orders.send()
            await asyncio.sleep(TICK_S)

    def _on_wave_progress(self) -> None:
        self._records.mark_waves_changed()
        self.journal.flush_soon()

    # Requests

    async def answer(self, request: Request) -> Reply:
        """Return the reply to a request about jobs."""
        if not self.ready.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(RULES[RequestState.TAKING_OVER].wait_s):
                    await self.ready.wait()
        if self._has_ended:
            return HolderIs(0, "")
        if not self.ready.is_set():
            # Sent back to be asked again, requests would flood a slow takeover.
            return Refused("the leader has not taken over yet")
        try:
            match request:
                case Submit():
                    return await self._submit(request)
                case Cancel():
                    return await self._cancel(request)
                case AskPhase():
                    return self._phase(request)
                case CountQueued():
                    return QueuedCount(count_queued_jobs(self.scheduler, request.queue))
        except FencedError as error:
            return Unsettled(str(error))
        return Refused("not a request about jobs")

    async def _submit(self, request: Submit) -> Reply:
        job = self.scheduler.jobs.get(request.job_id)
        if job is not None and job.is_stored:
            return Stored()
        if request.job_id in self._records.unreadable_job_ids:
            # It was accepted; accepting it anew could run its subtasks twice.
            return Stored()
        if job is None:
            reason = refusal_to_store(self.journal, len(request.definition))
            if reason:
                return Refused(reason)
            definition = decode_definition(request.definition)
            now_s = loop_now_s()
            refusal = self.admission.consider(request.job_id, definition, now_s)
            if refusal is not None:
                return refusal
            if not self.open_subtasks.admits(definition, now_s):
                return Refused(TOO_MANY)
            job = self.scheduler.accept(request.job_id, definition, now_s)
            self.scheduler.changed_jobs[request.job_id] = None
        return await self._store_submission(request.job_id)

    async def _store_submission(self, job_id: str) -> Reply:
        """Store an accepted job, or drop it if the store is silent before it is sent.

        An unanswered append may have been carried out, so a retried request waits for
        the same append.
        """
        flush = self.journal.start_flush()
        await self.journal.wait_unless_stalled(flush)
        if not flush.done():
            jobs, changed = self.scheduler.jobs, self.scheduler.changed_jobs
            job = jobs.get(job_id)
            if job is not None and job.is_stored:
                # Only a later append is stalled, for which this request waited too.
                return Stored()
            state = state_without_store(job_id in jobs, job_id in changed)
            if RULES[state].verdict is Verdict.REFUSE:
                flush.cancel()
                changed.pop(job_id, None)
                self.scheduler.discard(job_id)
                counts = self.scheduler.counts
                counts["unsent-job"] = counts.get("unsent-job", 0) + 1
                return Refused("the store does not answer; the job was not sent")
        await flush
        return Stored()

    async def _cancel(self, request: Cancel) -> Reply:
        job = self.scheduler.jobs.get(request.job_id)
        while job is not None and not job.is_stored:
            await self.journal.flush()
            # It may have been dropped meanwhile, and submitted again.
            job = self.scheduler.jobs.get(request.job_id)
        if job is None:
            return self._missing_phase(request.job_id)
        if job.is_final and job.stored_phase is job.phase:
            return Stored()
        self.scheduler.cancel(job, loop_now_s())
        await self.journal.flush()
        return Stored()

    def _phase(self, request: AskPhase) -> Reply:
        job = self.scheduler.jobs.get(request.job_id)
        if job is not None and job.is_stored:
            return PhaseIs(self.scheduler.shown_phase(job).value)
        if job is not None:
            return Refused("the store does not answer")
        return self._missing_phase(request.job_id)

    def _missing_phase(self, job_id: str) -> Reply:
        """Return the reply on a job that this leader does not have."""
        if job_id in self._records.unreadable_job_ids:
            return Refused("the stored job can't be read")
        # A newer leader may know the job.
        if not self._leadership.is_lease_valid():
            return Refused("the store does not answer")
        return PhaseIs("")
