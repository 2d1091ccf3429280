"""Assembly and lifecycle of one incarnation of an entry instance."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from contextlib import AsyncExitStack
from typing import Any

from cicadatrail_core.admission.retry_budget import RetryBudget, RetrySettings
from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.fleet import Place, Worker
from cicadatrail_core.models.peer_messages import (
    ControlMessage,
    PartitionHandover,
)
from cicadatrail_core.models.platform import ListedInstance
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import Dispatcher, DispatcherSettings
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.interfaces.instance_list_client import HttpInstanceList
from cicadatraild.interfaces.log_client import HttpLogClient
from cicadatraild.interfaces.maintenance_client import HttpMaintenance
from cicadatraild.interfaces.worker_client import HttpWorkerControl
from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.network.peer_client import (
    LinkFault,
    LinkSettings,
    PeerDirectory,
    PeerLink,
)
from cicadatraild.network.peer_server import PeerServer
from cicadatraild.serving.admin import AdminApi
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.attempt_runner import AttemptRunner
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.id_partitions import IdPartitions
from cicadatraild.serving.leases import LeaseRenewer
from cicadatraild.serving.peer_requests import PeerRequests
from cicadatraild.serving.placed_tasks import GivenUpTasks
from cicadatraild.serving.request_ids import RequestIds
from cicadatraild.serving.retries import RetryRunner
from cicadatraild.serving.router import Router
from cicadatraild.serving.upstream import Upstream
from cicadatraild.sharing.alarms import AlarmWatch
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.control_messages import ControlMessageHandler
from cicadatraild.sharing.digests import Digests, make_digest
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.membership import Identity, Membership, RetiredError
from cicadatraild.sharing.peer_records import PeerRecords
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.share_returns import ShareReturns
from cicadatraild.sharing.slot_loans import Demand, SlotLoans
from cicadatraild.sharing.snapshot_writer import SnapshotWriter
from cicadatraild.sharing.status import StatusView
from cicadatraild.sharing.worker_watch import WorkerWatch
from cicadatraild.utils.background_tasks import BackgroundTasks
from cicadatraild.utils.identifiers import new_uuid7
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.metrics import InstanceCollector, Metrics
from cicadatraild.utils.settings import Settings
from cicadatraild.utils.tracing import Tracing

logger = logging.getLogger("cicadatrail.instance")

LEAVE_TIMEOUT_S = 120.0
"""Time limit for a graceful leave, after which the incarnation ends regardless."""

DRAIN_S = 1.0
"""Time for sending the last answers before the connections are closed."""

HANDOVER_TIMEOUT_S = 2.0
"""Time for handing the request ids of a partition over to its new owner."""


class Instance:
    """Wire up the components of one incarnation and run them until it ends."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        instance = settings.instance
        name = f"{instance.instance_id}.{secrets.token_hex(4)}"
        self.incarnation = IncarnationId(name)
        # Used for jitter only, which must differ between instances.
        random_source = random.Random()
        self._pool = ConnectionPool(settings.workers.connect_timeout_s)
        log = HttpLogClient(
            self._pool,
            Address(settings.log.host, settings.log.port),
            settings.log.timeout_s,
        )
        self._replica = Replica(log, random_source)
        self._appender = Appender(
            log, self.incarnation, settings.log.append_limit_per_s, random_source
        )
        self._directory = PeerDirectory(
            LinkSettings(
                self.incarnation,
                bytes.fromhex(settings.peer.cluster_key_hex),
                settings.peer.message_limit_bytes,
                ControlMessage,
            ),
            self._note_fault,
        )
        list_settings = settings.instance_list
        timing = RightsTiming(
            support_s=settings.rights.support_s, list_lag_s=list_settings.lag_s
        )
        self._holdings = Holdings(self.incarnation)
        self._loans = SlotLoans(
            self.incarnation,
            timing,
            self._holdings,
            self._directory,
            lambda: self._rights_manager.leased_until_s(),
            lambda: self._digests.fresh(),
            self._demand,
            self._configure_dispatch_queue,
        )
        self._rights_manager = RightsManager(
            self.incarnation,
            timing,
            settings.rights.pulse_s,
            list_settings.poll_s,
            self._replica,
            self._appender,
            self._directory,
            HttpInstanceList(
                self._pool, Address(list_settings.host, list_settings.port)
            ),
            self._apply_instance_list,
            self._loans.unsettled_lenders,
        )
        self._digests = Digests(
            self._directory,
            lambda: make_digest(
                self.incarnation,
                self._replica.state,
                self._dispatch_queue.dispatcher,
                self._loans.slots(self._replica.state),
            ),
            self._is_near,
        )
        self._dispatch_queue = DispatchQueue(
            Dispatcher(DispatcherSettings()), self._loans
        )
        self._control = HttpWorkerControl(self._pool)
        self._given_up = GivenUpTasks(self._dispatch_queue, self._control)
        self._tracing = Tracing(
            instance.instance_id,
            settings.tracing.sample_ratio,
            _collector(settings),
            self._pool,
        )
        self._admission = Admission(self._rights_manager.may_check_keys, new_uuid7)
        self._membership = self._make_membership()
        self._in_flight = InFlightWork()
        self._leases = LeaseRenewer(
            self._control, self._rights_manager.may_use_rights, timing.task_lease_s
        )
        self._partitions = self._make_partitions()
        self._attempt_runner = self._make_attempt_runner()
        self._retry_runner = RetryRunner(
            self._attempt_runner, RetryBudget(RetrySettings()), random_source, _new_id
        )
        self._router = self._make_router()
        self._watch = WorkerWatch(
            self.incarnation,
            self._replica,
            self._appender,
            self._holdings,
            self._dispatch_queue.dispatcher,
            self._control,
            self._note_leaving,
        )
        self._alarms = AlarmWatch(
            self._replica,
            self._appender,
            self._rights_manager,
            self._digests,
            self._dispatch_queue,
        )
        self._peer_records = PeerRecords(
            self._replica, self._directory, self._digests.fresh
        )
        self._snapshots = SnapshotWriter(
            self.incarnation, self._replica, self._appender
        )
        self._share_returns = ShareReturns(
            self._dispatch_queue.dispatcher, self._control, self._find_worker
        )
        self._peer_requests = PeerRequests(
            self._admission,
            self._dispatch_queue,
            self._attempt_runner,
            self._in_flight,
            self._tracing,
        )
        self._maintenance = FleetMaintenance(
            self.incarnation,
            self._replica,
            self._appender,
            self._holdings,
            HttpMaintenance(
                self._pool,
                Address(settings.maintenance.host, settings.maintenance.port),
            ),
            self._running_on,
        )

    async def run(self, stop: asyncio.Event) -> bool:
        """Serve until ``stop`` is set; return False if removed from the membership.

        A removed incarnation finishes its running work before this returns; the
        caller then starts a new incarnation.
        """
        async with AsyncExitStack() as stack:
            # Closed last, because peers take a refused connection as proof that this
            # incarnation has ended all its work.
            await self._listen_to_peers(stack)
            await self._pool.open(stack)
            await self._directory.open(stack)
            await self._given_up.open(stack)
            await self._leases.open(stack)
            tasks = await stack.enter_async_context(BackgroundTasks())
            try:
                joined = await self._start_or_stop(tasks, stop)
            except RetiredError:
                logger.warning("instance: removed by peers while joining; restarting.")
                return False
            if not joined:
                return True
            servers = await self._listen_to_callers(stack)
            removed = await self._serve_until(tasks, stop)
            for server in servers:
                server.draining = True
            await self._finish(removed)
            # Requests that came meanwhile have been refused, but not all answers sent.
            await asyncio.gather(*[server.drain(DRAIN_S) for server in servers])
            return not removed

    async def _start_or_stop(self, tasks: BackgroundTasks, stop: asyncio.Event) -> bool:
        """Start; return False if ``stop`` is set before the join has completed.

        Joining takes at least as long as the log is unavailable. Raises the
        exception of a background task that failed.
        """
        loop = asyncio.get_running_loop()
        starting = loop.create_task(self._start(tasks))
        # Yields to the new task, so that the background tasks it starts are known to
        # ``tasks.wait`` and their failures are seen.
        await asyncio.sleep(0)
        stopping = loop.create_task(tasks.wait(stop))
        try:
            await asyncio.wait(
                {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
            )
            if not starting.done():
                await stopping
                return False
            await starting
            return True
        finally:
            starting.cancel()
            stopping.cancel()
            await asyncio.gather(starting, stopping, return_exceptions=True)

    async def _start(self, tasks: BackgroundTasks) -> None:
        """Follow the log, join the membership and start the background tasks."""
        self._replica.listen(self._apply_state)
        self._replica.listen_to_records(self._apply_record)
        self._replica.listen_to_snapshots(self._loans.note_snapshot)
        tasks.start("replica", self._replica.run())
        tasks.start("appender", self._appender.run())
        tasks.start("list", self._rights_manager.follow_list())
        await self._membership.join()
        tasks.start("pulse", self._rights_manager.pulse())
        tasks.start("reclaim", self._rights_manager.reclaim())
        tasks.start("digests", self._digests.run())
        tasks.start("loans", self._loans.run())
        tasks.start("alarms", self._alarms.run())
        tasks.start("traces", self._tracing.run())
        tasks.start("desk", self._dispatch_queue.run())
        tasks.start("peer records", self._peer_records.run())
        tasks.start("snapshots", self._snapshots.run())
        tasks.start("watch", self._watch.run())
        tasks.start("share", self._share_returns.run())
        tasks.start("waves", self._maintenance.run())
        tasks.start("balance", self._membership.balance())

    async def _serve_until(self, tasks: BackgroundTasks, stop: asyncio.Event) -> bool:
        """Wait for ``stop``; return whether peers have removed this incarnation."""
        try:
            await tasks.wait(stop)
        except RetiredError:
            logger.warning(
                "instance: removed by peers; restarting after running tasks have ended."
            )
            return True
        return False

    async def _finish(self, removed: bool) -> None:
        """Refuse new requests, drain running ones, hand over rights and leave.

        A removed incarnation does not leave, as its peers have freed its rights.
        """
        open_count = self._in_flight.count
        logger.info("instance: draining; %d requests are in flight.", open_count)
        self._admission.draining = True
        self._loans.leaving = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._in_flight.ended()
                await self._given_up.settled()
                if not removed:
                    await self._membership.leave()
        except TimeoutError:
            logger.error(
                "instance: did not leave within %s s; ending all the same.",
                LEAVE_TIMEOUT_S,
            )

    async def _listen_to_peers(self, stack: AsyncExitStack) -> None:
        peer = self._settings.peer
        server = PeerServer(
            self.incarnation,
            bytes.fromhex(peer.cluster_key_hex),
            peer.message_limit_bytes,
            ControlMessage,
            ControlMessageHandler(
                self._replica,
                self._rights_manager,
                self._digests,
                self._loans,
                self._partitions,
                self._dispatch_queue.dispatcher,
            ).serve,
            self._peer_requests.serve,
        )
        await server.listen(stack, peer.host, peer.port)

    async def _listen_to_callers(self, stack: AsyncExitStack) -> list[HttpServer]:
        caller, admin = self._settings.caller, self._settings.admin
        limits = HttpLimits(
            header_limit_bytes=caller.header_limit_bytes,
            body_limit_bytes=caller.body_limit_bytes,
            connection_limit_count=caller.connection_limit_count,
            header_timeout_s=caller.header_timeout_s,
            idle_timeout_s=caller.idle_timeout_s,
        )
        api = AdminApi(
            self._replica,
            self._appender,
            admin.token_sha256_hex,
            self._rights_manager.may_report,
            self._make_status_view().read,
            Metrics(InstanceCollector(self._gauges, self._outcomes)).expose,
        )
        admin_server = HttpServer("admin", api.serve, HttpLimits())
        await admin_server.listen(stack, admin.host, admin.port)
        caller_server = HttpServer("caller", self._router.serve_caller, limits)
        await caller_server.listen(stack, caller.host, caller.port)
        logger.info(
            "instance: %s is serving on port %d.", self.incarnation, caller.port
        )
        return [caller_server, admin_server]

    def _make_membership(self) -> Membership:
        settings = self._settings
        place = Place(
            settings.instance.region,
            settings.instance.data_centre,
            settings.instance.rack or "",
        )
        identity = Identity(
            self.incarnation,
            settings.instance.instance_id,
            settings.peer.host,
            settings.peer.port,
            place,
        )
        return Membership(
            identity,
            self._replica,
            self._appender,
            self._holdings,
            self._running_on,
            self._loans.spare_own_count,
            self._loans.takeover_records,
            self._loans.all_returned,
            self._configure_dispatch_queue,
        )

    def _make_partitions(self) -> IdPartitions:
        return IdPartitions(
            self.incarnation,
            time.time,
            self._may_answer_for,
            lambda: self._replica.folded_count == self._replica.state.next_offset,
            self._send_handover,
        )

    def _make_attempt_runner(self) -> AttemptRunner:
        upstream = Upstream(
            self._pool,
            self.incarnation,
            self._rights_manager.may_use_rights,
            self._note_leaving,
        )
        return AttemptRunner(
            self._dispatch_queue,
            upstream,
            self._given_up,
            self._leases,
            self._find_worker,
            self._peers_with_capacity,
            self._tracing,
        )

    def _make_router(self) -> Router:
        ids = RequestIds(
            self.incarnation,
            self._partitions,
            lambda: self._replica.state,
            self._directory,
            time.time,
            _new_id,
        )
        return Router(
            self._admission, self._retry_runner, ids, self._in_flight, self._tracing
        )

    def _may_answer_for(self, partition: int) -> bool:
        """Return whether this instance may decide if a request id was seen before."""
        if not self._rights_manager.may_use_rights(asyncio.get_running_loop().time()):
            return False
        return self._holdings.ledger.may_check_ids(self._replica.state, partition)

    def _send_handover(self, taker: IncarnationId, message: PartitionHandover) -> None:
        link = self._directory.link(taker)
        if link is not None:
            self._directory.spawn(_call(link, message))

    def _make_status_view(self) -> StatusView:
        return StatusView(
            self.incarnation,
            self._settings.instance.instance_id,
            self._settings.instance.data_centre,
            self._replica,
            self._appender,
            self._rights_manager,
            self._digests,
            self._holdings,
            self._dispatch_queue.dispatcher,
            self._alarms,
            self._loans.lent_count,
        )

    def _is_near(self, incarnation: IncarnationId) -> bool:
        """Return whether a member is in the region of this instance."""
        member = self._replica.state.roster.get(incarnation)
        own_region = self._settings.instance.region
        return member is not None and member.place.region == own_region

    def _apply_state(self, state: State) -> None:
        """Apply a new state to admission, peer links, slot loans and the dispatcher."""
        self._admission.state = state
        self._partitions.take_state(state)
        members = {
            member.incarnation: Address(member.host, member.peer_port)
            for member in state.roster.values()
            if member.incarnation != self.incarnation
        }
        self._directory.set_members(members)
        self._digests.forget_others(frozenset(members))
        self._loans.take_state(state)
        self._configure_dispatch_queue()

    def _apply_record(self, before: State, after: State, envelope: Envelope) -> None:
        self._rights_manager.note_record(envelope.record)
        self._loans.note_record(before, after, envelope.record)
        self._partitions.note_record(envelope)

    def _demand(self) -> Demand:
        dispatcher = self._dispatch_queue.dispatcher
        return Demand(dispatcher.waiting_counts, dispatcher.running_counts)

    def _configure_dispatch_queue(self) -> None:
        state = self._replica.state
        ejected = self._dispatch_queue.dispatcher.ejected_workers
        workers = self._holdings.usable(state, ejected).workers
        self._dispatch_queue.configure(state, workers, self._loans.slots(state))

    def _note_fault(self, name: IncarnationId, fault: LinkFault) -> None:
        self._rights_manager.note_fault(name, fault)

    def _apply_instance_list(self, listed: tuple[ListedInstance, ...]) -> None:
        leaving = {instance.instance_id for instance in listed if instance.leaving}
        if leaving != self._holdings.listed_leaving:
            self._holdings.listed_leaving = leaving
            self._configure_dispatch_queue()

    def _note_leaving(self, worker_id: str, leaving: bool = True) -> None:
        """Stop or resume placing tasks on a worker as it starts or cancels leaving."""
        known = worker_id in self._holdings.leaving_workers
        if leaving == known:
            return
        if leaving:
            self._holdings.leaving_workers.add(worker_id)
        else:
            self._holdings.leaving_workers.discard(worker_id)
        self._configure_dispatch_queue()

    def _running_on(self, worker_id: str) -> int:
        return self._dispatch_queue.running_on[worker_id]

    def _find_worker(self, worker_id: str) -> Worker | None:
        return self._replica.state.workers.get(worker_id)

    def _peers_with_capacity(self, request: TaskRequest) -> tuple[PeerLink, ...]:
        return self._digests.peers_with_capacity(self._replica.state, request)

    def _gauges(self) -> dict[str, float]:
        state = self._replica.state
        return {
            "configuration_version": state.version,
            "folded_offset": state.next_offset,
            "folded_records": self._replica.folded_count,
            "log_appends": self._appender.append_count,
            "waiting_requests": self._dispatch_queue.waiting_count,
            "running_tasks": sum(self._dispatch_queue.running_on.values()),
            "given_up_tasks": self._given_up.count,
            "forwarded_requests": self._attempt_runner.forwarded_count,
            "retried_requests": self._retry_runner.retry_count,
            "lease_renewals": self._leases.renewal_count,
            "peer_messages": sum(link.message_count for link in self._directory.links),
            "peer_sent_bytes": sum(link.sent_bytes for link in self._directory.links),
            "roster_size": len(state.roster),
        }

    def _outcomes(self) -> dict[str, int]:
        return self._router.outcome_counts


def _collector(settings: Settings) -> Address | None:
    host, port = settings.tracing.export_host, settings.tracing.export_port
    return None if host is None or port is None else Address(host, port)


def _new_id() -> str:
    return str(new_uuid7())


async def _call(link: PeerLink, message: Any) -> None:
    """Send a message and ignore its answer."""
    await link.call(message, HANDOVER_TIMEOUT_S)
